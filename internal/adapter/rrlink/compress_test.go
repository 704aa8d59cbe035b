package rrlink_test

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// fullState returns the full state of n daemons and n searchers.
func fullState(n int) *rrpeer.FeedChanges {
	c := &rrpeer.FeedChanges{
		Searchers: &rrcatalog.Delta[rrunit.SearcherID, rrcatalog.Searcher]{
			Revision: 9, Full: true, Entries: make(map[rrunit.SearcherID]rrcatalog.Entry[rrcatalog.Searcher]),
		},
		Instances: &rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance]{
			Revision: 9, Full: true, Entries: make(map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]),
		},
	}
	for i := range n {
		zone := rrunit.Zone(fmt.Sprintf("zone-%d", i%6))
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 6), byte(i / 250), byte(i % 250)}), 8224)
		s := &rrcatalog.Searcher{
			ID: rrunit.SearcherID(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Service: "title", Address: at, Zone: zone,
			Slots: 4, State: rrcatalog.SearcherReady, Incarnation: 1785000000000 + int64(i)*7919,
		}
		c.Searchers.Entries[s.ID] = rrcatalog.Entry[rrcatalog.Searcher]{Revision: rrcatalog.Revision(i), Value: s}
		d := &rrcatalog.Instance{ID: rrunit.InstanceID(fmt.Sprintf("front-%s-%d", zone, i)), Zone: zone, Region: "region", PeerAddress: at}
		c.Instances.Entries[d.ID] = rrcatalog.Entry[rrcatalog.Instance]{Revision: rrcatalog.Revision(i), Value: d}
	}
	return c
}

// wholeFeed answers with the same changes each time.
type wholeFeed struct{ changes *rrpeer.FeedChanges }

func (f wholeFeed) Follow(context.Context, *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	return &rrpeer.FeedResponse{Confirmed: true, Changes: f.changes}, nil
}

func (wholeFeed) ReceiveEvidence(context.Context, *rrpeer.Evidence) (*rrpeer.EvidenceReply, error) {
	return &rrpeer.EvidenceReply{}, nil
}

// maxFullStateBytes bounds the size on the wire of the full state of 300 daemons and
// searchers: the traffic target for one daemon in one second.
const maxFullStateBytes = 27_000

// After a restart of all daemons, each requests the full state from the same few.
func TestFullStateSize(t *testing.T) {
	const requests = 50
	changes := fullState(300)
	codec, peer := feedPeer(t, wholeFeed{changes})
	var l links
	controls := rrlink.NewControlClients(codec, rrlink.WithMeter(&l))
	defer controls.Close()
	for range requests {
		response, err := controls.Follow(t.Context(), peer, &rrpeer.FeedRequest{})
		must.NoError(t, err)
		must.Eq(t, changes, response.Changes)
	}
	t.Logf("%d bytes", l.in.Load()/requests)
	must.LessEq(t, maxFullStateBytes, l.in.Load()/requests)
}

// compressedMessage is a feed response on the wire.
type compressedMessage struct {
	Compressed []byte `json:"packed"`
}

func compressed(t testing.TB, plain []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	must.NoError(t, err)
	_, err = w.Write(plain)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return b.Bytes()
}

// decodeChanges decodes a feed response with these compressed changes.
func decodeChanges(t testing.TB, changes []byte) (*rrpeer.FeedResponse, error) {
	t.Helper()
	codec, err := rrlink.NewCodec()
	must.NoError(t, err)
	b, err := cbor.Marshal(compressedMessage{changes})
	must.NoError(t, err)
	return codec.DecodeFeedResponse(b)
}

func TestInvalidChangesAreRejected(t *testing.T) {
	for name, changes := range map[string][]byte{
		"not compressed":      {0xff, 0xff, 0xff},
		"cut":                 compressed(t, make([]byte, 1000))[:5],
		"grows without bound": compressed(t, make([]byte, 9<<20)),
		"not CBOR":            compressed(t, []byte{0xff}),
		"a field of another type": compressed(t, func() []byte {
			b, err := cbor.Marshal(map[string]any{"searchers": 7})
			must.NoError(t, err)
			return b
		}()),
		"a searcher without slots": compressed(t, func() []byte {
			b, err := cbor.Marshal(map[string]any{"searchers": map[string]any{"entries": map[string]any{
				"i-1": map[string]any{"value": map[string]any{"id": "i-1", "service": "s", "zone": "z"}},
			}}})
			must.NoError(t, err)
			return b
		}()),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeChanges(t, changes)
			must.Error(t, err)
		})
	}
	_, err := decodeChanges(t, nil)
	must.NoError(t, err)
}

func FuzzNews(f *testing.F) {
	codec, err := rrlink.NewCodec()
	must.NoError(f, err)
	plain, err := codec.Marshal(fullState(2))
	must.NoError(f, err)
	b, err := cbor.Marshal(compressedMessage{compressed(f, plain)})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		response, err := codec.DecodeFeedResponse(b)
		if err == nil && response.Changes != nil {
			must.NoError(t, response.Changes.Check())
		}
	})
}
