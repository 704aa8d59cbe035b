// Package rrplaces runs a dispatcher for each service whose searchers are sent
// callers' requests as they are, and carries out its decisions. It knows nothing
// of routes or of how requests arrive.
package rrplaces

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Job is one request for one service.
type Job struct {
	Request     *rrforward.Request
	Rank        int
	Fingerprint rrunit.Fingerprint
	// Attempts is the most searchers that may run it.
	Attempts int
	// Target is when the answer is worth less; zero is never.
	Target rrunit.Instant
	// Lot decides who goes first where requests have to wait; from 0 to 1.
	Lot float64
	// Deadline is when the answer is of no more use.
	Deadline rrunit.Instant
}

// Result is the end of a job.
type Result struct {
	// Run says what is true of the run.
	Run rrpeer.RunState
	// Reason is empty exactly if a searcher answered.
	Reason rrquery.Reason
	Retry  rrunit.Duration
	// Response is the answer or, where there is none, the last failure that a
	// searcher answered with; nil without either.
	Response *rrforward.Response
	// Searcher gave the response.
	Searcher rrunit.SearcherID
	// Trace has the attempts that were started, in their order.
	Trace []Trace
}

// Trace is what is known of one attempt when its job ends.
type Trace struct {
	Searcher rrunit.SearcherID
	// At is when it was started, counted from the offer.
	At time.Duration
	// Took is how long it ran; less than zero while it is under way.
	Took    time.Duration
	Outcome rrupstream.Outcome
}

// String returns the attempt as searcher@start+time:outcome.
func (t Trace) String() string {
	end := "open"
	if t.Took >= 0 {
		end = "+" + t.Took.Round(time.Millisecond).String() + ":" + string(t.Outcome)
	}
	return fmt.Sprintf("%s@%s%s", t.Searcher, t.At.Round(time.Millisecond), end)
}

// Places holds the dispatchers of all services. It is safe for concurrent use.
type Places struct {
	ctx       context.Context
	clock     rrunit.Clock
	forwarder rrforward.Forwarder
	log       *rrlog.Log
	metrics   *rrmetrics.Traffic
	works     *rrestimate.ServiceTimes
	distances *rrestimate.RoundTrips
	site      atomic.Pointer[rrsettings.Site]
	workers   *workers

	catalog atomic.Pointer[rrcatalog.Catalog]

	// tell is told of the requests that were found to crash searchers.
	tell func(rrpeer.Quarantine)

	// mu guards places and quarantined.
	mu     sync.RWMutex
	places map[rrunit.ServiceName]*place
	// quarantined has the end of each quarantine that is known.
	quarantined map[rrunit.Fingerprint]rrunit.Instant
}

// Option changes how Places are built.
type Option func(*Places)

// WithQuarantine sets who is told of requests that crash searchers.
func WithQuarantine(tell func(rrpeer.Quarantine)) Option { return func(p *Places) { p.tell = tell } }

// New returns places that work until ctx ends.
func New(ctx context.Context, site *rrsettings.Site, forwarder rrforward.Forwarder, logger *rrlog.Log, metrics *rrmetrics.Traffic, opts ...Option) *Places {
	p := &Places{
		ctx:       ctx,
		workers:   newWorkers(ctx),
		clock:     rrunit.SystemClock(),
		forwarder: forwarder,
		log:       logger,
		metrics:   metrics,
		works:     rrestimate.NewServiceTimes(),
		distances: rrestimate.NewRoundTrips(),
		places:    make(map[rrunit.ServiceName]*place),
		tell:      func(rrpeer.Quarantine) {},

		quarantined: make(map[rrunit.Fingerprint]rrunit.Instant),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.site.Store(site)
	return p
}

// SetSite takes changed settings.
func (p *Places) SetSite(site *rrsettings.Site) {
	p.site.Store(site)
	if c := p.catalog.Load(); c != nil {
		p.Update(c)
	}
}

// Clock returns the clock of all deadlines.
func (p *Places) Clock() rrunit.Clock { return p.clock }

// Go runs f beside the caller; Wait waits for it.
func (p *Places) Go(f func()) { p.workers.run(f) }

// Wait returns when all attempts have ended, once the context of New has.
func (p *Places) Wait() { p.workers.wait() }

// Update takes what is known of the platform now.
func (p *Places) Update(c *rrcatalog.Catalog) {
	p.catalog.Store(c)
	if c.Table != nil {
		c.Table.Shards(func(name rrunit.ServiceName) { p.place(name) })
	}
	p.each(func(s *place) {
		s.update(c)
		s.openAll()
	})
}

// each calls f with the dispatcher of each service.
func (p *Places) each(f func(*place)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.places {
		f(s)
	}
}

// Abandoned is what is known of a job that was given up.
type Abandoned struct {
	// Trace has the attempts that were started, in their order.
	Trace []Trace
	// Budget is how many attempts beyond the first the service could start then.
	Budget float64
}

// CancelFunc gives up a job, so that no result comes for it any more. left says
// that the caller has left, which ends its attempts at once.
type CancelFunc func(left bool) Abandoned

// Offer starts a job; done is called once with its result, unless the job was
// cancelled before.
func (p *Places) Offer(service rrunit.ServiceName, j Job, done func(Result)) CancelFunc {
	s := p.place(service)
	if s == nil {
		done(Result{Run: rrpeer.RunNot, Reason: rrquery.ReasonNoSearcher})
		return func(bool) Abandoned { return Abandoned{} }
	}
	return s.offer(j, done)
}

// Possible counts the services of which any searcher may serve a new job.
func (p *Places) Possible(services []rrunit.ServiceName) int {
	n := 0
	for _, name := range services {
		if s := p.place(name); s != nil && s.isPossible() {
			n++
		}
	}
	return n
}

// place returns the dispatcher of the service, or nil if nothing is known yet.
func (p *Places) place(name rrunit.ServiceName) *place {
	p.mu.RLock()
	s := p.places[name]
	p.mu.RUnlock()
	if s != nil {
		return s
	}
	c := p.catalog.Load()
	if c == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.places[name]; s != nil {
		return s
	}
	s = newPlace(p, name, c)
	p.places[name] = s
	return s
}

// State returns the state of every dispatcher, for dumps.
func (p *Places) State() map[rrunit.ServiceName]rrdispatch.State {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[rrunit.ServiceName]rrdispatch.State, len(p.places))
	for name, s := range p.places {
		out[name] = s.state()
	}
	return out
}

// distancesInterval is how often the dispatchers take the measured distances.
const distancesInterval = 200 * time.Millisecond

// The network's usual round trips, until they were measured.
const (
	sameZone    = rrunit.Duration(500 * time.Microsecond)
	sameRegion  = rrunit.Duration(2 * time.Millisecond)
	otherRegion = rrunit.Duration(30 * time.Millisecond)
)

func (p *Places) distance(zone rrunit.Zone) rrunit.Duration {
	if d, ok := p.distances.RoundTrip(zone); ok {
		return rrunit.Duration(d)
	}
	site := p.site.Load()
	switch {
	case zone == site.Zone:
		return sameZone
	case site.Zones[zone] == site.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// connect returns how much longer an attempt in the zone takes on a new connection:
// another round trip until it was measured.
func (p *Places) connect(zone rrunit.Zone) rrunit.Duration {
	if d, ok := p.distances.ConnectTime(zone); ok {
		return rrunit.Duration(d)
	}
	return p.distance(zone)
}

// processID names one process of a searcher, since another that starts under the
// same id knows nothing of what the first was asked.
func processID(w *rrcatalog.Searcher) rrunit.SearcherID {
	return w.ID + "@" + rrunit.SearcherID(strconv.FormatInt(w.Born, 10))
}

// queueBound is the most requests of one rank that wait at one service.
const queueBound = 256

// unknownDaemons is how many daemons are taken to share the searchers while none
// is known.
const unknownDaemons = 32

// quarantineTime is how long a request that crashes searchers is refused.
const quarantineTime = rrunit.Duration(time.Minute)

// coreConfig returns what the dispatcher of a service has to know.
func (p *Places) coreConfig(name rrunit.ServiceName, c *rrcatalog.Catalog) rrdispatch.Config {
	bounds := &p.site.Load().Bounds
	daemons := len(c.Instances)
	if daemons == 0 {
		daemons = unknownDaemons
	}
	cfg := rrdispatch.Config{
		QueueLimit:         queueBound,
		ExtraShare:         bounds.Extra,
		ExtraWindow:        rrunit.Duration(bounds.Window),
		ExtraSlack:         float64(bounds.Slack) / float64(daemons),
		ChargeRefused:      true,
		ServiceTimes:       p.works,
		ReportStatus:       true,
		QuarantineDuration: quarantineTime,
		Seed:               rand.Uint64(),
	}
	ranks := 1
	if c.Table != nil {
		ranks = c.Table.Ranks()
	}
	for range ranks {
		cfg.Ranks = append(cfg.Ranks, rrdispatch.Rank{Floor: rrunit.Share(1) / rrunit.Share(2*ranks)})
	}
	for _, w := range c.Searchers[name] {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{
			ID:            processID(&w),
			Zone:          w.Zone,
			IsOtherRegion: !p.isNear(w.Zone),
			Slots:         w.Slots,
			RoundTrip:     p.distance(w.Zone),
			ConnectTime:   p.connect(w.Zone),
			WarmupLeft:    w.Cold,
		})
	}
	return cfg
}
