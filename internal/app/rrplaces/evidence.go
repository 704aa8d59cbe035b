package rrplaces

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// percent is what paces are told in.
const percent = 100

// TakeMet returns what requests met since the last call at searchers that failed
// some of them, or that have much more work than usual.
func (p *Places) TakeMet() []rrpeer.Met {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []rrpeer.Met
	now := p.clock()
	for name, s := range p.places {
		s.mu.Lock()
		s.core.TakeObservations(func(id rrunit.SearcherID, o rrestimate.Observation) {
			m := rrpeer.Met{Service: name, Searcher: id, Answered: o.Answered, Missed: o.Failed}
			if o.ReportedAt > 0 {
				m.Told = &rrpeer.Told{Age: rrpeer.NewAge(now.Sub(o.ReportedAt)), Load: o.Report.Load, Pace: int(o.Report.Slowdown * percent)}
			}
			out = append(out, m)
		})
		s.mu.Unlock()
	}
	return out
}

// Hear takes what requests of another daemon of this zone met.
func (p *Places) Hear(met []rrpeer.Met) {
	for i := range met {
		m := &met[i]
		p.mu.RLock()
		s := p.places[m.Service]
		p.mu.RUnlock()
		if s == nil {
			// This daemon has sent nothing there, and need not know.
			continue
		}
		now := p.clock()
		o := rrestimate.Observation{Answered: m.Answered, Failed: m.Missed}
		if t := m.Told; t != nil {
			o.Report = rrestimate.Report{Load: t.Load, Slowdown: float64(t.Pace) / percent}
			o.ReportedAt = now.Add(-t.Age.Std())
		}
		s.mu.Lock()
		s.core.MergeObservations(now, m.Searcher, o)
		s.mu.Unlock()
	}
}
