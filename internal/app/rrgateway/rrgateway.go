// Package rrgateway serves callers' requests by the routing table: it finds the
// route, offers the request to the services of the route, and makes the one
// answer. It knows nothing of HTTP servers, connections or searchers.
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

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrplaces"
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
	// Reason says in one word why it is no success; empty for a success.
	Reason rrquery.Reason
	// Retry is when to come back; set exactly if the request has not run and
	// never will.
	Retry rrunit.Duration
}

// Call is a request with what the caller said of it.
type Call struct {
	rrforward.Request
	// Left is how long the caller waits; zero is not said.
	Left time.Duration
	// Arrived is when the head of the request was read.
	Arrived rrunit.Instant
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	places  *rrplaces.Places
	log     *rrlog.Log
	metrics *rrmetrics.Traffic
	clock   rrunit.Clock
	fields  rrforward.Fields
	catalog atomic.Pointer[rrcatalog.Catalog]
	// known is closed with the first catalog.
	known     chan struct{}
	knownOnce sync.Once
}

// New returns a gateway that offers requests to the places.
func New(places *rrplaces.Places, fields rrforward.Fields, logger *rrlog.Log, metrics *rrmetrics.Traffic) *Gateway {
	return &Gateway{places: places, log: logger, metrics: metrics, clock: places.Clock(), fields: fields, known: make(chan struct{})}
}

// Update takes what is known of the platform now.
func (g *Gateway) Update(c *rrcatalog.Catalog) {
	g.catalog.Store(c)
	if c.Table != nil {
		g.knownOnce.Do(func() { close(g.known) })
	}
}

// AwaitTable returns the routing table in use. A daemon that has just started
// waits for its first one, at most for the time given.
func (g *Gateway) AwaitTable(ctx context.Context, most time.Duration) *rrroute.Table {
	if t := g.Table(); t != nil || most <= 0 {
		return t
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-g.known:
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

// defaultRetry is when to come back after a refusal that knows nothing better.
const defaultRetry = rrunit.Duration(200 * time.Millisecond)

// Serve answers a request that was read in whole and belongs to a route of the
// table.
func (g *Gateway) Serve(ctx context.Context, table *rrroute.Table, route *rrroute.Route, call *Call) *Answer {
	call.Idempotent = route.Kind == rrroute.KindIdempotent
	limit := route.Timeout.Std()
	if call.Left > 0 {
		limit = min(limit, call.Left)
	}
	run := &run{
		gateway:  g,
		table:    table.Number,
		route:    route,
		call:     call,
		later:    func() {},
		deadline: call.Arrived.Add(limit),
		job: rrplaces.Job{
			Request:     &call.Request,
			Rank:        route.Rank,
			Fingerprint: fingerprint(call),
			Attempts:    route.Attempts,
			Lot:         rand.Float64(),
			Deadline:    call.Arrived.Add(limit - answerMargin),
		},
	}
	if route.Target > 0 {
		run.job.Target = run.target()
	}
	var answer *Answer
	if route.IsGather() {
		answer = run.gather(ctx)
	} else {
		answer = run.single(ctx)
	}
	run.took = g.clock().Sub(call.Arrived)
	// The answer does not wait for what has to be done once it is decided.
	g.places.Go(func() {
		run.later()
		run.note(answer)
	})
	return answer
}

// answerMargin is kept free at the end of the time for the way of the answer.
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

// run carries one request from its route to its answer.
type run struct {
	gateway *Gateway
	// table is the number of the routing table that the request is served by.
	table    rrunit.DefinitionNumber
	route    *rrroute.Route
	call     *Call
	deadline rrunit.Instant
	job      rrplaces.Job
	// in is how many shards are in the answer.
	in int
	// took is the time to the final answer.
	took time.Duration
	// later does what is left to do once the answer is decided.
	later func()
}

// single sends the request to one service of the route.
func (r *run) single(ctx context.Context) *Answer {
	done := make(chan rrplaces.Result, 1)
	cancel := r.gateway.places.Offer(r.pick(), r.job, func(res rrplaces.Result) { done <- res })
	timer := time.NewTimer(r.deadline.Sub(r.gateway.clock()))
	defer timer.Stop()
	select {
	case res := <-done:
		answer := r.singleAnswer(&res)
		r.logShard(r.route.Parts[0].Service, &res, answer.Reason != rrquery.ReasonNone)
		return answer
	case <-ctx.Done():
		cancel(true)
		return &Answer{Status: statusCallerLeft, Reason: rrquery.ReasonCancelled}
	case <-timer.C:
		cancel(false)
		return &Answer{Status: http.StatusGatewayTimeout, Reason: rrquery.ReasonDeadline}
	}
}

// statusCallerLeft is noted for a request whose caller has left; nobody gets it.
const statusCallerLeft = 499

// pick draws one part of the route by weight.
func (r *run) pick() rrunit.ServiceName {
	parts := r.route.Parts
	if len(parts) == 1 {
		return parts[0].Service
	}
	var sum float64
	for i := range parts {
		sum += parts[i].Weight
	}
	at := rand.Float64() * sum
	for i := range parts {
		if at < parts[i].Weight {
			return parts[i].Service
		}
		at -= parts[i].Weight
	}
	return parts[len(parts)-1].Service
}

func (r *run) singleAnswer(res *rrplaces.Result) *Answer {
	if res.Response != nil && (res.Reason == rrquery.ReasonNone || res.Run != rrpeer.RunNot) {
		return &Answer{Status: res.Response.Status, Header: res.Response.Header, Body: res.Response.Body, Reason: res.Reason}
	}
	return failure(res.Run, res.Reason, res.Retry)
}

// failure returns the answer to a request that no searcher answered.
func failure(run rrpeer.RunState, reason rrquery.Reason, retry rrunit.Duration) *Answer {
	switch {
	case run == rrpeer.RunNot:
		if retry <= 0 {
			retry = defaultRetry
		}
		return &Answer{Status: http.StatusServiceUnavailable, Reason: reason, Retry: retry}
	case reason == rrquery.ReasonDeadline:
		return &Answer{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &Answer{Status: http.StatusBadGateway, Reason: reason}
	}
}

// Refuse returns the answer to a request that cannot be served at all now.
func Refuse(reason rrquery.Reason, retry rrunit.Duration) *Answer {
	return failure(rrpeer.RunNot, reason, retry)
}

func missingHeader(fields rrforward.Fields, missing int, signatures []string) http.Header {
	return http.Header{
		fields.Parts:   signatures,
		fields.Missing: {strconv.Itoa(missing)},
	}
}
