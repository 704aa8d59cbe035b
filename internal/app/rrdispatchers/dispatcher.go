package rrdispatchers

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// cancelDelay is how long an attempt that is no longer needed continues at a searcher
// that has answered nothing since it was sent, to detect whether the searcher has
// recovered. The attempt ends at once when the caller leaves, unless the request is suspect.
const cancelDelay = 400 * time.Millisecond

// dispatcher runs the decision core of one service.
type dispatcher struct {
	parent *Dispatchers
	name   rrunit.ServiceName

	// mu guards everything below.
	mu       sync.Mutex
	core     *rrdispatch.Shard
	targets  map[rrunit.SearcherID]target
	jobs     map[rrdispatch.JobID]*job
	attempts map[rrdispatch.AttemptID]*attempt
	lastJob  rrdispatch.JobID
	timer    *time.Timer
	// connecting has the searchers to which a connection is being opened in advance.
	connecting map[rrunit.SearcherID]bool
	// backoffUntil has, by searcher, until when no connection is opened in advance.
	backoffUntil map[rrunit.SearcherID]rrunit.Instant
	// unreadable has the searchers whose load or request limit could not be parsed, each
	// of which is logged once.
	unreadable map[rrunit.SearcherID]bool
	// limits has the request limit of each searcher and the attempts sent there.
	limits map[rrunit.SearcherID]*limitState
	// zones has the availability zone of each searcher.
	zones map[rrunit.SearcherID]rrunit.Zone
	// roundTripsUpdated is when the core last got the measured round-trip times.
	roundTripsUpdated rrunit.Instant
}

// job is a request that waits for its result.
type job struct {
	Job
	id   rrdispatch.JobID
	done func(Result)
	// active is how many attempts are in flight.
	active int
	// mayHaveRun is set once an attempt has ended that may have run.
	mayHaveRun bool
	// callerLeft is set once the caller has left.
	callerLeft bool
	// delayedCancels are the attempts whose cancel is delayed by cancelDelay.
	delayedCancels []*attempt
	// failure is the last error response of a searcher.
	failure         *rrforward.Response
	failureSearcher rrunit.SearcherID
	offered         rrunit.Instant
	trace           []AttemptTrace
}

// attempt is a request in flight at a searcher.
type attempt struct {
	job      *job
	searcher rrunit.SearcherID
	target   rrforward.Target
	cancel   context.CancelFunc
	// isolation is how the attempt ran beside others, which decides what a crash of
	// the searcher proves.
	isolation rrquarantine.Isolation
	// isOrphaned is set once the attempt is no longer needed.
	isOrphaned atomic.Bool
	// traceIndex is the attempt's index in the job's trace.
	traceIndex int
	response   rrforward.Response
}

func newDispatcher(p *Dispatchers, name rrunit.ServiceName, c *rrcatalog.Catalog) *dispatcher {
	d := &dispatcher{
		parent:       p,
		name:         name,
		core:         rrdispatch.New(p.coreConfig(name, c)),
		targets:      p.targetsOf(name, c),
		jobs:         make(map[rrdispatch.JobID]*job),
		attempts:     make(map[rrdispatch.AttemptID]*attempt),
		connecting:   make(map[rrunit.SearcherID]bool),
		backoffUntil: make(map[rrunit.SearcherID]rrunit.Instant),

		unreadable: make(map[rrunit.SearcherID]bool),
		limits:     make(map[rrunit.SearcherID]*limitState),
	}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.update(c)
	return d
}

func (d *dispatcher) update(c *rrcatalog.Catalog) {
	leaving := make(map[rrunit.SearcherID]bool)
	for _, searcher := range c.Searchers[d.name] {
		leaving[processID(&searcher)] = searcher.State != rrcatalog.SearcherReady
	}
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		d.targets = d.parent.targetsOf(d.name, c)
		deleteMissing(d.backoffUntil, d.targets)
		deleteMissing(d.unreadable, d.targets)
		deleteMissing(d.limits, d.targets)
		d.zones = make(map[rrunit.SearcherID]rrunit.Zone)
		for _, searcher := range c.Searchers[d.name] {
			d.zones[processID(&searcher)] = searcher.Zone
		}
		actions := d.core.Configure(now, d.parent.coreConfig(d.name, c))
		return append(actions, d.core.SetLeaving(now, func(id rrunit.SearcherID) bool { return leaving[id] })...)
	})
}

// deleteMissing deletes the entries of searchers that are not among the targets.
func deleteMissing[V any](byID map[rrunit.SearcherID]V, targets map[rrunit.SearcherID]target) {
	maps.DeleteFunc(byID, func(id rrunit.SearcherID, _ V) bool {
		_, ok := targets[id]
		return !ok
	})
}

// step makes one call to the core, carries out its actions and sends the replies.
func (d *dispatcher) step(call func(now rrunit.Instant) []rrdispatch.Action) {
	for _, reply := range d.apply(call) {
		reply()
	}
}

// apply makes one call to the core, carries out its actions and returns the replies,
// which must be sent without holding the lock.
func (d *dispatcher) apply(call func(now rrunit.Instant) []rrdispatch.Action) []func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.schedule()
	var replies []func()
	if err := rrpanic.Do(func() { d.perform(call(d.parent.clock()), &replies) }); err != nil {
		d.abandonAll(err, &replies)
	}
	return replies
}

// access calls f with the core, under the lock. For what starts no job; step is for the rest.
func (d *dispatcher) access(f func(core *rrdispatch.Shard)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.core)
}

// idle returns how many connections to the searcher are idle.
func (d *dispatcher) idle(id rrunit.SearcherID) int {
	t, ok := d.targets[id]
	if !ok {
		return 0
	}
	return d.parent.forwarder.IdleConnections(t.Target)
}

// perform carries out actions and adds the replies, which must be sent without holding the
// lock. The caller holds mu.
func (d *dispatcher) perform(actions []rrdispatch.Action, replies *[]func()) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case rrdispatch.ActionSend:
			d.send(a)
		case rrdispatch.ActionCancel:
			d.cancelAttempt(a)
		case rrdispatch.ActionReply:
			if reply := d.reply(a); reply != nil {
				*replies = append(*replies, reply)
			}
		case rrdispatch.ActionQuarantine:
			q := rrpeer.Quarantine{Fingerprint: a.Fingerprint, TimeLeft: a.RetryAfter}
			*replies = append(*replies, func() { d.parent.quarantineAndAnnounce(d.name, q) })
		case rrdispatch.ActionCheck:
			d.check(a)
		case rrdispatch.ActionSuspect:
			d.parent.log.StateChange("request suspected", "service", d.name, "searcher", a.Searcher, "fingerprint", a.Fingerprint, "cause", "orphaned")
		case rrdispatch.ActionStatus:
			d.parent.metrics.Count(rrmetrics.GroupSearcherStatus, string(a.Status))
			d.parent.log.StateChange("searcher "+string(a.Status), "service", d.name, "searcher", a.Searcher, "cause", a.Cause)
		}
	}
}

// cancelAttempt ends an attempt that is no longer needed, at once or after cancelDelay. That
// of a suspect is always delayed: its end shows whether the request is the cause.
func (d *dispatcher) cancelAttempt(a *rrdispatch.Action) {
	at := d.attempts[a.Attempt]
	if at == nil {
		return
	}
	at.isOrphaned.Store(true)
	switch {
	case at.isolation != rrquarantine.IsolationUnsuspected:
	case at.job.callerLeft || !a.DelayCancel:
		at.cancel()
		return
	default:
		at.job.delayedCancels = append(at.job.delayedCancels, at)
	}
	time.AfterFunc(cancelDelay, at.cancel)
}

func (d *dispatcher) reply(a *rrdispatch.Action) func() {
	j := d.jobs[a.Job]
	if j == nil {
		return nil
	}
	r := Result{Run: j.runState(a.Run), Reason: a.Reason, RetryAfter: a.RetryAfter, Response: j.failure, Searcher: j.failureSearcher, Trace: j.trace}
	if at := d.attempts[a.Attempt]; at != nil && a.Reason == rrquery.ReasonNone {
		r.Response, r.Searcher = &at.response, at.searcher
	}
	if a.Reason == rrquery.ReasonLost && d.parent.suspects.RecordUnanswered(j.Fingerprint) {
		d.parent.onUnanswered()
	}
	// Only now, as a job that has left the list must get its result.
	delete(d.jobs, a.Job)
	return func() { j.done(r) }
}

// runState returns whether a job that was just removed ran. reported is the run state
// that the core reported.
func (j *job) runState(reported rrpeer.RunState) rrpeer.RunState {
	switch {
	case reported == rrpeer.RunDone:
		return rrpeer.RunDone
	case j.mayHaveRun || j.active > 0:
		return rrpeer.RunMaybe
	default:
		return rrpeer.RunNever
	}
}

// schedule sets the timer for the next tick. The caller holds mu.
func (d *dispatcher) schedule() {
	next, ok := d.core.Next()
	if !ok {
		d.timer.Stop()
		return
	}
	d.timer.Reset(max(0, next.Sub(d.parent.clock())))
}

func (d *dispatcher) tick() {
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		d.core.SetIdleConnections(d.idle)
		return d.core.Tick(now)
	})
}

func (d *dispatcher) offer(in Job, done func(Result)) CancelFunc {
	j := &job{Job: in, done: done, offered: d.parent.clock()}
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		d.lastJob++
		j.id = d.lastJob
		d.jobs[j.id] = j
		d.core.SetIdleConnections(d.idle)
		return d.core.Offer(now, rrdispatch.Job{
			ID:             j.id,
			Rank:           j.Rank,
			Fingerprint:    j.Fingerprint,
			Idempotent:     j.Request.Idempotent,
			MaxAttempts:    j.MaxAttempts,
			Target:         j.Target,
			RandomPriority: j.RandomPriority,
			Deadline:       j.Deadline,
		})
	})
	return func(callerLeft bool) Cancelled {
		var out Cancelled
		d.step(func(now rrunit.Instant) []rrdispatch.Action {
			j.callerLeft = j.callerLeft || callerLeft
			if callerLeft {
				for _, at := range j.delayedCancels {
					at.cancel()
				}
			}
			if d.jobs[j.id] != j {
				out.HasEnded = true
				return nil
			}
			delete(d.jobs, j.id)
			out = Cancelled{Trace: j.trace, Budget: d.core.BudgetLeft()}
			return d.core.Cancel(now, j.id)
		})
		return out
	}
}

// send starts an attempt. The caller holds mu.
func (d *dispatcher) send(a *rrdispatch.Action) {
	j := d.jobs[a.Job]
	ctx, cancel := context.WithCancel(d.parent.ctx)
	at := &attempt{
		job:        j,
		searcher:   a.Searcher,
		target:     d.targets[a.Searcher].Target,
		cancel:     cancel,
		isolation:  a.Isolation,
		traceIndex: len(j.trace),
	}
	j.trace = append(j.trace, AttemptTrace{Searcher: a.Searcher, Start: d.parent.clock().Sub(j.offered), Took: -1})
	d.attempts[a.Attempt] = at
	d.countSend(at)
	j.active++
	id := a.Attempt
	d.parent.pool.run(func() {
		defer cancel()
		remaining := j.Deadline.Sub(d.parent.clock())
		if remaining <= 0 {
			at.response = rrforward.Response{Outcome: rrupstream.OutcomeUnsent}
		} else {
			at.response = d.forward(ctx, at, remaining)
		}
		d.finish(id, at)
	})
}

// forward sends the attempt. After a recovered panic the request may have run.
func (d *dispatcher) forward(ctx context.Context, at *attempt, remaining time.Duration) (res rrforward.Response) {
	res.Outcome = rrupstream.OutcomeFailed
	defer rrpanic.Recover(&res.Err)
	return d.parent.forwarder.Forward(ctx, at.target, at.job.Request, remaining)
}

func (d *dispatcher) finish(id rrdispatch.AttemptID, at *attempt) {
	check := d.checkLoss(id, at)
	isDead := check.isDead()
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		var actions []rrdispatch.Action
		if isDead {
			// The request becomes suspect before its retry is placed.
			actions = d.core.RecordCrash(now, at.job.Fingerprint, at.searcher, at.lossIsolation())
		}
		return append(actions, d.finishAttempt(now, id, at)...)
	})
	d.mu.Lock()
	delete(d.attempts, id)
	d.mu.Unlock()
	d.count(at)
	if at.response.Outcome == rrupstream.OutcomeFailed {
		d.parent.log.Failure("searcher's answer not usable", "id", at.job.Request.ID, "service", d.name, "searcher", at.searcher, "err", at.response.Err)
	}
	if check != nil {
		d.finishCheck(at, check, isDead)
	}
	d.replaceConnection(at.searcher)
}

// finishAttempt updates the job and the core with the end of the attempt. The caller holds
// mu.
func (d *dispatcher) finishAttempt(now rrunit.Instant, id rrdispatch.AttemptID, at *attempt) []rrdispatch.Action {
	j, res := at.job, &at.response
	j.active--
	if d.jobs[j.id] == j {
		t := &j.trace[at.traceIndex]
		t.Took, t.Outcome = now.Sub(j.offered)-t.Start, res.Outcome
	}
	if !res.Outcome.NotRun() {
		j.mayHaveRun = true
	}
	if res.Outcome == rrupstream.OutcomeFailed && res.Signature != "" {
		j.failure, j.failureSearcher = res, at.searcher
	}
	if took := now.Sub(j.offered) - j.trace[at.traceIndex].Start; res.Outcome == rrupstream.OutcomeAnswered {
		d.parent.metrics.RecordLatency(rrmetrics.GroupAttemptTime, string(d.zones[at.searcher]), took)
		d.parent.roundTrips.Record(now, d.zones[at.searcher], took, res.NewConnection)
	}
	d.updateRoundTrips(now)
	d.core.RecordConnection(id, res.NewConnection)
	if res.NewConnection && res.Outcome == rrupstream.OutcomeStaleConnection {
		d.backOff(now, at.searcher)
	}
	// The core may resend this request elsewhere, and send another over the
	// connection that is now idle.
	d.core.SetIdleConnections(d.idle)
	d.recordLoad(now, at)
	d.recordLimit(now, at)
	d.recordNotice(now, at)
	return d.core.Finish(now, id, res.Outcome)
}

// recordLoad passes the load that the searcher reported in its response to the core.
// The caller holds mu.
func (d *dispatcher) recordLoad(now rrunit.Instant, at *attempt) {
	res := &at.response
	if res.LoadErr != nil {
		d.recordUnreadable(at, res.LoadErr)
	}
	if l := res.Load; l != nil {
		d.core.RecordAnswerLoad(now, at.searcher, rrestimate.Report{Load: l.Running + l.Waiting, Slowdown: float64(l.SlowdownPercent) / percentPerUnit})
	}
}

// recordUnreadable counts a report of the searcher that could not be parsed, and logs the
// first. The caller holds mu.
func (d *dispatcher) recordUnreadable(at *attempt, err error) {
	d.parent.metrics.Count(rrmetrics.GroupUnreadableLoads, string(d.name))
	if !d.unreadable[at.searcher] {
		d.unreadable[at.searcher] = true
		d.parent.log.StateChange("searcher's load not readable", "service", d.name, "searcher", at.searcher, "err", err)
	}
}

// count updates the metrics with a finished attempt.
func (d *dispatcher) count(at *attempt) {
	m := d.parent.metrics
	m.Count(rrmetrics.GroupAttempts, string(at.response.Outcome))
	if at.traceIndex > 0 {
		m.Count(rrmetrics.GroupExtraAttempts, string(d.name))
	}
	if at.response.NewConnection {
		m.Count(rrmetrics.GroupConnections, string(d.name))
	}
}

// updateRoundTrips passes the measured round-trip times to the core, at most once per
// roundTripsInterval.
func (d *dispatcher) updateRoundTrips(now rrunit.Instant) {
	if now.Sub(d.roundTripsUpdated) < roundTripsInterval {
		return
	}
	d.roundTripsUpdated = now
	d.core.SetRoundTrips(func(z rrunit.Zone) (roundTrip, connectTime rrunit.Duration) {
		return d.parent.roundTrip(z), d.parent.connectTime(z)
	})
}

func (d *dispatcher) admits(rank int) (rrquery.Reason, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Admits(d.parent.clock(), rank)
}

func (d *dispatcher) state() rrdispatch.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.State(d.parent.clock())
}
