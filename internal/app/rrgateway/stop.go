package rrgateway

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// StopAt makes the gateway answer all requests by the instant at which the daemon stops
// serving. Call it at most once.
func (g *Gateway) StopAt(at rrunit.Instant) {
	g.stopAt.Store(int64(at))
	time.AfterFunc(at.Sub(g.clock()), func() { close(g.stopped) })
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
