package rrdispatchers

import (
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// recordError records an unexpected error outside the dispatchers' decisions.
func (p *Dispatchers) recordError(err error) {
	p.metrics.Count(rrmetrics.GroupErrors, "task")
	p.log.Failure("task failed", "err", err)
}

// abandonAll ends all jobs and attempts of the service after an unexpected error in its
// decisions, which so ends the work of one service instead of the daemon. It adds the
// replies, which must be sent without holding the lock. The caller holds mu.
func (d *dispatcher) abandonAll(err error, replies *[]func()) {
	d.parent.metrics.Count(rrmetrics.GroupErrors, string(d.name))
	d.parent.log.Failure("dispatcher failed", "service", d.name, "requests", len(d.jobs), "attempts", len(d.attempts), "err", err)
	d.core.Abandon()
	for _, at := range d.attempts {
		at.cancel()
	}
	for _, j := range slices.Collect(maps.Values(d.jobs)) {
		delete(d.jobs, j.id)
		r := Result{Run: j.runState(rrpeer.RunNever), Reason: rrquery.ReasonInternal, Trace: j.trace}
		*replies = append(*replies, func() { j.done(r) })
	}
}
