// Package rrestimate estimates how soon a searcher that is shared with other daemons
// would answer a further request. A latency is modelled as the network round trip plus
// the service time: the typical one of the request's rank, times the searcher's
// slowdown, times the number of turns that the request waits in the searcher's queue.
// The package holds no goroutine or clock.
package rrestimate

import (
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquantile"
)

// Parameters of the service times of a rank.
const (
	// minSamples is the number of service times from which the quantiles are used.
	minSamples = 16
	// initialMedian and initialTail are used until then.
	initialMedian = 10 * time.Millisecond
	initialTail   = 30 * time.Millisecond
	// minServiceTime is a lower bound, so that slowdowns stay finite.
	minServiceTime = 500 * time.Microsecond

	medianPercentile = 50
	tailPercentile   = 95
)

// ServiceTimes has the quantiles of each rank's service times at a searcher of normal speed.
// The dispatchers of all shards share it, since the same requests go to all of them.
// It is safe for concurrent use.
type ServiceTimes struct {
	// mu guards ranks.
	mu    sync.Mutex
	ranks []*rrquantile.Estimator
}

// NewServiceTimes returns service times without samples.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{} }

// Record records the service time of one request at a searcher of normal speed.
func (t *ServiceTimes) Record(now rrunit.Instant, rank int, service time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quantiles(rank).Record(now, max(service, minServiceTime))
}

func (t *ServiceTimes) quantiles(rank int) *rrquantile.Estimator {
	for len(t.ranks) <= rank {
		t.ranks = append(t.ranks, rrquantile.New(medianPercentile, tailPercentile))
	}
	return t.ranks[rank]
}

// Median returns the median service time of the rank.
func (t *ServiceTimes) Median(rank int) time.Duration { return t.value(rank, 0, initialMedian) }

// Tail returns the 95th percentile of the rank's service times.
func (t *ServiceTimes) Tail(rank int) time.Duration { return t.value(rank, 1, initialTail) }

func (t *ServiceTimes) value(rank, quantile int, initial time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.quantiles(rank)
	if q.Samples() < minSamples {
		return initial
	}
	return max(q.Value(quantile), minServiceTime)
}
