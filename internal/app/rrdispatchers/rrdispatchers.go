// Package rrdispatchers runs one dispatcher for each service that callers' requests are
// forwarded to unchanged, and carries out the dispatchers' decisions. It does not depend
// on routes or on how requests arrive.
package rrdispatchers

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
	"rhubarbreel.example/rhubarbreel/internal/domain/rrlatest"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Job is one request for one service.
type Job struct {
	Request     *rrforward.Request
	Rank        int
	Fingerprint rrunit.Fingerprint
	// MaxAttempts is the maximum number of searchers that may run it.
	MaxAttempts int
	// Target is when the answer becomes less useful; zero means never.
	Target rrunit.Instant
	// RandomPriority, from 0 to 1, orders queued requests. It is the same at all
	// services of a request; a higher one goes first.
	RandomPriority float64
	// Deadline is when the answer becomes useless.
	Deadline rrunit.Instant
}

// Result is the final result of a job.
type Result struct {
	// Run is whether the request ran.
	Run rrpeer.RunState
	// Reason is empty exactly if a searcher answered.
	Reason     rrquery.Reason
	RetryAfter rrunit.Duration
	// Response is the answer or, without one, the last error response of a
	// searcher; nil if there is neither.
	Response *rrforward.Response
	// Searcher is the one that sent the response.
	Searcher rrunit.SearcherID
	// Trace has the attempts that were started, in order.
	Trace []AttemptTrace
}

// AttemptTrace is the state of one attempt when its job ends.
type AttemptTrace struct {
	Searcher rrunit.SearcherID
	// Start is the time from the call of Offer to the start of the attempt.
	Start time.Duration
	// Took is how long the attempt ran; negative while it is in flight.
	Took    time.Duration
	Outcome rrupstream.Outcome
}

// String returns the attempt as searcher@start+time:outcome. While it is in flight,
// "open" follows the start instead.
func (t AttemptTrace) String() string {
	end := "open"
	if t.Took >= 0 {
		end = "+" + t.Took.Round(time.Millisecond).String() + ":" + string(t.Outcome)
	}
	return fmt.Sprintf("%s@%s%s", t.Searcher, t.Start.Round(time.Millisecond), end)
}

// Dispatchers holds the dispatchers of all services. It is safe for concurrent use.
type Dispatchers struct {
	ctx          context.Context
	clock        rrunit.Clock
	forwarder    rrforward.Forwarder
	log          *rrlog.Log
	metrics      *rrmetrics.GatewayMetrics
	serviceTimes *rrestimate.ServiceTimes
	roundTrips   *rrestimate.RoundTrips
	// suspects has the requests that may crash searchers, at all services, as one request
	// can go to many.
	suspects *rrquarantine.Tracker
	settings atomic.Pointer[rrsettings.GatewaySettings]
	pool     *goroutinePool

	// catalog is applied under its lock, which is taken before mu, and applied again with
	// changed settings.
	catalog *rrlatest.Value[rrcatalog.Catalog]

	// onQuarantine is called with each quarantine that this daemon decided on.
	onQuarantine func(rrpeer.Quarantine)
	// onUnanswered is called, under a dispatcher's lock, when a request has ended without an
	// answer after crashes that other daemons were not told of.
	onUnanswered func()

	// mu guards dispatchers and quarantined.
	mu          sync.RWMutex
	dispatchers map[rrunit.ServiceName]*dispatcher
	// quarantined has the end of each known quarantine.
	quarantined map[rrunit.Fingerprint]rrunit.Instant
}

// Option configures Dispatchers.
type Option func(*Dispatchers)

// WithQuarantine sets the function that is called with each new quarantine of a
// request that crashes searchers.
func WithQuarantine(notify func(rrpeer.Quarantine)) Option {
	return func(p *Dispatchers) { p.onQuarantine = notify }
}

// WithUnanswered sets the function that is called when TakeCrashes has crashes to tell other
// daemons of at once. It must not block.
func WithUnanswered(notify func()) Option {
	return func(p *Dispatchers) { p.onUnanswered = notify }
}

// New returns an empty set of dispatchers, which work until ctx ends.
func New(ctx context.Context, settings *rrsettings.GatewaySettings, forwarder rrforward.Forwarder, logger *rrlog.Log, metrics *rrmetrics.GatewayMetrics, opts ...Option) *Dispatchers {
	p := &Dispatchers{
		ctx:          ctx,
		clock:        rrunit.SystemClock(),
		forwarder:    forwarder,
		log:          logger,
		metrics:      metrics,
		serviceTimes: rrestimate.NewServiceTimes(),
		roundTrips:   rrestimate.NewRoundTrips(),
		suspects:     rrquarantine.New(quarantineTime),
		dispatchers:  make(map[rrunit.ServiceName]*dispatcher),
		onQuarantine: func(rrpeer.Quarantine) {},
		onUnanswered: func() {},

		quarantined: make(map[rrunit.Fingerprint]rrunit.Instant),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.catalog = rrlatest.New(p.applyCatalog)
	p.pool = newGoroutinePool(ctx, p.recordError)
	p.settings.Store(settings)
	return p
}

// SetSettings applies changed settings.
func (p *Dispatchers) SetSettings(settings *rrsettings.GatewaySettings) {
	p.settings.Store(settings)
	p.catalog.Reapply()
}

// Clock returns the clock that all deadlines refer to.
func (p *Dispatchers) Clock() rrunit.Clock { return p.clock }

// Go runs f in another goroutine; Wait waits for it.
func (p *Dispatchers) Go(f func()) { p.pool.run(f) }

// Wait returns once the context passed to New has ended and all attempts are finished.
func (p *Dispatchers) Wait() { p.pool.wait() }

// Update applies a new catalog of the platform.
func (p *Dispatchers) Update(c *rrcatalog.Catalog) { p.catalog.Set(c) }

func (p *Dispatchers) applyCatalog(c *rrcatalog.Catalog) {
	if c.Table != nil {
		c.Table.ForEachShard(func(name rrunit.ServiceName) { p.dispatcher(name) })
	}
	p.forEach(func(d *dispatcher) {
		d.update(c)
		d.preconnectAll()
	})
}

// forEach calls f with each dispatcher.
func (p *Dispatchers) forEach(f func(*dispatcher)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, d := range p.dispatchers {
		f(d)
	}
}

// Cancelled is the state of a job when it was cancelled.
type Cancelled struct {
	// HasEnded is set if the job ended before it could be cancelled: its result was sent
	// or is about to be, and the other fields are empty.
	HasEnded bool
	// Trace has the attempts that were started, in order.
	Trace []AttemptTrace
	// Budget is how many extra attempts the service's budget still allowed.
	Budget float64
}

// CancelFunc cancels a job, after which it gets no result unless it had ended before. If
// the caller has left, its attempts end at once.
type CancelFunc func(callerLeft bool) Cancelled

// Offer starts a job; done is called once with its result, unless the job was
// cancelled before.
func (p *Dispatchers) Offer(service rrunit.ServiceName, j Job, done func(Result)) CancelFunc {
	d := p.dispatcher(service)
	if d == nil {
		done(Result{Run: rrpeer.RunNever, Reason: rrquery.ReasonNoSearcher})
		return func(bool) Cancelled { return Cancelled{HasEnded: true} }
	}
	return d.offer(j, done)
}

// Refusal is why a service does not admit a request now.
type Refusal struct {
	Service    rrunit.ServiceName
	Reason     rrquery.Reason
	RetryAfter rrunit.Duration
}

// Refusals returns the refusals of the services that do not admit a request of the rank.
func (p *Dispatchers) Refusals(services []rrunit.ServiceName, rank int) []Refusal {
	var out []Refusal
	for _, name := range services {
		d := p.dispatcher(name)
		if d == nil {
			out = append(out, Refusal{Service: name, Reason: rrquery.ReasonNoSearcher})
			continue
		}
		if reason, retryAfter := d.admits(rank); reason != rrquery.ReasonNone {
			out = append(out, Refusal{Service: name, Reason: reason, RetryAfter: rrunit.Duration(retryAfter)})
		}
	}
	return out
}

// dispatcher returns the dispatcher of the service, creating it if needed, or nil
// before the first catalog.
func (p *Dispatchers) dispatcher(name rrunit.ServiceName) *dispatcher {
	p.mu.RLock()
	d := p.dispatchers[name]
	p.mu.RUnlock()
	if d != nil {
		return d
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.dispatchers[name]; d != nil {
		return d
	}
	// Under mu, so that the new dispatcher has this catalog or gets the one being applied.
	c := p.catalog.Load()
	if c == nil {
		return nil
	}
	d = newDispatcher(p, name, c)
	p.dispatchers[name] = d
	return d
}

// State returns the state of every dispatcher, for dumps.
func (p *Dispatchers) State() map[rrunit.ServiceName]rrdispatch.State {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[rrunit.ServiceName]rrdispatch.State, len(p.dispatchers))
	for name, d := range p.dispatchers {
		out[name] = d.state()
	}
	return out
}

// roundTripsInterval is how often the dispatchers update their round-trip times.
const roundTripsInterval = 200 * time.Millisecond

// Assumed round-trip times until one is measured.
const (
	sameZoneRoundTrip    = rrunit.Duration(500 * time.Microsecond)
	sameRegionRoundTrip  = rrunit.Duration(2 * time.Millisecond)
	otherRegionRoundTrip = rrunit.Duration(30 * time.Millisecond)
)

// roundTrip returns the round-trip time to the zone.
func (p *Dispatchers) roundTrip(zone rrunit.Zone) rrunit.Duration {
	if d, ok := p.roundTrips.RoundTrip(zone); ok {
		return rrunit.Duration(d)
	}
	settings := p.settings.Load()
	switch {
	case zone == settings.Zone:
		return sameZoneRoundTrip
	case settings.Zones[zone] == settings.Region:
		return sameRegionRoundTrip
	default:
		return otherRegionRoundTrip
	}
}

// connectTime returns how much longer an attempt in the zone takes on a new
// connection: one more round trip until it is measured.
func (p *Dispatchers) connectTime(zone rrunit.Zone) rrunit.Duration {
	if d, ok := p.roundTrips.ConnectTime(zone); ok {
		return rrunit.Duration(d)
	}
	return p.roundTrip(zone)
}

// processID identifies one process of a searcher, since another process that starts
// under the same id has no state of the requests that the first received.
func processID(searcher *rrcatalog.Searcher) rrunit.SearcherID {
	return searcher.ID + "@" + rrunit.SearcherID(strconv.FormatInt(searcher.Incarnation, 10))
}

// maxQueuedPerRank is the maximum number of queued requests of one rank at one service.
const maxQueuedPerRank = 256

// assumedDaemons is how many daemons are assumed to share the searchers while that is
// unknown.
const assumedDaemons = 32

// countDaemons returns how many daemons share the searchers.
func countDaemons(c *rrcatalog.Catalog) int {
	if c.Sharers == 0 {
		return assumedDaemons
	}
	return c.Sharers
}

// quotaPhase returns the phase of this daemon's shares of searchers' request limits, by
// its place in the order of all daemons' ids.
func (p *Dispatchers) quotaPhase(c *rrcatalog.Catalog) rrbudget.QuotaPhase {
	index, self := 0, p.settings.Load().Instance
	for i := range c.Instances {
		if c.Instances[i].ID < self {
			index++
		}
	}
	return rrbudget.NewQuotaPhase(index, countDaemons(c), p.clock(), time.Duration(time.Now().UnixNano()))
}

// quarantineTime is how long a request that crashes searchers is refused.
const quarantineTime = rrunit.Duration(time.Minute)

// coreConfig returns the configuration of a service's decision core.
func (p *Dispatchers) coreConfig(name rrunit.ServiceName, c *rrcatalog.Catalog) rrdispatch.Config {
	bounds := &p.settings.Load().Bounds
	daemons := countDaemons(c)
	cfg := rrdispatch.Config{
		Service:            name,
		Suspects:           p.suspects,
		QueueLimit:         maxQueuedPerRank,
		ExtraShare:         bounds.ExtraShare,
		ExtraWindow:        rrunit.Duration(bounds.ExtraWindow),
		ExtraSlack:         float64(bounds.ExtraSlack) / float64(daemons),
		IsHeldBack:         c.IsHeldBack,
		ChargeRefused:      true,
		ServiceTimes:       p.serviceTimes,
		ReportStatus:       true,
		QuarantineDuration: quarantineTime,
		QuotaPhase:         p.quotaPhase(c),
		Seed:               rand.Uint64(),
	}
	ranks := 1
	if c.Table != nil {
		ranks = c.Table.RankCount()
	}
	for range ranks {
		cfg.Ranks = append(cfg.Ranks, rrdispatch.Rank{Floor: rrunit.Share(1) / rrunit.Share(2*ranks)})
	}
	for _, searcher := range c.Searchers[name] {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{
			ID:            processID(&searcher),
			Zone:          searcher.Zone,
			IsOtherRegion: !p.isSameRegion(searcher.Zone),
			Slots:         searcher.Slots,
			RoundTrip:     p.roundTrip(searcher.Zone),
			ConnectTime:   p.connectTime(searcher.Zone),
			LimitShare:    1 / rrunit.Share(daemons),
			WarmupLeft:    searcher.WarmupLeft,
		})
	}
	return cfg
}
