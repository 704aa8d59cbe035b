package rrowner

import (
	"context"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Claimer decides whether non-idempotent work may run. It is safe for
// concurrent use.
type Claimer interface {
	// Claim requests permission to run the work now, exactly once. It returns when
	// the store has decided, within a short time limit, or when ctx ends. Work that
	// was not granted must not run.
	Claim(ctx context.Context, task *rrpeer.Task, shard rrunit.ShardName) Claim
	// Record stores the outcome of granted work that ran. It does not block.
	Record(task *rrpeer.Task, ticket rrclaim.Ticket, o rrclaim.Outcome)
	// Release releases the claim of work that certainly did not run and never will,
	// so that it can be claimed again. It does not block.
	Release(task *rrpeer.Task, ticket rrclaim.Ticket)
}

// Claim is the decision on non-idempotent work.
type Claim struct {
	// Granted is set if the claimant may run the work, once.
	Granted bool
	// Ticket identifies the claim if it was granted.
	Ticket rrclaim.Ticket
	// Result is the final result if the claim was not granted.
	Result rrpeer.Result
}

// offerClaimed claims non-idempotent work and offers it to the core once the claim is
// granted, so that no searcher's slot is occupied while the store decides.
func (s *shard) offerClaimed(ctx context.Context, j *job) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(s.owner.clock()))
	defer cancel()
	claim := s.requestClaim(ctx, j)
	if !claim.Granted {
		s.rejectUnclaimed(j, &claim.Result)
		return
	}
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		j.claim = &claim
		if s.jobs[j.id] != j {
			s.releaseIfNotRun(j)
			return nil
		}
		return s.core.Offer(now, s.coreJob(j))
	})
}

func (s *shard) requestClaim(ctx context.Context, j *job) Claim {
	if s.owner.claimer != nil {
		return s.owner.claimer.Claim(ctx, j.task, s.key.Shard)
	}
	return Claim{Result: rrpeer.Result{Run: rrpeer.RunNever, Reason: rrquery.ReasonStore}}
}

// rejectUnclaimed ends the job with the result of a claim that was not granted.
func (s *shard) rejectUnclaimed(j *job, r *rrpeer.Result) {
	s.mu.Lock()
	open := s.jobs[j.id] == j
	delete(s.jobs, j.id)
	s.mu.Unlock()
	if open {
		r.ID, r.Shard = j.task.ID, s.key.Shard
		if r.Run == rrpeer.RunNever && s.ctx.Err() != nil {
			// The claim was cancelled because the shard stopped; another owner may still
			// run the work.
			r.Reason, r.RetryAfter = rrquery.ReasonLeaving, 0
		}
		j.result(*r)
	}
}

// attemptEnded updates the job after the end of an attempt. The caller holds mu.
func (s *shard) attemptEnded(at *attempt) {
	j := at.job
	j.active--
	if !at.sent {
		return
	}
	j.sent--
	switch {
	case at.reply.Outcome == rrupstream.OutcomeAnswered:
		j.mayHaveRun = true
		s.recordOutcome(j, &at.reply)
	case !at.reply.Outcome.NotRun() && !at.reply.Refused:
		j.mayHaveRun = true
	}
}

// recordOutcome records the outcome with the claim. It does not wait for the store,
// so that the answer is not delayed; docs/design/claims.md discusses the trade-off.
func (s *shard) recordOutcome(j *job, reply *rrupstream.Reply) {
	if j.claim == nil {
		return
	}
	s.owner.claimer.Record(j.task, j.claim.Ticket, rrclaim.Outcome{
		Shard:    s.key.Shard,
		Snapshot: reply.Snapshot,
		Hits:     reply.Hits,
	})
	j.claim = nil
}

// releaseIfNotRun releases the claim of a job that has ended and certainly did not
// run. The caller holds mu and has removed the job.
func (s *shard) releaseIfNotRun(j *job) {
	if j.claim == nil || j.active > 0 || j.mayHaveRun {
		return
	}
	s.owner.claimer.Release(j.task, j.claim.Ticket)
	j.claim = nil
}
