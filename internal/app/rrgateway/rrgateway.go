// Package rrgateway serves callers' requests by a route of the routing table: it
// offers the request to the services of the route and builds the single answer. It
// does not depend on HTTP servers, connections or searchers.
package rrgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// Answer is the final answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Reason is why the request failed; empty for a success.
	Reason rrquery.Reason
	// RetryAfter is how long to wait before a retry; set exactly if the request has not
	// run and never will.
	RetryAfter rrunit.Duration
}

// Call is a request with the caller's time limit and its arrival time.
type Call struct {
	rrforward.Request
	// TimeLeft is how long the caller waits; zero means that it set no limit.
	TimeLeft time.Duration
	// Arrived is when the request's header was read.
	Arrived rrunit.Instant
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	dispatchers *rrdispatchers.Dispatchers
	log         *rrlog.Log
	metrics     *rrmetrics.GatewayMetrics
	clock       rrunit.Clock
	headers     rrforward.HeaderNames
	catalog     atomic.Pointer[rrcatalog.Catalog]
	// tableReady is closed when the first routing table arrives.
	tableReady     chan struct{}
	tableReadyOnce sync.Once
	// stopAt is the rrunit.Instant at which the daemon stops serving, zero until that is
	// known; stopped is closed then.
	stopAt  atomic.Int64
	stopped chan struct{}
}

// New returns a gateway that offers requests to the dispatchers.
func New(dispatchers *rrdispatchers.Dispatchers, headers rrforward.HeaderNames, logger *rrlog.Log, metrics *rrmetrics.GatewayMetrics) *Gateway {
	return &Gateway{
		dispatchers: dispatchers, log: logger, metrics: metrics, clock: dispatchers.Clock(), headers: headers,
		tableReady: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// Update applies a new catalog of the platform.
func (g *Gateway) Update(c *rrcatalog.Catalog) {
	g.catalog.Store(c)
	if c.Table != nil {
		g.tableReadyOnce.Do(func() { close(g.tableReady) })
	}
}

// AwaitTable returns the routing table in use. If there is none yet, as just after a
// start, it waits at most maxWait for the first.
func (g *Gateway) AwaitTable(ctx context.Context, maxWait time.Duration) *rrroute.Table {
	if t := g.Table(); t != nil || maxWait <= 0 {
		return t
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-g.tableReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Table()
}

// Table returns the routing table in use, or nil before the first.
func (g *Gateway) Table() *rrroute.Table {
	if c := g.catalog.Load(); c != nil {
		return c.Table
	}
	return nil
}

// Now returns the current instant.
func (g *Gateway) Now() rrunit.Instant { return g.clock() }

// defaultRetryAfter is the retry delay of refusals without a more specific one.
const defaultRetryAfter = rrunit.Duration(200 * time.Millisecond)

// Serve answers a request that was read completely and matches a route of the table.
func (g *Gateway) Serve(ctx context.Context, table *rrroute.Table, route *rrroute.Route, call *Call) *Answer {
	call.Idempotent = route.Kind == rrroute.KindIdempotent
	limit := route.Timeout.Std()
	if call.TimeLeft > 0 {
		limit = min(limit, call.TimeLeft)
	}
	run := &requestRun{
		gateway:     g,
		table:       table.Number,
		route:       route,
		call:        call,
		afterAnswer: func() {},
		deadline:    call.Arrived.Add(limit),
		job: rrdispatchers.Job{
			Request:        &call.Request,
			Rank:           route.Rank,
			Fingerprint:    fingerprint(call),
			MaxAttempts:    route.Attempts,
			RandomPriority: rand.Float64(),
			Deadline:       call.Arrived.Add(limit - answerMargin),
		},
	}
	if route.LatencyTarget > 0 {
		run.job.Target = run.targetTime()
	}
	var answer *Answer
	switch {
	case run.isTooLate():
		answer = stopAnswer(false)
	case route.IsScatterGather():
		answer = run.serveGather(ctx)
	default:
		answer = run.serveSingle(ctx)
	}
	run.took = g.clock().Sub(call.Arrived)
	// Cancelling, metrics and logs do not delay the answer.
	g.dispatchers.Go(func() {
		run.afterAnswer()
		run.recordAnswer(answer)
	})
	return answer
}

// answerMargin is the time before the deadline that is reserved for sending the
// answer.
const answerMargin = 10 * time.Millisecond

func fingerprint(call *Call) rrunit.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Host, call.URI} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return rrunit.Fingerprint(h.Sum64())
}

// requestRun is the execution of one request on a route.
type requestRun struct {
	gateway *Gateway
	// table is the number of the routing table that has the route.
	table    rrunit.DefinitionNumber
	route    *rrroute.Route
	call     *Call
	deadline rrunit.Instant
	job      rrdispatchers.Job
	// covered is how many shards the answer includes.
	covered int
	// took is the time from arrival to the final answer.
	took time.Duration
	// afterAnswer runs once the answer is decided: it cancels the
	// remaining jobs.
	afterAnswer func()
}

// serveSingle sends the request to one service of the route.
func (r *requestRun) serveSingle(ctx context.Context) *Answer {
	done := make(chan rrdispatchers.Result, 1)
	cancel := r.gateway.dispatchers.Offer(r.drawService(), r.job, func(res rrdispatchers.Result) { done <- res })
	timer := time.NewTimer(r.deadline.Sub(r.gateway.clock()))
	defer timer.Stop()
	select {
	case res := <-done:
		return r.singleAnswer(&res)
	case <-ctx.Done():
		if !cancel(true).HasEnded {
			return &Answer{Status: StatusClientClosedRequest, Reason: rrquery.ReasonCancelled}
		}
	case <-timer.C:
		if !cancel(false).HasEnded {
			return &Answer{Status: http.StatusGatewayTimeout, Reason: rrquery.ReasonDeadline}
		}
	case <-r.gateway.stopped:
		if job := cancel(false); !job.HasEnded {
			return stopAnswer(len(job.Trace) > 0)
		}
	}
	// The result came at the same time and counts: the request may have run.
	res := <-done
	return r.singleAnswer(&res)
}

// StatusClientClosedRequest is the status in metrics and logs of a request whose caller
// has left; it is never sent.
const StatusClientClosedRequest = 499

// drawService returns a random service of the route, by weight.
func (r *requestRun) drawService() rrunit.ServiceName {
	parts := r.route.WeightedServices
	if len(parts) == 1 {
		return parts[0].Service
	}
	var sum float64
	for i := range parts {
		sum += parts[i].Weight
	}
	draw := rand.Float64() * sum
	for i := range parts {
		if draw < parts[i].Weight {
			return parts[i].Service
		}
		draw -= parts[i].Weight
	}
	return parts[len(parts)-1].Service
}

// singleAnswer returns the answer to a request that one service has ended, and logs the
// service's result.
func (r *requestRun) singleAnswer(res *rrdispatchers.Result) *Answer {
	answer := serviceAnswer(res)
	r.logService(r.route.WeightedServices[0].Service, res, answer.Reason != rrquery.ReasonNone)
	return answer
}

// serviceAnswer returns the answer for the result of the request's only service.
func serviceAnswer(res *rrdispatchers.Result) *Answer {
	if res.Response != nil && (res.Reason == rrquery.ReasonNone || res.Run != rrpeer.RunNever) {
		return &Answer{Status: res.Response.Status, Header: res.Response.Header, Body: res.Response.Body, Reason: res.Reason}
	}
	return failure(res.Run, res.Reason, res.RetryAfter)
}

// failure returns the answer to a request that no searcher answered.
func failure(run rrpeer.RunState, reason rrquery.Reason, retryAfter rrunit.Duration) *Answer {
	switch {
	case run == rrpeer.RunNever:
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		return &Answer{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
	case reason == rrquery.ReasonDeadline:
		return &Answer{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &Answer{Status: http.StatusBadGateway, Reason: reason}
	}
}

// Refuse returns the answer to a request that cannot be served now.
func Refuse(reason rrquery.Reason, retryAfter rrunit.Duration) *Answer {
	return failure(rrpeer.RunNever, reason, retryAfter)
}

func missingHeader(headers rrforward.HeaderNames, missing int, signatures []string) http.Header {
	return http.Header{
		headers.ShardSignatures: signatures,
		headers.MissingShards:   {strconv.Itoa(missing)},
	}
}
