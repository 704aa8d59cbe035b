package rrpeer_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

func TestDigestCheckNamesTheField(t *testing.T) {
	for field, corrupt := range map[string]func(*rrpeer.Digest){
		"from":             func(d *rrpeer.Digest) { d.From = "" },
		"zone":             func(d *rrpeer.Digest) { d.Zone = "a/b" },
		"news":             func(d *rrpeer.Digest) { d.LeaveNotices = make([]rrpeer.LeaveNotice, rrpeer.MaxDigestLeaveNotices+1) },
		"news.id":          func(d *rrpeer.Digest) { d.LeaveNotices = make([]rrpeer.LeaveNotice, 1) },
		"round.bits":       func(d *rrpeer.Digest) { d.Round.Bits = make([]byte, rrpeer.MaxRoundBitmapBytes+1) },
		"round.force":      func(d *rrpeer.Digest) { d.Round.Converged = 1 },
		"quarantines":      func(d *rrpeer.Digest) { d.Quarantines = make([]rrpeer.Quarantine, rrpeer.MaxDigestQuarantines+1) },
		"quarantines.left": func(d *rrpeer.Digest) { d.Quarantines = []rrpeer.Quarantine{{TimeLeft: -1}} },
	} {
		d := rrpeer.Digest{From: "a1", Zone: "z"}
		must.NoError(t, d.Check())
		corrupt(&d)
		must.ErrorContains(t, d.Check(), field+": ", must.Sprint(field))
	}
}

func FuzzDigest(f *testing.F) {
	seed, err := cbor.Marshal(&rrpeer.Digest{
		From: "a1", Zone: "z", Versions: rrpeer.DocumentVersions{Number: 3}, LeaveNotices: []rrpeer.LeaveNotice{{ID: "a2"}},
		Round: rrpeer.RolloutRound{Converged: 2, Target: 3, Bits: []byte{5}},
	})
	must.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var d rrpeer.Digest
		if cbor.Unmarshal(b, &d) != nil || d.Check() != nil {
			return
		}
		encoded, err := cbor.Marshal(&d)
		must.NoError(t, err)
		var decoded rrpeer.Digest
		must.NoError(t, cbor.Unmarshal(encoded, &decoded))
		must.Eq(t, d.From, decoded.From)
		must.Eq(t, d.Round, decoded.Round)
	})
}
