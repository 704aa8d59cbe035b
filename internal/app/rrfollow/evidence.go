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
	// evidenceInterval is how often evidence on searchers is sent to the zone's
	// daemons: well below the second in which a share of failures decays.
	evidenceInterval = 250 * time.Millisecond
	// evidenceTimeout bounds one send; evidence that arrives later is out of date.
	evidenceTimeout = 300 * time.Millisecond
	// evidenceBackoff is how long no evidence is sent to a daemon that did not answer.
	evidenceBackoff = rrunit.Duration(3 * time.Second)
)

// sendEvidence sends the outcomes of this daemon's own requests to other daemons of
// the zone, until ctx ends. Other zones get none, since a searcher can be unreachable
// from one zone alone.
func (f *Follower) sendEvidence(ctx context.Context) {
	retryAt := make(map[netip.AddrPort]rrunit.Instant)
	for rrunit.Sleep(ctx, evidenceInterval) {
		f.takeCrashes()
		met := f.cfg.TakeEvidence()
		if len(met) == 0 {
			continue
		}
		evidence := &rrpeer.Evidence{From: f.cfg.Self.ID, Searchers: met[:min(len(met), rrpeer.MaxEvidenceSearchers)]}
		var mu sync.Mutex
		var sends sync.WaitGroup
		for _, peer := range f.evidencePeers(retryAt) {
			sends.Go(func() {
				_, err := f.cfg.Feeds.SendEvidence(ctx, peer, evidence, evidenceTimeout)
				f.cfg.Metrics.Count(rrmetrics.GroupEvidence, outcomeLabel(err))
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					retryAt[peer] = f.clock().Add(evidenceBackoff.Std())
					f.cfg.Log.Failure("evidence not told", "peer", peer, "err", err)
				}
			})
		}
		sends.Wait()
	}
}

// evidencePeers returns the daemons of the zone to send evidence to. One in backoff is
// not replaced by another, so that the number of connections stays bounded however
// many daemons fail.
func (f *Follower) evidencePeers(retryAt map[netip.AddrPort]rrunit.Instant) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var out []netip.AddrPort
	for _, instance := range f.core.EvidencePeers() {
		if now >= retryAt[instance.PeerAddress] {
			out = append(out, instance.PeerAddress)
		}
	}
	return out
}

// ReceiveEvidence receives the evidence of another daemon.
func (f *Follower) ReceiveEvidence(_ context.Context, e *rrpeer.Evidence) (*rrpeer.EvidenceReply, error) {
	f.recordHeard(e.From)
	f.cfg.MergeEvidence(e.Searchers)
	return &rrpeer.EvidenceReply{}, nil
}
