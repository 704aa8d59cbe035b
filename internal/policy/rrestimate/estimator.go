package rrestimate

import (
	"math"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Parameters of the estimate of a searcher.
const (
	// warmupSlowdown is the slowdown that is assumed just after a searcher's start,
	// and unknownSlowdown the one of a searcher without samples.
	warmupSlowdown  = 1.6
	unknownSlowdown = 1.2
	// minSlowdown and maxSlowdown bound a sample of the slowdown.
	minSlowdown = 0.25
	maxSlowdown = 40
	// sampleWeight is the weight of a new sample in the moving average. A sample
	// above slowSampleRatio times the average has slowSampleWeight instead, since a
	// searcher becomes slow abruptly.
	sampleWeight     = 0.15
	slowSampleWeight = 0.5
	slowSampleRatio  = 2.5
	// stalledSampleWeight is the weight of a request that was in flight during a
	// stall, as its latency is weak evidence of its service time.
	stalledSampleWeight = 0.1
	// stallRepeatWindow is the time within which a second stall means that the
	// searcher is slow. Searchers that merely pause do so less often.
	stallRepeatWindow = 2500 * time.Millisecond
	// unfinishedRatio is the expected total time of an abandoned request, relative
	// to the time that it had taken when it was abandoned.
	unfinishedRatio = 1.5
	// slowdownDecay is the time constant with which an old slowdown returns to the
	// default, so that a slow searcher is tried again.
	slowdownDecay = 1500 * time.Millisecond
	// failureWeight is the weight of a new outcome in the failure rate, and
	// failureDecay the time constant with which the rate falls to zero.
	failureWeight = 0.15
	failureDecay  = time.Second
	// drainShare is the share of its slots with which a searcher is assumed to process
	// the load that it reported, as other clients keep sending.
	drainShare = 0.5
	// stallFactor is the expected rest of a stall, relative to the time that it has
	// lasted; maxStall bounds that rest.
	stallFactor = 3
	maxStall    = 5 * time.Second
)

// Estimator estimates the latency of one searcher from the outcomes of requests
// and from the searcher's load reports. The zero Estimator has no samples. It is
// not safe for concurrent use.
type Estimator struct {
	// slowdown is the moving average, as of slowdownAt, of the service time relative
	// to the typical one, without the part that the searcher reports itself. Zero is
	// unknown.
	slowdown   float64
	slowdownAt rrunit.Instant
	// warmupUntil is the expected end of the slow phase after the searcher's start.
	warmupUntil rrunit.Instant
	// failureRate is the share of requests that were refused or failed, as of
	// failureRateAt.
	failureRate   float64
	failureRateAt rrunit.Instant
	// reportedLoad is the number of requests in the searcher's last report, of
	// reportedLoadAt.
	reportedLoad   int
	reportedLoadAt rrunit.Instant
	// reported is the slowdown that the searcher reports of its machine. Samples are
	// divided by it, so that slowdown holds only what the reports don't explain.
	reported reportedSlowdown
	// lastAnswerAt is when the searcher last answered any request.
	lastAnswerAt rrunit.Instant
	// stalledSince is when the oldest overdue request was sent, if no request has
	// been answered since; zero is no stall.
	stalledSince rrunit.Instant
	// stallEndedAt is the end of the last stall, and stallRepeated is set if the one
	// before ended less than stallRepeatWindow earlier.
	stallEndedAt  rrunit.Instant
	stallRepeated bool
	// unshared is what this daemon observed and has not sent to other daemons yet.
	unshared Observation
}

// SetWarmup sets the expected end of the slow phase after the searcher's start.
func (e *Estimator) SetWarmup(until rrunit.Instant) { e.warmupUntil = until }

// RecordAnswer records the answer to a request: when it was sent, its service time,
// and the typical service time of its rank. It returns the service time adjusted to a
// searcher of normal speed, and false if a stall makes that unusable.
func (e *Estimator) RecordAnswer(now, sentAt rrunit.Instant, service, typical time.Duration) (time.Duration, bool) {
	service = max(service, minServiceTime)
	before := e.Slowdown(now)
	if e.stalledSince > 0 {
		e.stallRepeated = e.stallEndedAt > 0 && now.Sub(e.stallEndedAt) < stallRepeatWindow
		e.stalledSince, e.stallEndedAt = 0, now
	}
	stalled := sentAt < e.stallEndedAt && !e.stallRepeated
	e.unshared.Answered++
	e.addSample(now, float64(service)/float64(typical)/e.reported.value(now), stalled)
	e.recordOutcome(now, false)
	e.lastAnswerAt = now
	return time.Duration(float64(service) / before), !stalled
}

// RecordAbandoned records that a request was abandoned without an answer, after the
// given service time. It is ignored if the searcher answered nothing meanwhile, as
// that is no evidence of its speed.
func (e *Estimator) RecordAbandoned(now, sentAt rrunit.Instant, service, typical time.Duration) {
	if !e.AnsweredSince(sentAt) {
		return
	}
	if sample := unfinishedRatio * float64(service) / float64(typical); sample > e.Slowdown(now) {
		e.addSample(now, sample/e.reported.value(now), false)
	}
}

func (e *Estimator) addSample(now rrunit.Instant, sample float64, stalled bool) {
	sample = min(max(sample, minSlowdown), maxSlowdown)
	before := e.unreportedSlowdown(now)
	weight := sampleWeight
	switch {
	case stalled:
		weight = stalledSampleWeight
	case sample > slowSampleRatio*before:
		weight = slowSampleWeight
	}
	e.slowdown = before + weight*(sample-before)
	e.slowdownAt = now
}

// RecordFailure records that the searcher refused or failed a request.
func (e *Estimator) RecordFailure(now rrunit.Instant) {
	e.unshared.Failed++
	e.recordOutcome(now, true)
}

func (e *Estimator) recordOutcome(now rrunit.Instant, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	e.failureRate = e.FailureRate(now)
	e.failureRate += failureWeight * (sample - e.failureRate)
	e.failureRateAt = now
}

// FailureRate returns the share of requests that the searcher is expected to refuse
// or fail.
func (e *Estimator) FailureRate(now rrunit.Instant) float64 {
	return e.failureRate * decay(now.Sub(e.failureRateAt), failureDecay)
}

// Report is a searcher's report of its own load.
type Report struct {
	// Load is the number of requests of all callers that it runs or queues.
	Load int
	// Slowdown is the service time on its machine relative to the usual one; zero is not
	// reported.
	Slowdown float64
}

// RecordReport records a report that this daemon received from the searcher.
func (e *Estimator) RecordReport(now rrunit.Instant, r Report) {
	e.unshared.Report, e.unshared.ReportedAt = r, now
	e.applyReport(now, r)
}

func (e *Estimator) applyReport(now rrunit.Instant, r Report) {
	e.reportedLoad, e.reportedLoadAt = r.Load, now
	if r.Slowdown > 0 {
		e.reported.record(now, r.Slowdown)
	}
}

// RecordOverdue records that a request has no answer yet though it is overdue.
func (e *Estimator) RecordOverdue(sentAt rrunit.Instant) {
	if e.lastAnswerAt < sentAt && (e.stalledSince == 0 || sentAt < e.stalledSince) {
		e.stalledSince = sentAt
	}
}

// IsStalled reports whether the searcher has answered no request since an overdue one
// was sent.
func (e *Estimator) IsStalled() bool { return e.stalledSince > 0 }

// AnsweredSince reports whether the searcher has answered any request since t.
func (e *Estimator) AnsweredSince(t rrunit.Instant) bool { return e.lastAnswerAt >= t }

// Slowdown returns the expected service time relative to the typical one.
func (e *Estimator) Slowdown(now rrunit.Instant) float64 {
	return e.unreportedSlowdown(now) * e.reported.value(now)
}

// unreportedSlowdown returns the part of the slowdown that the searcher's reports
// don't explain.
func (e *Estimator) unreportedSlowdown(now rrunit.Instant) float64 {
	unknown := unknownSlowdown
	if now < e.warmupUntil {
		unknown = warmupSlowdown
	}
	if e.slowdown == 0 {
		return unknown
	}
	return unknown + (e.slowdown-unknown)*decay(now.Sub(e.slowdownAt), slowdownDecay)
}

// Request describes a further request to the searcher.
type Request struct {
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// ServiceTime is the typical service time of the rank.
	ServiceTime time.Duration
	// InFlight is the number of requests that the sender has in flight there, and
	// Slots the number that the searcher runs at once.
	InFlight, Slots int
	// FailureCost is the time that a failure costs in addition to the time until it, as
	// the request has to be sent elsewhere.
	FailureCost time.Duration
	// OldestSentAt is when the oldest request in flight was sent; zero is none.
	OldestSentAt rrunit.Instant
}

// Estimate returns the expected latency of the request.
func (e *Estimator) Estimate(now rrunit.Instant, r Request) time.Duration {
	service := e.Slowdown(now) * float64(r.ServiceTime)
	load := e.Load(now, r)
	turns := 1 + max(0, load+1-float64(r.Slots))/float64(max(1, r.Slots))
	total := float64(r.RoundTrip) + service*turns
	failureRate := e.FailureRate(now)
	total = total/(1-min(failureRate, 0.9)) + failureRate*float64(r.FailureCost)
	if e.stalledSince > 0 {
		overdue := now.Sub(e.stalledSince) - time.Duration(total)
		total += float64(min(stallFactor*max(0, overdue), maxStall))
	}
	return time.Duration(total)
}

// Load returns the number of requests that the searcher is assumed to have: at least
// those of the sender, and at least the reported load less what has been processed
// since.
func (e *Estimator) Load(now rrunit.Instant, r Request) float64 {
	reported := float64(e.reportedLoad) - e.drainRate(now, r)*float64(now.Sub(e.reportedLoadAt))
	return max(float64(r.InFlight), reported, e.queuedAhead(now, r))
}

// queuedAhead returns how many requests must have been queued ahead of the oldest one
// in flight for it to wait this long, as the searcher serves them in order.
func (e *Estimator) queuedAhead(now rrunit.Instant, r Request) float64 {
	if r.OldestSentAt == 0 || e.stalledSince > 0 {
		return 0
	}
	waited := now.Sub(r.OldestSentAt) - r.RoundTrip
	return float64(r.Slots) * float64(waited) / (e.Slowdown(now) * float64(r.ServiceTime))
}

// LoadBelowAt returns when the reported load is expected to have fallen below load.
func (e *Estimator) LoadBelowAt(r Request, load int) rrunit.Instant {
	// The margin covers the decay of the slowdown until then.
	excess := float64(e.reportedLoad-load) + 0.05
	return e.reportedLoadAt.Add(time.Duration(max(0, excess) / e.drainRate(e.reportedLoadAt, r)))
}

// drainRate returns how many requests of the reported load the searcher is assumed to
// process per nanosecond.
func (e *Estimator) drainRate(now rrunit.Instant, r Request) float64 {
	return drainShare * float64(max(1, r.Slots)) / (e.Slowdown(now) * float64(r.ServiceTime))
}

// OverdueAfter returns the time after which a request is overdue, given the tail of
// the rank's service times. A slow searcher gets at most twice the usual time.
func (e *Estimator) OverdueAfter(now rrunit.Instant, r Request, tail time.Duration) time.Duration {
	const (
		maxAllowance = 2
		// tailFactor is how far beyond the tail a request runs before a second attempt
		// is more likely to help than to double the work.
		tailFactor = 1.5
	)
	allowance := min(max(e.Slowdown(now), 1), maxAllowance)
	return r.RoundTrip + time.Duration(tailFactor*allowance*float64(tail))
}

// decay returns the remaining weight of a value of that age, for a time constant.
func decay(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
