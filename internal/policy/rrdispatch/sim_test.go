package rrdispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// event is a call at an instant of virtual time.
type event struct {
	at   rrunit.Instant
	seq  int
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(v any) {
	if next, ok := v.(event); ok {
		*e = append(*e, next)
	}
}

func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// fakeSearcher runs attempts with a drawn service time.
type fakeSearcher struct {
	id rrunit.SearcherID
	// slots is how many attempts it actually runs at once; further ones are shed.
	slots   int
	running map[rrdispatch.AttemptID]bool
	dead    bool
	// silent is set if it accepts attempts and never answers.
	silent     bool
	crashes    int
	maxRunning int
}

// done is the final reply of a job.
type done struct {
	job rrdispatch.Job
	rrdispatch.Action
	arrived, at rrunit.Instant
}

// sim drives one shard over fake searchers in virtual time.
type sim struct {
	core      *rrdispatch.Shard
	rng       *rand.Rand
	now       rrunit.Instant
	events    events
	seq       int
	searchers map[rrunit.SearcherID]*fakeSearcher
	order     []rrunit.SearcherID
	jobs      map[rrdispatch.JobID]rrdispatch.Job
	arrived   map[rrdispatch.JobID]rrunit.Instant
	attempts  map[rrdispatch.AttemptID]rrdispatch.Action
	done      []done
	next      rrdispatch.JobID
	// ran counts the attempts that searchers ran.
	ran         int
	quarantined []rrunit.Fingerprint
	// service draws a service time.
	service func(*rand.Rand) time.Duration
	// crash is the fingerprint that crashes its searcher after crashAfter.
	crash rrunit.Fingerprint
	// restart is how long a crashed searcher is down.
	restart time.Duration
	// onReply is called with each reply if it is set.
	onReply func(done)
}

const crashAfter = 2 * time.Millisecond

func newSim(seed uint64, replicas, slots int, tuning rrdispatch.Tuning) *sim {
	cfg := rrdispatch.Config{
		Layout: "base", QueueLimit: 256, ExtraShare: 0.05, QuarantineDuration: rrunit.Duration(time.Minute), Seed: seed, Tuning: tuning,
		Ranks: []rrdispatch.Rank{{Name: "urgent", Floor: 0.5}, {Name: "middle", Floor: 0.3}, {Name: "batch", Floor: 0.1}},
	}
	s := &sim{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		searchers: make(map[rrunit.SearcherID]*fakeSearcher),
		jobs:      make(map[rrdispatch.JobID]rrdispatch.Job),
		arrived:   make(map[rrdispatch.JobID]rrunit.Instant),
		attempts:  make(map[rrdispatch.AttemptID]rrdispatch.Action),
		service:   lognormal(10*time.Millisecond, 0),
		restart:   time.Hour,
	}
	for i := range replicas {
		id := rrunit.SearcherID(fmt.Sprintf("s%02d", i))
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: slots})
		s.searchers[id] = &fakeSearcher{id: id, slots: slots, running: make(map[rrdispatch.AttemptID]bool)}
		s.order = append(s.order, id)
	}
	s.core = rrdispatch.New(cfg)
	for _, id := range s.order {
		s.do(s.core.RecordLoadReport(0, id, serving(1)))
	}
	return s
}

func serving(versions ...rrunit.IndexVersion) rrupstream.Load {
	var l rrupstream.Load
	for _, v := range versions {
		l.Snapshots = append(l.Snapshots, rrunit.Snapshot{Version: v, Layout: "base"})
	}
	return l
}

// lognormal returns a source of service times around the median. The share stragglers of
// them is 10 times longer.
func lognormal(median time.Duration, stragglers float64) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		d := float64(median) * math.Exp(0.3*rng.NormFloat64())
		if rng.Float64() < stragglers {
			d *= 10
		}
		return time.Duration(d)
	}
}

func (s *sim) at(at rrunit.Instant, call func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, call: call})
}

func (s *sim) in(d time.Duration, call func()) { s.at(s.now.Add(d), call) }

// run runs events and ticks until the instant.
func (s *sim) run(until rrunit.Instant) {
	for {
		due, tick := s.core.Next()
		tick = tick && due <= until && (len(s.events) == 0 || due < s.events[0].at)
		switch {
		case tick:
			s.now = max(s.now, due)
			s.do(s.core.Tick(s.now))
		case len(s.events) > 0 && s.events[0].at <= until:
			e := s.events[0]
			heap.Pop(&s.events)
			s.now = e.at
			e.call()
		default:
			s.now = until
			return
		}
	}
}

// poll reports the load of the live searchers regularly, as an owner does.
func (s *sim) poll(until rrunit.Instant) {
	for at := rrunit.Instant(0); at < until; at = at.Add(500 * time.Millisecond) {
		s.at(at, func() {
			for _, id := range s.order {
				if !s.searchers[id].dead {
					s.do(s.core.RecordLoadReport(s.now, id, serving(1)))
				}
			}
		})
	}
}

// load offers jobs of a rank as a Poisson process, from one instant to another.
func (s *sim) load(rank int, perSecond float64, deadline time.Duration, from, to rrunit.Instant) {
	gap := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / perSecond * 1e9) }
	var offer func()
	offer = func() {
		s.offer(rrdispatch.Job{Rank: rank, Deadline: s.now.Add(deadline), Idempotent: true, Fingerprint: rrunit.Fingerprint(1000 + s.next)})
		if next := s.now.Add(gap()); next < to {
			s.at(next, offer)
		}
	}
	s.at(from.Add(gap()), offer)
}

func (s *sim) offer(j rrdispatch.Job) {
	s.next++
	j.ID = s.next
	j.Version = 1
	s.jobs[j.ID] = j
	s.arrived[j.ID] = s.now
	s.do(s.core.Offer(s.now, j))
}

func (s *sim) do(actions []rrdispatch.Action) {
	for _, a := range actions {
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.attempts[a.Attempt] = a
			s.send(a)
		case rrdispatch.ActionCancel:
			s.in(time.Microsecond, func() { s.finish(a.Attempt, rrupstream.OutcomeCancelled) })
		case rrdispatch.ActionReply:
			d := done{job: s.jobs[a.Job], Action: a, arrived: s.arrived[a.Job], at: s.now}
			s.done = append(s.done, d)
			if s.onReply != nil {
				s.onReply(d)
			}
		case rrdispatch.ActionQuarantine:
			s.quarantined = append(s.quarantined, a.Fingerprint)
		}
	}
}

func (s *sim) send(a rrdispatch.Action) {
	w := s.searchers[a.Searcher]
	switch {
	case w.dead:
		s.in(time.Millisecond, func() { s.finish(a.Attempt, rrupstream.OutcomeUnsent) })
		return
	case len(w.running) >= w.slots:
		s.in(time.Millisecond, func() { s.finish(a.Attempt, rrupstream.OutcomeShed) })
		return
	}
	w.running[a.Attempt] = true
	w.maxRunning = max(w.maxRunning, len(w.running))
	s.ran++
	switch {
	case w.silent:
	case s.crash != 0 && s.jobs[a.Job].Fingerprint == s.crash:
		s.in(crashAfter, func() {
			if w.running[a.Attempt] {
				s.kill(w)
			}
		})
	default:
		s.in(s.service(s.rng), func() { s.finish(a.Attempt, rrupstream.OutcomeAnswered) })
	}
}

func (s *sim) finish(id rrdispatch.AttemptID, outcome rrupstream.Outcome) {
	a, ok := s.attempts[id]
	if !ok {
		return
	}
	delete(s.attempts, id)
	delete(s.searchers[a.Searcher].running, id)
	s.do(s.core.Finish(s.now, id, outcome))
}

// kill crashes a searcher: all its attempts are lost.
func (s *sim) kill(w *fakeSearcher) {
	if w.dead {
		return
	}
	w.dead = true
	w.crashes++
	ids := make([]rrdispatch.AttemptID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.finish(id, rrupstream.OutcomeConnectionLost)
	}
	s.in(s.restart, func() { w.dead = false })
}

func (s *sim) crashes() int {
	n := 0
	for _, w := range s.searchers {
		n += w.crashes
	}
	return n
}

// latency returns a quantile of the answered jobs' latencies of a rank.
func (s *sim) latency(rank int, q float64) time.Duration {
	var all []time.Duration
	for _, d := range s.done {
		if d.job.Rank == rank && d.Run == rrpeer.RunDone {
			all = append(all, d.at.Sub(d.arrived))
		}
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// count returns how many jobs of a rank were answered and how many were offered.
func (s *sim) count(rank int) (answered, offered int) {
	for _, d := range s.done {
		if d.job.Rank != rank {
			continue
		}
		offered++
		if d.Run == rrpeer.RunDone {
			answered++
		}
	}
	return answered, offered
}

func (s *sim) refused(reason rrquery.Reason) int {
	n := 0
	for _, d := range s.done {
		if d.Reason == reason {
			n++
		}
	}
	return n
}
