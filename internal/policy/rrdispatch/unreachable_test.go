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

// newOneRankShard returns a shard with one rank and with the searchers, which have that
// many slots each.
func newOneRankShard(queue, slots int, searchers ...rrunit.SearcherID) *rrdispatch.Shard {
	cfg := rrdispatch.Config{Layout: "base", QueueLimit: queue, ExtraShare: 0.05, Ranks: []rrdispatch.Rank{{Name: "urgent"}}}
	for _, id := range searchers {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: slots})
	}
	return rrdispatch.New(cfg)
}

// The only searcher stops responding with an attempt in flight. After two missed load
// reports the attempt is cancelled, further jobs are refused at once, and the next load
// report brings the searcher back.
func TestUnreachableSearcher(t *testing.T) {
	const poll = 500 * time.Millisecond
	s := newOneRankShard(8, 3, "a")
	job := func(id rrdispatch.JobID, now rrunit.Instant) rrdispatch.Job {
		return rrdispatch.Job{ID: id, Version: 1, Idempotent: true, Deadline: now.Add(time.Minute)}
	}
	now := rrunit.Instant(time.Second)
	s.RecordLoadReport(now, "a", serving(1))
	sent := s.Offer(now, job(1, now))
	must.Len(t, 1, sent)

	must.SliceEmpty(t, s.RecordMissedReport(now.Add(poll), "a", now))
	now = now.Add(poll)
	cancelled := s.RecordMissedReport(now.Add(poll), "a", now)
	now = now.Add(poll)
	must.Len(t, 1, cancelled)
	must.Eq(t, rrdispatch.ActionCancel, cancelled[0].Kind)
	replied := s.Finish(now, sent[0].Attempt, rrupstream.OutcomeCancelled)
	must.Len(t, 1, replied)
	must.Eq(t, rrquery.ReasonLost, replied[0].Reason)

	refused := s.Offer(now, job(2, now))
	must.Len(t, 1, refused)
	must.Eq(t, rrquery.ReasonNoSearcher, refused[0].Reason)

	now = now.Add(poll)
	s.RecordLoadReport(now, "a", serving(1))
	back := s.Offer(now, job(3, now))
	must.Len(t, 1, back)
	must.Eq(t, rrdispatch.ActionSend, back[0].Kind)
}

// More attempts than the budget's burst are cancelled at an unreachable searcher, and all
// their jobs are retried at the other one.
func TestUnreachableSearcherLosesNoJobs(t *testing.T) {
	s := newOneRankShard(100, 20, "a", "b")
	s.RecordLoadReport(0, "a", serving(1))
	s.RecordLoadReport(0, "b", serving(1))
	for i := range rrdispatch.JobID(40) {
		must.Len(t, 1, s.Offer(0, rrdispatch.Job{ID: i + 1, Version: 1, Idempotent: true, Deadline: second}))
	}
	s.RecordMissedReport(1, "a", 1)
	cancelled := s.RecordMissedReport(2, "a", 2)
	must.Len(t, 20, cancelled)
	for _, a := range cancelled {
		must.SliceEmpty(t, s.Finish(3, a.Attempt, rrupstream.OutcomeCancelled))
	}
}

// Only the load reports fail while the searcher is idle. Jobs are still sent to it, one
// at first, and an answer brings it back.
func TestMissedReportsOfIdleSearcher(t *testing.T) {
	s := newOneRankShard(8, 3, "a")
	for i := range rrunit.Instant(10) {
		s.RecordMissedReport(i*second/2, "a", i*second/2)
	}
	sent := 0
	now := 10 * second
	for i := range rrdispatch.JobID(3) {
		sent += len(s.Offer(now, rrdispatch.Job{ID: i + 1, Version: 1, Idempotent: true, Deadline: now + second}))
	}
	must.One(t, sent)
	answer := s.Finish(now+1, 1, rrupstream.OutcomeAnswered)
	must.Eq(t, rrdispatch.ActionReply, answer[0].Kind)
	must.Eq(t, rrdispatch.ActionSend, answer[1].Kind)
}
