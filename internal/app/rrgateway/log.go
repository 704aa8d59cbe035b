package rrgateway

import (
	"fmt"
	"math"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/app/rrplaces"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// note counts the request's final answer and writes what decided it.
func (r *run) note(a *Answer) {
	took := r.took
	late := r.route.Target > 0 && took > r.route.Target.Std()
	short := r.in < len(r.route.Shards)
	m := r.gateway.metrics
	m.Count(rrmetrics.GroupRequests, rrmetrics.Labels(string(r.route.Name), r.route.Rank, a.Status))
	m.Time(rrmetrics.GroupAnswerTime, rrmetrics.Labels(r.route.Rank, a.Status/100), took)
	if a.Reason != rrquery.ReasonNone || late || short {
		m.Count(rrmetrics.GroupShort, rrmetrics.Labels(r.route.Rank, shortLabel(a.Reason, late)))
	}
	r.logAnswer(a, took, late, short)
}

func shortLabel(reason rrquery.Reason, late bool) string {
	switch {
	case reason != rrquery.ReasonNone:
		return string(reason)
	case late:
		return "late"
	default:
		return "partial"
	}
}

// logAnswer writes the request's final answer and what decided it.
func (r *run) logAnswer(a *Answer, took time.Duration, late, short bool) {
	fields := []any{
		"id", r.call.ID, "uri", r.call.URI, "route", r.route.Name, "rank", r.route.Rank, "kind", r.route.Kind, "table", r.table,
		"status", a.Status, "reason", a.Reason,
		"took", took.Round(time.Millisecond), "target", r.route.Target, "left", r.call.Left, "late", late,
	}
	if n := len(r.route.Shards); n > 0 {
		fields = append(fields, "shards", fmt.Sprintf("%d/%d", r.in, n))
	}
	if a.Retry > 0 {
		fields = append(fields, "retry", a.Retry)
	}
	if a.Reason != rrquery.ReasonNone || late || short {
		r.gateway.log.Failure("request short", fields...)
		return
	}
	r.gateway.log.Routine("request answered", fields...)
}

// NoteRefused counts and writes that a request was turned away before it was
// routed.
func (g *Gateway) NoteRefused(id rrunit.RequestID, uri string, status int, reason rrquery.Reason) {
	g.metrics.Count(rrmetrics.GroupRequests, rrmetrics.Labels("none", "none", status))
	g.log.Failure("request refused", "id", id, "uri", uri, "status", status, "reason", reason)
}

// logShard writes how a service's part of the request went, unless the first
// attempt was answered.
func (r *run) logShard(service rrunit.ServiceName, res *rrplaces.Result, failed bool) {
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

// logOpen writes that the answer does not wait for a service, and what was tried
// there.
func (r *run) logOpen(service rrunit.ServiceName, job *rrplaces.Abandoned) {
	r.gateway.log.Failure("part left out", "id", r.call.ID, "service", service,
		"attempts", traceText(job.Trace), "budget", math.Round(10*job.Budget)/10)
}

func traceText(trace []rrplaces.Trace) string {
	texts := make([]string, len(trace))
	for i, t := range trace {
		texts[i] = t.String()
	}
	return strings.Join(texts, " ")
}
