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

// admissionControl decides which queries of one service are admitted.
type admissionControl struct {
	// ranks are the definition's ranks that the core was built for.
	ranks []rrdefinition.Rank

	// mu guards core.
	mu   sync.Mutex
	core *rradmission.Gate
}

func newAdmissionControl(ranks []rrdefinition.Rank) *admissionControl {
	cfg := rradmission.Config{}
	for i := range ranks {
		cfg.Ranks = append(cfg.Ranks, rradmission.Rank{Name: ranks[i].Name, Deadline: ranks[i].Deadline})
	}
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &admissionControl{ranks: ranks, core: rradmission.New(cfg, source)}
}

// admissionControl returns the admission control of the service. One that was built
// for other ranks is replaced.
func (e *Entry) admissionControl(def *rrdefinition.Definition, service rrunit.ServiceName) *admissionControl {
	value, ok := e.admissionControls.Load(service)
	if control, isControl := value.(*admissionControl); ok && isControl && slices.Equal(control.ranks, def.Ranks) {
		return control
	}
	control := newAdmissionControl(def.Ranks)
	e.admissionControls.Store(service, control)
	return control
}

// reportWaits passes the queue waits of a report to its service's admission control.
func (e *Entry) reportWaits(r *rrpeer.Report) {
	value, ok := e.admissionControls.Load(r.Shard.Service)
	if !ok {
		return
	}
	if control, ok := value.(*admissionControl); ok {
		control.mu.Lock()
		control.core.Report(e.clock(), r)
		control.mu.Unlock()
	}
}

// admit decides, before anything is sent, whether the query runs. It returns a
// function to call with the answer of an admitted query, or the refusal. A query on a
// single shard is left to the shard's owner, as its refusal there wastes no work at
// other shards.
func (e *Entry) admit(r *queryRun) (func(*rrquery.Answer), *rrquery.Answer) {
	rank := r.def.RankIndex(r.query.Rank)
	if r.query.Key != "" || rank < 0 {
		return func(*rrquery.Answer) {}, nil
	}
	control := e.admissionControl(r.def, r.service.Name)
	control.mu.Lock()
	decision := control.core.Admit(e.clock(), rank, r.query.Caller)
	control.mu.Unlock()
	if !decision.Admitted {
		refusal := refuse(r.def, r.query, rrquery.ReasonOverload)
		refusal.Retry = decision.Retry
		return nil, refusal
	}
	return func(a *rrquery.Answer) {
		control.mu.Lock()
		defer control.mu.Unlock()
		control.core.Done(e.clock(), rank, r.query.Caller, admissionResult(a))
	}, nil
}

// admissionResult returns how an admitted query ended, as input to admission control.
func admissionResult(a *rrquery.Answer) rradmission.Result {
	if a.Outcome == rrquery.OutcomeComplete {
		return rradmission.ResultWhole
	}
	for i := range a.Missing {
		if reason := a.Missing[i].Reason; reason == rrquery.ReasonOverload || reason == rrquery.ReasonDeadline {
			return rradmission.ResultShort
		}
	}
	return rradmission.ResultOther
}

// Admission returns the admission state of each service, for dumps.
func (e *Entry) Admission() map[rrunit.ServiceName][]rradmission.RankState {
	out := make(map[rrunit.ServiceName][]rradmission.RankState)
	e.admissionControls.Range(func(k, v any) bool {
		name, isName := k.(rrunit.ServiceName)
		control, isControl := v.(*admissionControl)
		if isName && isControl {
			control.mu.Lock()
			out[name] = control.core.State(e.clock())
			control.mu.Unlock()
		}
		return true
	})
	return out
}
