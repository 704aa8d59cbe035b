package rrowner

import (
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// abandonAll ends all jobs and attempts of the shard after an unexpected error in its
// decisions, which so ends the work of one shard instead of the daemon. It adds the replies,
// which must be sent without holding the lock. The caller holds mu.
func (s *shard) abandonAll(err error, replies *[]func()) {
	s.owner.onError(s.key, err)
	s.core.Abandon()
	for _, at := range s.attempts {
		at.cancel()
	}
	for _, j := range slices.Collect(maps.Values(s.jobs)) {
		delete(s.jobs, j.id)
		r := rrpeer.Result{ID: j.task.ID, Shard: s.key.Shard, Run: j.runState(rrpeer.RunNever), Reason: rrquery.ReasonInternal}
		s.releaseIfNotRun(j)
		*replies = append(*replies, func() { j.result(r) })
	}
}
