package rrplaces

import (
	"context"
	"maps"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrfault"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// linger is how long an attempt that is no longer needed goes on at a searcher
// that answers nothing, to see whether it is back. It ends at once when the caller
// leaves.
const linger = 400 * time.Millisecond

// place runs the dispatcher of one service.
type place struct {
	places *Places
	name   rrunit.ServiceName

	// mu guards everything below.
	mu       sync.Mutex
	core     *rrdispatch.Shard
	targets  map[rrunit.SearcherID]target
	jobs     map[rrdispatch.JobID]*job
	attempts map[rrdispatch.AttemptID]*attempt
	next     rrdispatch.JobID
	timer    *time.Timer
	// opening has the searchers to which a connection is being opened before it is
	// needed.
	opening map[rrunit.SearcherID]bool
	// full has until when searchers are taken to accept no more connections.
	full map[rrunit.SearcherID]rrunit.Instant
	// unreadable has the searchers whose load could not be read.
	unreadable map[rrunit.SearcherID]bool
	// zones has the zone of each searcher.
	zones map[rrunit.SearcherID]rrunit.Zone
	// distancesAt is when the core last took the measured distances.
	distancesAt rrunit.Instant
}

// job is a request that waits for its result.
type job struct {
	Job
	id   rrdispatch.JobID
	done func(Result)
	// active is how many attempts are under way.
	active int
	// maybe says that an attempt that ended may have run.
	maybe bool
	// abandoned says that the caller has left.
	abandoned bool
	// lingering are attempts that go on though they are no longer needed.
	lingering []*attempt
	// failure is the last failure that a searcher answered with.
	failure         *rrforward.Response
	failureSearcher rrunit.SearcherID
	offered         rrunit.Instant
	trace           []Trace
}

// attempt is a request under way at a searcher.
type attempt struct {
	job      *job
	searcher rrunit.SearcherID
	target   rrforward.Target
	cancel   context.CancelFunc
	// isolation says what a crash of the searcher would prove.
	isolation rrquarantine.Isolation
	// place is the attempt's in the job's trace.
	place    int
	response rrforward.Response
}

func newPlace(p *Places, name rrunit.ServiceName, c *rrcatalog.Catalog) *place {
	s := &place{
		places:   p,
		name:     name,
		core:     rrdispatch.New(p.coreConfig(name, c)),
		targets:  p.targets(name, c),
		jobs:     make(map[rrdispatch.JobID]*job),
		attempts: make(map[rrdispatch.AttemptID]*attempt),
		opening:  make(map[rrunit.SearcherID]bool),
		full:     make(map[rrunit.SearcherID]rrunit.Instant),

		unreadable: make(map[rrunit.SearcherID]bool),
	}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	p.inherit(s)
	s.update(c)
	return s
}

func (s *place) update(c *rrcatalog.Catalog) {
	leaving := make(map[rrunit.SearcherID]bool)
	for _, w := range c.Searchers[s.name] {
		leaving[processID(&w)] = w.State != rrcatalog.SearcherReady
	}
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		s.targets = s.places.targets(s.name, c)
		forgetGone(s.full, s.targets)
		forgetGone(s.unreadable, s.targets)
		s.zones = make(map[rrunit.SearcherID]rrunit.Zone)
		for _, w := range c.Searchers[s.name] {
			s.zones[processID(&w)] = w.Zone
		}
		actions := s.core.Configure(now, s.places.coreConfig(s.name, c))
		return append(actions, s.core.SetLeaving(now, func(id rrunit.SearcherID) bool { return leaving[id] })...)
	})
}

// forgetGone leaves out what is known of searchers that are none of the targets.
func forgetGone[V any](known map[rrunit.SearcherID]V, targets map[rrunit.SearcherID]target) {
	maps.DeleteFunc(known, func(id rrunit.SearcherID, _ V) bool {
		_, ok := targets[id]
		return !ok
	})
}

// step runs one call of the core and carries out its actions.
func (s *place) step(call func(now rrunit.Instant) []rrdispatch.Action) {
	for _, reply := range s.take(call) {
		reply()
	}
}

// take runs one call of the core and returns the replies, which are to be given
// without the lock.
func (s *place) take(call func(now rrunit.Instant) []rrdispatch.Action) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.schedule()
	return s.perform(call(s.places.clock()))
}

// idle returns how many connections to the searcher are idle.
func (s *place) idle(id rrunit.SearcherID) int {
	t, ok := s.targets[id]
	if !ok {
		return 0
	}
	return s.places.forwarder.Idle(t.Target)
}

// perform carries out actions and returns the replies, which are to be given
// without the lock. The caller holds mu.
func (s *place) perform(actions []rrdispatch.Action) []func() {
	var replies []func()
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.send(a)
		case rrdispatch.ActionCancel:
			s.giveUp(a)
		case rrdispatch.ActionReply:
			if reply := s.reply(a); reply != nil {
				replies = append(replies, reply)
			}
		case rrdispatch.ActionQuarantine:
			q := rrpeer.Quarantine{Fingerprint: a.Fingerprint, Left: a.RetryAfter}
			replies = append(replies, func() { s.places.convict(s.name, q) })
		case rrdispatch.ActionStatus:
			s.places.metrics.Count(rrmetrics.GroupBeliefs, string(a.Status))
			s.places.log.Belief("searcher "+string(a.Status), "service", s.name, "searcher", a.Searcher, "cause", a.Cause)
		}
	}
	return replies
}

// giveUp ends an attempt that is no longer needed, at once or after a while.
func (s *place) giveUp(a *rrdispatch.Action) {
	at := s.attempts[a.Attempt]
	if at == nil {
		return
	}
	if at.job.abandoned || !a.DelayCancel {
		at.cancel()
		return
	}
	at.job.lingering = append(at.job.lingering, at)
	time.AfterFunc(linger, at.cancel)
}

func (s *place) reply(a *rrdispatch.Action) func() {
	j := s.jobs[a.Job]
	if j == nil {
		return nil
	}
	delete(s.jobs, a.Job)
	r := Result{Run: j.runState(a.Run), Reason: a.Reason, Retry: a.RetryAfter, Response: j.failure, Searcher: j.failureSearcher, Trace: j.trace}
	if at := s.attempts[a.Attempt]; at != nil && a.Reason == rrquery.ReasonNone {
		r.Response, r.Searcher = &at.response, at.searcher
	}
	return func() { j.done(r) }
}

// runState returns what is true of the run of a job that was just removed.
func (j *job) runState(said rrpeer.RunState) rrpeer.RunState {
	switch {
	case said == rrpeer.RunDone:
		return rrpeer.RunDone
	case j.maybe || j.active > 0:
		return rrpeer.RunMaybe
	default:
		return rrpeer.RunNot
	}
}

// schedule sets the timer for the next tick. The caller holds mu.
func (s *place) schedule() {
	next, ok := s.core.Next()
	if !ok {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(0, next.Sub(s.places.clock())))
}

func (s *place) tick() {
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		s.core.SetIdleConnections(s.idle)
		return s.core.Tick(now)
	})
}

func (s *place) offer(in Job, done func(Result)) CancelFunc {
	j := &job{Job: in, done: done, offered: s.places.clock()}
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		s.next++
		j.id = s.next
		s.jobs[j.id] = j
		s.core.SetIdleConnections(s.idle)
		return s.core.Offer(now, rrdispatch.Job{
			ID:             j.id,
			Rank:           j.Rank,
			Fingerprint:    j.Fingerprint,
			Idempotent:     j.Request.Idempotent,
			MaxAttempts:    j.Attempts,
			Target:         j.Target,
			RandomPriority: j.Lot,
			Deadline:       j.Deadline,
		})
	})
	return func(left bool) Abandoned {
		var out Abandoned
		s.step(func(now rrunit.Instant) []rrdispatch.Action {
			j.abandoned = j.abandoned || left
			if left {
				for _, at := range j.lingering {
					at.cancel()
				}
			}
			if s.jobs[j.id] != j {
				return nil
			}
			delete(s.jobs, j.id)
			out = Abandoned{Trace: j.trace, Budget: s.core.BudgetLeft()}
			return s.core.Cancel(now, j.id)
		})
		return out
	}
}

// send starts an attempt. The caller holds mu.
func (s *place) send(a *rrdispatch.Action) {
	j := s.jobs[a.Job]
	ctx, cancel := context.WithCancel(s.places.ctx)
	at := &attempt{
		job:       j,
		searcher:  a.Searcher,
		target:    s.targets[a.Searcher].Target,
		cancel:    cancel,
		isolation: a.Isolation,
		place:     len(j.trace),
	}
	j.trace = append(j.trace, Trace{Searcher: a.Searcher, At: s.places.clock().Sub(j.offered), Took: -1})
	s.attempts[a.Attempt] = at
	j.active++
	id := a.Attempt
	s.places.workers.run(func() {
		defer cancel()
		left := j.Deadline.Sub(s.places.clock())
		if left <= 0 {
			at.response = rrforward.Response{Outcome: rrupstream.OutcomeUnsent}
		} else {
			at.response = s.forward(ctx, at, left)
		}
		s.finish(id, at)
	})
}

// forward sends the attempt. One that ends with an unexpected error may have run.
func (s *place) forward(ctx context.Context, at *attempt, left time.Duration) (res rrforward.Response) {
	res.Outcome = rrupstream.OutcomeFailed
	defer rrfault.Recover(&res.Err)
	return s.places.forwarder.Forward(ctx, at.target, at.job.Request, left)
}

func (s *place) finish(id rrdispatch.AttemptID, at *attempt) {
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		j, res := at.job, &at.response
		j.active--
		if s.jobs[j.id] == j {
			t := &j.trace[at.place]
			t.Took, t.Outcome = now.Sub(j.offered)-t.At, res.Outcome
		}
		if !res.Outcome.NotRun() {
			j.maybe = true
		}
		if res.Outcome == rrupstream.OutcomeFailed && res.Signature != "" {
			j.failure, j.failureSearcher = res, at.searcher
		}
		if took := now.Sub(j.offered) - j.trace[at.place].At; res.Outcome == rrupstream.OutcomeAnswered {
			s.places.metrics.Time(rrmetrics.GroupAttemptTime, string(s.zones[at.searcher]), took)
			s.places.distances.Record(now, s.zones[at.searcher], took, res.Dialled)
		}
		s.takeWays(now)
		s.core.RecordConnection(id, res.Dialled)
		if res.Dialled && res.Outcome == rrupstream.OutcomeStale {
			s.noteFull(now, at.searcher)
		}
		// The request may be sent elsewhere, and another over this connection.
		s.core.SetIdleConnections(s.idle)
		s.noteLoad(now, at)
		return s.core.Finish(now, id, res.Outcome)
	})
	s.mu.Lock()
	delete(s.attempts, id)
	s.mu.Unlock()
	s.count(at)
	s.reopen(at.searcher)
	switch at.response.Outcome {
	case rrupstream.OutcomeLost:
		s.checkCrash(at)
	case rrupstream.OutcomeFailed:
		s.places.log.Failure("searcher's answer not usable", "id", at.job.Request.ID, "service", s.name, "searcher", at.searcher, "err", at.response.Err)
	default:
	}
}

// noteLoad takes what the searcher tells of itself in its answer. The caller holds mu.
func (s *place) noteLoad(now rrunit.Instant, at *attempt) {
	res := &at.response
	if res.LoadErr != nil {
		s.places.metrics.Count(rrmetrics.GroupUnreadable, string(s.name))
		if !s.unreadable[at.searcher] {
			s.unreadable[at.searcher] = true
			s.places.log.Belief("searcher's load not readable", "service", s.name, "searcher", at.searcher, "err", res.LoadErr)
		}
	}
	if l := res.Load; l != nil {
		s.core.RecordAnswerLoad(now, at.searcher, rrestimate.Report{Load: l.Running + l.Waiting, Slowdown: float64(l.Pace) / percent})
	}
}

// count counts an attempt that has ended.
func (s *place) count(at *attempt) {
	m := s.places.metrics
	m.Count(rrmetrics.GroupAttempts, string(at.response.Outcome))
	if at.place > 0 {
		m.Count(rrmetrics.GroupExtra, string(s.name))
	}
	if at.response.Dialled {
		m.Count(rrmetrics.GroupConnections, string(s.name))
	}
}

// checkCrash finds out whether the searcher that lost the attempt is dead, which
// makes the request suspect.
func (s *place) checkCrash(at *attempt) {
	if !s.places.forwarder.IsDead(s.places.ctx, at.target) {
		return
	}
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		return s.core.RecordCrash(now, at.job.Fingerprint, at.searcher, at.isolation)
	})
}

// takeWays gives the measured distances to the core from time to time.
func (s *place) takeWays(now rrunit.Instant) {
	if now.Sub(s.distancesAt) < distancesInterval {
		return
	}
	s.distancesAt = now
	s.core.SetRoundTrips(func(z rrunit.Zone) (distance, connect rrunit.Duration) {
		return s.places.distance(z), s.places.connect(z)
	})
}

func (s *place) isPossible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.CanServe(s.places.clock())
}

func (s *place) state() rrdispatch.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State(s.places.clock())
}
