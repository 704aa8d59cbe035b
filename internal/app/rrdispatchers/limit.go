package rrdispatchers

import (
	"math"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// limitState is the request limit that a searcher named last, and the attempts that this
// daemon has sent there since the limit was last logged.
type limitState struct {
	// limit is nil while the searcher names none.
	limit *rrunit.Rate
	// logged is the limit of the last line; nil for none.
	logged *rrunit.Rate
	// sent counts the attempts since the instant, and extra those of them that were not
	// the first of their request.
	since       rrunit.Instant
	sent, extra int
}

// limitOf returns the limit state of the searcher. The caller holds mu.
func (d *dispatcher) limitOf(id rrunit.SearcherID) *limitState {
	l := d.limits[id]
	if l == nil {
		l = &limitState{since: d.parent.clock()}
		d.limits[id] = l
	}
	return l
}

// countSend counts an attempt that is being sent. The caller holds mu.
func (d *dispatcher) countSend(at *attempt) {
	l := d.limitOf(at.searcher)
	l.sent++
	order := "first"
	if at.traceIndex > 0 {
		l.extra++
		order = "extra"
	}
	if l.limit != nil {
		d.parent.metrics.Count(rrmetrics.GroupLimited, rrmetrics.JoinLabels(string(d.name), order))
	}
}

// recordLimit records the request limit that the searcher named in its response, or that
// it named none. The caller holds mu.
func (d *dispatcher) recordLimit(now rrunit.Instant, at *attempt) {
	res := &at.response
	if res.RequestLimitErr != nil {
		d.recordUnreadable(at, res.RequestLimitErr)
		return
	}
	if res.Status == 0 || res.Outcome == rrupstream.OutcomeMisdirected {
		// The searcher itself has said nothing.
		return
	}
	if res.RequestLimit == nil && res.Outcome != rrupstream.OutcomeAnswered {
		// A failure may come from a part of the searcher that does not know of the limit.
		return
	}
	d.core.RecordLimit(now, at.searcher, res.RequestLimit)
	l := d.limitOf(at.searcher)
	l.limit = res.RequestLimit
	if !rrdispatch.IsNotableLimitChange(l.logged, l.limit) {
		return
	}
	rate := float64(l.sent) / max(now.Sub(l.since), time.Millisecond).Seconds()
	d.parent.log.StateChange("searcher limit", "service", d.name, "searcher", at.searcher,
		"limit", limitText(l.limit), "rate", math.Round(10*rate)/10, "sent", l.sent, "extra", l.extra)
	l.logged = l.limit
	l.since, l.sent, l.extra = now, 0, 0
}

// limitText returns the limit for logs.
func limitText(limit *rrunit.Rate) any {
	if limit == nil {
		return "none"
	}
	return float64(*limit)
}
