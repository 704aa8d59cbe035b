package rrfollow

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpresence"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
)

const (
	// presenceInterval is how often it is decided which daemons are there.
	presenceInterval = 500 * time.Millisecond
	// takeOverDelay is how long after the last removal of a daemon the record of quarantines
	// is read. The store's cached answers are some seconds old.
	takeOverDelay = 10 * time.Second
)

// share is this daemon's share of the limits that the daemons share.
type share struct {
	sharers    int
	isHeldBack bool
}

// share returns the share at the instant. The caller holds mu.
func (f *Follower) share(now rrunit.Instant) share {
	if age, known := f.core.DataAge(now); known {
		f.presence.RecordConfirmed(now.Add(-age))
	}
	return share{sharers: f.presence.Sharers(now), isHeldBack: f.presence.IsHeldBack(now)}
}

// republishShare publishes the catalog again if the share has changed, which it does with time
// too. The caller holds mu.
func (f *Follower) republishShare() {
	if f.share(f.clock()) != f.published {
		f.publish()
	}
}

// updateShare takes the share at the instant into what is published next, and logs a change.
// The caller holds mu.
func (f *Follower) updateShare(now rrunit.Instant) {
	own := f.share(now)
	if own == f.published {
		return
	}
	f.cfg.Log.StateChange("share of limits", "sharers", own.sharers, "held", own.isHeldBack)
	f.published = own
}

// updateInstances passes the live instances to what depends on them. The caller holds mu.
func (f *Follower) updateInstances() {
	f.core.SetInstances(f.reachableInstances())
	var members []rrpresence.Member
	for _, e := range f.instances.Entries() {
		if !e.Removed && e.Value != nil {
			members = append(members, rrpresence.Member{Instance: *e.Value, Revision: e.Revision})
		}
	}
	slices.SortFunc(members, func(a, b rrpresence.Member) int { return rrsource.CompareRank(a.ID, b.ID) })
	f.presence.SetMembers(f.clock(), members)
}

// reachableInstances returns the instances that answer at their address: of those that have
// registered the same one, the last that nobody doubts. The caller holds mu.
func (f *Follower) reachableInstances() []rrcatalog.Instance {
	type entry = rrcatalog.Entry[rrcatalog.Instance]
	isLater := func(a, b entry) bool {
		switch {
		case a.Value.ID == f.cfg.Self.ID || b.Value.ID == f.cfg.Self.ID:
			return a.Value.ID == f.cfg.Self.ID
		case a.Value.Doubted != b.Value.Doubted:
			return b.Value.Doubted
		}
		return a.Revision > b.Revision
	}
	last := make(map[netip.AddrPort]entry)
	for _, e := range f.instances.Entries() {
		if e.Removed || e.Value == nil {
			continue
		}
		if other, ok := last[e.Value.PeerAddress]; !ok || isLater(e, other) {
			last[e.Value.PeerAddress] = e
		}
	}
	out := make([]rrcatalog.Instance, 0, len(last))
	for _, e := range last {
		out = append(out, *e.Value)
	}
	return out
}

// recordHeard records a call of another daemon.
func (f *Follower) recordHeard(id rrunit.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.presence.RecordHeard(f.clock(), id)
}

// recordAnswer records an answer from the address. One that does not name its sender is taken
// for that of the daemons registered there. The caller holds mu.
func (f *Follower) recordAnswer(now rrunit.Instant, peer netip.AddrPort, from rrunit.InstanceID) {
	if from != "" {
		f.presence.RecordHeard(now, from)
		return
	}
	for id, i := range f.instances.Live() {
		if i.PeerAddress == peer {
			f.presence.RecordHeard(now, id)
		}
	}
}

// keepPresence asks silent daemons, and keeps the store's record of who is there, until ctx
// ends.
func (f *Follower) keepPresence(ctx context.Context) {
	for rrunit.Sleep(ctx, presenceInterval) {
		f.mu.Lock()
		now := f.clock()
		_, isReader := f.core.OtherReaders()
		actions := f.presence.Plan(now, isReader)
		f.mu.Unlock()
		f.probe(ctx, actions.Probe)
		for _, m := range actions.Clear {
			f.setDoubted(ctx, m, false)
		}
		for _, m := range actions.Doubt {
			f.setDoubted(ctx, m, true)
		}
		for _, m := range actions.Remove {
			err := f.cfg.Store.RemoveInstance(ctx, m.ID, m.Revision)
			f.recordPresence(ctx, "removed", m, err)
		}
		f.takeOver(ctx, len(actions.Remove) > 0)
	}
}

// takeOver reads the record of quarantines once the daemons that were removed are known to be,
// as nobody else removes theirs.
func (f *Follower) takeOver(ctx context.Context, hasRemoved bool) {
	f.mu.Lock()
	now := f.clock()
	if hasRemoved {
		f.takeOverAt = now.Add(takeOverDelay)
	}
	isDue := f.takeOverAt > 0 && now >= f.takeOverAt
	f.mu.Unlock()
	if !isDue {
		return
	}
	isDone := f.readRecordOnce(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeOverAt = 0
	if !isDone {
		f.takeOverAt = f.clock().Add(takeOverDelay)
	}
}

// probe asks daemons directly whether they are there.
func (f *Follower) probe(ctx context.Context, members []rrpresence.Member) {
	if len(members) == 0 {
		return
	}
	request, _ := f.feedRequest()
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			from, err := f.tell(ctx, m.PeerAddress, request)
			isOther := from != "" && from != m.ID
			if (err != nil || isOther) && ctx.Err() == nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.presence.RecordFailure(m.ID)
			}
		})
	}
	calls.Wait()
}

// setDoubted marks a daemon as doubted in the store, or takes the mark away.
func (f *Follower) setDoubted(ctx context.Context, m rrpresence.Member, isDoubted bool) {
	i := rrcatalog.Instance{ID: m.ID, Zone: m.Zone, Region: m.Region, PeerAddress: m.PeerAddress, Doubted: isDoubted}
	what := "heard again"
	if isDoubted {
		what = "doubted"
	}
	f.recordPresence(ctx, what, m, f.cfg.Store.ReplaceInstance(ctx, i, m.Revision))
}

// recordPresence records the end of a call to the store on whether a daemon is there.
func (f *Follower) recordPresence(ctx context.Context, what string, m rrpresence.Member, err error) {
	if errors.Is(err, rrobject.ErrConflict) {
		// It has registered again, or another daemon was first.
		what, err = "changed", nil
	}
	if f.recordStoreCall(ctx, f.clock(), kindPresence, err) {
		f.cfg.Metrics.Count(rrmetrics.GroupPresence, what)
		f.cfg.Log.StateChange("daemon "+what, "daemon", m.ID, "revision", m.Revision)
	}
}
