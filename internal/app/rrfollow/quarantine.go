package rrfollow

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// readerTellInterval is how often a reader tells the other readers of active
	// quarantines.
	readerTellInterval = 500 * time.Millisecond
	// readerTellTimeout bounds one such call.
	readerTellTimeout = 300 * time.Millisecond
)

// quarantine is a request that was found to crash searchers.
type quarantine struct {
	fingerprint rrunit.Fingerprint
	until       rrunit.Instant
}

// AnnounceQuarantine passes a quarantine that this daemon decided on to the other daemons.
func (f *Follower) AnnounceQuarantine(q rrpeer.Quarantine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addQuarantine(q)
}

// addQuarantine adds a quarantine to those that are passed on and reports whether it
// is new. Above rrpeer.MaxDigestQuarantines all daemons keep the same ones, those of the
// least fingerprints, so that they don't send each other the rest again and again. The
// caller holds mu.
func (f *Follower) addQuarantine(q rrpeer.Quarantine) bool {
	now := f.clock()
	f.quarantines = slices.DeleteFunc(f.quarantines, func(known quarantine) bool { return known.until <= now })
	i, known := slices.BinarySearchFunc(f.quarantines, q.Fingerprint, func(known quarantine, of rrunit.Fingerprint) int {
		return cmp.Compare(known.fingerprint, of)
	})
	if known || i >= rrpeer.MaxDigestQuarantines {
		return false
	}
	f.quarantines = slices.Insert(f.quarantines, i, quarantine{fingerprint: q.Fingerprint, until: now.Add(q.TimeLeft.Std())})
	f.quarantines = f.quarantines[:min(len(f.quarantines), rrpeer.MaxDigestQuarantines)]
	f.notifyWaiters()
	return true
}

// addPeerQuarantines adds the quarantines of another daemon and applies the new ones
// to this daemon's own dispatchers.
func (f *Follower) addPeerQuarantines(quarantines []rrpeer.Quarantine) {
	for _, q := range quarantines {
		f.mu.Lock()
		isNew := f.addQuarantine(q)
		f.mu.Unlock()
		if isNew {
			f.cfg.Quarantine(q)
		}
	}
}

// activeQuarantines returns the active quarantines, without those that the requester has.
// The caller holds mu.
func (f *Follower) activeQuarantines(known []rrpeer.Quarantine) []rrpeer.Quarantine {
	now := f.clock()
	var out []rrpeer.Quarantine
	for _, entry := range f.quarantines {
		isKnown := slices.ContainsFunc(known, func(q rrpeer.Quarantine) bool { return q.Fingerprint == entry.fingerprint })
		if left := entry.until.Sub(now); left > 0 && !isKnown {
			out = append(out, rrpeer.Quarantine{Fingerprint: entry.fingerprint, TimeLeft: rrunit.Duration(left)})
		}
	}
	return out
}

// tellReaders exchanges active quarantines with the other readers while this daemon is a
// reader, until ctx ends. Followers get them with what they follow, but readers follow
// nobody.
func (f *Follower) tellReaders(ctx context.Context) {
	for rrunit.Sleep(ctx, readerTellInterval) {
		f.mu.Lock()
		readers := f.core.OtherReaders()
		f.mu.Unlock()
		request, _ := f.feedRequest()
		if len(request.Quarantines) == 0 {
			continue
		}
		var calls sync.WaitGroup
		for _, reader := range readers {
			calls.Go(func() { f.tellReader(ctx, reader.PeerAddress, request) })
		}
		calls.Wait()
	}
}

func (f *Follower) tellReader(ctx context.Context, reader netip.AddrPort, request *rrpeer.FeedRequest) {
	ctx, cancel := context.WithTimeout(ctx, readerTellTimeout)
	defer cancel()
	response, err := f.cfg.Feeds.Follow(ctx, reader, request)
	f.cfg.Metrics.Count(rrmetrics.GroupPeerCalls, outcomeLabel(err))
	if err != nil {
		f.cfg.Log.Failure("quarantines not told", "peer", reader, "err", err)
		return
	}
	f.addPeerQuarantines(response.Quarantines)
}
