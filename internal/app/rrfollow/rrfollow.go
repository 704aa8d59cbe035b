// Package rrfollow keeps what a daemon knows of the platform up to date: it
// reads the platform's store or asks other daemons, as rrsource decides, and
// answers those that ask it. It knows nothing of what the knowledge is used for.
package rrfollow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrlapse"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// planInterval is how often it is decided anew whom to ask.
const planInterval = 100 * time.Millisecond

// staleAge is the age from which what a daemon knows is not good enough. A
// reader hears of the store at least every tablesWait, and its followers of the
// reader's age every askWait; the rest is the way of both answers.
const staleAge = tablesWait + time.Duration(askWait) + 500*time.Millisecond

// Config is what a follower needs.
type Config struct {
	Self  rrcatalog.Instance
	Seeds []netip.AddrPort
	// First says that all daemons start for the first time, and need not hurry.
	First bool
	Store rrobject.Store
	Feeds rrpeers.Feeds
	Log   *rrlog.Log
	// Metrics counts the calls.
	Metrics *rrmetrics.Traffic
	// Update is given every new catalog, one at a time.
	Update func(*rrcatalog.Catalog)
	// Quarantine is given every request that other daemons found to crash
	// searchers.
	Quarantine func(rrpeer.Quarantine)
	// TakeMet returns what own requests met since the last call, and Hear is
	// given what those of other daemons of the zone met.
	TakeMet func() []rrpeer.Met
	Hear    func([]rrpeer.Met)
}

// Follower keeps a catalog up to date. Run makes it work.
type Follower struct {
	cfg   Config
	clock rrunit.Clock

	// cause is why the store is read, as it was noted last.
	cause rrsource.Cause

	// mu guards the fields below, and that updates come in order.
	mu        sync.Mutex
	core      *rrsource.Selector
	lapse     *rrlapse.Tracker
	tables    *rrcatalog.Tables
	searchers *rrcatalog.Searchers
	instances *rrcatalog.Instances
	// table is the one in force; its number only rises.
	table *rrroute.Table
	// told has the changes that others were told since this daemon's own sets
	// last changed, by what they had.
	told map[feedKey]*rrpeer.FeedChanges
	// changed is closed and replaced with every change of the three sets.
	changed chan struct{}
	// lapseTimer publishes when a searcher whose entry lapsed is used no more.
	lapseTimer *time.Timer
	// verdicts are the requests of late that crash searchers.
	verdicts []verdict
	// disturbed is when a call to the store last failed.
	disturbed rrunit.Instant
}

// New returns a follower.
func New(cfg Config) *Follower {
	clock := rrunit.SystemClock()
	f := &Follower{
		cfg:   cfg,
		clock: clock,
		core: rrsource.New(clock(), rrsource.Config{
			Self: cfg.Self, Seeds: cfg.Seeds, ColdStart: cfg.First, StaleAfter: staleAge,
		}),
		lapse:     rrlapse.New(),
		tables:    &rrcatalog.Tables{},
		searchers: &rrcatalog.Searchers{},
		instances: &rrcatalog.Instances{},
		told:      make(map[feedKey]*rrpeer.FeedChanges),
		changed:   make(chan struct{}),
	}
	f.lapseTimer = time.AfterFunc(time.Hour, f.republish)
	return f
}

// SetSeeds takes other addresses to ask.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetSeeds(seeds)
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer f.lapseTimer.Stop()
	group.Go(func() { f.tellZone(ctx) })
	if f.cfg.First {
		group.Go(func() { f.register(ctx) })
		group.Go(func() { f.listInstances(ctx) })
	} else {
		f.setListing(true)
		group.Go(func() { f.rejoin(ctx) })
		group.Go(func() { f.listOnce(ctx) })
	}
	workers := newWorkers(ctx, &group)
	for {
		f.mu.Lock()
		plan := f.core.Plan(f.clock())
		f.mu.Unlock()
		f.carryOut(workers, plan)
		if !rrunit.Sleep(ctx, planInterval) {
			return
		}
	}
}

// storeWorker names the worker that reads the store.
const storeWorker = "store"

// carryOut starts and stops what the plan asks for.
func (f *Follower) carryOut(w *workers, plan rrsource.Plan) {
	if plan.Cause != f.cause {
		f.cause = plan.Cause
		f.cfg.Log.Belief("source of knowledge", "store", plan.ReadStore, "cause", plan.Cause, "peers", len(plan.Sources))
	}
	wanted := make(map[string]func(context.Context))
	if plan.ReadStore {
		wanted[storeWorker] = f.readStore
	}
	for _, s := range plan.Sources {
		name := s.Address.String()
		if s.Backup {
			name += " second"
		}
		wanted[name] = func(ctx context.Context) { f.ask(ctx, s) }
	}
	w.set(wanted)
}

// republish computes the catalog anew since time has passed.
func (f *Follower) republish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
}

// publish gives the catalog to its user. The caller holds mu.
func (f *Follower) publish() {
	now := f.clock()
	for _, t := range f.tables.Live() {
		if f.table == nil || t.Number > f.table.Number {
			f.table = t
			f.cfg.Log.Belief("routing table in force", "number", t.Number, "revision", f.tables.Revision(), "routes", len(t.Routes))
		}
	}
	if f.searchers.Revision() == 0 {
		// A table alone serves nobody.
		return
	}
	searchers, next := f.lapse.Usable(now, f.searchers)
	if next > 0 {
		f.lapseTimer.Reset(next.Sub(now))
	}
	f.cfg.Update(&rrcatalog.Catalog{Table: f.table, Searchers: searchers, Instances: f.liveInstances()})
}

// setInstances tells the core which daemons there are. The caller holds mu.
func (f *Follower) setInstances() {
	f.core.SetInstances(f.liveInstances())
}

// liveInstances returns the daemons that there are. The caller holds mu.
func (f *Follower) liveInstances() []rrcatalog.Instance {
	var all []rrcatalog.Instance
	for _, i := range f.instances.Live() {
		all = append(all, *i)
	}
	return all
}

// take applies a change. The caller holds mu.
func (f *Follower) take(c *rrpeer.FeedChanges) {
	before := [3]rrcatalog.Revision{f.tables.Revision(), f.searchers.Revision(), f.instances.Revision()}
	if c.Tables != nil {
		f.tables = f.tables.With(*c.Tables)
	}
	if c.Searchers != nil {
		f.searchers = f.searchers.With(*c.Searchers)
	}
	if c.Instances != nil {
		f.instances = f.instances.With(*c.Instances)
	}
	after := [3]rrcatalog.Revision{f.tables.Revision(), f.searchers.Revision(), f.instances.Revision()}
	if before == after {
		return
	}
	if c.Instances != nil {
		f.setInstances()
	}
	f.wake()
	if c.HoldEntries() {
		f.publish()
	}
}

// wake tells those that wait that something changed. The caller holds mu.
func (f *Follower) wake() {
	f.told = make(map[feedKey]*rrpeer.FeedChanges)
	close(f.changed)
	f.changed = make(chan struct{})
}
