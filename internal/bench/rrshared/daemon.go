package rrshared

import (
	"math/rand/v2"
	"strconv"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func searcherID(shard, region int) rrunit.SearcherID {
	return rrunit.SearcherID(strconv.Itoa(shard) + "-" + strconv.Itoa(region))
}

// daemon places the requests of its callers.
type daemon struct {
	sim       *sim
	region    int
	rng       *rand.Rand
	works     *rrestimate.ServiceTimes
	distances *rrestimate.RoundTrips
	shards    []*shard
}

// shard is a daemon's dispatcher of one shard.
type shard struct {
	daemon *daemon
	core   *rrdispatch.Shard
	place  int
	next   rrdispatch.JobID
	jobs   map[rrdispatch.JobID]*job
	// attempts has what is under way.
	attempts map[rrdispatch.AttemptID]*attempt
	// links has the connections to each searcher.
	links map[rrunit.SearcherID]*links
	// wake is when the next tick is planned.
	wake rrunit.Instant
	// measured is when the core last took the distances.
	measured rrunit.Instant
}

type job struct {
	class int
	sent  int
	done  func(in bool)
}

type attempt struct {
	searcher *searcher
	work     *work
	ended    bool
	// opened says that a connection was opened for it.
	opened bool
}

func newDaemon(s *sim, region int) *daemon {
	d := &daemon{
		sim:       s,
		region:    region,
		rng:       rand.New(rand.NewPCG(s.Seed, uint64(5000+len(s.daemons)))),
		works:     rrestimate.NewServiceTimes(),
		distances: rrestimate.NewRoundTrips(),
	}
	for i := range s.Shape.Shards {
		sh := &shard{
			daemon: d, place: i, core: rrdispatch.New(d.config(i)),
			jobs: make(map[rrdispatch.JobID]*job), attempts: make(map[rrdispatch.AttemptID]*attempt),
		}
		sh.links = sh.newLinks(d.sim.Shape)
		d.shards = append(d.shards, sh)
	}
	return d
}

// firstFar is the round trip to another region that a daemon assumes until it has
// measured it.
const firstFar = rrunit.Duration(30 * time.Millisecond)

func (d *daemon) config(place int) rrdispatch.Config {
	s := d.sim
	daemons := s.Shape.Regions * s.Shape.Daemons
	cfg := rrdispatch.Config{
		QueueLimit: 256, ExtraShare: s.Shape.Extra, ExtraWindow: budgetSeconds * rrunit.Duration(time.Second), ExtraSlack: float64(s.Shape.Slack) / float64(daemons), ChargeRefused: true,
		ServiceTimes: d.works, QuarantineDuration: rrunit.Duration(time.Minute), Seed: s.Seed + uint64(place),
		Ranks: []rrdispatch.Rank{{Floor: 1.0 / 6}, {Floor: 1.0 / 6}, {Floor: 1.0 / 6}},
	}
	for region := range s.Shape.Regions {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{
			ID: searcherID(place, region), Zone: zone(region), Slots: s.Shape.Slots, IsOtherRegion: region != d.region,
			RoundTrip: d.distance(zone(region)), ConnectTime: d.connect(zone(region)),
		})
	}
	return cfg
}

// partners bounds how many daemons of its region a daemon tells what it met, and
// tellInterval is how often.
const (
	partners     = 12
	tellInterval = 250 * time.Millisecond
)

// tell tells the others of the region what own requests met, again and again.
func (d *daemon) tell(self int) {
	d.sim.loop.After(tellInterval, func() {
		now := d.sim.loop.Now()
		for place, s := range d.shards {
			s.core.TakeObservations(func(id rrunit.SearcherID, o rrestimate.Observation) {
				d.sim.loop.After(d.sim.Shape.Near, func() { d.sim.hear(self, place, id, o) })
			})
		}
		if now < rrunit.Instant(d.sim.Length) {
			d.tell(self)
		}
	})
}

// hear has the partners of the daemon hear what it met.
func (s *sim) hear(teller, place int, id rrunit.SearcherID, o rrestimate.Observation) {
	n := s.Shape.Daemons
	first := teller / n * n
	for i := 1; i <= min(partners, n-1); i++ {
		s.daemons[first+(teller-first+i)%n].shards[place].core.MergeObservations(s.loop.Now(), id, o)
	}
}

func zone(region int) rrunit.Zone { return rrunit.Zone(strconv.Itoa(region)) }

func (d *daemon) distance(z rrunit.Zone) rrunit.Duration {
	if measured, ok := d.distances.RoundTrip(z); ok {
		return rrunit.Duration(measured)
	}
	if z == zone(d.region) {
		return rrunit.Duration(d.sim.Shape.Near)
	}
	return firstFar
}

// connect returns how much longer an attempt takes on a new connection: another round
// trip until it was measured.
func (d *daemon) connect(z rrunit.Zone) rrunit.Duration {
	if measured, ok := d.distances.ConnectTime(z); ok {
		return rrunit.Duration(measured)
	}
	return d.distance(z)
}

// targetMargin and deadlineMargin are kept free as the daemons do.
const (
	targetMargin   = 8
	deadlineMargin = 10 * time.Millisecond
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
	for float64(needed) < c.Coverage*float64(d.sim.Shape.Shards) {
		needed++
	}
	target := now.Add(c.Target - c.Target/targetMargin)
	r := &request{daemon: d, class: class, arrived: now, core: rrgather.New(rrgather.Config{
		Shards: d.sim.Shape.Shards, MinShards: needed, Target: target, Deadline: now.Add(c.Deadline),
	})}
	lot := d.rng.Float64()
	for _, s := range d.shards {
		r.cancels = append(r.cancels, s.offer(class, lot, target, now.Add(c.Deadline-deadlineMargin), func(in bool) {
			r.core.AddResult(in)
			r.decide()
		}))
	}
	r.wait()
}

// wait decides again when time alone may change the verdict.
func (r *request) wait() {
	next := r.core.NextDecision(r.daemon.sim.loop.Now())
	r.daemon.sim.loop.At(next, func() {
		r.decide()
		if !r.done {
			r.wait()
		}
	})
}

func (r *request) decide() {
	if r.done {
		return
	}
	v := r.core.Decide(r.daemon.sim.loop.Now())
	if v == rrgather.DecisionWait {
		return
	}
	r.done = true
	for _, cancel := range r.cancels {
		cancel()
	}
	in := 0
	if v == rrgather.DecisionAnswer {
		in = r.core.Succeeded()
	}
	r.daemon.sim.settle(r.class, r.arrived, in)
}

func (s *shard) offer(class int, lot float64, target, deadline rrunit.Instant, done func(bool)) func() {
	c := &s.daemon.sim.Shape.Classes[class]
	s.next++
	id := s.next
	s.jobs[id] = &job{class: class, done: done}
	now := s.daemon.sim.loop.Now()
	s.daemon.sim.arrivals[s.place][s.daemon.sim.second()].requests++
	if s.daemon.sim.NoTarget {
		target = 0
	}
	s.core.SetIdleConnections(s.idle)
	s.perform(s.core.Offer(now, rrdispatch.Job{
		ID: id, Rank: c.Rank, Fingerprint: rrunit.Fingerprint(s.daemon.rng.Uint64()), Idempotent: true, MaxAttempts: 2,
		Target: target, RandomPriority: lot, Deadline: deadline,
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
	if !ok || s.wake > s.daemon.sim.loop.Now() && s.wake <= next {
		return
	}
	s.wake = max(next, s.daemon.sim.loop.Now()+1)
	at := s.wake
	s.daemon.sim.loop.At(at, func() {
		if s.wake == at {
			s.wake = 0
			s.core.SetIdleConnections(s.idle)
			s.perform(s.core.Tick(at))
		}
	})
}

func (s *shard) send(a rrdispatch.Action) {
	sim := s.daemon.sim
	var w *searcher
	for _, c := range sim.searchers[s.place] {
		if c.id == a.Searcher {
			w = c
		}
	}
	j := s.jobs[a.Job]
	sim.first++
	if j.sent++; j.sent > 1 {
		sim.extra++
		if n := sim.second(); n < len(sim.arrivals[s.place]) {
			sim.arrivals[s.place][n].extra++
		}
	}
	trip := s.daemon.trip(w.region)
	if w.region != s.daemon.region {
		sim.far++
	}
	sent := sim.loop.Now()
	at := &attempt{searcher: w, opened: !s.links[w.id].take(sent)}
	way := trip / 2
	if at.opened {
		way += trip + sim.Shape.Handshake
		sim.opened++
	}
	s.attempts[a.Attempt] = at
	at.work = &work{class: j.class, cost: sim.Shape.Classes[j.class].Work, reply: func(o rrupstream.Outcome, told rrestimate.Report) {
		sim.loop.After(trip/2, func() { s.finish(a.Attempt, sent, o, told) })
	}}
	sim.loop.After(way, func() {
		if !at.work.ended {
			w.take(at.work)
		}
	})
}

func (s *shard) finish(id rrdispatch.AttemptID, sent rrunit.Instant, o rrupstream.Outcome, told rrestimate.Report) {
	at := s.attempts[id]
	if at == nil || at.ended {
		return
	}
	at.ended = true
	delete(s.attempts, id)
	now := s.daemon.sim.loop.Now()
	if o == rrupstream.OutcomeAnswered {
		s.daemon.distances.Record(now, zone(at.searcher.region), now.Sub(sent), at.opened)
	}
	if now.Sub(s.measured) >= distancesInterval {
		s.measured = now
		s.core.SetRoundTrips(func(z rrunit.Zone) (rrunit.Duration, rrunit.Duration) {
			return s.daemon.distance(z), s.daemon.connect(z)
		})
	}
	s.release(now, at.searcher, o)
	s.core.SetIdleConnections(s.idle)
	s.core.RecordConnection(id, at.opened)
	if o == rrupstream.OutcomeAnswered || o == rrupstream.OutcomeShed {
		s.core.RecordAnswerLoad(now, at.searcher.id, told)
	}
	s.perform(s.core.Finish(now, id, o))
}

const (
	distancesInterval = 200 * time.Millisecond
	linger            = 400 * time.Millisecond
)

// cancel gives up an attempt, at once or after a while.
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
		sim.loop.After(s.daemon.trip(at.searcher.region)/2, func() { at.searcher.drop(at.work) })
		s.finish(a.Attempt, 0, rrupstream.OutcomeCancelled, rrestimate.Report{})
	}
	if a.DelayCancel {
		sim.loop.After(linger, end)
		return
	}
	// Not within the core's own call.
	sim.loop.After(0, end)
}
