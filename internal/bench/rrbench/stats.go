package rrbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The largest recorded latency and the precision.
const (
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// rankStats counts the queries of one rank that were issued in the measured
// interval.
type rankStats struct {
	offered   int
	refused   int
	stuck     int
	complete  int
	answered  int
	covered   float64
	latencies *hdrhistogram.Histogram
}

// stats collects the figures of a run.
type stats struct {
	sim           *sim
	ranks         []*rankStats
	firstAttempts int
	extraAttempts int
}

func newStats(s *sim) *stats {
	st := &stats{sim: s}
	for range s.shape.Definition.Ranks {
		st.ranks = append(st.ranks, &rankStats{latencies: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)})
	}
	return st
}

func (st *stats) isMeasured(asked rrunit.Instant) bool {
	c := &st.sim.opts.Case
	return asked >= rrunit.Instant(c.MeasureFrom) && asked < rrunit.Instant(c.MeasureTo)
}

// countAttempt counts an attempt; repeated is set for attempts beyond the first of a
// subquery.
func (st *stats) countAttempt(repeated bool) {
	if !st.isMeasured(st.sim.loop.Now()) {
		return
	}
	if repeated {
		st.extraAttempts++
	} else {
		st.firstAttempts++
	}
}

func (st *stats) countOffered(q *query) {
	if st.isMeasured(q.issuedAt) {
		st.ranks[q.rank].offered++
	}
}

func (st *stats) countRefused(q *query) {
	if st.isMeasured(q.issuedAt) {
		st.ranks[q.rank].refused++
	}
}

func (st *stats) countAnswered(f *fanout) {
	if !st.isMeasured(f.query.issuedAt) {
		return
	}
	r := st.ranks[f.query.rank]
	if f.entry.daemon.frozenUntil > f.query.issuedAt {
		r.offered--
		r.stuck++
		return
	}
	r.answered++
	covered := f.core.Covered()
	r.covered += float64(covered) / float64(len(f.shards))
	if covered == len(f.shards) {
		r.complete++
	}
	took := st.sim.loop.Now().Sub(f.query.issuedAt) + st.sim.shape.clientRoundTrip
	_ = r.latencies.RecordValue(min(took.Microseconds(), maxLatencyMicros))
}

// RankResult holds the figures of the queries of one rank.
type RankResult struct {
	Rank rrunit.RankName `json:"rank"`
	// Offered counts the callers' queries, each once regardless of retries.
	Offered int `json:"offered"`
	Refused int `json:"refused"`
	// Stuck counts the queries that were in progress at an entry when it was
	// suspended. They count nowhere else, since only the caller's load balancer
	// could recover them.
	Stuck    int             `json:"stuck"`
	Complete int             `json:"whole"`
	P50      rrunit.Duration `json:"p50"`
	P99      rrunit.Duration `json:"p99"`
	P999     rrunit.Duration `json:"p999"`
	// Coverage is the mean share of the shards that answers cover; refused
	// queries are left out.
	Coverage rrunit.Share `json:"coverage"`
	// Rate is the complete answers per second, as a share of the capacity.
	Rate rrunit.Share `json:"rate"`
}

// CompleteShare returns the complete answers as a share of the offered queries.
func (r *RankResult) CompleteShare() float64 { return float64(r.Complete) / float64(max(1, r.Offered)) }

// Result holds the figures of one run.
type Result struct {
	Case     string       `json:"case"`
	Strategy Strategy     `json:"column"`
	Shape    string       `json:"shape"`
	Seed     uint64       `json:"seed"`
	Ranks    []RankResult `json:"ranks"`
	// ExtraShare is the number of attempts beyond the first of each subquery, as a
	// share of the first attempts.
	ExtraShare rrunit.Share `json:"extra"`
	// PeakSlots and PeakConnections are the most in use at any searcher at once;
	// ExcessSlots is the largest excess over a searcher's own slots.
	PeakSlots       int `json:"slots"`
	ExcessSlots     int `json:"overslots"`
	PeakConnections int `json:"connections"`
}

func (s *sim) result() *Result {
	r := &Result{Case: s.opts.Case.Name, Strategy: s.opts.Strategy, Shape: s.shape.Name, Seed: s.opts.Seed}
	seconds := (s.opts.Case.MeasureTo - s.opts.Case.MeasureFrom).Seconds()
	capacity := s.shape.CapacityPerSecond(s.opts.Case.MeanTime())
	for i, st := range s.stats.ranks {
		r.Ranks = append(r.Ranks, RankResult{
			Rank:     s.shape.Definition.Ranks[i].Name,
			Offered:  st.offered,
			Refused:  st.refused,
			Stuck:    st.stuck,
			Complete: st.complete,
			P50:      quantile(st.latencies, 50),
			P99:      quantile(st.latencies, 99),
			P999:     quantile(st.latencies, 99.9),
			Coverage: rrunit.Share(st.covered / float64(max(1, st.answered))),
			Rate:     rrunit.Share(float64(st.complete) / seconds / capacity),
		})
	}
	r.ExtraShare = rrunit.Share(float64(s.stats.extraAttempts) / float64(max(1, s.stats.firstAttempts)))
	for _, w := range s.all {
		r.PeakSlots = max(r.PeakSlots, w.peakSlots)
		r.ExcessSlots = max(r.ExcessSlots, w.peakSlots-w.Slots)
		r.PeakConnections = max(r.PeakConnections, w.peakConnections)
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) rrunit.Duration {
	return rrunit.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}
