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
	// tellTimeout bounds a call to a daemon that does not wait for changes.
	tellTimeout = 300 * time.Millisecond
	// settleTime is how long other readers are asked for newer tables after a start or a
	// restore of the store. Within it the operator's lost changes are written again.
	settleTime = 5 * time.Second
	// crashRelayTime is how long a crash is passed on: long enough for two requests in a
	// row to be lost on each of the two hops to any other daemon.
	crashRelayTime = rrunit.Duration(5 * time.Second)
	// announceDelay is how long findings are gathered before the readers are told of them: a
	// request that is lost at several services ends at all of them soon after.
	announceDelay = 20 * time.Millisecond
	// minCrashRelayInterval is the least time between two times that waiting daemons are told
	// of crashes at once. Many daemons lose requests at the same time when a zone fails.
	minCrashRelayInterval = 100 * time.Millisecond
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
	f.announce()
}

// AnnounceCrashes passes the crashes that TakeCrashes has on to the other daemons at once. It
// does not block.
func (f *Follower) AnnounceCrashes() { f.announce() }

func (f *Follower) announce() {
	select {
	case f.ownFinding <- struct{}{}:
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

// addCrash adds a crash to those that are passed on and reports whether it is new.
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
	hasCrashes := false
	for _, c := range findings.Crashes {
		if f.addCrash(c) {
			f.cfg.AddPeerCrash(c.CrashedRun)
			hasCrashes = true
		}
	}
	if hasCrashes {
		f.relayCrashes()
	}
}

// relayCrashes answers the daemons that wait for changes, now or minCrashRelayInterval after
// the last time.
func (f *Follower) relayCrashes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.willRelayCrashes {
		return
	}
	f.willRelayCrashes = true
	wait := minCrashRelayInterval - f.clock().Sub(f.crashesRelayedAt)
	time.AfterFunc(max(0, wait), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.willRelayCrashes, f.crashesRelayedAt = false, f.clock()
		f.notifyWaiters()
	})
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
	runs := f.cfg.TakeCrashes()
	for _, run := range runs {
		f.addCrash(rrpeer.Crash{CrashedRun: run, TimeLeft: crashRelayTime})
	}
	if len(runs) > 0 {
		f.relayCrashes()
	}
}

// tellReaders exchanges crashes, active quarantines and newer tables with the other readers
// while this daemon is a reader, until ctx ends. Followers get them with what they follow,
// but readers follow nobody. Only for some time after a daemon's start or a restore of the
// store may other readers know of a newer table. Any daemon tells all readers at once
// of its own quarantines, and of crashes whose request has failed.
func (f *Follower) tellReaders(ctx context.Context) {
	timer := time.NewTimer(readerTellInterval)
	defer timer.Stop()
	for {
		hasFinding := false
		select {
		case <-f.ownFinding:
			hasFinding = true
			rrunit.Sleep(ctx, announceDelay)
			f.takeCrashes()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(readerTellInterval)
		f.mu.Lock()
		readers, isReader := f.core.OtherReaders()
		f.mu.Unlock()
		if !isReader && !hasFinding {
			continue
		}
		request, _ := f.feedRequest()
		if findings := request.Findings(); findings.IsEmpty() && !f.isSettling() {
			continue
		}
		var calls sync.WaitGroup
		for _, reader := range readers {
			calls.Go(func() {
				if _, err := f.tell(ctx, reader.PeerAddress, request); err != nil {
					f.cfg.Log.Failure("crashes not told", "peer", reader.PeerAddress, "err", err)
				}
			})
		}
		calls.Wait()
	}
}

// tell makes a request that does not wait for changes to another daemon, applies the response
// and returns who sent it; empty if it does not say.
func (f *Follower) tell(ctx context.Context, peer netip.AddrPort, request *rrpeer.FeedRequest) (rrunit.InstanceID, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	response, err := f.cfg.Feeds.Follow(ctx, peer, request)
	f.cfg.Metrics.Count(rrmetrics.GroupPeerCalls, outcomeLabel(err))
	if err != nil {
		return "", err
	}
	f.addPeerFindings(response.Findings())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer(f.clock(), peer, response.From)
	if response.Changes != nil {
		f.applyChanges(response.Changes)
	}
	return response.From, nil
}

// isSettling reports whether this daemon has started, or learned of a restore of the store,
// within settleTime.
func (f *Follower) isSettling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock().Sub(f.settlingSince) < settleTime
}
