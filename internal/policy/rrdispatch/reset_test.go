package rrdispatch_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// shared returns a core of four searchers that other daemons send to as well.
func shared() *rrdispatch.Shard {
	cfg := rrdispatch.Config{
		Queue: 64, Extra: 0.2, Window: rrunit.Duration(10 * time.Second), Slack: 20, CountRefused: true, Works: rrestimate.NewWorks(),
		Ranks: []rrdispatch.Rank{{Name: "urgent"}},
	}
	for _, id := range []rrunit.SearcherID{"a", "b", "c", "d"} {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: 8, Distance: rrunit.Duration(time.Millisecond)})
	}
	return rrdispatch.New(cfg)
}

// resets plays four seconds of a request every 10 ms; every second one must not
// run twice.
// The others answer in 3 ms, one in eight requests in 200 ms; from the first
// second on, searcher a resets all but every n-th request at once. It returns how
// many requests went to a, how many of them it answered, and how many of those it
// reset must not run twice.
func resets(n int) (sent, answered, lost int) {
	type end struct {
		at      rrunit.Instant
		attempt rrdispatch.AttemptID
		outcome rrupstream.Outcome
	}
	s := shared()
	var open []end
	job := func(a rrdispatch.Action) int { return int(a.Job) }
	take := func(now rrunit.Instant, actions []rrdispatch.Action) {
		for _, a := range actions {
			switch a.Kind {
			case rrdispatch.ActionCancel:
				open = slices.DeleteFunc(open, func(e end) bool { return e.attempt == a.Attempt })
				open = append(open, end{now, a.Attempt, rrupstream.OutcomeCancelled})
				continue
			case rrdispatch.ActionSend:
			default:
				continue
			}
			e := end{now.Add(3 * time.Millisecond), a.Attempt, rrupstream.OutcomeAnswered}
			if job(a)%8 == 0 {
				e.at = now.Add(200 * time.Millisecond)
			}
			if a.Searcher == "a" && now > rrunit.Instant(time.Second) {
				sent++
				if n == 0 || sent%n != 0 {
					e = end{now.Add(time.Millisecond), a.Attempt, rrupstream.OutcomeStale}
					lost += job(a) % 2
				} else {
					answered++
				}
			}
			open = append(open, e)
		}
	}
	for i := range 400 {
		now := rrunit.Instant(time.Duration(i+1) * 10 * time.Millisecond)
		for {
			slices.SortFunc(open, func(x, y end) int { return cmp.Compare(x.at, y.at) })
			if len(open) == 0 || open[0].at > now {
				break
			}
			e := open[0]
			open = open[1:]
			take(e.at, s.Finish(e.at, e.attempt, e.outcome))
		}
		take(now, s.Tick(now))
		take(now, s.Offer(now, rrdispatch.Job{
			ID: rrdispatch.JobID(i + 1), Deadline: now.Add(time.Second), Attempts: 2, Idempotent: i%2 == 1,
		}))
	}
	return sent, answered, lost
}

// Resets in a row without an answer are no idle connections that ended: the
// searcher is only asked again now and then. One that answers in between stays
// in use.
func TestResetAtOnce(t *testing.T) {
	// Three resets, then the probes of three seconds: the time between them
	// doubles from 50 ms to a second. Requests that can be sent again make them.
	sent, _, lost := resets(0)
	must.LessEq(t, 12, sent)
	must.LessEq(t, 3, lost)
	_, answered, _ := resets(2)
	must.Greater(t, 10, answered)
}

// A searcher that accepts no more connections costs neither the budget nor one of the
// attempts that the route allows: the request goes on to others, and back to it.
func TestFullSearchersCostNoBudget(t *testing.T) {
	s := shared()
	now := rrunit.Instant(time.Second)
	for id := range rrdispatch.JobID(40) {
		actions := s.Offer(now, rrdispatch.Job{ID: id + 1, Idempotent: true, Attempts: 2, Deadline: now.Add(time.Second)})
		for _, outcome := range []rrupstream.Outcome{"stale", "stale", "stale", "answered"} {
			for range 100 {
				if len(actions) > 0 {
					break
				}
				now = now.Add(time.Millisecond)
				actions = s.Tick(now)
			}
			must.SliceLen(t, 1, actions)
			must.Eq(t, rrdispatch.ActionSend, actions[0].Kind, must.Sprintf("job %d is given up as %s", id, actions[0].Reason))
			now = now.Add(time.Millisecond)
			s.NoteConnection(actions[0].Attempt, outcome == rrupstream.OutcomeStale)
			actions = s.Finish(now, actions[0].Attempt, outcome)
		}
		must.SliceLen(t, 1, actions)
		must.Eq(t, rrpeer.RunDone, actions[0].Run)
		now = now.Add(2 * time.Second)
	}
}

// A kept connection that ends at once may have carried the request to the searcher: it
// costs the budget.
func TestEndedConnectionsCostTheBudget(t *testing.T) {
	s := shared()
	actions := s.Offer(second, rrdispatch.Job{ID: 1, Idempotent: true, Attempts: 2, Deadline: 2 * second})
	must.SliceLen(t, 1, actions)
	before := s.BudgetLeft()
	s.NoteConnection(actions[0].Attempt, false)
	actions = s.Finish(second.Add(time.Millisecond), actions[0].Attempt, rrupstream.OutcomeStale)
	must.SliceLen(t, 1, actions)
	must.Eq(t, rrdispatch.ActionSend, actions[0].Kind)
	must.Eq(t, before-1, s.BudgetLeft())
}

// A searcher that accepts no more connections gets no work that would have to open one,
// for longer and longer; what is connected goes on. Many daemons that have lost power
// would otherwise keep it from all work.
func TestFullSearcherIsLeftAlone(t *testing.T) {
	s := shared()
	only := func(id rrunit.SearcherID) bool { return id == "a" }
	now := rrunit.Instant(time.Second)
	s.SetLeaving(now, func(id rrunit.SearcherID) bool { return !only(id) })
	idle := 0
	sent, opened := 0, 0
	var open []rrdispatch.Action
	take := func(actions []rrdispatch.Action) {
		for _, a := range actions {
			if a.Kind == rrdispatch.ActionSend {
				open = append(open, a)
			}
		}
	}
	for id := range rrdispatch.JobID(4000) {
		now = now.Add(time.Millisecond)
		s.SetIdle(func(rrunit.SearcherID) int { return idle })
		take(s.Tick(now))
		if id%10 == 0 {
			take(s.Offer(now, rrdispatch.Job{ID: id + 1, Idempotent: true, Attempts: 2, Deadline: now.Add(500 * time.Millisecond)}))
		}
		for len(open) > 0 {
			a := open[0]
			open = open[1:]
			sent++
			outcome := rrupstream.OutcomeAnswered
			if idle == 0 {
				opened++
				outcome = rrupstream.OutcomeStale
			}
			s.NoteConnection(a.Attempt, idle == 0)
			take(s.Finish(now, a.Attempt, outcome))
		}
		if id == 3000 {
			idle = 1
		}
	}
	must.LessEq(t, 10, opened, must.Sprint("resets in three seconds"))
	must.GreaterEq(t, 95, sent-opened, must.Sprint("requests in the second in which a connection was open"))
}

// A request that must not run twice is not sent again: the searcher may have read it.
func TestFullSearcherEndsWhatMustNotRunTwice(t *testing.T) {
	s := shared()
	now := rrunit.Instant(time.Second)
	actions := s.Offer(now, rrdispatch.Job{ID: 1, Attempts: 2, Deadline: now.Add(time.Second)})
	must.SliceLen(t, 1, actions)
	s.NoteConnection(actions[0].Attempt, true)
	actions = s.Finish(now.Add(time.Millisecond), actions[0].Attempt, rrupstream.OutcomeStale)
	must.SliceLen(t, 1, actions)
	must.Eq(t, rrdispatch.ActionReply, actions[0].Kind)
	must.Eq(t, rrpeer.RunMaybe, actions[0].Run)
}
