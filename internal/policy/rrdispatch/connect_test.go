package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// newRegionalShard returns a shard with a searcher in the own region and two in other
// regions, with the connect times of a large deployment.
func newRegionalShard(roundTrip time.Duration) *rrdispatch.Shard {
	far := func(id rrunit.SearcherID) rrdispatch.Searcher {
		return rrdispatch.Searcher{
			ID: id, Slots: 4, IsOtherRegion: true, RoundTrip: rrunit.Duration(roundTrip), ConnectTime: rrunit.Duration(22 * time.Millisecond),
		}
	}
	return rrdispatch.New(rrdispatch.Config{
		QueueLimit: 64, ExtraShare: 0.2, ExtraWindow: rrunit.Duration(10 * time.Second), ExtraSlack: 20, ChargeRefused: true, ServiceTimes: rrestimate.NewServiceTimes(),
		Ranks: []rrdispatch.Rank{{Name: "urgent"}},
		Searchers: []rrdispatch.Searcher{
			{ID: "near", Slots: 4, RoundTrip: rrunit.Duration(time.Millisecond), ConnectTime: rrunit.Duration(7 * time.Millisecond)},
			far("far1"), far("far2"),
		},
	})
}

// secondAttempt offers a job whose first attempt is never answered, and returns the
// searcher of the second attempt and the time until its start.
func secondAttempt(t *testing.T, s *rrdispatch.Shard, idle map[rrunit.SearcherID]int) (to rrunit.SearcherID, after time.Duration) {
	t.Helper()
	const start = second
	s.SetIdleConnections(func(id rrunit.SearcherID) int { return idle[id] })
	actions := s.Offer(start, rrdispatch.Job{
		ID: 1, Version: 1, Idempotent: true, MaxAttempts: 2, Target: start.Add(70 * time.Millisecond), Deadline: start.Add(time.Second),
	})
	must.SliceLen(t, 1, actions)
	must.Eq(t, "near", actions[0].Searcher)
	for at := start; at < start.Add(100*time.Millisecond); at = at.Add(time.Millisecond) {
		for _, a := range s.Tick(at) {
			if a.Kind == rrdispatch.ActionSend {
				return a.Searcher, at.Sub(start)
			}
		}
	}
	t.Fatal("no second attempt was sent")
	return "", 0
}

// A second attempt goes to the searcher with an open connection.
func TestSecondAttemptPrefersOpenConnection(t *testing.T) {
	for _, open := range []rrunit.SearcherID{"far1", "far2"} {
		to, _ := secondAttempt(t, newRegionalShard(16*time.Millisecond), map[rrunit.SearcherID]int{"near": 1, open: 1})
		must.Eq(t, open, to)
	}
}

// A second attempt does not start earlier to allow for the connect time, as most first
// attempts are answered meanwhile.
func TestConnectTimeDoesNotAdvanceSecondAttempt(t *testing.T) {
	_, open := secondAttempt(t, newRegionalShard(16*time.Millisecond), map[rrunit.SearcherID]int{"near": 1, "far1": 1})
	_, none := secondAttempt(t, newRegionalShard(16*time.Millisecond), map[rrunit.SearcherID]int{"near": 1})
	must.Eq(t, open, none)
}

// The connect time does not count as a slowdown of the searcher.
func TestConnectTimeIsNotSlowdown(t *testing.T) {
	s := newRegionalShard(8 * time.Millisecond)
	s.SetIdleConnections(func(id rrunit.SearcherID) int { return map[rrunit.SearcherID]int{"far1": 1}[id] })
	now := second
	for id := range rrdispatch.JobID(8) {
		actions := s.Offer(now, rrdispatch.Job{ID: id + 1, Version: 1, Idempotent: true, Deadline: now.Add(time.Second)})
		must.Eq(t, "near", actions[0].Searcher)
		// The round trip, the connect time, and a usual service time.
		now = now.Add(18 * time.Millisecond)
		s.RecordConnection(actions[0].Attempt, true)
		s.Finish(now, actions[0].Attempt, rrupstream.OutcomeAnswered)
		now = now.Add(20 * time.Millisecond)
	}
}
