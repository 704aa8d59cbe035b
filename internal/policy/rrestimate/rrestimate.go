// Package rrestimate estimates how soon a searcher that others use too would
// answer one more request. A latency is taken as the way there and back, and the
// work: what a request of its rank usually takes, times the searcher's own pace,
// times the turns that it waits. The package holds no goroutine or clock.
package rrestimate

import (
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquantile"
)

// Parameters of what is learned of the work of a rank.
const (
	// enoughSamples is how many latencies make the quantiles count.
	enoughSamples = 16
	// firstUsual and firstTail stand for the work while nothing is known.
	firstUsual = 10 * time.Millisecond
	firstTail  = 30 * time.Millisecond
	// leastWork bounds the work from below, so that paces stay finite.
	leastWork = 500 * time.Microsecond

	usualQuantile = 50
	tailQuantile  = 95
)

// Works has what the requests of each rank usually take at a searcher of usual
// pace. The dispatchers of all shards share it, since the same requests go to
// all of them. It is safe for concurrent use.
type Works struct {
	// mu guards ranks.
	mu    sync.Mutex
	ranks []*rrquantile.Estimator
}

// NewWorks returns works of which nothing is known.
func NewWorks() *Works { return &Works{} }

// Record takes the work of one request at a searcher of usual pace.
func (w *Works) Record(now rrunit.Instant, rank int, work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rank(rank).Record(now, max(work, leastWork))
}

func (w *Works) rank(rank int) *rrquantile.Estimator {
	for len(w.ranks) <= rank {
		w.ranks = append(w.ranks, rrquantile.New(usualQuantile, tailQuantile))
	}
	return w.ranks[rank]
}

// Usual returns what a request of the rank takes at the median.
func (w *Works) Usual(rank int) time.Duration { return w.value(rank, 0, firstUsual) }

// Tail returns what a request of the rank takes at the 95th percentile.
func (w *Works) Tail(rank int) time.Duration { return w.value(rank, 1, firstTail) }

func (w *Works) value(rank, quantile int, unknown time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rank(rank)
	if r.Samples() < enoughSamples {
		return unknown
	}
	return max(r.Value(quantile), leastWork)
}
