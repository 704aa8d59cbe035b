package rrdispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Guards against a crash of the daemon: a suspect that an answer elsewhere has cleared was
// started without a searcher where only less urgent ranks had room.
func TestClearedSuspectNeedsRoomForItsOwnRank(t *testing.T) {
	s := newLimitedShard(4, "a", "b")
	s.cfg.Suspects = rrquarantine.New(s.cfg.QuarantineDuration)
	s.Shard = rrdispatch.New(s.cfg)
	s.SetIdleConnections(func(rrunit.SearcherID) int { return 8 })
	for range 100 {
		s.cfg.ServiceTimes.Record(s.now, 0, 2*time.Millisecond)
		s.cfg.ServiceTimes.Record(s.now, 1, 200*time.Millisecond)
	}
	const repeated rrunit.Fingerprint = 1000
	offer := func(rank int, f rrunit.Fingerprint) []rrdispatch.Action {
		s.lastJob++
		return s.record(s.Offer(s.now, rrdispatch.Job{
			ID: s.lastJob, Rank: rank, Fingerprint: f, Idempotent: true, MaxAttempts: 3, Deadline: s.now.Add(time.Second),
		}))
	}
	// A slow job keeps one searcher busy, and the repeated request runs at both.
	slow := offer(1, 1)[0]
	lost, atBusy := offer(0, repeated)[0], offer(0, repeated)[0]
	if lost.Searcher == slow.Searcher {
		lost, atBusy = atBusy, lost
	}
	must.Eq(t, slow.Searcher, atBusy.Searcher)
	must.NotEq(t, slow.Searcher, lost.Searcher)
	s.now = s.now.Add(60 * time.Millisecond)
	s.record(s.RecordCrash(s.now, repeated, lost.Searcher, rrquarantine.IsolationUnsuspected))
	s.record(s.Finish(s.now, lost.Attempt, rrupstream.OutcomeConnectionLost))
	// An answer clears the request after the end of the other attempt, and the busy searcher
	// has no room for its rank.
	must.SliceEmpty(t, s.Finish(s.now, atBusy.Attempt, rrupstream.OutcomeFailed))
	s.cfg.Suspects.RecordAnswer(s.now, repeated, s.cfg.Service)
	for range 100 {
		s.now = s.now.Add(time.Millisecond)
		s.record(s.Tick(s.now))
	}
	actions := s.Finish(s.now, slow.Attempt, rrupstream.OutcomeAnswered)
	must.SliceEmpty(t, s.replies)
	must.SliceContainsFunc(t, actions, slow.Searcher, func(a rrdispatch.Action, id rrunit.SearcherID) bool {
		return a.Kind == rrdispatch.ActionSend && a.Searcher == id
	})
}

// Guards against a second searcher that ends under the same request: the hedge left while it
// was found out whether the loss of the first attempt was a crash.
func TestHedgeWaitsForTheCrashCheck(t *testing.T) {
	const check = 50 * time.Millisecond
	for name, isBusy := range map[string]bool{"planned": false, "queued": true} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedShard(1, "a", "b")
			offer := func(idempotent bool) rrdispatch.Action {
				s.lastJob++
				return s.Offer(s.now, rrdispatch.Job{
					ID: s.lastJob, Fingerprint: rrunit.Fingerprint(s.lastJob), Idempotent: idempotent, MaxAttempts: 3, Deadline: s.now.Add(10 * time.Second),
				})[0]
			}
			first := offer(true)
			hedgeAt, ok := s.Next()
			must.True(t, ok)
			var actions []rrdispatch.Action
			if isBusy {
				other := offer(false)
				s.now = hedgeAt
				must.SliceEmpty(t, s.Tick(s.now))
				s.HoldHedge(s.now, first.Attempt, check)
				actions = s.Finish(s.now, other.Attempt, rrupstream.OutcomeAnswered)
			} else {
				s.now = hedgeAt - 1
				s.HoldHedge(s.now, first.Attempt, check)
				actions = s.Tick(hedgeAt)
			}
			heldAt := s.now
			isHedge := func(a rrdispatch.Action) bool { return a.Kind == rrdispatch.ActionSend && a.Job == first.Job }
			must.False(t, slices.ContainsFunc(actions, isHedge))
			must.False(t, slices.ContainsFunc(s.Tick(heldAt.Add(check)-1), isHedge))
			must.True(t, slices.ContainsFunc(s.Tick(heldAt.Add(check)), isHedge))
		})
	}
}
