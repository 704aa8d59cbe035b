package rrgateway

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// arrivedAnswerTime is how long after the stop the answers that have arrived by then are
// still read. If the process was suspended until after its stop, they are due together.
const arrivedAnswerTime = 50 * time.Millisecond

// StopAt makes the gateway answer all requests by the instant at which the daemon stops
// serving, or arrivedAnswerTime later. It returns a channel that is closed when it stops to
// wait for searchers' answers. Call it at most once.
func (g *Gateway) StopAt(at rrunit.Instant) <-chan struct{} {
	g.stopAt.Store(int64(at))
	time.AfterFunc(at.Sub(g.clock()), func() {
		time.AfterFunc(arrivedAnswerTime, func() { close(g.stopped) })
	})
	return g.stopped
}

// isTooLate reports whether the daemon stops before an answer to the request can be expected.
func (r *requestRun) isTooLate() bool {
	at := rrunit.Instant(r.gateway.stopAt.Load())
	return at > 0 && at.Sub(r.gateway.clock()) < r.route.LatencyTarget.Std()
}

// stopAnswer returns the answer to a request that is under way when the daemon stops.
func stopAnswer(wasSent bool) *Answer {
	run := rrpeer.RunNever
	if wasSent {
		run = rrpeer.RunMaybe
	}
	return failure(run, rrquery.ReasonLeaving, defaultRetryAfter)
}
