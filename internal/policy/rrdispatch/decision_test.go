package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// newUnreportedShard returns a shard of searchers a and b, with one slot each, that have
// not reported their load.
func newUnreportedShard() *rrdispatch.Shard {
	return rrdispatch.New(rrdispatch.Config{
		Layout: "base", QueueLimit: 2, ExtraShare: 0.05, QuarantineDuration: rrunit.Duration(time.Minute),
		Ranks:     []rrdispatch.Rank{{Name: "urgent", Floor: 0.5}, {Name: "batch", Floor: 0.1}},
		Searchers: []rrdispatch.Searcher{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}},
	})
}

// newReportedShard returns the same shard after load reports with version 1.
func newReportedShard() *rrdispatch.Shard {
	s := newUnreportedShard()
	s.RecordLoadReport(0, "a", serving(1))
	s.RecordLoadReport(0, "b", serving(1))
	return s
}

func job(id rrdispatch.JobID) rrdispatch.Job {
	return rrdispatch.Job{ID: id, Version: 1, Fingerprint: rrunit.Fingerprint(id), Idempotent: true, Deadline: second}
}

// TestFinalReplies ends the attempts of one job with the outcomes in turn, and checks the
// number of attempts and the reply.
func TestFinalReplies(t *testing.T) {
	type outcomes []rrupstream.Outcome
	for name, c := range map[string]struct {
		outcomes outcomes
		once     bool
		sent     int
		run      rrpeer.RunState
		reason   rrquery.Reason
	}{
		"answered":              {outcomes{"answered"}, false, 1, "done", ""},
		"retried after loss":    {outcomes{"lost", "answered"}, false, 2, "done", ""},
		"retried after shed":    {outcomes{"shed", "answered"}, true, 2, "done", ""},
		"lost everywhere":       {outcomes{"lost", "lost"}, false, 2, "maybe", "lost"},
		"failed everywhere":     {outcomes{"failed", "failed"}, false, 2, "maybe", "lost"},
		"shed twice everywhere": {outcomes{"shed", "shed", "shed", "shed"}, false, 4, "not", "overload"},
		"unsent everywhere":     {outcomes{"unsent", "unsent"}, false, 2, "not", "nosearcher"},
		"all leave":             {outcomes{"draining", "draining"}, false, 2, "not", "nosearcher"},
		"no version":            {outcomes{"snapshot", "snapshot"}, false, 2, "maybe", "snapshot"},
		"shed, then lost":       {outcomes{"shed", "lost"}, false, 2, "maybe", "lost"},
		"malformed":             {outcomes{"rejected"}, false, 1, "not", "rejected"},
		"once, lost":            {outcomes{"lost"}, true, 1, "maybe", "lost"},
		"once, failed":          {outcomes{"failed"}, true, 1, "maybe", "lost"},
		"once, unsent, failed":  {outcomes{"unsent", "failed"}, true, 2, "maybe", "lost"},
		"once, not run":         {outcomes{"draining", "unsent"}, true, 2, "not", "nosearcher"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReportedShard()
			j := job(1)
			j.Idempotent = !c.once
			now := rrunit.Instant(0)
			actions := s.Offer(now, j)
			var sends []rrdispatch.Action
			var reply *rrdispatch.Action
			for range 100 {
				for _, a := range actions {
					switch a.Kind {
					case rrdispatch.ActionSend:
						sends = append(sends, a)
					case rrdispatch.ActionReply:
						must.Nil(t, reply)
						reply = &a
					}
				}
				if reply != nil {
					break
				}
				if n := len(sends); n <= len(c.outcomes) && n > 0 && c.outcomes[n-1] != "" {
					now = now.Add(ms)
					actions = s.Finish(now, sends[n-1].Attempt, c.outcomes[n-1])
					c.outcomes[n-1] = ""
					continue
				}
				next, ok := s.Next()
				must.True(t, ok)
				now = next
				actions = s.Tick(now)
			}
			must.NotNil(t, reply)
			must.Len(t, c.sent, sends)
			must.Eq(t, c.run, reply.Run)
			must.Eq(t, c.reason, reply.Reason)
			for i := 1; i < len(sends); i++ {
				must.NotEq(t, sends[i-1].Searcher, sends[i].Searcher)
			}
		})
	}
}

func TestHedgeCancelsTheFirstAttempt(t *testing.T) {
	s := newReportedShard()
	first := s.Offer(0, job(1))
	at, ok := s.Next()
	must.True(t, ok)
	must.Eq(t, 50*ms, at.Sub(0))
	second := s.Tick(at)
	must.Len(t, 1, second)
	must.Eq(t, rrdispatch.ActionSend, second[0].Kind)
	must.NotEq(t, first[0].Searcher, second[0].Searcher)
	// Both searchers are busy, so the next job waits.
	must.SliceEmpty(t, s.Offer(at, job(2)))
	end := s.Finish(at.Add(ms), second[0].Attempt, rrupstream.OutcomeAnswered)
	must.Eq(t, []rrdispatch.Action{
		{Kind: rrdispatch.ActionReply, Job: 1, Attempt: second[0].Attempt, Run: rrpeer.RunDone},
		{Kind: rrdispatch.ActionCancel, Job: 1, Attempt: first[0].Attempt, Searcher: first[0].Searcher},
		{Kind: rrdispatch.ActionSend, Job: 2, Attempt: 3, Searcher: second[0].Searcher},
	}, end)
	// The cancelled attempt holds its slot until it ends.
	must.SliceEmpty(t, s.Offer(at.Add(ms), job(3)))
	must.Len(t, 1, s.Finish(at.Add(2*ms), first[0].Attempt, rrupstream.OutcomeCancelled))
}

func TestNonIdempotentIsNeverHedged(t *testing.T) {
	s := newReportedShard()
	j := job(1)
	j.Idempotent = false
	must.Len(t, 1, s.Offer(0, j))
	at, _ := s.Next()
	must.Eq(t, j.Deadline, at)
	must.Eq(t, []rrdispatch.Action{
		{Kind: rrdispatch.ActionReply, Job: 1, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonDeadline},
		{Kind: rrdispatch.ActionCancel, Job: 1, Attempt: 1, Searcher: "a"},
	}, s.Tick(at))
}

func TestLeavingSearchersGetNoJobs(t *testing.T) {
	sources := map[string]func(*rrdispatch.Shard, rrunit.SearcherID){
		"list": func(s *rrdispatch.Shard, id rrunit.SearcherID) {
			s.SetLeaving(0, func(w rrunit.SearcherID) bool { return w == id })
		},
		"report": func(s *rrdispatch.Shard, id rrunit.SearcherID) {
			load := serving(1)
			load.Draining = true
			s.RecordLoadReport(0, id, load)
		},
		"answer": func(s *rrdispatch.Shard, id rrunit.SearcherID) {
			sent := s.Offer(0, job(100))
			must.Eq(t, id, sent[0].Searcher)
			s.Finish(0, sent[0].Attempt, rrupstream.OutcomeDraining)
			s.Cancel(0, 100)
			s.Finish(0, 2, rrupstream.OutcomeCancelled)
			// A lagging report does not reset it.
			s.RecordLoadReport(0, id, serving(1))
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			s := newReportedShard()
			leave(s, "a")
			for i := range rrdispatch.JobID(3) {
				for _, a := range s.Offer(0, job(i+1)) {
					must.Eq(t, "b", a.Searcher)
				}
			}
		})
	}
}

func TestReport(t *testing.T) {
	s := newReportedShard()
	s.RecordLoadReport(0, "a", serving(3, 1, 3))
	s.RecordLoadReport(0, "b", serving(2, 1))
	must.Eq(t, rrpeer.ShardReport{Versions: []rrunit.IndexVersion{1, 1, 2, 3}}, s.Report(0))
	for i := range rrdispatch.JobID(4) {
		s.Offer(rrunit.Instant(i)*rrunit.Instant(ms), job(i+1))
	}
	wait := rrpeer.RankWait{Rank: "urgent", Wait: rrunit.Duration(8 * ms)}
	must.Eq(t, []rrpeer.RankWait{wait}, s.Report(rrunit.Instant(10*ms)).Waits)
	// The queue of the rank is full.
	refused := s.Offer(rrunit.Instant(10*ms), job(9))
	must.Len(t, 1, refused)
	must.Eq(t, rrquery.ReasonOverload, refused[0].Reason)
	must.Eq(t, rrpeer.RunNever, refused[0].Run)
	must.Positive(t, refused[0].RetryAfter)
	// A searcher that is down does not count.
	s.Finish(rrunit.Instant(10*ms), 1, rrupstream.OutcomeUnsent)
	must.Eq(t, []rrunit.IndexVersion{1, 2}, s.Report(rrunit.Instant(10*ms)).Versions)
}

func TestUnservableJobsAreRefusedAtOnce(t *testing.T) {
	s := newReportedShard()
	early := job(1)
	early.Deadline = 0
	must.Eq(t, rrquery.ReasonDeadline, s.Offer(0, early)[0].Reason)
	missing := job(2)
	missing.Version = 9
	must.Eq(t, rrquery.ReasonSnapshot, s.Offer(0, missing)[0].Reason)
	s.SetLeaving(0, func(rrunit.SearcherID) bool { return true })
	must.Eq(t, rrquery.ReasonNoSearcher, s.Offer(0, job(3))[0].Reason)
}

// A new owner sends no jobs until the searchers have reported their load, so that a
// leaving one gets none, but sends them soon if the reports do not come.
func TestNewOwnerAwaitsReports(t *testing.T) {
	s := newUnreportedShard()
	s.AwaitReports(0)
	must.SliceEmpty(t, s.Offer(0, job(1)))
	leaving := serving(1)
	leaving.Draining = true
	must.SliceEmpty(t, s.RecordLoadReport(rrunit.Instant(ms), "a", leaving))
	sent := s.RecordLoadReport(rrunit.Instant(2*ms), "b", serving(1))
	must.Len(t, 1, sent)
	must.Eq(t, "b", sent[0].Searcher)

	s = newUnreportedShard()
	s.AwaitReports(0)
	must.SliceEmpty(t, s.Offer(0, job(1)))
	due, ok := s.Next()
	must.True(t, ok)
	must.LessEq(t, rrunit.Instant(30*ms), due)
	must.Len(t, 1, s.Tick(due))
}
