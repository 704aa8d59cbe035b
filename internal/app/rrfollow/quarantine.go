package rrfollow

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// readerTellInterval is how often a reader tells the other readers of crashes and of
	// active quarantines.
	readerTellInterval = 500 * time.Millisecond
	// readerTellTimeout bounds one such call.
	readerTellTimeout = 300 * time.Millisecond
	// settleTime is how long other readers are asked for newer tables after a start or a
	// restore of the store. Within it the operator's lost changes are written again.
	settleTime = 5 * time.Second
	// crashRelayTime is how long a crash is passed on: long enough for two requests in a
	// row to be lost on each of the two hops to any other daemon.
	crashRelayTime = rrunit.Duration(5 * time.Second)
)

func newQuarantineNotices() notices[rrunit.Fingerprint] {
	return notices[rrunit.Fingerprint]{compare: cmp.Compare[rrunit.Fingerprint], limit: rrpeer.MaxQuarantines}
}

func newCrashNotices() notices[rrpeer.CrashedRun] {
	return notices[rrpeer.CrashedRun]{compare: rrpeer.CrashedRun.Compare, limit: rrpeer.MaxCrashes}
}

// AnnounceQuarantine passes a quarantine that this daemon decided on to the other daemons,
// at once: the request's caller returns at any of them.
func (f *Follower) AnnounceQuarantine(q rrpeer.Quarantine) {
	f.addQuarantine(q)
	f.mu.Lock()
	f.addVerdict(q)
	f.mu.Unlock()
	select {
	case f.ownVerdict <- struct{}{}:
	default:
		// The readers are about to be told.
	}
}

// addQuarantine adds a quarantine to those that are passed on and reports whether it is
// new. Waiting requests are answered with it at once.
func (f *Follower) addQuarantine(q rrpeer.Quarantine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.quarantines.add(f.clock(), q.Fingerprint, q.TimeLeft) {
		return false
	}
	f.notifyWaiters()
	return true
}

// addCrash adds a crash to those that are passed on and reports whether it is new. It goes
// out with the next message, as many requests can be lost at once.
func (f *Follower) addCrash(c rrpeer.Crash) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.add(f.clock(), c.CrashedRun, c.TimeLeft)
}

// addPeerFindings adds what another daemon found out of crashing requests, and applies what
// is new to this daemon's own dispatchers.
func (f *Follower) addPeerFindings(findings rrpeer.Findings) {
	for _, q := range findings.Quarantines {
		if f.addQuarantine(q) {
			f.cfg.Quarantine(q)
		}
	}
	for _, c := range findings.Crashes {
		if f.addCrash(c) {
			f.cfg.AddPeerCrash(c.CrashedRun)
		}
	}
}

// findings returns what to tell a daemon that keeps as much as the limits, without what it
// knows. The caller holds mu.
func (f *Follower) findings(limits rrpeer.Limits, known *rrpeer.Findings) rrpeer.Findings {
	knownQuarantines := make(map[rrunit.Fingerprint]bool)
	for _, q := range known.Quarantines {
		knownQuarantines[q.Fingerprint] = true
	}
	knownCrashes := make(map[rrpeer.CrashedRun]bool)
	for _, c := range known.Crashes {
		knownCrashes[c.CrashedRun] = true
	}
	now := f.clock()
	var out rrpeer.Findings
	for _, e := range f.quarantines.active(now, limits.Quarantines, knownQuarantines) {
		out.Quarantines = append(out.Quarantines, rrpeer.Quarantine{Fingerprint: e.key, TimeLeft: e.left(now)})
	}
	for _, e := range f.crashes.active(now, limits.Crashes, knownCrashes) {
		out.Crashes = append(out.Crashes, rrpeer.Crash{CrashedRun: e.key, TimeLeft: e.left(now)})
	}
	return out
}

// takeCrashes adds this daemon's own crashes to those that are passed on.
func (f *Follower) takeCrashes() {
	for _, run := range f.cfg.TakeCrashes() {
		f.addCrash(rrpeer.Crash{CrashedRun: run, TimeLeft: crashRelayTime})
	}
}

// tellReaders exchanges crashes, active quarantines and newer tables with the other readers
// while this daemon is a reader, until ctx ends. Followers get them with what they follow,
// but readers follow nobody. Only for some time after a daemon's start or a restore of the
// store may other readers know of a newer table. Any daemon tells all readers of its own
// quarantines at once.
func (f *Follower) tellReaders(ctx context.Context) {
	timer := time.NewTimer(readerTellInterval)
	defer timer.Stop()
	for {
		hasVerdict := false
		select {
		case <-f.ownVerdict:
			hasVerdict = true
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(readerTellInterval)
		f.mu.Lock()
		readers, isReader := f.core.OtherReaders()
		f.mu.Unlock()
		if !isReader && !hasVerdict {
			continue
		}
		request, _ := f.feedRequest()
		if findings := request.Findings(); findings.IsEmpty() && !f.isSettling() {
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
		f.cfg.Log.Failure("crashes not told", "peer", reader, "err", err)
		return
	}
	f.addPeerFindings(rrpeer.Findings{Quarantines: response.Quarantines, Crashes: response.Crashes})
	if response.Changes != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyChanges(response.Changes)
	}
}

// isSettling reports whether this daemon has started, or learned of a restore of the store,
// within settleTime.
func (f *Follower) isSettling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock().Sub(f.settlingSince) < settleTime
}
