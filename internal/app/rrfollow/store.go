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
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
)

// Times of the calls to the store.
const (
	// tablesWait and searchersWait are how long one watch waits for a change. A
	// connection that went silent is noticed a little later.
	tablesWait    = 2 * time.Second
	searchersWait = 3 * time.Second
	// watchPause is the shortest time between two watches, so that changes that
	// come together are read together.
	watchPause = 150 * time.Millisecond
	// listFirst and listMost bound the time between two listings of the
	// daemons, which change seldom but at the start.
	listFirst = time.Second
	listMost  = 15 * time.Second
	// retryFirst and retryMost bound the time between failed calls.
	retryFirst = 150 * time.Millisecond
	retryMost  = time.Second
	// retryUnknown is the time between failed calls of a daemon that knows
	// nothing yet and can serve nobody.
	retryUnknown = 100 * time.Millisecond
	// disturbance is how long after a failed call entries that vanish may have
	// lapsed for want of the store.
	disturbance = 4 * time.Second
)

// storeKind names what a call to the store is about.
type storeKind string

// The kinds of calls. Only tables and searchers are what the age of this daemon's
// knowledge is about.
const (
	kindTables    storeKind = "tables"
	kindSearchers storeKind = "searchers"
	kindInstances storeKind = "instances"
	kindRegister  storeKind = "register"
)

// register puts this daemon among the instances.
func (f *Follower) register(ctx context.Context) {
	for wait := retryFirst; ctx.Err() == nil; wait = min(2*wait, retryMost) {
		asked := f.clock()
		err := f.cfg.Store.Register(ctx, f.cfg.Self)
		if f.storeDone(ctx, asked, kindRegister, err) {
			return
		}
		pause(ctx, wait)
	}
}

// rejoin learns which daemons there are, and puts this one among them if it is not. A
// daemon that starts again is, most of the time; and who there was some seconds ago is
// enough to know whom to ask.
func (f *Follower) rejoin(ctx context.Context) {
	list(ctx, f, kindInstances, f.cfg.Store.Instances().ListCached, ofInstances)
	f.mu.Lock()
	isKnown := slices.Contains(f.liveInstances(), f.cfg.Self)
	f.mu.Unlock()
	if !isKnown {
		f.register(ctx)
		// By how many daemons there are this one knows its part of what is shared.
		f.listInstances(ctx)
	}
}

// pause waits about as long as asked, so that daemons do not call in step.
func pause(ctx context.Context, d time.Duration) { rrunit.Sleep(ctx, d/2+rand.N(d)) }

// readStore reads all kinds of objects until ctx ends.
func (f *Follower) readStore(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		at := func() rrcatalog.Revision { return f.tables.Revision() }
		follow(ctx, f, kindTables, f.cfg.Store.Tables(), tablesWait, at, ofTables)
	})
	group.Go(func() {
		at := func() rrcatalog.Revision { return f.searchers.Revision() }
		follow(ctx, f, kindSearchers, f.cfg.Store.Searchers(), searchersWait, at, ofSearchers)
	})
	group.Go(func() {
		for wait := listFirst; ctx.Err() == nil; wait = min(2*wait, listMost) {
			pause(ctx, wait)
			f.listInstances(ctx)
		}
	})
}

// listOnce lists tables and searchers at once, so that a daemon that starts
// while callers wait need not find out first whom to ask.
func (f *Follower) listOnce(ctx context.Context) {
	var group sync.WaitGroup
	defer f.setListing(false)
	defer group.Wait()
	group.Go(func() { list(ctx, f, kindTables, f.cfg.Store.Tables().List, ofTables) })
	group.Go(func() { list(ctx, f, kindSearchers, f.cfg.Store.Searchers().List, ofSearchers) })
}

func (f *Follower) setListing(listing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetListing(listing)
}

// list lists one kind once.
func list[K ~string, V any](ctx context.Context, f *Follower, name storeKind, read func(context.Context) (rrobject.Changes[K, V], error), wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges) {
	asked := f.clock()
	changes, err := read(ctx)
	f.cfg.Metrics.Time(rrmetrics.GroupStoreTime, string(name), f.clock().Sub(asked))
	if f.storeDone(ctx, asked, name, err) {
		takeChanges(f, name, &changes, wrap)
	}
}

func ofTables(d *rrcatalog.Delta[rrcatalog.TableName, rrroute.Table]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Tables: d}
}

func ofSearchers(d *rrcatalog.Delta[rrunit.SearcherID, rrcatalog.Searcher]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Searchers: d}
}

func ofInstances(d *rrcatalog.Delta[rrunit.InstanceID, rrcatalog.Instance]) *rrpeer.FeedChanges {
	return &rrpeer.FeedChanges{Instances: d}
}

// listInstances lists the daemons once.
func (f *Follower) listInstances(ctx context.Context) {
	list(ctx, f, kindInstances, f.cfg.Store.Instances().List, ofInstances)
}

// follow lists and watches one kind until ctx ends. What was learned from other
// daemons meanwhile is not read again.
func follow[K ~string, V any](ctx context.Context, f *Follower, name storeKind, kind rrobject.Kind[K, V], wait time.Duration,
	at func() rrcatalog.Revision, wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges,
) {
	backoff := retryFirst
	relist := false
	for ctx.Err() == nil {
		f.mu.Lock()
		since := at()
		f.mu.Unlock()
		asked := f.clock()
		var changes rrobject.Changes[K, V]
		var err error
		if since == 0 || relist {
			changes, err = kind.List(ctx)
		} else {
			changes, err = kind.Watch(ctx, since, wait)
		}
		if errors.Is(err, rrobject.ErrHistory) {
			f.cfg.Log.Failure("store has dropped its history", "kind", name, "since", since)
			relist = true
			continue
		}
		if !f.storeDone(ctx, asked, name, err) {
			if since == 0 {
				backoff = retryUnknown
			}
			pause(ctx, backoff)
			backoff = min(2*backoff, retryMost)
			continue
		}
		backoff, relist = retryFirst, false
		takeChanges(f, name, &changes, wrap)
		rrunit.Sleep(ctx, watchPause)
	}
}

// takeChanges applies what was read from the store.
func takeChanges[K ~string, V any](f *Follower, name storeKind, c *rrobject.Changes[K, V], wrap func(*rrcatalog.Delta[K, V]) *rrpeer.FeedChanges) {
	for _, d := range c.Damaged {
		f.cfg.Log.Failure("object not taken", "kind", name, "name", d.Name, "revision", c.Delta.Revision, "err", d.Err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disturbed > 0 && f.clock().Sub(f.disturbed) < disturbance {
		c.Delta.Lapsed = true
		for k, e := range c.Delta.Entries {
			if e.Gone {
				e.Lapsed = true
				c.Delta.Entries[k] = e
			}
		}
	}
	f.take(wrap(&c.Delta))
}

// success is the label of a call.
func success(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// storeDone notes the end of a call to the store and reports whether it was
// answered.
func (f *Follower) storeDone(ctx context.Context, asked rrunit.Instant, kind storeKind, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.RecordStoreCall(f.clock(), asked, err == nil, kind == kindTables || kind == kindSearchers)
	f.cfg.Metrics.Count(rrmetrics.GroupStore, rrmetrics.Labels(string(kind), success(err)))
	if err != nil {
		f.disturbed = f.clock()
		f.cfg.Log.Failure("store call failed", "what", kind, "err", err)
		return false
	}
	return true
}
