package rrgateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
)

// targetMarginDivisor sets the part of the target latency (1/8) that is reserved for
// the network between the caller and the daemon, which the daemon cannot measure.
const targetMarginDivisor = 8

// gatherState collects the shard results of one request.
type gatherState struct {
	core    *rrgather.Gather
	results []rrdispatchers.Result
	// settled is set, by shard, once its final result has arrived.
	settled []bool
	// run is RunNever as long as no shard may have run the request.
	run        rrpeer.RunState
	reason     rrquery.Reason
	retryAfter rrunit.Duration
}

// shardResult is the result of the shard at an index of the route's shards.
type shardResult struct {
	index  int
	result rrdispatchers.Result
}

// serveGather sends the request to all shards of the route and merges their records.
func (r *requestRun) serveGather(ctx context.Context) *Answer {
	shards := r.route.Shards
	refusals := r.gateway.dispatchers.Refusals(shards, r.route.Rank)
	if len(shards)-len(refusals) < r.route.RequiredShards() {
		// Too few shards can answer, so work at the others would be wasted.
		return r.refuseGather(refusals)
	}
	results := make(chan shardResult, len(shards))
	cancels := make([]rrdispatchers.CancelFunc, len(shards))
	for i, shard := range shards {
		cancels[i] = r.gateway.dispatchers.Offer(shard, r.job, func(res rrdispatchers.Result) { results <- shardResult{index: i, result: res} })
	}
	state := &gatherState{run: rrpeer.RunNever, settled: make([]bool, len(shards)), core: rrgather.New(rrgather.Config{
		Shards:    len(shards),
		MinShards: r.route.RequiredShards(),
		Target:    r.targetTime(),
		Deadline:  r.deadline,
	})}
	decision, callerLeft := r.collect(ctx, state, results)
	if decision == rrgather.DecisionAnswer {
		r.afterAnswer = func() { r.cancelParts(state, cancels, results, false) }
		return r.merge(state)
	}
	end := r.deadline
	if callerLeft {
		end = r.gateway.clock()
	}
	r.cancelParts(state, cancels, results, callerLeft)
	r.covered = state.core.Succeeded()
	switch {
	case state.core.Decide(end) == rrgather.DecisionAnswer:
		// The last results came while the rest was cancelled.
		return r.merge(state)
	case callerLeft:
		return &Answer{Status: StatusClientClosedRequest, Reason: rrquery.ReasonCancelled}
	default:
		return state.failure()
	}
}

// cancelParts cancels the parts that have no result yet. It waits for the results of those
// that ended before, and adds them.
func (r *requestRun) cancelParts(state *gatherState, cancels []rrdispatchers.CancelFunc, results <-chan shardResult, callerLeft bool) {
	ended := 0
	for i, cancel := range cancels {
		job := cancel(callerLeft)
		switch {
		case state.settled[i]:
		case job.HasEnded:
			ended++
		default:
			r.logOmitted(r.route.Shards[i], &job)
			if len(job.Trace) > 0 {
				// A searcher may be running it.
				state.run = rrpeer.RunMaybe
			}
		}
	}
	for range ended {
		r.addResult(state, <-results)
	}
}

// refuseGather returns the answer to a request that too many shards refuse. It was offered
// to none.
func (r *requestRun) refuseGather(refusals []rrdispatchers.Refusal) *Answer {
	var last rrdispatchers.Refusal
	for _, refusal := range refusals {
		r.logService(refusal.Service, &rrdispatchers.Result{Run: rrpeer.RunNever, Reason: refusal.Reason}, true)
		if refusal.RetryAfter >= last.RetryAfter {
			last = refusal
		}
	}
	return Refuse(last.Reason, last.RetryAfter)
}

// targetTime returns the instant from which an answer with missing shards is preferred
// to waiting for the rest.
func (r *requestRun) targetTime() rrunit.Instant {
	target := r.route.LatencyTarget.Std()
	return r.call.Arrived.Add(target - target/targetMarginDivisor)
}

// collect receives results until the core has a decision or the caller leaves. Results that
// have arrived by then count.
func (r *requestRun) collect(ctx context.Context, state *gatherState, results <-chan shardResult) (decision rrgather.Decision, callerLeft bool) {
	clock := r.gateway.clock
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.addArrived(state, results)
		now := clock()
		if decision := state.core.Decide(now); decision != rrgather.DecisionWait {
			return decision, false
		}
		timer.Reset(state.core.NextDecision(now).Sub(now))
		select {
		case res := <-results:
			r.addResult(state, res)
		case <-timer.C:
		case <-r.gateway.stopped:
			r.addArrived(state, results)
			return state.core.Decide(r.deadline), false
		case <-ctx.Done():
			return rrgather.DecisionFail, true
		}
	}
}

// addArrived adds the results that need not be waited for.
func (r *requestRun) addArrived(state *gatherState, results <-chan shardResult) {
	rrunit.Drain(results, func(res shardResult) { r.addResult(state, res) })
}

func (r *requestRun) addResult(state *gatherState, res shardResult) {
	r.logService(r.route.Shards[res.index], &res.result, res.result.Reason != rrquery.ReasonNone)
	state.add(res.index, res.result)
}

func (g *gatherState) add(index int, res rrdispatchers.Result) {
	g.settled[index] = true
	ok := res.Reason == rrquery.ReasonNone && res.Response.Status/100 == 2
	g.core.AddResult(ok)
	if res.Run != rrpeer.RunNever {
		g.run = rrpeer.RunMaybe
	}
	if ok {
		g.results = append(g.results, res)
		return
	}
	g.reason = res.Reason
	g.retryAfter = max(g.retryAfter, res.RetryAfter)
}

// failure returns the answer to a request for which too few shards answered. If any
// shard answered, the request may have run.
func (g *gatherState) failure() *Answer {
	run := g.run
	if len(g.results) > 0 {
		run = rrpeer.RunMaybe
	}
	reason := g.reason
	if reason == rrquery.ReasonNone {
		reason = rrquery.ReasonDeadline
	}
	answer := failure(run, reason, g.retryAfter)
	// The shards that refused can't serve the caller's next attempt sooner, whatever the
	// others did.
	answer.RetryAfter = max(answer.RetryAfter, g.retryAfter)
	return answer
}

func (r *requestRun) merge(g *gatherState) *Answer {
	r.covered = g.core.Succeeded()
	signatures := make([]string, len(g.results))
	parts := make([][]byte, len(g.results))
	for i := range g.results {
		signatures[i] = g.results[i].Response.Signature
		parts[i] = g.results[i].Response.Body
	}
	missing := len(r.route.Shards) - len(g.results)
	header := missingHeader(r.gateway.headers, missing, []string{strings.Join(signatures, ", ")})
	header.Set("Content-Type", "application/octet-stream")
	return &Answer{Status: http.StatusOK, Header: header, Body: rrgather.TopRecords(parts, r.route.TopK)}
}
