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

// whole returns the state of n daemons and n searchers.
func whole(n int) *rrpeer.FeedChanges {
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

// mostWhole is what the whole state of a fleet of 300 may take on the wire, in
// bytes: the traffic that the aim allows a daemon in one second.
const mostWhole = 27_000

// When all daemons start anew, each asks the same few ones for everything.
func TestWholeStateIsSmall(t *testing.T) {
	const asks = 50
	changes := whole(300)
	codec, peer := feedPeer(t, wholeFeed{changes})
	var l links
	controls := rrlink.NewControls(codec, rrlink.WithMeter(&l))
	defer controls.Close()
	for range asks {
		news, err := controls.Follow(t.Context(), peer, &rrpeer.FeedRequest{})
		must.NoError(t, err)
		must.Eq(t, changes, news.Changes)
	}
	t.Logf("%d bytes", l.in.Load()/asks)
	must.LessEq(t, mostWhole, l.in.Load()/asks)
}

// packedNews is news on the wire.
type packedNews struct {
	Packed []byte `json:"packed"`
}

func zipped(t testing.TB, plain []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	must.NoError(t, err)
	_, err = w.Write(plain)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return b.Bytes()
}

// follow returns what a daemon makes of an answer with these bytes.
func follow(t testing.TB, packed []byte) (*rrpeer.FeedResponse, error) {
	t.Helper()
	codec, err := rrlink.NewCodec()
	must.NoError(t, err)
	b, err := cbor.Marshal(packedNews{packed})
	must.NoError(t, err)
	return codec.DecodeNews(b)
}

func TestBadChanges(t *testing.T) {
	for name, packed := range map[string][]byte{
		"not compressed":      {0xff, 0xff, 0xff},
		"cut":                 zipped(t, make([]byte, 1000))[:5],
		"grows without bound": zipped(t, make([]byte, 9<<20)),
		"not CBOR":            zipped(t, []byte{0xff}),
		"a field of another type": zipped(t, func() []byte {
			b, err := cbor.Marshal(map[string]any{"searchers": 7})
			must.NoError(t, err)
			return b
		}()),
		"a searcher without slots": zipped(t, func() []byte {
			b, err := cbor.Marshal(map[string]any{"searchers": map[string]any{"entries": map[string]any{
				"i-1": map[string]any{"value": map[string]any{"id": "i-1", "service": "s", "zone": "z"}},
			}}})
			must.NoError(t, err)
			return b
		}()),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := follow(t, packed)
			must.Error(t, err)
		})
	}
	_, err := follow(t, nil)
	must.NoError(t, err)
}

func FuzzNews(f *testing.F) {
	codec, err := rrlink.NewCodec()
	must.NoError(f, err)
	plain, err := codec.Marshal(whole(2))
	must.NoError(f, err)
	b, err := cbor.Marshal(packedNews{zipped(f, plain)})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		news, err := codec.DecodeNews(b)
		if err == nil && news.Changes != nil {
			must.NoError(t, news.Changes.Check())
		}
	})
}
