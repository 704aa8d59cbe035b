package rrdispatch_test

import (
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
	// The end of the other attempt clears the request, and the busy searcher has no room for
	// its rank.
	must.SliceEmpty(t, s.Finish(s.now, atBusy.Attempt, rrupstream.OutcomeFailed))
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
