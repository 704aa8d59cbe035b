package rrdispatchers

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// maxCrashWait is how long the end of an attempt waits for the check of its searcher. A
// retry that left before would crash another searcher without proving anything.
const maxCrashWait = 50 * time.Millisecond

// crashCheck checks whether a searcher whose connection was lost is dead. A searcher that
// ends as it begins to run a request closes the connection as soon as one that closes an
// idle connection, and one that ends later as one that breaks off its answer, so that only
// a check can tell.
type crashCheck struct {
	done chan struct{}
	// dead is set before done is closed.
	dead bool
}

// checkLoss starts a check of the attempt's searcher if its connection was lost, and waits
// at most maxCrashWait for the result, with further attempts of the job. It returns nil if
// there is nothing to check.
func (d *dispatcher) checkLoss(id rrdispatch.AttemptID, at *attempt) *crashCheck {
	if !at.response.Outcome.IsConnectionEnd() && !at.response.IsBroken() {
		return nil
	}
	d.step(func(now rrunit.Instant) []rrdispatch.Action {
		d.core.HoldHedge(now, id, maxCrashWait)
		return nil
	})
	c := &crashCheck{done: make(chan struct{})}
	d.parent.pool.run(func() {
		defer close(c.done)
		c.dead = d.parent.forwarder.IsDead(d.parent.ctx, at.target)
	})
	timer := time.NewTimer(maxCrashWait)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
	if c.isDead() {
		at.response.Outcome = rrupstream.OutcomeConnectionLost
	}
	return c
}

// isDead reports whether the searcher was found dead so far.
func (c *crashCheck) isDead() bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return c.dead
	default:
		return false
	}
}

// finishCheck waits for the result of the check, logs it, and reports a crash to the core
// unless that was done before. The fingerprint connects the losses of a request at all
// daemons.
func (d *dispatcher) finishCheck(at *attempt, c *crashCheck, reported bool) {
	<-c.done
	found := rrdispatch.CheckAlive
	if c.dead {
		found = rrdispatch.CheckDead
	}
	if c.dead && !reported {
		d.step(func(now rrunit.Instant) []rrdispatch.Action {
			return d.core.RecordCrash(now, at.job.Fingerprint, at.searcher, at.lossIsolation())
		})
	}
	state, _ := d.parent.suspects.State(d.parent.clock(), at.job.Fingerprint)
	d.parent.metrics.Count(rrmetrics.GroupCrashChecks, string(found))
	d.parent.log.Failure("connection lost", "id", at.job.Request.ID, "service", d.name, "searcher", at.searcher,
		"outcome", at.response.Outcome, "searcher-is", found, "isolation", at.lossIsolation(), "request-is", state, "fingerprint", at.job.Fingerprint)
}

// lossIsolation returns what the loss of the attempt proves.
func (at *attempt) lossIsolation() rrquarantine.Isolation {
	if at.isolation == rrquarantine.IsolationAlone && at.isOrphaned.Load() {
		return rrquarantine.IsolationOrphaned
	}
	return at.isolation
}

// check checks a searcher after the time that the action gives.
func (d *dispatcher) check(a *rrdispatch.Action) {
	id, after := a.Searcher, a.After.Std()
	d.parent.pool.run(func() {
		if !rrunit.Sleep(d.parent.ctx, after) {
			return
		}
		d.mu.Lock()
		t, isListed := d.targets[id]
		d.mu.Unlock()
		found := rrdispatch.CheckSkipped
		if isListed {
			found = rrdispatch.CheckAlive
			if d.parent.forwarder.IsDead(d.parent.ctx, t.Target) {
				found = rrdispatch.CheckDead
			}
		}
		d.parent.metrics.Count(rrmetrics.GroupOrphanChecks, string(found))
		d.step(func(now rrunit.Instant) []rrdispatch.Action {
			return d.core.RecordCheck(now, id, found)
		})
	})
}

// TakeCrashes returns, once each, the crashes after which nobody has answered the request.
func (p *Dispatchers) TakeCrashes() []rrpeer.CrashedRun {
	var out []rrpeer.CrashedRun
	p.suspects.TakeUnanswered(p.clock(), func(f rrunit.Fingerprint, service rrunit.ServiceName, id rrunit.SearcherID) {
		out = append(out, rrpeer.CrashedRun{Fingerprint: f, Service: service, Searcher: id})
	})
	return out
}

// AddPeerCrash makes a request suspect after whose run another daemon found a searcher dead.
func (p *Dispatchers) AddPeerCrash(c rrpeer.CrashedRun) {
	p.log.StateChange("request suspected", "service", c.Service, "searcher", c.Searcher, "fingerprint", c.Fingerprint)
	p.suspects.AddPeerLoss(p.clock(), c.Fingerprint, c.Service, c.Searcher)
}
