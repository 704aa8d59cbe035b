package rrestimate

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Observed is what one daemon observed of a searcher in a short interval.
type Observed struct {
	// Answered and Missed count the requests that were answered, and those that were
	// refused or failed.
	Answered, Missed int
	// Told is the searcher's last load report, received at ToldAt. Both are zero
	// unless the report shows latencies far above the usual.
	Told   Report
	ToldAt rrunit.Instant
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
	return max(1, r.Pace)*turns >= notableSlowdown
}

// IsNotable reports whether the observation is worth sending to other daemons. Most of
// the time searchers are healthy, and nothing is sent.
func (o *Observed) IsNotable() bool { return o.Missed > 0 || o.ToldAt > 0 }

// TakeObservation returns and clears what this daemon observed since the last call, at
// a searcher with that many slots.
func (e *Estimator) TakeObservation(slots int) Observed {
	out := e.unshared
	e.unshared = Observed{}
	if !out.Told.isSlow(slots) {
		out.Told, out.ToldAt = Report{}, 0
	}
	return out
}

// RecordRemote records an observation of another daemon. It counts like this daemon's
// own requests, but is not passed on.
func (e *Estimator) RecordRemote(now rrunit.Instant, o Observed) {
	for range min(o.Answered, maxRemoteSamples) {
		e.recordOutcome(now, false)
	}
	for range min(o.Missed, maxRemoteSamples) {
		e.recordOutcome(now, true)
	}
	if o.ToldAt > e.reportedLoadAt {
		e.applyReport(o.ToldAt, o.Told)
	}
}
