package rrfollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfreshness"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
)

// Times of the calls to the store.
const (
	// firstWait is how long the first watch waits for a change, and the first after a failed
	// one: its answer shows that the store is there and that nothing has changed.
	firstWait = 10 * time.Millisecond
	// instancesWait and instancesWatchPause are the wait and the pause of the watch of the
	// daemons, which change seldom after the start, when they are many.
	instancesWait       = 15 * time.Second
	instancesWatchPause = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = rrfreshness.RetryDelay
	maxRetryDelay = time.Second
	// emptyRetryDelay is the delay after a failed call as long as the set is empty,
	// when the daemon cannot serve requests.
	emptyRetryDelay = 100 * time.Millisecond
	// registrationInterval is how often a daemon checks that the restored store still knows
	// it.
	registrationInterval = 500 * time.Millisecond
	// storeFailureWindow is how long after a failed call an entry that vanishes may
	// have expired because its owner could not reach the store.
	storeFailureWindow = 4 * time.Second
)

// partOf returns the part of the data that calls of the kind confirm.
func partOf(kind storeKind) rrsource.Part {
	switch kind {
	case kindTables:
		return rrsource.PartTables
	case kindSearchers:
		return rrsource.PartSearchers
	default:
		return rrsource.PartNone
	}
}

// storeKind is the kind of a call to the store.
type storeKind string

// The kinds of calls. Only those for tables and searchers count for the age of the
// catalog.
const (
	kindTables    storeKind = "tables"
	kindSearchers storeKind = "searchers"
	kindInstances storeKind = "instances"
	kindRegister  storeKind = "register"
	// kindPresence are the writes on whether other daemons are there.
	kindPresence storeKind = "presence"
	// kindQuarantines is read at a start alone.
	kindQuarantines storeKind = "quarantines"
)

// register adds this daemon to the instances in the store, with retries.
func (f *Follower) register(ctx context.Context) {
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		started := f.clock()
		era, err := f.cfg.Store.Register(ctx, f.cfg.Self)
		if f.recordStoreCall(ctx, started, kindRegister, err) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.registeredEra = max(f.registeredEra, era)
			f.presence.RecordRegistration()
			return
		}
		sleepJittered(ctx, delay)
	}
}

// rejoin lists the instances, and registers this one if it is missing. After a restart
// it is usually still registered. A cached list, some seconds old, is good enough to
// choose the daemons to follow.
func (f *Follower) rejoin(ctx context.Context) {
	listKind(ctx, f, kindInstances, f.cfg.Store.Instances().ListCached, instanceChanges)
	f.mu.Lock()
	isKnown := slices.Contains(f.liveInstances(), f.cfg.Self)
	f.mu.Unlock()
	if !isKnown {
		f.register(ctx)
		// The number of daemons determines this one's share of shared limits.
		f.listInstances(ctx)
	}
}

// sleepJittered waits from half to one and a half times the mean, so that daemons do
// not call in lockstep.
func sleepJittered(ctx context.Context, mean time.Duration) { rrunit.Sleep(ctx, mean/2+rand.N(mean)) }

// readStore follows all kinds of objects in the store until ctx ends.
func (f *Follower) readStore(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		revision := func() rrcatalog.Revision { return f.tables.Revision() }
		watchKind(ctx, f, kindTables, f.cfg.Store.Tables(), f.dataWatch, revision, tableChanges)
	})
	group.Go(func() {
		revision := func() rrcatalog.Revision { return f.searchers.Revision() }
		watchKind(ctx, f, kindSearchers, f.cfg.Store.Searchers(), f.dataWatch, revision, searcherChanges)
	})
	group.Go(func() {
		for ctx.Err() == nil {
			f.watchInstances(ctx)
			sleepJittered(ctx, minRetryDelay)
		}
	})
}

// watchInstances lists and watches the daemons until ctx ends or the store is restored, which
// a watch in an earlier era may not show.
func (f *Follower) watchInstances(ctx context.Context) {
	f.mu.Lock()
	restored := f.restored
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-ctx.Done():
		}
	}()
	revision := func() rrcatalog.Revision { return f.instances.Revision() }
	times := func() watchTimes { return watchTimes{instancesWait, instancesWatchPause} }
	watchKind(ctx, f, kindInstances, f.cfg.Store.Instances(), times, revision, instanceChanges)
}

// keepRegistered registers this daemon again, until ctx ends, if another one has removed or
// doubted it, or if it is missing from the instances of an era in which it has not registered.
func (f *Follower) keepRegistered(ctx context.Context) {
	for rrunit.Sleep(ctx, registrationInterval) {
		if f.isForgotten() {
			f.cfg.Log.StateChange("registers again")
			f.register(ctx)
			f.listInstances(ctx)
		}
	}
}

// isForgotten reports whether the store no longer has this daemon, or takes it for gone.
func (f *Follower) isForgotten() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.instances.Revision().Era()
	if slices.Contains(f.liveInstances(), f.cfg.Self) {
		f.registeredEra = max(f.registeredEra, era)
	}
	return f.presence.IsMissing() || f.registeredEra > 0 && era > f.registeredEra
}

// listOnce lists tables and searchers immediately, so that a daemon that starts while
// callers wait need not choose sources first.
func (f *Follower) listOnce(ctx context.Context) {
	var group sync.WaitGroup
	defer f.setListing(false)
	defer group.Wait()
	group.Go(func() { listKind(ctx, f, kindTables, f.cfg.Store.Tables().List, tableChanges) })
	group.Go(func() { listKind(ctx, f, kindSearchers, f.cfg.Store.Searchers().List, searcherChanges) })
}

func (f *Follower) setListing(listing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetListing(listing)
}

// listKind lists one kind once.
func listKind[K ~string, V any](ctx context.Context, f *Follower, kind storeKind, read func(context.Context) (rrobject.Changes[K, V], error), wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges) {
	started := f.clock()
	changes, err := read(ctx)
	f.cfg.Metrics.RecordLatency(rrmetrics.GroupStoreTime, string(kind), f.clock().Sub(started))
	if f.recordStoreCall(ctx, started, kind, err) {
		applyStoreChanges(f, kind, &changes, wrap)
	}
}

func tableChanges(d *rrcatalog.Delta[rrcatalog.TableName, rrroute.Table]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Tables: d}
}

func searcherChanges(d *rrcatalog.Delta[rrunit.SearcherID, rrcatalog.Searcher]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Searchers: d}
}

func instanceChanges(d *rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Instances: d}
}

// listInstances lists the daemons once.
func (f *Follower) listInstances(ctx context.Context) {
	listKind(ctx, f, kindInstances, f.cfg.Store.Instances().List, instanceChanges)
}

// watchTimes are how long a watch waits for a change, and the pause after it.
type watchTimes struct{ wait, pause time.Duration }

// dataWatch returns the times of the watches of tables and searchers.
func (f *Follower) dataWatch() watchTimes {
	return watchTimes{f.currentTimes().StoreWait, rrfreshness.WatchPause}
}

// watchKind lists and watches one kind until ctx ends. Changes that other daemons sent
// meanwhile are not read again.
func watchKind[K ~string, V any](ctx context.Context, f *Follower, kind storeKind, store rrobject.Collection[K, V], times func() watchTimes,
	revision func() rrcatalog.Revision, wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges,
) {
	retryDelay := minRetryDelay
	relist, isFirst := false, true
	for ctx.Err() == nil {
		wait := times().wait
		if isFirst {
			wait = firstWait
		}
		f.mu.Lock()
		since := revision()
		f.mu.Unlock()
		started := f.clock()
		var changes rrobject.Changes[K, V]
		var err error
		if since == 0 || relist {
			changes, err = store.List(ctx)
		} else {
			changes, err = store.Watch(ctx, since, wait)
		}
		if errors.Is(err, rrobject.ErrCompacted) {
			f.cfg.Log.Failure("store has dropped its history", "kind", kind, "since", since)
			relist = true
			continue
		}
		if !f.recordStoreCall(ctx, started, kind, err) {
			isFirst = true
			if since == 0 {
				retryDelay = emptyRetryDelay
			}
			sleepJittered(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay, relist, isFirst = minRetryDelay, false, false
		applyStoreChanges(f, kind, &changes, wrap)
		rrunit.Sleep(ctx, times().pause)
	}
}

// applyStoreChanges applies changes read from the store. Entries that vanish shortly
// after a failed call, or with a restore of the store, are marked as RemovalUncertain.
func applyStoreChanges[K ~string, V any](f *Follower, kind storeKind, c *rrobject.Changes[K, V], wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges) {
	for _, d := range c.Invalid {
		f.cfg.Log.Failure("object not taken", "kind", kind, "name", d.Name, "revision", c.Delta.Revision, "err", d.Err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.revisionOf(kind)
	if c.Delta.Revision < known {
		f.cfg.Log.Failure("older state not taken", "kind", kind, "revision", c.Delta.Revision, "known", known)
	}
	isRestored := known > 0 && c.Delta.Revision.Era() > known.Era()
	if isRestored || f.lastStoreFailure > 0 && f.clock().Sub(f.lastStoreFailure) < storeFailureWindow {
		c.Delta.RemovalUncertain = true
		for k, e := range c.Delta.Entries {
			if e.Removed {
				e.RemovalUncertain = true
				c.Delta.Entries[k] = e
			}
		}
	}
	f.applyChanges(wrap(&c.Delta))
}

// revisionOf returns the revision of the set of a kind. The caller holds mu.
func (f *Follower) revisionOf(kind storeKind) rrcatalog.Revision {
	switch kind {
	case kindTables:
		return f.tables.Revision()
	case kindSearchers:
		return f.searchers.Revision()
	default:
		return f.instances.Revision()
	}
}

// outcomeLabel returns the metrics label of a call.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// recordStoreCall records the end of a call to the store and reports whether it
// succeeded.
func (f *Follower) recordStoreCall(ctx context.Context, started rrunit.Instant, kind storeKind, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.trackRenewal(now, func() { f.core.RecordStoreCall(now, started, err == nil, partOf(kind)) })
	f.cfg.Metrics.Count(rrmetrics.GroupStore, rrmetrics.JoinLabels(string(kind), outcomeLabel(err)))
	if err != nil {
		f.lastStoreFailure = f.clock()
		f.cfg.Log.Failure("store call failed", "what", kind, "err", err)
		return false
	}
	return true
}
