package rrfollow

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// Guards against a fleet that nobody reads the store for: the readers were replaced by daemons of
// other names at the same addresses, whose answers were taken for those of the readers.
func TestReplacedAtTheSameAddress(t *testing.T) {
	f := newRecordingFollower(t, nil)
	var ids []rrunit.InstanceID
	for i := range 4 {
		ids = append(ids, rrunit.InstanceID(fmt.Sprintf("n%d", i)))
	}
	slices.SortFunc(ids, rrsource.CompareRank)
	entries := make(map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance])
	for i, id := range ids {
		// The first two are replaced by the last two.
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 2)}), 7000)
		entries[id] = rrcatalog.Entry[rrcatalog.Instance]{
			Revision: rrcatalog.Revision(i + 1), Value: &rrcatalog.Instance{ID: id, Region: "r", PeerAddress: address},
		}
	}
	apply := func(revision rrcatalog.Revision) []rrunit.InstanceID {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyChanges(&rrpeer.FeedChanges{Instances: &rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance]{Revision: revision, Full: true, Entries: entries}})
		readers, _ := f.core.OtherReaders()
		var out []rrunit.InstanceID
		for _, r := range readers {
			out = append(out, r.ID)
		}
		slices.Sort(out)
		return out
	}
	want := slices.Sorted(slices.Values(ids[2:]))
	must.Eq(t, want, apply(10))
	// The doubt of one that is gone is written later than its successor has registered.
	doubted := *entries[ids[0]].Value
	doubted.Doubted = true
	entries[ids[0]] = rrcatalog.Entry[rrcatalog.Instance]{Revision: 11, Value: &doubted}
	must.Eq(t, want, apply(11))
}
