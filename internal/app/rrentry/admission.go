package rrentry

import (
	"math/rand/v2"
	"slices"
	"sync"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rradmission"
)

// gate admits the queries of one service.
type gate struct {
	// ranks are those of the definition that the core was built for.
	ranks []rrdefinition.Rank

	// mu guards core.
	mu   sync.Mutex
	core *rradmission.Controller
}

func newGate(ranks []rrdefinition.Rank) *gate {
	cfg := rradmission.Config{}
	for i := range ranks {
		cfg.Ranks = append(cfg.Ranks, rradmission.Rank{Name: ranks[i].Name, Deadline: ranks[i].Deadline})
	}
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &gate{ranks: ranks, core: rradmission.New(cfg, source)}
}

// gate returns the gate of the service. One that was built for other ranks is
// replaced.
func (e *Entry) gate(def *rrdefinition.Definition, service rrunit.ServiceName) *gate {
	v, ok := e.gates.Load(service)
	if g, isGate := v.(*gate); ok && isGate && slices.Equal(g.ranks, def.Ranks) {
		return g
	}
	g := newGate(def.Ranks)
	e.gates.Store(service, g)
	return g
}

// reportWaits passes the waits of a report on to the gate of its service.
func (e *Entry) reportWaits(r *rrpeer.Report) {
	v, ok := e.gates.Load(r.Shard.Service)
	if !ok {
		return
	}
	if g, ok := v.(*gate); ok {
		g.mu.Lock()
		g.core.AddReport(e.clock(), r)
		g.mu.Unlock()
	}
}

// admit decides whether the query runs before anything is sent. It returns what
// to call with the answer of a query that runs, or the refusal. A query of one
// shard is left to the shard's owner, as no work at other shards is lost by it.
func (e *Entry) admit(r *run) (func(*rrquery.Answer), *rrquery.Answer) {
	rank := r.def.RankIndex(r.query.Rank)
	if r.query.Key != "" || rank < 0 {
		return func(*rrquery.Answer) {}, nil
	}
	g := e.gate(r.def, r.service.Name)
	g.mu.Lock()
	d := g.core.Admit(e.clock(), rank, r.query.Caller)
	g.mu.Unlock()
	if !d.Admitted {
		a := refuse(r.def, r.query, rrquery.ReasonOverload)
		a.Retry = d.RetryAfter
		return nil, a
	}
	return func(a *rrquery.Answer) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.core.Done(e.clock(), rank, r.query.Caller, admissionResult(a))
	}, nil
}

// admissionResult tells admission how an admitted query ended.
func admissionResult(a *rrquery.Answer) rradmission.Result {
	if a.Outcome == rrquery.OutcomeComplete {
		return rradmission.ResultComplete
	}
	for i := range a.Missing {
		if reason := a.Missing[i].Reason; reason == rrquery.ReasonOverload || reason == rrquery.ReasonDeadline {
			return rradmission.ResultOverload
		}
	}
	return rradmission.ResultOther
}

// Admission returns the state of admission of each service, for dumps.
func (e *Entry) Admission() map[rrunit.ServiceName][]rradmission.RankState {
	out := make(map[rrunit.ServiceName][]rradmission.RankState)
	e.gates.Range(func(k, v any) bool {
		name, isName := k.(rrunit.ServiceName)
		g, isGate := v.(*gate)
		if isName && isGate {
			g.mu.Lock()
			out[name] = g.core.State(e.clock())
			g.mu.Unlock()
		}
		return true
	})
	return out
}
