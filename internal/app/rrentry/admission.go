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

// admissionController decides which queries of one service are admitted.
type admissionController struct {
	// ranks are the definition's ranks that the core was built for.
	ranks []rrdefinition.Rank

	// mu guards core.
	mu   sync.Mutex
	core *rradmission.Controller
}

func newAdmissionController(ranks []rrdefinition.Rank) *admissionController {
	cfg := rradmission.Config{}
	for i := range ranks {
		cfg.Ranks = append(cfg.Ranks, rradmission.Rank{Name: ranks[i].Name, Deadline: ranks[i].DefaultDeadline})
	}
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	return &admissionController{ranks: ranks, core: rradmission.New(cfg, source)}
}

// admissionController returns the admission controller of the service. One that was
// built for other ranks is replaced.
func (e *Entry) admissionController(def *rrdefinition.Definition, service rrunit.ServiceName) *admissionController {
	value, ok := e.admissionControllers.Load(service)
	if controller, isController := value.(*admissionController); ok && isController && slices.Equal(controller.ranks, def.Ranks) {
		return controller
	}
	controller := newAdmissionController(def.Ranks)
	e.admissionControllers.Store(service, controller)
	return controller
}

// reportWaits passes the queue waits of a report to its service's admission controller.
func (e *Entry) reportWaits(r *rrpeer.ShardReport) {
	value, ok := e.admissionControllers.Load(r.Shard.Service)
	if !ok {
		return
	}
	if controller, ok := value.(*admissionController); ok {
		controller.mu.Lock()
		controller.core.AddReport(e.clock(), r)
		controller.mu.Unlock()
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
	controller := e.admissionController(r.def, r.service.Name)
	controller.mu.Lock()
	decision := controller.core.Admit(e.clock(), rank, r.query.Caller)
	controller.mu.Unlock()
	if !decision.Admitted {
		refusal := refuse(r.def, r.query, rrquery.ReasonOverload)
		refusal.RetryAfter = decision.RetryAfter
		return nil, refusal
	}
	return func(a *rrquery.Answer) {
		controller.mu.Lock()
		defer controller.mu.Unlock()
		controller.core.Done(e.clock(), rank, r.query.Caller, admissionResult(a))
	}, nil
}

// admissionResult returns how an admitted query ended, as input to the admission
// controller.
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

// Admission returns the admission state of each service, for dumps.
func (e *Entry) Admission() map[rrunit.ServiceName][]rradmission.RankState {
	out := make(map[rrunit.ServiceName][]rradmission.RankState)
	e.admissionControllers.Range(func(k, v any) bool {
		name, isName := k.(rrunit.ServiceName)
		controller, isController := v.(*admissionController)
		if isName && isController {
			controller.mu.Lock()
			out[name] = controller.core.State(e.clock())
			controller.mu.Unlock()
		}
		return true
	})
	return out
}
