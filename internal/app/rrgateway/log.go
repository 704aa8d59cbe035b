package rrgateway

import (
	"fmt"
	"math"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdispatchers"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// recordAnswer updates the metrics with the request's final answer and logs it.
func (r *requestRun) recordAnswer(a *Answer) {
	took := r.took
	late := r.route.LatencyTarget > 0 && took > r.route.LatencyTarget.Std()
	partial := r.covered < len(r.route.Shards)
	m := r.gateway.metrics
	m.Count(rrmetrics.GroupRequests, rrmetrics.JoinLabels(string(r.route.Name), r.route.Rank, a.Status))
	m.RecordLatency(rrmetrics.GroupAnswerTime, rrmetrics.JoinLabels(r.route.Rank, a.Status/100), took)
	if a.Reason != rrquery.ReasonNone || late || partial {
		m.Count(rrmetrics.GroupDegraded, rrmetrics.JoinLabels(r.route.Rank, shortfallLabel(a.Reason, late)))
	}
	r.logAnswer(a, took, late, partial)
}

// shortfallLabel returns why an answer counts as degraded, for metrics.
func shortfallLabel(reason rrquery.Reason, late bool) string {
	switch {
	case reason != rrquery.ReasonNone:
		return string(reason)
	case late:
		return "late"
	default:
		return "partial"
	}
}

// logAnswer logs the request's final answer and its cause.
func (r *requestRun) logAnswer(a *Answer, took time.Duration, late, partial bool) {
	fields := []any{
		"id", r.call.ID, "uri", r.call.URI, "route", r.route.Name, "rank", r.route.Rank, "kind", r.route.Kind, "table", r.table,
		"status", a.Status, "reason", a.Reason,
		"took", took.Round(time.Millisecond), "target", r.route.LatencyTarget, "left", r.call.TimeLeft, "late", late,
	}
	if n := len(r.route.Shards); n > 0 {
		fields = append(fields, "shards", fmt.Sprintf("%d/%d", r.covered, n))
	}
	if a.RetryAfter > 0 {
		fields = append(fields, "retry", a.RetryAfter)
	}
	if a.Reason != rrquery.ReasonNone || late || partial {
		r.gateway.log.Failure("request short", fields...)
		return
	}
	r.gateway.log.Routine("request answered", fields...)
}

// RecordRefused counts and logs a request that was refused before it was routed.
func (g *Gateway) RecordRefused(id rrunit.RequestID, uri string, status int, reason rrquery.Reason) {
	g.metrics.Count(rrmetrics.GroupRequests, rrmetrics.JoinLabels("none", "none", status))
	g.log.Failure("request refused", "id", id, "uri", uri, "status", status, "reason", reason)
}

// logService logs the result of one service of the request, unless its first attempt
// was answered.
func (r *requestRun) logService(service rrunit.ServiceName, res *rrdispatchers.Result, failed bool) {
	if len(res.Trace) <= 1 && !failed {
		return
	}
	fields := []any{
		"id", r.call.ID, "service", service, "reason", res.Reason, "run", res.Run, "attempts", traceText(res.Trace),
	}
	if failed {
		r.gateway.log.Failure("part failed", fields...)
		return
	}
	r.gateway.log.Routine("part answered", fields...)
}

// logOmitted logs that the answer was sent without a service, and the attempts there.
func (r *requestRun) logOmitted(service rrunit.ServiceName, job *rrdispatchers.Cancelled) {
	r.gateway.log.Failure("part left out", "id", r.call.ID, "service", service,
		"attempts", traceText(job.Trace), "budget", math.Round(10*job.Budget)/10)
}

func traceText(trace []rrdispatchers.AttemptTrace) string {
	texts := make([]string, len(trace))
	for i, t := range trace {
		texts[i] = t.String()
	}
	return strings.Join(texts, " ")
}
