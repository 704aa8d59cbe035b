package rrowner

import (
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// decide makes one call to the core and returns its actions. A panic there becomes an
// error, so that it ends the work of one shard instead of the daemon. The caller holds mu.
func (s *shard) decide(call func(now rrunit.Instant) []rrdispatch.Action) (actions []rrdispatch.Action, err error) {
	defer rrpanic.Recover(&err)
	return call(s.owner.clock()), nil
}

// abandonAll ends all jobs and attempts of the shard after an unexpected error, and
// returns the replies, which must be sent without holding the lock. The caller holds mu.
func (s *shard) abandonAll(err error) []func() {
	s.owner.onError(s.key, err)
	s.core.Abandon()
	for _, at := range s.attempts {
		at.cancel()
	}
	replies := make([]func(), 0, len(s.jobs))
	for _, j := range slices.Collect(maps.Values(s.jobs)) {
		delete(s.jobs, j.id)
		r := rrpeer.Result{ID: j.task.ID, Shard: s.key.Shard, Run: j.runState(rrpeer.RunNever), Reason: rrquery.ReasonInternal}
		s.releaseIfNotRun(j)
		replies = append(replies, func() { j.result(r) })
	}
	return replies
}
