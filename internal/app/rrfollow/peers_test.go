package rrfollow

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// feedOf answers each request as a daemon that knows of the era.
type feedOf struct{ era rrcatalog.Era }

func (f feedOf) Follow(context.Context, netip.AddrPort, *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	return &rrpeer.FeedResponse{Confirmed: true, Era: f.era}, nil
}

func (feedOf) SendEvidence(context.Context, netip.AddrPort, *rrpeer.Evidence, time.Duration) (*rrpeer.EvidenceReply, error) {
	return &rrpeer.EvidenceReply{}, nil
}

// A source that does not know of the store's latest era, or leaves eras out of its revisions
// as older daemons do, has no changes to tell, which must not pass for being up to date.
func TestSourceOfAnEarlierEra(t *testing.T) {
	for era, isCurrent := range map[rrcatalog.Era]bool{0: false, 1: false, 2: true, 3: true} {
		f := New(Config{Feeds: feedOf{era}, Metrics: rrmetrics.NewGatewayMetrics()})
		f.era = 2
		must.True(t, f.followPeerOnce(t.Context(), rrsource.Source{Address: netip.MustParseAddrPort("10.0.0.1:1")}))
		_, known := f.core.DataAge(f.clock())
		must.Eq(t, isCurrent, known, must.Sprint(era))
	}
}
