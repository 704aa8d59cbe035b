package rrgateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrplaces"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
)

// targetMargin is the share of the target that is kept free for the caller's way
// here and back, which the daemon does not see.
const targetMargin = 8

// gathered is what is known of the shards of one request.
type gathered struct {
	core    *rrgather.Gather
	results []rrplaces.Result
	// settled has, by shard, whether its final result is there.
	settled []bool
	// run is RunNot while no shard may have run the request.
	run    rrpeer.RunState
	reason rrquery.Reason
	retry  rrunit.Duration
}

// arrival is the result of the shard at a place.
type arrival struct {
	place  int
	result rrplaces.Result
}

// gather sends the request to all shards of the route and merges their records.
func (r *run) gather(ctx context.Context) *Answer {
	shards := r.route.Shards
	if possible := r.gateway.places.Possible(shards); possible < r.route.Needed() {
		// Work at the other shards would be for nothing.
		return Refuse(rrquery.ReasonNoSearcher, defaultRetry)
	}
	arrived := make(chan arrival, len(shards))
	cancels := make([]rrplaces.CancelFunc, len(shards))
	for i, shard := range shards {
		cancels[i] = r.gateway.places.Offer(shard, r.job, func(res rrplaces.Result) { arrived <- arrival{place: i, result: res} })
	}
	state := &gathered{run: rrpeer.RunNot, settled: make([]bool, len(shards)), core: rrgather.New(rrgather.Config{
		Shards:    len(shards),
		MinShards: r.route.Needed(),
		Target:    r.target(),
		Deadline:  r.deadline,
	})}
	verdict, left := r.collect(ctx, state, arrived)
	r.in = state.core.Succeeded()
	r.later = func() {
		for i, cancel := range cancels {
			job := cancel(left)
			if !state.settled[i] {
				r.logOpen(shards[i], &job)
			}
		}
	}
	switch {
	case left:
		return &Answer{Status: statusCallerLeft, Reason: rrquery.ReasonCancelled}
	case verdict == rrgather.DecisionAnswer:
		return r.merge(state)
	default:
		return state.failure()
	}
}

// target returns when an answer with shards left out goes before a late one.
func (r *run) target() rrunit.Instant {
	target := r.route.Target.Std()
	return r.call.Arrived.Add(target - target/targetMargin)
}

// collect takes results until there is a verdict or the caller has left.
func (r *run) collect(ctx context.Context, state *gathered, arrived <-chan arrival) (verdict rrgather.Decision, left bool) {
	clock := r.gateway.clock
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := clock()
		if v := state.core.Decide(now); v != rrgather.DecisionWait {
			return v, false
		}
		timer.Reset(state.core.NextDecision(now).Sub(now))
		select {
		case a := <-arrived:
			r.logShard(r.route.Shards[a.place], &a.result, a.result.Reason != rrquery.ReasonNone)
			state.take(a.place, a.result)
		case <-timer.C:
		case <-ctx.Done():
			return rrgather.DecisionFail, true
		}
	}
}

func (g *gathered) take(place int, res rrplaces.Result) {
	g.settled[place] = true
	in := res.Reason == rrquery.ReasonNone && res.Response.Status/100 == 2
	g.core.AddResult(in)
	if res.Run != rrpeer.RunNot {
		g.run = rrpeer.RunMaybe
	}
	if in {
		g.results = append(g.results, res)
		return
	}
	g.reason = res.Reason
	g.retry = max(g.retry, res.Retry)
}

// failure answers a request of which too few shards came in. Shards that were
// still open may have run it.
func (g *gathered) failure() *Answer {
	run := g.run
	if len(g.results) > 0 {
		run = rrpeer.RunMaybe
	}
	reason := g.reason
	if reason == rrquery.ReasonNone {
		reason = rrquery.ReasonDeadline
	}
	return failure(run, reason, g.retry)
}

func (r *run) merge(g *gathered) *Answer {
	signatures := make([]string, len(g.results))
	parts := make([][]byte, len(g.results))
	for i := range g.results {
		signatures[i] = g.results[i].Response.Signature
		parts[i] = g.results[i].Response.Body
	}
	missing := len(r.route.Shards) - len(g.results)
	header := missingHeader(r.gateway.fields, missing, []string{strings.Join(signatures, ", ")})
	header.Set("Content-Type", "application/octet-stream")
	return &Answer{Status: http.StatusOK, Header: header, Body: rrgather.TopRecords(parts, r.route.Top)}
}
