// Package rrmetrics collects the metrics of one daemon as expvar variables, such as
// outcomes and latency quantiles by rank, reasons, and queries in flight. It
// publishes nothing globally, so that daemons in one process do not conflict.
package rrmetrics

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// QueryMetrics are the metrics of a daemon that serves the query API. They are safe for
// concurrent use.
type QueryMetrics struct {
	clock rrunit.Clock
	root  *expvar.Map
	// outcomes holds, for each rank, a map of counts by outcome.
	outcomes *expvar.Map
	// partial and refused count by reason.
	partial  *expvar.Map
	refused  *expvar.Map
	inflight *expvar.Int

	// mu guards latency.
	mu      sync.Mutex
	latency map[rrunit.RankName]*latencyWindow
}

// Option is an option of NewQueryMetrics.
type Option func(*QueryMetrics)

// WithClock sets the clock.
func WithClock(c rrunit.Clock) Option { return func(m *QueryMetrics) { m.clock = c } }

// NewQueryMetrics returns metrics that count from zero.
func NewQueryMetrics(opts ...Option) *QueryMetrics {
	m := &QueryMetrics{
		clock:    rrunit.SystemClock(),
		root:     new(expvar.Map),
		outcomes: new(expvar.Map),
		partial:  new(expvar.Map),
		refused:  new(expvar.Map),
		inflight: new(expvar.Int),
		latency:  make(map[rrunit.RankName]*latencyWindow),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.root.Set("outcomes", m.outcomes)
	m.root.Set("partial", m.partial)
	m.root.Set("refused", m.refused)
	m.root.Set("inflight", m.inflight)
	m.root.Set("latency", expvar.Func(func() any { return m.Latency() }))
	return m
}

// Set adds another variable.
func (m *QueryMetrics) Set(name string, v expvar.Var) { m.root.Set(name, v) }

// Record records one answer and its latency.
func (m *QueryMetrics) Record(q *rrquery.Query, a *rrquery.Answer, took time.Duration) {
	m.countOutcome(q.Rank, a.Outcome)
	switch a.Outcome {
	case rrquery.OutcomePartial:
		m.partial.Add(string(a.Reason), 1)
	case rrquery.OutcomeRefused:
		m.refused.Add(string(a.Reason), 1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.latency[q.Rank]
	if w == nil {
		w = newLatencyWindow(m.clock())
		m.latency[q.Rank] = w
	}
	w.record(m.clock(), took)
}

func (m *QueryMetrics) countOutcome(rank rrunit.RankName, o rrquery.Outcome) {
	m.mu.Lock()
	byOutcome, ok := m.outcomes.Get(string(rank)).(*expvar.Map)
	if !ok {
		byOutcome = new(expvar.Map)
		m.outcomes.Set(string(rank), byOutcome)
	}
	m.mu.Unlock()
	byOutcome.Add(string(o), 1)
}

// Latency returns the quantiles of each rank's answers, without refusals, over
// the last minute.
func (m *QueryMetrics) Latency() map[rrunit.RankName]Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[rrunit.RankName]Quantiles, len(m.latency))
	for rank, w := range m.latency {
		out[rank] = w.quantiles(m.clock())
	}
	return out
}

// ServeHTTP writes all variables as JSON: the process's own, such as memstats,
// and the daemon's under the name rhubarbreel.
func (m *QueryMetrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeVars(w, m.root)
}

// Instrument returns a service that records the queries that it passes to s.
func (m *QueryMetrics) Instrument(s rrhttp.QueryService) rrhttp.QueryService {
	return &instrumentedService{QueryService: s, metrics: m}
}

type instrumentedService struct {
	rrhttp.QueryService
	metrics *QueryMetrics
}

// Serve implements rrhttp.QueryService.
func (s *instrumentedService) Serve(ctx context.Context, q *rrquery.Query) *rrquery.Answer {
	s.metrics.inflight.Add(1)
	defer s.metrics.inflight.Add(-1)
	start := s.metrics.clock()
	a := s.QueryService.Serve(ctx, q)
	s.metrics.Record(q, a, s.metrics.clock().Sub(start))
	return a
}
