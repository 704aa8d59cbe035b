package rrowner

import (
	"context"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// attempt is a subquery in flight at a searcher.
type attempt struct {
	job    *job
	cancel context.CancelFunc
	// sent is set once the attempt was passed to the upstream client.
	sent  bool
	reply rrupstream.Reply
}

// send starts an attempt. The caller holds mu.
func (s *shard) send(a *rrdispatch.Action) {
	j := s.jobs[a.Job]
	// Not a child of the shard's context: all attempts would contend for its lock.
	ctx, cancel := context.WithCancel(context.Background())
	at := &attempt{job: j, cancel: cancel}
	s.attempts[a.Attempt] = at
	if s.ctx.Err() != nil {
		cancel()
	}
	j.active++
	id, target := a.Attempt, s.targets[a.Searcher]
	s.owner.goroutines.Go(func() {
		defer cancel()
		reply := s.runAttempt(ctx, at, target)
		s.finish(id, at, reply)
	})
}

// cancelAttempts cancels every attempt once the shard has stopped.
func (s *shard) cancelAttempts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.attempts {
		at.cancel()
	}
}

// runAttempt runs one attempt. Non-idempotent work is not cancelled once it is sent,
// so that its outcome can be recorded.
func (s *shard) runAttempt(ctx context.Context, at *attempt, target rrupstream.Target) rrupstream.Reply {
	j := at.job
	left, ok := s.markSent(at)
	if !ok {
		return rrupstream.Reply{Outcome: rrupstream.OutcomeUnsent}
	}
	if !j.task.Idempotent {
		sendCtx, cancel := context.WithTimeout(s.ctx, left)
		defer cancel()
		ctx = sendCtx
	}
	return s.search(ctx, j, target, left)
}

// markSent marks the attempt as sent and returns the time left. It returns false if
// the job has ended: a job that was reported as not run must never be sent.
func (s *shard) markSent(at *attempt) (time.Duration, bool) {
	j := at.job
	left := j.deadline.Sub(s.owner.clock())
	if left <= 0 {
		s.tick()
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[j.id] != j {
		return 0, false
	}
	at.sent = true
	j.sent++
	return left, true
}

func (s *shard) search(ctx context.Context, j *job, target rrupstream.Target, left time.Duration) rrupstream.Reply {
	reply := s.owner.upstream.Search(ctx, target, &rrupstream.Request{
		Service:  j.task.Service,
		Shard:    s.key.Shard,
		Snapshot: j.task.Snapshot,
		Rank:     j.task.Rank,
		Caller:   j.task.Caller,
		ID:       j.task.Request,
		TimeLeft: rrunit.Duration(left),
		Limit:    j.task.Limit,
		Body:     j.task.Body,
	})
	if reply.Outcome == rrupstream.OutcomeAnswered && reply.Snapshot != j.task.Snapshot {
		reply.Outcome = rrupstream.OutcomeWrongSnapshot
	}
	return reply
}

func (s *shard) finish(id rrdispatch.AttemptID, at *attempt, reply rrupstream.Reply) {
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		at.reply = reply
		s.attemptEnded(at)
		actions := s.core.Finish(now, id, reply.Outcome)
		if s.jobs[at.job.id] != at.job {
			s.releaseIfNotRun(at.job)
		}
		return actions
	})
	s.mu.Lock()
	delete(s.attempts, id)
	s.mu.Unlock()
}
