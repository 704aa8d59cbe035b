package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// A load of four jobs each millisecond presses on a paused searcher, also at the end of its
// pause, when all of the queue could go there at once.
func TestPausedSearcherUnderLoad(t *testing.T) {
	s := newLimitedShard(3, "a", "b")
	pausedAt := s.now
	s.RecordPause(s.now, "a", rrunit.Duration(2*time.Second))
	for range 3000 {
		for range 4 {
			s.offer(0)
		}
		s.pass(time.Millisecond, answered)
	}
	end := pausedAt.Add(2 * time.Second)
	var after []rrunit.Instant
	for _, at := range s.sent["a"] {
		must.GreaterEq(t, end, at)
		after = append(after, at)
	}
	must.SliceNotEmpty(t, after)
	must.Less(t, end.Add(500*time.Millisecond), after[0])
	must.Greater(t, 100, len(s.sent["b"]))
}

// With all searchers paused, a job is refused at once if it would be late, and waits if it
// would not; the first attempt after the pause goes alone.
func TestAllPaused(t *testing.T) {
	s := newLimitedShard(3, "a", "b")
	s.RecordPause(s.now, "a", rrunit.Duration(5*time.Second))
	s.RecordPause(s.now, "b", rrunit.Duration(40*time.Millisecond))
	s.offer(0)
	s.offer(0)
	s.offer(0)
	must.Len(t, 0, s.replies)
	s.now = s.now.Add(46 * time.Millisecond)
	s.record(s.Tick(s.now))
	must.Len(t, 1, s.sent["b"])

	s = newLimitedShard(3, "a", "b")
	s.RecordPause(s.now, "a", rrunit.Duration(5*time.Second))
	s.RecordPause(s.now, "b", rrunit.Duration(3*time.Second))
	s.offer(0)
	must.Len(t, 1, s.replies)
	must.Eq(t, rrquery.ReasonPaused, s.replies[0].Reason)
	must.Between(t, 3*time.Second, s.replies[0].RetryAfter.Std(), 3500*time.Millisecond)
}

// Jobs that wait already are refused at once when the last searcher asks for a pause that ends
// too late for them, with its end. Others go on waiting.
func TestLastPauseRefusesWaitingJobs(t *testing.T) {
	s := newLimitedShard(1, "a", "b")
	offer := func(left time.Duration) rrdispatch.JobID {
		s.lastJob++
		s.record(s.Offer(s.now, rrdispatch.Job{ID: s.lastJob, Fingerprint: rrunit.Fingerprint(s.lastJob), MaxAttempts: 3, Deadline: s.now.Add(left)}))
		return s.lastJob
	}
	offer(time.Minute)
	offer(time.Minute)
	late, patient := offer(2*time.Second), offer(time.Minute)
	must.MapLen(t, 2, s.running)
	s.now = s.now.Add(time.Millisecond)
	s.RecordPause(s.now, "a", rrunit.Duration(10*time.Second))
	s.RecordPause(s.now, "b", rrunit.Duration(20*time.Second))
	s.record(s.Tick(s.now))
	must.Len(t, 1, s.replies)
	must.Eq(t, late, s.replies[0].Job)
	must.Eq(t, rrquery.ReasonPaused, s.replies[0].Reason)
	must.Between(t, 10*time.Second, s.replies[0].RetryAfter.Std(), 10500*time.Millisecond)
	sent := len(s.sent["a"])
	for id, searcher := range s.running {
		delete(s.running, id)
		if searcher == "a" {
			s.record(s.Finish(s.now, id, rrupstream.OutcomeAnswered))
		}
	}
	must.Len(t, sent, s.sent["a"])
	s.now = s.now.Add(11 * time.Second)
	s.record(s.Tick(s.now))
	must.Len(t, sent+1, s.sent["a"])
	must.Len(t, 1, s.replies, must.Sprint(patient))
}

// A searcher that refuses again after its pause is not taken for down or overloaded.
func TestRefusalAfterAPause(t *testing.T) {
	s := newLimitedShard(3, "a")
	for range 20 {
		s.RecordPause(s.now, "a", rrunit.Duration(10*time.Millisecond))
		s.now = s.now.Add(12 * time.Millisecond)
		s.offer(0)
		for id := range s.running {
			s.RecordPause(s.now, "a", rrunit.Duration(10*time.Millisecond))
			delete(s.running, id)
			s.record(s.Finish(s.now, id, rrupstream.OutcomeFailed))
		}
	}
	state := s.State(s.now).Searchers[0]
	must.Eq(t, "up", state.Health)
	must.Zero(t, state.FailureRate)
}
