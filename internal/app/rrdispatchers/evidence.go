package rrdispatchers

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// percentPerUnit converts slowdowns, which messages carry in percent.
const percentPerUnit = 100

// TakeEvidence returns the outcomes of requests since the last call at searchers that
// failed some of them, or that reported much more load than usual, and the changes of
// searchers' request limits, and which searchers have said that they leave.
func (p *Dispatchers) TakeEvidence() []rrpeer.SearcherEvidence {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []rrpeer.SearcherEvidence
	now := p.clock()
	for name, d := range p.dispatchers {
		d.access(func(core *rrdispatch.Shard) { out = appendEvidence(out, name, core, now) })
	}
	return out
}

func appendEvidence(out []rrpeer.SearcherEvidence, name rrunit.ServiceName, core *rrdispatch.Shard, now rrunit.Instant) []rrpeer.SearcherEvidence {
	core.TakeObservations(func(id rrunit.SearcherID, o rrestimate.Observation) {
		m := rrpeer.SearcherEvidence{Service: name, Searcher: id, Answered: o.Answered, Failed: o.Failed}
		if o.ReportedAt > 0 {
			m.Load = &rrpeer.LoadReport{Age: rrpeer.NewAge(now.Sub(o.ReportedAt)), Requests: o.Report.Load, SlowdownPercent: int(o.Report.Slowdown * percentPerUnit)}
		}
		out = append(out, m)
	})
	core.TakeLimits(func(id rrunit.SearcherID, r rrdispatch.LimitReport) {
		out = append(out, rrpeer.SearcherEvidence{
			Service: name, Searcher: id, Limit: &rrpeer.LimitReport{Age: rrpeer.NewAge(now.Sub(r.At)), Limit: r.Limit},
		})
	})
	core.TakeLeaving(func(id rrunit.SearcherID) {
		out = append(out, rrpeer.SearcherEvidence{Service: name, Searcher: id, Leaving: true})
	})
	return out
}

// MergeEvidence merges the outcomes that another daemon of this zone reported.
func (p *Dispatchers) MergeEvidence(evidence []rrpeer.SearcherEvidence) {
	for i := range evidence {
		m := &evidence[i]
		p.mu.RLock()
		d := p.dispatchers[m.Service]
		p.mu.RUnlock()
		if d == nil {
			// This daemon has sent nothing to the service, so it keeps no estimates.
			continue
		}
		now := p.clock()
		observed := rrestimate.Observation{Answered: m.Answered, Failed: m.Failed}
		if t := m.Load; t != nil {
			observed.Report = rrestimate.Report{Load: t.Requests, Slowdown: float64(t.SlowdownPercent) / percentPerUnit}
			observed.ReportedAt = now.Add(-t.Age.Std())
		}
		if m.Leaving {
			d.recordPeerLeaving(m.Searcher)
		}
		d.access(func(core *rrdispatch.Shard) {
			core.MergeObservations(now, m.Searcher, observed)
			if l := m.Limit; l != nil {
				core.MergeLimit(now, m.Searcher, rrdispatch.LimitReport{Limit: l.Limit, At: now.Add(-l.Age.Std())})
			}
		})
	}
}
