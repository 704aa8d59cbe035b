package rrshared

import (
	"math/rand/v2"
	"strconv"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func searcherID(shard, region int) rrunit.SearcherID {
	return rrunit.SearcherID(strconv.Itoa(shard) + "-" + strconv.Itoa(region))
}

// daemon runs the requests of its callers.
type daemon struct {
	sim *sim
	// index is the daemon's index among all.
	index        int
	region       int
	rng          *rand.Rand
	serviceTimes *rrestimate.ServiceTimes
	roundTrips   *rrestimate.RoundTrips
	shards       []*shard
}

// shard is a daemon's dispatcher of one shard.
type shard struct {
	daemon  *daemon
	core    *rrdispatch.Shard
	index   int
	lastJob rrdispatch.JobID
	jobs    map[rrdispatch.JobID]*job
	// attempts holds the attempts in progress.
	attempts map[rrdispatch.AttemptID]*attempt
	// connections holds the idle connections to each searcher.
	connections map[rrunit.SearcherID]*idleConnections
	// nextTick is the instant of the next scheduled tick; zero means none.
	nextTick rrunit.Instant
	// roundTripsSetAt is when the core's round trips were last updated.
	roundTripsSetAt rrunit.Instant
}

type job struct {
	class    int
	attempts int
	done     func(succeeded bool)
}

type attempt struct {
	searcher  *searcher
	execution *execution
	ended     bool
	// newConnection is set if a connection was opened for the attempt.
	newConnection bool
}

func newDaemon(s *sim, region int) *daemon {
	d := &daemon{
		sim:          s,
		index:        len(s.daemons),
		region:       region,
		rng:          rand.New(rand.NewPCG(s.Seed, uint64(5000+len(s.daemons)))),
		serviceTimes: rrestimate.NewServiceTimes(),
		roundTrips:   rrestimate.NewRoundTrips(),
	}
	for i := range s.Shape.Shards {
		sh := &shard{
			daemon: d, index: i, core: rrdispatch.New(d.config(i)),
			jobs: make(map[rrdispatch.JobID]*job), attempts: make(map[rrdispatch.AttemptID]*attempt),
		}
		sh.connections = sh.initialConnections(d.sim.Shape)
		d.shards = append(d.shards, sh)
	}
	return d
}

// assumedCrossRegionRoundTrip is the round trip to another region until the daemon has
// measured it.
const assumedCrossRegionRoundTrip = rrunit.Duration(30 * time.Millisecond)

func (d *daemon) config(index int) rrdispatch.Config {
	s := d.sim
	daemons := s.Shape.Regions * s.Shape.DaemonsPerRegion
	cfg := rrdispatch.Config{
		QueueLimit: 256, ExtraShare: s.Shape.ExtraShare, ExtraWindow: extraWindowSeconds * rrunit.Duration(time.Second), ExtraSlack: float64(s.Shape.ExtraSlack) / float64(daemons), ChargeRefused: true,
		ServiceTimes: d.serviceTimes, QuarantineDuration: rrunit.Duration(time.Minute), Seed: s.Seed + uint64(index),
		Ranks: []rrdispatch.Rank{{Floor: 1.0 / 6}, {Floor: 1.0 / 6}, {Floor: 1.0 / 6}}, QuotaPhase: rrbudget.NewQuotaPhase(d.index, daemons, 0, 0),
	}
	for region := range s.Shape.Regions {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{
			ID: searcherID(index, region), Zone: zone(region), Slots: s.Shape.Slots, IsOtherRegion: region != d.region, LimitShare: 1 / rrunit.Share(daemons),
			RoundTrip: d.zoneRoundTrip(zone(region)), ConnectTime: d.zoneConnectTime(zone(region)),
		})
	}
	return cfg
}

// A daemon sends its observations of searchers to at most maxEvidencePeers daemons of
// its region, every evidenceInterval.
const (
	maxEvidencePeers = 12
	evidenceInterval = 250 * time.Millisecond
)

// exchangeEvidence periodically sends observations from the daemon's own requests to
// its evidence peers.
func (d *daemon) exchangeEvidence(self int) {
	d.sim.loop.After(evidenceInterval, func() {
		now := d.sim.loop.Now()
		for index, s := range d.shards {
			s.core.TakeObservations(func(id rrunit.SearcherID, o rrestimate.Observation) {
				d.sim.sendEvidence(self, index, func(core *rrdispatch.Shard) { core.MergeObservations(d.sim.loop.Now(), id, o) })
			})
			s.core.TakeLimits(func(id rrunit.SearcherID, r rrdispatch.LimitReport) {
				d.sim.sendEvidence(self, index, func(core *rrdispatch.Shard) { core.MergeLimit(d.sim.loop.Now(), id, r) })
			})
		}
		if now < rrunit.Instant(d.sim.Duration) {
			d.exchangeEvidence(self)
		}
	})
}

// sendEvidence merges a daemon's evidence on a shard at its evidence peers, a round trip
// later.
func (s *sim) sendEvidence(sender, index int, merge func(*rrdispatch.Shard)) {
	s.loop.After(s.Shape.RoundTrip, func() {
		n := s.Shape.DaemonsPerRegion
		first := sender / n * n
		for i := 1; i <= min(maxEvidencePeers, n-1); i++ {
			merge(s.daemons[first+(sender-first+i)%n].shards[index].core)
		}
	})
}

func zone(region int) rrunit.Zone { return rrunit.Zone(strconv.Itoa(region)) }

func (d *daemon) zoneRoundTrip(z rrunit.Zone) rrunit.Duration {
	if measured, ok := d.roundTrips.RoundTrip(z); ok {
		return rrunit.Duration(measured)
	}
	if z == zone(d.region) {
		return rrunit.Duration(d.sim.Shape.RoundTrip)
	}
	return assumedCrossRegionRoundTrip
}

// zoneConnectTime returns the additional time of an attempt on a new connection, which
// is assumed to be one round trip until measured.
func (d *daemon) zoneConnectTime(z rrunit.Zone) rrunit.Duration {
	if measured, ok := d.roundTrips.ConnectTime(z); ok {
		return rrunit.Duration(measured)
	}
	return d.zoneRoundTrip(z)
}

// Margins kept free before the target and the deadline, as in the daemons. The margin
// of the target is the target divided by targetMarginDivisor.
const (
	targetMarginDivisor = 8
	deadlineMargin      = 10 * time.Millisecond
)

// request is one request of a caller.
type request struct {
	daemon  *daemon
	class   int
	arrived rrunit.Instant
	core    *rrgather.Gather
	cancels []func()
	done    bool
}

func (d *daemon) serve(class int) {
	c := &d.sim.Shape.Classes[class]
	now := d.sim.loop.Now()
	needed := 1
	for float64(needed) < c.MinCoverage*float64(d.sim.Shape.Shards) {
		needed++
	}
	target := now.Add(c.LatencyTarget - c.LatencyTarget/targetMarginDivisor)
	r := &request{daemon: d, class: class, arrived: now, core: rrgather.New(rrgather.Config{
		Shards: d.sim.Shape.Shards, MinShards: needed, Target: target, Deadline: now.Add(c.Deadline),
	})}
	priority := d.rng.Float64()
	if d.admitting(c.Rank) < needed {
		r.done = true
		d.sim.recordResult(class, now, 0)
		return
	}
	for _, s := range d.shards {
		r.cancels = append(r.cancels, s.offer(class, priority, target, now.Add(c.Deadline-deadlineMargin), func(succeeded bool) {
			r.core.AddResult(succeeded)
			r.decide()
		}))
	}
	r.scheduleDecision()
}

// admitting counts the shards that admit a request of the rank.
func (d *daemon) admitting(rank int) int {
	n := 0
	for _, s := range d.shards {
		if reason, _ := s.core.Admits(d.sim.loop.Now(), rank); reason == rrquery.ReasonNone {
			n++
		}
	}
	return n
}

// scheduleDecision schedules a new decision for when the passing of time may change it.
func (r *request) scheduleDecision() {
	next := r.core.NextDecision(r.daemon.sim.loop.Now())
	r.daemon.sim.loop.At(next, func() {
		r.decide()
		if !r.done {
			r.scheduleDecision()
		}
	})
}

func (r *request) decide() {
	if r.done {
		return
	}
	decision := r.core.Decide(r.daemon.sim.loop.Now())
	if decision == rrgather.DecisionWait {
		return
	}
	r.done = true
	for _, cancel := range r.cancels {
		cancel()
	}
	succeeded := 0
	if decision == rrgather.DecisionAnswer {
		succeeded = r.core.Succeeded()
	}
	r.daemon.sim.recordResult(r.class, r.arrived, succeeded)
}

func (s *shard) offer(class int, priority float64, target, deadline rrunit.Instant, done func(bool)) func() {
	c := &s.daemon.sim.Shape.Classes[class]
	s.lastJob++
	id := s.lastJob
	s.jobs[id] = &job{class: class, done: done}
	now := s.daemon.sim.loop.Now()
	s.daemon.sim.arrivals[s.index][s.daemon.sim.second()].requests++
	if s.daemon.sim.NoTarget {
		target = 0
	}
	s.core.SetIdleConnections(s.idle)
	s.perform(s.core.Offer(now, rrdispatch.Job{
		ID: id, Rank: c.Rank, Fingerprint: rrunit.Fingerprint(s.daemon.rng.Uint64()), Idempotent: true, MaxAttempts: 2,
		Target: target, RandomPriority: priority, Deadline: deadline,
	}))
	return func() {
		if s.jobs[id] != nil {
			delete(s.jobs, id)
			s.core.SetIdleConnections(s.idle)
			s.perform(s.core.Cancel(s.daemon.sim.loop.Now(), id))
		}
	}
}

func (s *shard) perform(actions []rrdispatch.Action) {
	for _, a := range actions {
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.send(a)
		case rrdispatch.ActionCancel:
			s.cancel(a)
		case rrdispatch.ActionReply:
			if j := s.jobs[a.Job]; j != nil {
				delete(s.jobs, a.Job)
				j.done(a.Reason == rrquery.ReasonNone)
			}
		}
	}
	s.schedule()
}

func (s *shard) schedule() {
	next, ok := s.core.Next()
	if !ok || s.nextTick > s.daemon.sim.loop.Now() && s.nextTick <= next {
		return
	}
	s.nextTick = max(next, s.daemon.sim.loop.Now()+1)
	at := s.nextTick
	s.daemon.sim.loop.At(at, func() {
		if s.nextTick == at {
			s.nextTick = 0
			s.core.SetIdleConnections(s.idle)
			s.perform(s.core.Tick(at))
		}
	})
}

func (s *shard) send(a rrdispatch.Action) {
	sim := s.daemon.sim
	var w *searcher
	for _, c := range sim.searchers[s.index] {
		if c.id == a.Searcher {
			w = c
		}
	}
	j := s.jobs[a.Job]
	sim.attempts++
	if j.attempts++; j.attempts > 1 {
		sim.extra++
		if n := sim.second(); n < len(sim.arrivals[s.index]) {
			sim.arrivals[s.index][n].extra++
		}
	}
	roundTrip := s.daemon.roundTrip(w.region)
	if w.region != s.daemon.region {
		sim.crossRegion++
	}
	sent := sim.loop.Now()
	at := &attempt{searcher: w, newConnection: !s.connections[w.id].take(sent)}
	delay := roundTrip / 2
	if at.newConnection {
		delay += roundTrip + sim.Shape.HandshakeTime
		sim.newConnections++
	}
	s.attempts[a.Attempt] = at
	at.execution = &execution{class: j.class, sender: s.daemon, meanTime: sim.Shape.Classes[j.class].ServiceTime, reply: func(o rrupstream.Outcome, r report) {
		sim.loop.After(roundTrip/2, func() { s.finish(a.Attempt, sent, o, r) })
	}}
	sim.loop.After(delay, func() {
		if !at.execution.ended {
			w.receive(at.execution)
		}
	})
}

func (s *shard) finish(id rrdispatch.AttemptID, sent rrunit.Instant, o rrupstream.Outcome, r report) {
	at := s.attempts[id]
	if at == nil || at.ended {
		return
	}
	at.ended = true
	delete(s.attempts, id)
	now := s.daemon.sim.loop.Now()
	if o == rrupstream.OutcomeAnswered {
		s.daemon.roundTrips.Record(now, zone(at.searcher.region), now.Sub(sent), at.newConnection)
	}
	if now.Sub(s.roundTripsSetAt) >= roundTripsInterval {
		s.roundTripsSetAt = now
		s.core.SetRoundTrips(func(z rrunit.Zone) (rrunit.Duration, rrunit.Duration) {
			return s.daemon.zoneRoundTrip(z), s.daemon.zoneConnectTime(z)
		})
	}
	s.release(now, at.searcher, o)
	s.core.SetIdleConnections(s.idle)
	s.core.RecordConnection(id, at.newConnection)
	if o == rrupstream.OutcomeAnswered || o == rrupstream.OutcomeShed {
		s.core.RecordAnswerLoad(now, at.searcher.id, r.load)
		s.core.RecordLimit(now, at.searcher.id, r.limit)
		at.searcher.limit.recordTold(now, s.daemon, r.limit)
	}
	s.perform(s.core.Finish(now, id, o))
}

// roundTripsInterval is the minimum time between updates of the core's round trips;
// cancelDelay is the delay of a delayed cancel.
const (
	roundTripsInterval = 200 * time.Millisecond
	cancelDelay        = 400 * time.Millisecond
)

// cancel cancels an attempt, at once or after cancelDelay.
func (s *shard) cancel(a rrdispatch.Action) {
	at := s.attempts[a.Attempt]
	if at == nil {
		return
	}
	sim := s.daemon.sim
	end := func() {
		if at.ended {
			return
		}
		sim.loop.After(s.daemon.roundTrip(at.searcher.region)/2, func() { at.searcher.cancel(at.execution) })
		s.finish(a.Attempt, 0, rrupstream.OutcomeCancelled, report{})
	}
	if a.DelayCancel {
		sim.loop.After(cancelDelay, end)
		return
	}
	// Finishing the attempt here would re-enter the core.
	sim.loop.After(0, end)
}
