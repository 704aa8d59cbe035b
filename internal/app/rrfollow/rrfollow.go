// Package rrfollow keeps a daemon's catalog of the platform up to date: it reads
// the platform's store or follows other daemons, as rrsource decides, and serves the
// daemons that follow it. It does not depend on what the catalog is used for.
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
	"rhubarbreel.example/rhubarbreel/internal/policy/rrexpiry"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfreshness"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpresence"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Config is what a follower needs.
type Config struct {
	Self  rrcatalog.Instance
	Seeds []netip.AddrPort
	// ColdStart is set if all daemons start for the first time, so that no caller waits yet.
	ColdStart bool
	// ApplyBound is the time in which all daemons have to apply a change in the store.
	ApplyBound time.Duration
	// LimitWindow is the longest time over which limits that the daemons share are counted.
	LimitWindow time.Duration
	Store       rrobject.Store
	Feeds       rrpeers.FeedClient
	Log         *rrlog.Log
	// Metrics counts the calls to peers and to the store.
	Metrics *rrmetrics.GatewayMetrics
	// Update is called with every new catalog, one at a time.
	Update func(*rrcatalog.Catalog)
	// Quarantine is called with every quarantine that another daemon decided on.
	Quarantine func(rrpeer.Quarantine)
	// TakeCrashes returns, once each, this daemon's crashes after which nobody has answered
	// the request. AddPeerCrash is called with each crash that another daemon told of.
	TakeCrashes  func() []rrpeer.CrashedRun
	AddPeerCrash func(rrpeer.CrashedRun)
	// TakeEvidence returns the outcomes of own requests since the last call, and
	// MergeEvidence is called with those of other daemons of the zone.
	TakeEvidence  func() []rrpeer.SearcherEvidence
	MergeEvidence func([]rrpeer.SearcherEvidence)
}

// Follower keeps a catalog up to date while Run runs.
type Follower struct {
	cfg   Config
	clock rrunit.Clock

	// ownFinding gets an element, unless it has one, when this daemon has found out something
	// that all daemons are to be told of at once.
	ownFinding chan struct{}

	// loggedCause is why the store is read, as last logged.
	loggedCause rrsource.Cause

	// mu guards the fields below and keeps updates in order.
	mu sync.Mutex
	// times are the waits with which changes are applied in time.
	times     rrfreshness.Times
	core      *rrsource.Selector
	presence  *rrpresence.Tracker
	expiry    *rrexpiry.Tracker
	tables    *rrcatalog.Tables
	searchers *rrcatalog.Searchers
	instances *rrcatalog.Instances
	// appliedTable is the routing table in use, and appliedName the name of its object. Its
	// number only increases.
	appliedTable *rrroute.Table
	appliedName  rrcatalog.TableName
	// changesCache has the changes that were sent to requesters since this daemon's
	// own sets last changed, by the requester's revisions.
	changesCache map[revisions]*rrpeer.FeedChanges
	// changed is closed and replaced with every change of the three sets or of
	// quarantines.
	changed chan struct{}
	// renewals counts how often stale data became fresh. The daemons that wait for changes are
	// told at once, as they are about to turn to the store.
	renewals int
	// graceTimer publishes a new catalog when the grace period of an expired entry ends.
	graceTimer *time.Timer
	// quarantines and crashes are those that this daemon passes on.
	quarantines notices[rrunit.Fingerprint]
	crashes     notices[rrpeer.CrashedRun]
	// crashesRelayedAt is when the daemons that wait for changes were last told of crashes
	// without a change.
	crashesRelayedAt rrunit.Instant
	// willRelayCrashes is set while a timer is about to tell them again.
	willRelayCrashes bool
	// verdicts are this daemon's own quarantines that are, or are to be, recorded in the
	// store; those of before its last start too.
	verdicts map[rrunit.Fingerprint]verdict
	// takeOverAt is when the record of quarantines is to be read again; zero is never.
	takeOverAt rrunit.Instant
	// era is the store's latest era that this daemon knows of; zero before the first.
	era rrcatalog.Era
	// registeredEra is the latest era in which this daemon registered, or was listed.
	registeredEra rrcatalog.Era
	// restored is closed and replaced each time the store was restored.
	restored chan struct{}
	// settlingSince is when this daemon started, or last learned of a restore of the store.
	settlingSince rrunit.Instant
	// published is what the last catalog said of this daemon's share of limits.
	published share
	// lastStoreFailure is when a call to the store last failed; zero is never.
	lastStoreFailure rrunit.Instant
}

// New returns a follower with an empty catalog.
func New(cfg Config) *Follower {
	clock := rrunit.SystemClock()
	times := rrfreshness.NewTimes(cfg.ApplyBound)
	f := &Follower{
		cfg:   cfg,
		clock: clock,
		times: times,
		core: rrsource.New(clock(), rrsource.Config{
			Self: cfg.Self, Seeds: cfg.Seeds, ColdStart: cfg.ColdStart, StaleAfter: times.StaleAfter, Stagger: times.Stagger,
		}),
		presence:     rrpresence.New(clock(), rrpresence.Config{Self: cfg.Self.ID, Window: cfg.LimitWindow, ColdStart: cfg.ColdStart}),
		expiry:       rrexpiry.New(),
		tables:       &rrcatalog.Tables{},
		searchers:    &rrcatalog.Searchers{},
		instances:    &rrcatalog.Instances{},
		changesCache: make(map[revisions]*rrpeer.FeedChanges),
		changed:      make(chan struct{}),
		quarantines:  newQuarantineNotices(),
		crashes:      newCrashNotices(),
		ownFinding:   make(chan struct{}, 1),
		verdicts:     make(map[rrunit.Fingerprint]verdict),

		restored:      make(chan struct{}),
		settlingSince: clock(),
	}
	f.graceTimer = time.AfterFunc(time.Hour, f.republish)
	return f
}

// SetSettings replaces the addresses to ask while no instance is known, and the time in which
// a change has to be applied.
func (f *Follower) SetSettings(seeds []netip.AddrPort, applyBound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetSeeds(seeds)
	f.times = rrfreshness.NewTimes(applyBound)
	f.core.SetTimes(f.times.StaleAfter, f.times.Stagger)
}

// currentTimes returns the waits in force.
func (f *Follower) currentTimes() rrfreshness.Times {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.times
}

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	defer f.graceTimer.Stop()
	group.Go(func() { f.sendEvidence(ctx) })
	group.Go(func() { f.tellReaders(ctx) })
	group.Go(func() { f.keepRegistered(ctx) })
	group.Go(func() { f.keepPresence(ctx) })
	group.Go(func() { f.readRecord(ctx) })
	group.Go(func() { f.recordVerdicts(ctx) })
	if f.cfg.ColdStart {
		group.Go(func() { f.register(ctx) })
		group.Go(func() { f.listInstances(ctx) })
	} else {
		f.setListing(true)
		group.Go(func() { f.rejoin(ctx) })
		group.Go(func() { f.listOnce(ctx) })
	}
	workers := newWorkerSet(ctx, &group)
	for {
		f.mu.Lock()
		plan := f.core.Plan(f.clock())
		f.republishShare()
		f.mu.Unlock()
		f.applyPlan(workers, plan)
		if !rrunit.Sleep(ctx, rrfreshness.PlanInterval) {
			return
		}
	}
}

// storeWorker is the name of the worker that reads the store.
const storeWorker = "store"

// applyPlan starts and stops workers as the plan demands.
func (f *Follower) applyPlan(workers *workerSet, plan rrsource.Plan) {
	if plan.Cause != f.loggedCause {
		f.loggedCause = plan.Cause
		f.cfg.Log.StateChange("source of knowledge", "store", plan.ReadStore, "cause", plan.Cause, "peers", len(plan.Sources))
	}
	wanted := make(map[string]func(context.Context))
	if plan.ReadStore {
		wanted[storeWorker] = f.readStore
	}
	for _, source := range plan.Sources {
		name := source.Address.String()
		if source.Backup {
			name += " second"
		}
		wanted[name] = func(ctx context.Context) { f.followPeer(ctx, source) }
	}
	workers.reconcile(wanted)
}

// republish publishes the catalog again after the grace period of an expired entry.
func (f *Follower) republish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
}

// publish passes the current catalog to Update. The caller holds mu.
func (f *Follower) publish() {
	now := f.clock()
	f.updateShare(now)
	if f.searchers.Revision() == 0 {
		// Without searchers a table cannot serve requests.
		return
	}
	searchers, next := f.expiry.Usable(now, f.searchers)
	if next > 0 {
		f.graceTimer.Reset(next.Sub(now))
	}
	f.cfg.Update(&rrcatalog.Catalog{
		Table: f.appliedTable, Searchers: searchers, Instances: f.liveInstances(),
		Sharers: f.published.sharers, IsHeldBack: f.published.isHeldBack,
	})
}

// liveInstances returns the instances that have not been removed. The caller holds mu.
func (f *Follower) liveInstances() []rrcatalog.Instance {
	var all []rrcatalog.Instance
	for _, instance := range f.instances.Live() {
		all = append(all, *instance)
	}
	return all
}

// takeTables takes the table with the greatest number into use. That of a lower number has a
// higher revision after the store was restored from a copy. It reports whether there is a
// new one. The caller holds mu.
func (f *Follower) takeTables(d *rrcatalog.Delta[rrcatalog.TableName, rrroute.Table]) bool {
	taken := false
	for name, e := range d.Entries {
		if e.Removed || e.Value == nil || f.appliedTable != nil && e.Value.Number <= f.appliedTable.Number {
			continue
		}
		f.appliedTable, f.appliedName, taken = e.Value, name, true
		f.cfg.Log.StateChange("routing table in force", "number", e.Value.Number, "revision", e.Revision, "routes", len(e.Value.Routes))
	}
	return taken
}

// applyChanges applies changes to the three sets and publishes the result. The caller
// holds mu.
func (f *Follower) applyChanges(changes *rrpeer.FeedChanges) {
	before := [3]rrcatalog.Revision{f.tables.Revision(), f.searchers.Revision(), f.instances.Revision()}
	hasTable := false
	if changes.Tables != nil {
		hasTable = f.takeTables(changes.Tables)
		f.tables = f.tables.With(*changes.Tables)
	}
	if changes.Searchers != nil {
		before := f.searchers
		f.searchers = f.searchers.With(*changes.Searchers)
		if before.Revision() > 0 && f.searchers.Revision().Era() > before.Revision().Era() {
			f.expiry.RecordRestore(f.clock(), before, f.searchers)
		}
	}
	if changes.Instances != nil {
		f.instances = f.instances.With(*changes.Instances)
	}
	after := [3]rrcatalog.Revision{f.tables.Revision(), f.searchers.Revision(), f.instances.Revision()}
	if before == after && !hasTable {
		return
	}
	if changes.Instances != nil {
		f.updateInstances()
	}
	for i := range after {
		if after[i].Era() > f.era {
			f.recordRestore(after[i].Era())
		}
	}
	f.notifyWaiters()
	if changes.HasEntries() {
		f.publish()
	}
}

// recordRestore records that the store names a later era. The caller holds mu.
func (f *Follower) recordRestore(era rrcatalog.Era) {
	if f.era > 0 {
		f.settlingSince = f.clock()
		close(f.restored)
		f.restored = make(chan struct{})
		f.cfg.Log.StateChange("store was restored", "era", era, "before", f.era)
	}
	f.era = era
}

// trackRenewal calls record, which may confirm the data, and tells the daemons that wait for
// changes if stale data became fresh. The caller holds mu.
func (f *Follower) trackRenewal(now rrunit.Instant, record func()) {
	_, known := f.core.DataAge(now)
	wasFresh := f.core.IsFresh(now)
	record()
	if known && !wasFresh && f.core.IsFresh(now) {
		f.renewals++
		f.notifyWaiters()
	}
}

// notifyWaiters wakes the requests that wait for a change. The caller holds mu.
func (f *Follower) notifyWaiters() {
	f.changesCache = make(map[revisions]*rrpeer.FeedChanges)
	close(f.changed)
	f.changed = make(chan struct{})
}
