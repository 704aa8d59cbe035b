package rrhistory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const topK, records = 4, 3

func newHistory() *rrhistory.History {
	h := rrhistory.New(rrhistory.Bounds{
		Attempts: 2, Apply: 20 * time.Millisecond, Drain: 20 * time.Millisecond, Stability: time.Millisecond, Gone: 20 * time.Millisecond,
		Extra: 0.1, Window: time.Second, Slack: 2, Coverage: 0.6, TopK: topK, Records: records,
	})
	h.Written(1, []string{"s0", "s1", "s2"})
	h.Acked()
	h.Started("d")
	return h
}

// gathered is a whole answer of the shards.
func gathered(missing int, shards ...string) *rrhistory.Answer {
	a := &rrhistory.Answer{ID: "r", Daemon: "d", URI: "/all/r", Status: 200, Missing: missing, Sent: time.Now(), Ended: time.Now()}
	var parts [][]byte
	for _, s := range shards {
		a.Stamps = append(a.Stamps, s+"-0.r")
		parts = append(parts, standin.Records(s, a.URI, records))
	}
	a.Body = string(rrgather.TopRecords(parts, topK))
	return a
}

func single() *rrhistory.Answer {
	return &rrhistory.Answer{
		ID: "r", Daemon: "d", URI: "/once/r", Service: "one", Once: true, Status: 200, Stamps: []string{"one-0.r"},
		Body: string(standin.Records("one", "/once/r", records)), Sent: time.Now(), Ended: time.Now(),
	}
}

func seen(searcher, service string, ran bool) standin.RequestEvent {
	return standin.RequestEvent{Searcher: searcher, Service: service, ID: "r", At: time.Now(), Ran: ran}
}

// Each promise is found broken by a history that breaks it, and by no other.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		want rrhistory.Promise
		play func(h *rrhistory.History)
	}{
		"a whole answer":   {"", func(h *rrhistory.History) { h.Answered(gathered(0, "s0", "s1", "s2")) }},
		"a partial answer": {"", func(h *rrhistory.History) { h.Answered(gathered(1, "s2", "s0")) }},
		"too few shards":   {rrhistory.PromiseCoverage, func(h *rrhistory.History) { h.Answered(gathered(2, "s0")) }},
		"hidden gaps":      {rrhistory.PromiseSnapshot, func(h *rrhistory.History) { h.Answered(gathered(0, "s0", "s1")) }},
		"an unknown shard": {rrhistory.PromiseSnapshot, func(h *rrhistory.History) { h.Answered(gathered(0, "s0", "s1", "s3")) }},
		"the same shard":   {rrhistory.PromiseWhole, func(h *rrhistory.History) { h.Answered(gathered(0, "s0", "s1", "s1")) }},
		"a shortened body": {rrhistory.PromiseWhole, func(h *rrhistory.History) { a := single(); a.Body = a.Body[1:]; h.Answered(a) }},
		"another's answer": {rrhistory.PromiseWhole, func(h *rrhistory.History) { a := single(); a.Stamps[0] = "one-0.q"; h.Answered(a) }},
		"once, and refused": {"", func(h *rrhistory.History) {
			h.Saw(seen("one-0", "one", false))
			h.Saw(seen("one-1", "one", true))
			h.Answered(single())
		}},
		"twice": {rrhistory.PromiseOnce, func(h *rrhistory.History) {
			h.Saw(seen("one-0", "one", true))
			h.Saw(seen("one-1", "one", true))
			h.Answered(single())
		}},
		"run after all": {rrhistory.PromiseNotRun, func(h *rrhistory.History) {
			h.Saw(seen("one-0", "one", true))
			a := single()
			a.Status, a.Stamps = 503, nil
			h.Answered(a)
		}},
		"three searchers": {rrhistory.PromiseAttempts, func(h *rrhistory.History) {
			for i := range 3 {
				h.Saw(seen(fmt.Sprintf("s0-%d", i), "s0", true))
			}
			h.Answered(gathered(0, "s0", "s1", "s2"))
		}},
		"a leaving searcher": {rrhistory.PromiseLeaving, func(h *rrhistory.History) {
			h.Left("s0-0")
			time.Sleep(30 * time.Millisecond)
			a := gathered(0, "s0", "s1", "s2")
			h.Saw(seen("s0-0", "s0", true))
			a.Ended = time.Now()
			h.Answered(a)
		}},
		"cut by a planned stop": {rrhistory.PromiseStop, func(h *rrhistory.History) {
			defer h.Disturb("d", true)()
			h.Saw(seen("one-0", "one", true))
			a := single()
			a.Status, a.Cut = 0, true
			h.Answered(a)
		}},
		"cut by a kill": {"", func(h *rrhistory.History) {
			defer h.Disturb("d", false)()
			h.Saw(seen("one-0", "one", true))
			a := single()
			a.Status, a.Cut = 0, true
			h.Answered(a)
		}},
		"worked on for nobody": {rrhistory.PromiseGone, func(h *rrhistory.History) { left(h, 30*time.Millisecond) }},
		"ended soon":           {"", func(h *rrhistory.History) { left(h, 0) }},
		"left as the answer came": {"", func(h *rrhistory.History) {
			quick := seen("one-1", "one", true)
			h.Saw(quick)
			quick.Completed = true
			h.Saw(quick)
			left(h, 30*time.Millisecond)
		}},
		"left just before the answer came": {"", func(h *rrhistory.History) {
			left(h, 10*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			late := seen("one-0", "one", true)
			late.Completed = true
			h.Saw(late)
		}},
		"left with one part ready": {rrhistory.PromiseGone, func(h *rrhistory.History) {
			quick := seen("s0-1", "s0", true)
			h.Saw(quick)
			quick.Completed = true
			h.Saw(quick)
			left(h, 30*time.Millisecond)
		}},
		"bad input passed on": {rrhistory.PromiseInput, func(h *rrhistory.History) {
			h.Saw(seen("one-0", "one", true))
			h.AnsweredBad("r", "d", time.Now(), 400, 400)
		}},
		"bad input taken":         {rrhistory.PromiseInput, func(h *rrhistory.History) { h.AnsweredBad("r", "d", time.Now(), 400, 200) }},
		"bad input refused":       {"", func(h *rrhistory.History) { h.AnsweredBad("r", "d", time.Now(), 400, 400) }},
		"an old version in force": {rrhistory.PromiseForce, func(h *rrhistory.History) { changed(h, 1, 1) }},
		"back to an old version":  {rrhistory.PromiseBack, func(h *rrhistory.History) { changed(h, 2, 1) }},
		"forward":                 {"", func(h *rrhistory.History) { changed(h, 2, 2) }},
		"over the budget": {rrhistory.PromiseBudget, func(h *rrhistory.History) {
			for i := range 10 {
				a := single()
				a.ID, a.Once, a.Status = fmt.Sprint("r", i), false, 502
				for range 2 {
					h.Saw(standin.RequestEvent{Searcher: "one-0", Service: "one", ID: a.ID, At: time.Now()})
				}
				h.Answered(a)
			}
		}},
	} {
		h := newHistory()
		c.play(h)
		broken := h.Check()
		found := make(map[rrhistory.Promise]bool)
		for _, b := range broken {
			found[b.Promise] = true
		}
		if c.want == "" {
			must.SliceEmpty(t, broken, must.Sprint(name))
			continue
		}
		must.MapContainsKey(t, found, c.want, must.Sprint(name))
	}
}

// left has a caller leave, and a searcher work on for so long.
func left(h *rrhistory.History, on time.Duration) {
	h.Saw(seen("one-0", "one", true))
	a := single()
	a.Once, a.Status, a.Left = false, 0, true
	h.Answered(a)
	time.Sleep(on)
	worked := seen("one-0", "one", true)
	worked.Completed = true
	h.Saw(worked)
}

// changed writes version 2 and has daemon d serve one request by each version.
func changed(h *rrhistory.History, versions ...int) {
	h.Written(2, []string{"s0", "s1", "s2"})
	h.Acked()
	time.Sleep(30 * time.Millisecond)
	for i, v := range versions {
		a := single()
		a.ID, a.Once, a.Version = fmt.Sprint("v", i), false, v
		a.URI, a.Stamps = "/v/x", []string{"one-0." + a.ID}
		a.Body = string(standin.Records("one", a.URI, records))
		h.Answered(a)
		time.Sleep(2 * time.Millisecond)
	}
}
