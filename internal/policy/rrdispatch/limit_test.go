package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// limitedShard is a shard whose searchers may name request limits, of which this daemon
// has half.
type limitedShard struct {
	*rrdispatch.Shard
	cfg     rrdispatch.Config
	now     rrunit.Instant
	lastJob rrdispatch.JobID
	// sent has the instants of the attempts at each searcher, and running the attempts in
	// flight.
	sent    map[rrunit.SearcherID][]rrunit.Instant
	running map[rrdispatch.AttemptID]rrunit.SearcherID
	// replies has the final replies that are no answers.
	replies []rrdispatch.Action
}

func newLimitedShard(slots int, ids ...rrunit.SearcherID) *limitedShard {
	cfg := rrdispatch.Config{
		QueueLimit: 64, ExtraShare: 0.5, ExtraWindow: rrunit.Duration(10 * time.Second), ExtraSlack: 100, ChargeRefused: true, ServiceTimes: rrestimate.NewServiceTimes(),
		Ranks: []rrdispatch.Rank{{Name: "urgent", Floor: 0.25}, {Name: "usual", Floor: 0.25}}, QuarantineDuration: rrunit.Duration(time.Minute),
	}
	for _, id := range ids {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: slots, RoundTrip: rrunit.Duration(time.Millisecond), LimitShare: 0.5})
	}
	s := &limitedShard{
		Shard: rrdispatch.New(cfg), cfg: cfg, now: second,
		sent: make(map[rrunit.SearcherID][]rrunit.Instant), running: make(map[rrdispatch.AttemptID]rrunit.SearcherID),
	}
	s.SetIdleConnections(func(rrunit.SearcherID) int { return 8 })
	return s
}

// nameLimit records that the searcher names the limit.
func (s *limitedShard) nameLimit(id rrunit.SearcherID, limit rrunit.Rate) {
	s.RecordLimit(s.now, id, &limit)
}

// offer offers a job and returns the actions.
func (s *limitedShard) offer(rank int) []rrdispatch.Action {
	s.lastJob++
	return s.record(s.Offer(s.now, rrdispatch.Job{
		ID: s.lastJob, Version: 1, Rank: rank, Fingerprint: rrunit.Fingerprint(s.lastJob), Idempotent: true, MaxAttempts: 3,
		Target: s.now.Add(100 * time.Millisecond), Deadline: s.now.Add(time.Second),
	}))
}

func (s *limitedShard) record(actions []rrdispatch.Action) []rrdispatch.Action {
	for _, a := range actions {
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.sent[a.Searcher] = append(s.sent[a.Searcher], s.now)
			s.running[a.Attempt] = a.Searcher
		case rrdispatch.ActionReply:
			if a.Reason != rrquery.ReasonNone {
				s.replies = append(s.replies, a)
			}
		}
	}
	return actions
}

// pass lets time pass in milliseconds, and finishes all attempts after each.
func (s *limitedShard) pass(d time.Duration, outcome func() rrupstream.Outcome) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(time.Millisecond)
		s.record(s.Tick(s.now))
		for id := range s.running {
			delete(s.running, id)
			s.record(s.Finish(s.now, id, outcome()))
		}
	}
}

func answered() rrupstream.Outcome { return rrupstream.OutcomeAnswered }

// mostIn returns the largest number of instants in any span.
func mostIn(instants []rrunit.Instant, span time.Duration) int {
	most, first := 0, 0
	for i, at := range instants {
		for at.Sub(instants[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// What is beyond a searcher's limit goes to the others, and the searcher is used as before
// once it names no limit any more.
func TestNamedLimitMovesJobs(t *testing.T) {
	s := newLimitedShard(1, "limited", "free")
	offer := func() int {
		s.sent = make(map[rrunit.SearcherID][]rrunit.Instant)
		for range 200 {
			// The second finds one searcher busy.
			s.offer(0)
			s.offer(0)
			s.pass(20*time.Millisecond, answered)
		}
		must.Eq(t, 400, len(s.sent["limited"])+len(s.sent["free"]))
		must.SliceEmpty(t, s.replies)
		return len(s.sent["limited"])
	}
	must.Greater(t, 60, offer())
	s.nameLimit("limited", 10)
	must.Between(t, 15, offer(), 21, must.Sprint("5 a second for 4 s"))
	s.RecordLimit(s.now, "limited", nil)
	must.Greater(t, 60, offer())
}

// A job for which the limits of all searchers leave no room is refused at once, as not run
// and with the time after which there may be room.
func TestLimitedJobsAreRefusedAtOnce(t *testing.T) {
	s := newLimitedShard(8, "a", "b")
	s.nameLimit("a", 10)
	s.nameLimit("b", 10)
	for range 200 {
		reason, retryAfter := s.Admits(s.now, 0)
		actions := s.offer(0)
		must.SliceLen(t, 1, actions)
		if actions[0].Kind != rrdispatch.ActionReply {
			must.Eq(t, rrquery.ReasonNone, reason)
		} else {
			must.Eq(t, rrquery.ReasonLimited, reason)
			must.Eq(t, rrquery.ReasonLimited, actions[0].Reason)
			must.Eq(t, rrpeer.RunNever, actions[0].Run)
			must.Eq(t, retryAfter, actions[0].RetryAfter.Std())
			must.Between(t, 50*time.Millisecond, retryAfter, 200*time.Millisecond)
		}
		s.pass(20*time.Millisecond, answered)
	}
	must.Between(t, 36, 200-len(s.replies), 42, must.Sprint("10 a second for 4 s"))
}

// A retry that would wait for longer than its target for room under the limits is refused at
// once, and one that would not waits.
func TestLimitedRetryDoesNotWaitInVain(t *testing.T) {
	for name, c := range map[string]struct {
		limit   rrunit.Rate
		outcome rrupstream.Outcome
		run     rrpeer.RunState
	}{
		"refused, little room": {1, rrupstream.OutcomeShed, rrpeer.RunNever},
		"lost, little room":    {1, rrupstream.OutcomeConnectionLost, rrpeer.RunMaybe},
		"refused, much room":   {100, rrupstream.OutcomeShed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedShard(8, "free", "limited")
			s.nameLimit("limited", c.limit)
			actions := s.offer(0)
			must.Eq(t, "free", actions[0].Searcher)
			actions = s.record(s.Finish(s.now, actions[0].Attempt, c.outcome))
			if c.run == "" {
				must.SliceEmpty(t, actions)
				s.pass(50*time.Millisecond, answered)
				must.SliceLen(t, 1, s.sent["limited"])
				return
			}
			must.SliceLen(t, 1, s.replies)
			must.Eq(t, rrquery.ReasonLimited, s.replies[0].Reason)
			must.Eq(t, c.run, s.replies[0].Run)
		})
	}
}

// A searcher that names a limit of zero is asked now and then, since only its answers show
// that the limit has ended.
func TestLimitOfZeroIsProbed(t *testing.T) {
	s := newLimitedShard(8, "a")
	s.nameLimit("a", 0)
	for range 6000 {
		s.offer(0)
		s.pass(10*time.Millisecond, answered)
	}
	must.Between(t, 10, len(s.sent["a"]), 20, must.Sprint("one in 4 s for 60 s"))
}

// Retries, second attempts, probes and trials of suspects keep to the limit too, whatever
// the searchers do and however the number of daemons changes.
func TestEveryAttemptKeepsToNamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20
		s := newLimitedShard(8, "a", "b", "free")
		s.nameLimit("a", limit)
		s.nameLimit("b", limit)
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]rrupstream.Outcome{
			rrupstream.OutcomeAnswered, rrupstream.OutcomeAnswered, rrupstream.OutcomeShed, rrupstream.OutcomeFailed, rrupstream.OutcomeConnectionLost,
			rrupstream.OutcomeStaleConnection, rrupstream.OutcomeUnsent, rrupstream.OutcomeCancelled,
		}), 1, 30).Draw(t, "outcomes")
		n := 0
		outcome := func() rrupstream.Outcome {
			n++
			return outcomes[n%len(outcomes)]
		}
		crash := rapid.IntRange(1, 50).Draw(t, "crash")
		for i := range 300 {
			s.offer(i % 2)
			if i%crash == 0 {
				s.record(s.RecordCrash(s.now, rrunit.Fingerprint(s.lastJob), "a", ""))
			}
			s.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause"))*time.Millisecond, outcome)
		}
		// Half of the limit, for the span and the second for which unused requests are kept.
		const span, most = 4 * time.Second, limit/2*(4+1) + 1
		for _, id := range []rrunit.SearcherID{"a", "b"} {
			if got := mostIn(s.sent[id], span); got > most {
				t.Fatalf("%d attempts at %s in %s, want at most %d", got, id, span, most)
			}
		}
	})
}

// Where the limits leave room for half of the jobs, urgent ones are served, and the others
// get their floor of what the limits allow even if urgent ones alone exceed it.
func TestUrgentJobsGoFirstUnderLimits(t *testing.T) {
	const limit, seconds = 40, 20 // a quota of 20 a second
	for name, c := range map[string]struct {
		urgentPerSecond, usualPerSecond int
		minUrgent, minUsual             float64
	}{
		"few urgent jobs":  {10, 30, 0.9 * 10, 0.6 * (limit/2 - 10)},
		"many urgent jobs": {40, 40, 0.6 * limit / 2, 0.8 * limit / 2 / 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedShard(8, "a")
			s.nameLimit("a", limit)
			served := make([]float64, 2)
			due := make([]float64, 2)
			for range seconds * 100 {
				for rank, perSecond := range []int{c.urgentPerSecond, c.usualPerSecond} {
					due[rank] += float64(perSecond) / 100
					for ; due[rank] >= 1; due[rank]-- {
						if s.offer(rank)[0].Kind == rrdispatch.ActionSend {
							served[rank] += 1.0 / seconds
						}
					}
				}
				s.pass(10*time.Millisecond, answered)
			}
			must.GreaterEq(t, c.minUrgent, served[0], must.Sprint(served))
			must.GreaterEq(t, c.minUsual, served[1], must.Sprint(served))
		})
	}
}
