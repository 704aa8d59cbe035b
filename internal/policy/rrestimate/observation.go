package rrestimate

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Observation is what one daemon observed of a searcher in a short interval.
type Observation struct {
	// Answered and Failed count the requests that were answered, and those that were
	// refused or failed.
	Answered, Failed int
	// Report is the searcher's last load report, received at ReportedAt. Both are zero
	// unless the report shows latencies far above the usual.
	Report     Report
	ReportedAt rrunit.Instant
}

const (
	// maxRemoteSamples bounds how many requests of one observation are counted, as
	// further ones add no information.
	maxRemoteSamples = 6
	// notableSlowdown is the slowdown, by the searcher's report of its speed and its
	// queue, from which the report is sent to other daemons.
	notableSlowdown = 3
)

// isSlow reports whether requests take much longer than usual, by the report of a
// searcher with that many slots.
func (r Report) isSlow(slots int) bool {
	n := float64(max(1, slots))
	turns := 1 + max(0, float64(r.Load)-n)/n
	return max(1, r.Slowdown)*turns >= notableSlowdown
}

// IsNotable reports whether the observation is worth sending to other daemons. Most of
// the time searchers are healthy, and nothing is sent.
func (o *Observation) IsNotable() bool { return o.Failed > 0 || o.ReportedAt > 0 }

// TakeObservation returns and clears what this daemon observed since the last call, at
// a searcher with that many slots.
func (e *Estimator) TakeObservation(slots int) Observation {
	out := e.unshared
	e.unshared = Observation{}
	if !out.Report.isSlow(slots) {
		out.Report, out.ReportedAt = Report{}, 0
	}
	return out
}

// RecordRemote records an observation of another daemon. It counts like this daemon's
// own requests, but is not passed on.
func (e *Estimator) RecordRemote(now rrunit.Instant, o Observation) {
	for range min(o.Answered, maxRemoteSamples) {
		e.recordOutcome(now, false)
	}
	for range min(o.Failed, maxRemoteSamples) {
		e.recordOutcome(now, true)
	}
	if o.ReportedAt > e.reportedLoadAt {
		e.applyReport(o.ReportedAt, o.Report)
	}
}
