package rrestimate

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Parameters of the slowdown that searchers report.
const (
	// minReported and maxReported bound a reported slowdown. If a searcher reports less
	// than its actual slowdown, this daemon's own requests show the difference.
	minReported = 0.5
	maxReported = 10
	// meanWeight is the weight of a new report in the moving average.
	meanWeight = 0.05
)

// reportedSlowdown is the slowdown that a searcher reports of its machine. The zero
// value has no reports.
type reportedSlowdown struct {
	// last is the last report, of lastAt, and mean the moving average; zero is none.
	last, mean float64
	lastAt     rrunit.Instant
}

func (r *reportedSlowdown) record(now rrunit.Instant, slowdown float64) {
	slowdown = min(max(slowdown, minReported), maxReported)
	if r.mean == 0 {
		r.mean = 1
	}
	r.mean += meanWeight * (slowdown - r.mean)
	r.last, r.lastAt = slowdown, now
}

// value returns the slowdown to expect by the reports; 1 without any. The last report
// decays to the average.
func (r *reportedSlowdown) value(now rrunit.Instant) float64 {
	if r.mean == 0 {
		return 1
	}
	return r.mean + (r.last-r.mean)*decay(now.Sub(r.lastAt), slowdownDecay)
}
