package rrfollow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// evidenceInterval is how often the zone is told what own requests met:
	// well below the second in which a share of misses fades.
	evidenceInterval = 250 * time.Millisecond
	// evidenceTime is how long a daemon may take to hear it; later it says
	// little.
	evidenceTime = 300 * time.Millisecond
	// evidenceAvoid is how long a daemon is told nothing that did not answer.
	evidenceAvoid = rrunit.Duration(3 * time.Second)
)

// tellZone tells the other daemons of the zone what own requests meet, until ctx
// ends. Other zones are not told: a searcher can fail towards one zone alone.
func (f *Follower) tellZone(ctx context.Context) {
	avoid := make(map[netip.AddrPort]rrunit.Instant)
	for rrunit.Sleep(ctx, evidenceInterval) {
		met := f.cfg.TakeMet()
		if len(met) == 0 {
			continue
		}
		e := &rrpeer.Evidence{From: f.cfg.Self.ID, Met: met[:min(len(met), rrpeer.MaxMet)]}
		var mu sync.Mutex
		var round sync.WaitGroup
		for _, peer := range f.partners(avoid) {
			round.Go(func() {
				_, err := f.cfg.Feeds.Tell(ctx, peer, e, evidenceTime)
				f.cfg.Metrics.Count(rrmetrics.GroupEvidence, success(err))
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					avoid[peer] = f.clock().Add(evidenceAvoid.Std())
					f.cfg.Log.Failure("evidence not told", "peer", peer, "err", err)
				}
			})
		}
		round.Wait()
	}
}

// partners returns the daemons of the zone to tell. One that is avoided has no
// stand-in: connections are to be as many as partners, however many fail.
func (f *Follower) partners(avoid map[netip.AddrPort]rrunit.Instant) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var out []netip.AddrPort
	for _, i := range f.core.EvidencePeers() {
		if now >= avoid[i.Peers] {
			out = append(out, i.Peers)
		}
	}
	return out
}

// Tell takes what another daemon's requests met.
func (f *Follower) Tell(_ context.Context, e *rrpeer.Evidence) (*rrpeer.Heard, error) {
	f.cfg.Hear(e.Met)
	return &rrpeer.Heard{}, nil
}
