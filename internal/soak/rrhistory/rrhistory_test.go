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
		MaxAttempts: 2, ApplyTime: 20 * time.Millisecond, DrainTime: 20 * time.Millisecond, SettleTime: time.Millisecond, CancelTime: 20 * time.Millisecond,
		ExtraShare: 0.1, ExtraWindow: time.Second, ExtraSlack: 2, MinCoverage: 0.6, TopK: topK, RecordsPerShard: records,
		RequestLimit: 10, LimitWindow: time.Second, LimitTolerance: 1.5, LimitSlack: 5,
		MaxCrashes: 3, MaxCrashRetries: 3, PauseNoticeTime: time.Millisecond, MaxPausedRequests: 2,
	})
	h.RecordVersionSubmitted(1, []string{"s0", "s1", "s2"})
	h.RecordVersionAcknowledged()
	h.RecordDaemonStart("d")
	return h
}

// gathered returns a request with a valid answer merged from the shards.
func gathered(missing int, shards ...string) *rrhistory.Request {
	r := &rrhistory.Request{ID: "r", Daemon: "d", URI: "/all/r", Status: 200, MissingShards: missing, Sent: time.Now(), Ended: time.Now()}
	var parts [][]byte
	for _, s := range shards {
		r.Signatures = append(r.Signatures, s+"-0.r")
		parts = append(parts, standin.Records(s, r.URI, records))
	}
	r.Body = string(rrgather.TopRecords(parts, topK))
	return r
}

func single() *rrhistory.Request {
	return &rrhistory.Request{
		ID: "r", Daemon: "d", URI: "/once/r", Service: "one", AtMostOnce: true, Status: 200, Signatures: []string{"one-0.r"},
		Body: string(standin.Records("one", "/once/r", records)), Sent: time.Now(), Ended: time.Now(),
	}
}

func event(searcher, service string, ran bool) standin.RequestEvent {
	return standin.RequestEvent{Searcher: searcher, Service: service, ID: "r", At: time.Now(), Ran: ran}
}

// recordBeforeChange records requests that a daemon with the version before the last one sends to
// a shard that only that version has. The last ones are sent twice.
func recordBeforeChange(h *rrhistory.History, requests, repeated int) {
	h.RecordVersionSubmitted(2, []string{"s0", "s1"})
	h.RecordVersionAcknowledged()
	for i := range requests {
		r := gathered(0, "s0", "s1", "s2")
		r.ID, r.Status, r.Signatures, r.Body = fmt.Sprint("r", i), 502, nil, ""
		arrivals := 1
		if i >= requests-repeated {
			arrivals = 2
		}
		for range arrivals {
			h.RecordSearcherEvent(standin.RequestEvent{Searcher: "s2-0", Service: "s2", ID: r.ID, At: time.Now()})
		}
		h.RecordRequest(r)
	}
}

// TestCheck checks that each history that breaks a promise is reported as a
// violation of it, and that valid histories give no violation.
func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		want rrhistory.Promise
		play func(h *rrhistory.History)
	}{
		"a complete answer":             {"", func(h *rrhistory.History) { h.RecordRequest(gathered(0, "s0", "s1", "s2")) }},
		"a partial answer":              {"", func(h *rrhistory.History) { h.RecordRequest(gathered(1, "s2", "s0")) }},
		"too few shards":                {rrhistory.PromiseCoverage, func(h *rrhistory.History) { h.RecordRequest(gathered(2, "s0")) }},
		"missing shards not reported":   {rrhistory.PromiseSnapshot, func(h *rrhistory.History) { h.RecordRequest(gathered(0, "s0", "s1")) }},
		"an unknown shard":              {rrhistory.PromiseSnapshot, func(h *rrhistory.History) { h.RecordRequest(gathered(0, "s0", "s1", "s3")) }},
		"the same shard twice":          {rrhistory.PromiseComplete, func(h *rrhistory.History) { h.RecordRequest(gathered(0, "s0", "s1", "s1")) }},
		"a shortened body":              {rrhistory.PromiseComplete, func(h *rrhistory.History) { r := single(); r.Body = r.Body[1:]; h.RecordRequest(r) }},
		"the answer to another request": {rrhistory.PromiseComplete, func(h *rrhistory.History) { r := single(); r.Signatures[0] = "one-0.q"; h.RecordRequest(r) }},
		"refused by one searcher, executed by another": {"", func(h *rrhistory.History) {
			h.RecordSearcherEvent(event("one-0", "one", false))
			h.RecordSearcherEvent(event("one-1", "one", true))
			h.RecordRequest(single())
		}},
		"executed twice": {rrhistory.PromiseAtMostOnce, func(h *rrhistory.History) {
			h.RecordSearcherEvent(event("one-0", "one", true))
			h.RecordSearcherEvent(event("one-1", "one", true))
			h.RecordRequest(single())
		}},
		"executed, but refused": {rrhistory.PromiseNotExecuted, func(h *rrhistory.History) {
			h.RecordSearcherEvent(event("one-0", "one", true))
			r := single()
			r.Status, r.Signatures = 503, nil
			h.RecordRequest(r)
		}},
		"executed by three searchers": {rrhistory.PromiseMaxAttempts, func(h *rrhistory.History) {
			for i := range 3 {
				h.RecordSearcherEvent(event(fmt.Sprintf("s0-%d", i), "s0", true))
			}
			h.RecordRequest(gathered(0, "s0", "s1", "s2"))
		}},
		"work for a draining searcher": {rrhistory.PromiseDraining, func(h *rrhistory.History) {
			h.RecordDrainStart("s0-0")
			time.Sleep(30 * time.Millisecond)
			r := gathered(0, "s0", "s1", "s2")
			h.RecordSearcherEvent(event("s0-0", "s0", true))
			r.Ended = time.Now()
			h.RecordRequest(r)
		}},
		"work for a searcher that leaves, acknowledged by a disturbed store": {"", func(h *rrhistory.History) {
			h.BeginDisturbance(rrhistory.StoreSubject, false)()
			h.RecordDrainStart("s0-0")
			time.Sleep(30 * time.Millisecond)
			r := gathered(0, "s0", "s1", "s2")
			h.RecordSearcherEvent(event("s0-0", "s0", true))
			r.Ended = time.Now()
			h.RecordRequest(r)
		}},
		"connection lost in a planned stop": {rrhistory.PromiseGracefulStop, func(h *rrhistory.History) {
			defer h.BeginDisturbance("d", true)()
			h.RecordSearcherEvent(event("one-0", "one", true))
			r := single()
			r.Status, r.ConnectionLost = 0, true
			h.RecordRequest(r)
		}},
		"connection lost in a kill": {"", func(h *rrhistory.History) {
			defer h.BeginDisturbance("d", false)()
			h.RecordSearcherEvent(event("one-0", "one", true))
			r := single()
			r.Status, r.ConnectionLost = 0, true
			h.RecordRequest(r)
		}},
		"work continued after cancellation":  {rrhistory.PromiseCancellation, func(h *rrhistory.History) { recordCancelled(h, 30*time.Millisecond) }},
		"work ended soon after cancellation": {"", func(h *rrhistory.History) { recordCancelled(h, 0) }},
		"cancelled after an attempt had completed": {"", func(h *rrhistory.History) {
			quick := event("one-1", "one", true)
			h.RecordSearcherEvent(quick)
			quick.Completed = true
			h.RecordSearcherEvent(quick)
			recordCancelled(h, 30*time.Millisecond)
		}},
		"cancelled just before an attempt completed": {"", func(h *rrhistory.History) {
			recordCancelled(h, 10*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			late := event("one-0", "one", true)
			late.Completed = true
			h.RecordSearcherEvent(late)
		}},
		"cancelled with one part completed": {rrhistory.PromiseCancellation, func(h *rrhistory.History) {
			quick := event("s0-1", "s0", true)
			h.RecordSearcherEvent(quick)
			quick.Completed = true
			h.RecordSearcherEvent(quick)
			recordCancelled(h, 30*time.Millisecond)
		}},
		"invalid request forwarded": {rrhistory.PromiseInputValidation, func(h *rrhistory.History) {
			h.RecordSearcherEvent(event("one-0", "one", true))
			h.RecordInvalidRequest("r", "d", time.Now(), 400, 400)
		}},
		"invalid request answered":       {rrhistory.PromiseInputValidation, func(h *rrhistory.History) { h.RecordInvalidRequest("r", "d", time.Now(), 400, 200) }},
		"invalid request refused":        {"", func(h *rrhistory.History) { h.RecordInvalidRequest("r", "d", time.Now(), 400, 400) }},
		"an old version after the bound": {rrhistory.PromiseConvergence, func(h *rrhistory.History) { recordVersionsServed(h, 1, 1) }},
		"back to an old version":         {rrhistory.PromiseMonotonicVersion, func(h *rrhistory.History) { recordVersionsServed(h, 2, 1) }},
		"no return to an old version":    {"", func(h *rrhistory.History) { recordVersionsServed(h, 2, 2) }},
		"extra attempts over the budget": {rrhistory.PromiseBudget, func(h *rrhistory.History) {
			for i := range 10 {
				r := single()
				r.ID, r.AtMostOnce, r.Status = fmt.Sprint("r", i), false, 502
				for range 2 {
					h.RecordSearcherEvent(standin.RequestEvent{Searcher: "one-0", Service: "one", ID: r.ID, At: time.Now()})
				}
				h.RecordRequest(r)
			}
		}},
		"extra attempts at a shard that the new version lacks": {rrhistory.PromiseBudget, func(h *rrhistory.History) { recordBeforeChange(h, 13, 4) }},
		"few extra attempts at such a shard":                   {"", func(h *rrhistory.History) { recordBeforeChange(h, 13, 3) }},
		"requests over a named limit":                          {rrhistory.PromiseLimit, func(h *rrhistory.History) { recordLimited(h, 21, time.Second) }},
		"requests within a named limit":                        {"", func(h *rrhistory.History) { recordLimited(h, 20, time.Second) }},
		"requests over a limit named just before":              {"", func(h *rrhistory.History) { recordLimited(h, 40, 400*time.Millisecond) }},
		"requests over a limit that has ended": {"", func(h *rrhistory.History) {
			h.BeginLimit("one-0")()
			recordReceived(h, 40, time.Second)
		}},
		"a status that no answer has": {rrhistory.PromiseComplete, func(h *rrhistory.History) {
			r := single()
			r.Status, r.Signatures = 999, nil
			h.RecordRequest(r)
		}},
		"a crashing request is retried":           {rrhistory.PromiseCrashRetries, func(h *rrhistory.History) { recordCrashing(h, 3, 4) }},
		"a crashing request is retried sometimes": {"", func(h *rrhistory.History) { recordCrashing(h, 3, 3) }},
		"a request that ended two searchers":      {"", func(h *rrhistory.History) { recordCrashing(h, 2, 4) }},
		"a crashing request is retried by a disturbed daemon": {"", func(h *rrhistory.History) {
			defer h.BeginDisturbance("d", true)()
			recordCrashing(h, 3, 4)
		}},
		"a crashing request is retried while the store is disturbed": {"", func(h *rrhistory.History) {
			defer h.BeginDisturbance(rrhistory.StoreSubject, false)()
			recordCrashing(h, 3, 4)
		}},
		"work for a searcher that said that it leaves": {rrhistory.PromiseDraining, func(h *rrhistory.History) { recordLeaving(h, func() {}) }},
		"work for a searcher that said so to a process that was restarted": {"", func(h *rrhistory.History) {
			recordLeaving(h, func() { h.RecordDaemonStart("d") })
		}},
		"work for a searcher that said so to a process that was frozen": {"", func(h *rrhistory.History) {
			recordLeaving(h, func() { h.RecordFreeze("d") })
		}},
		"work in a pause":           {rrhistory.PromisePause, func(h *rrhistory.History) { recordPause(h, 3, 2*time.Millisecond) }},
		"two requests in a pause":   {"", func(h *rrhistory.History) { recordPause(h, 2, 2*time.Millisecond) }},
		"work just after a refusal": {"", func(h *rrhistory.History) { recordPause(h, 3, 0) }},
		"work after a pause":        {"", func(h *rrhistory.History) { recordPause(h, 3, 2*time.Second) }},
		"work in a pause from a daemon that was disturbed": {"", func(h *rrhistory.History) {
			_ = h.BeginDisturbance("d", false)
			recordPause(h, 3, 2*time.Millisecond)
		}},
		"a searcher ends by itself": {rrhistory.PromiseNoCrash, func(h *rrhistory.History) { h.RecordExit("one-0") }},
		"requests over a limit after a restart": {"", func(h *rrhistory.History) {
			_ = h.BeginDisturbance("d", true)
			recordLimited(h, 40, time.Second)
		}},
	} {
		h := newHistory()
		c.play(h)
		violations := h.Check()
		found := make(map[rrhistory.Promise]bool)
		for _, v := range violations {
			found[v.Promise] = true
		}
		if c.want == "" {
			must.SliceEmpty(t, violations, must.Sprint(name))
			continue
		}
		must.MapContainsKey(t, found, c.want, must.Sprint(name))
	}
}

// recordCancelled records a caller that disconnects, and a searcher that keeps
// working for the given time.
func recordCancelled(h *rrhistory.History, workTime time.Duration) {
	h.RecordSearcherEvent(event("one-0", "one", true))
	r := single()
	r.AtMostOnce, r.Status, r.CancelledEarly = false, 0, true
	h.RecordRequest(r)
	time.Sleep(workTime)
	completion := event("one-0", "one", true)
	completion.Completed = true
	h.RecordSearcherEvent(completion)
}

// recordVersionsServed records version 2 of the table, and then one request that
// daemon d serves by each of the versions.
func recordVersionsServed(h *rrhistory.History, versions ...int) {
	h.RecordVersionSubmitted(2, []string{"s0", "s1", "s2"})
	h.RecordVersionAcknowledged()
	time.Sleep(30 * time.Millisecond)
	for i, v := range versions {
		r := single()
		r.ID, r.AtMostOnce, r.Version = fmt.Sprint("v", i), false, v
		r.URI, r.Signatures = "/v/x", []string{"one-0." + r.ID}
		r.Body = string(standin.Records("one", r.URI, records))
		h.RecordRequest(r)
		time.Sleep(2 * time.Millisecond)
	}
}

// recordLimited records a searcher that begins to name its limit, one request that it
// completes, and then requests some time later.
func recordLimited(h *rrhistory.History, n int, after time.Duration) {
	_ = h.BeginLimit("one-0")
	recordReceived(h, n, after)
}

func recordReceived(h *rrhistory.History, n int, after time.Duration) {
	start := time.Now()
	for i := range n + 1 {
		r := single()
		r.ID, r.AtMostOnce, r.Status, r.Signatures = fmt.Sprint("r", i), false, 502, nil
		e := standin.RequestEvent{Searcher: "one-0", Service: "one", ID: r.ID, At: start.Add(after), Ran: true}
		if i == 0 {
			e.At = start
		}
		h.RecordSearcherEvent(e)
		e.Completed = true
		h.RecordSearcherEvent(e)
		h.RecordRequest(r)
	}
}

// recordCrashing records a request that ends some searchers, and then its retries at others.
func recordCrashing(h *rrhistory.History, crashes, retries int) {
	send := func(i int) string {
		r := single()
		r.ID, r.URI, r.AtMostOnce, r.Status, r.Signatures, r.Crashing = fmt.Sprint("r", i), "/one/crash", false, 502, nil, true
		searcher := fmt.Sprint("one-", i)
		h.RecordSearcherEvent(standin.RequestEvent{Searcher: searcher, Service: "one", ID: r.ID, At: time.Now(), Ran: true})
		h.RecordRequest(r)
		return searcher
	}
	for i := range crashes {
		h.RecordExit(send(i))
	}
	time.Sleep(2 * time.Millisecond)
	for i := range retries {
		send(crashes + i)
	}
}

// recordLeaving records an answer that says that its searcher leaves, and a request to the same
// searcher after the bound.
func recordLeaving(h *rrhistory.History, between func()) {
	e := event("one-0", "one", true)
	e.Leaving = true
	h.RecordSearcherEvent(e)
	r := single()
	r.Ended = time.Now()
	h.RecordRequest(r)
	between()
	time.Sleep(30 * time.Millisecond)
	late := single()
	late.ID, late.Signatures = "late", []string{"one-0.late"}
	h.RecordSearcherEvent(standin.RequestEvent{Searcher: "one-0", Service: "one", ID: "late", At: time.Now(), Ran: true})
	h.RecordRequest(late)
}

// recordPause records a refusal that asks for a pause of a second, and requests to the same
// searcher some time after it.
func recordPause(h *rrhistory.History, n int, after time.Duration) {
	start := time.Now()
	for i := range n + 1 {
		r := single()
		r.ID, r.AtMostOnce, r.Status, r.Signatures = fmt.Sprint("r", i), false, 502, nil
		e := standin.RequestEvent{Searcher: "one-0", Service: "one", ID: r.ID, At: start}
		if i == 0 {
			e.PauseSeconds = 1
		} else {
			e.At = start.Add(after)
		}
		h.RecordSearcherEvent(e)
		h.RecordRequest(r)
	}
}
