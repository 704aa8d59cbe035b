package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// TakeObserved calls tell with what requests met at each searcher since the last
// call, if others gain by knowing it.
func (s *Shard) TakeObserved(tell func(rrunit.SearcherID, rrestimate.Observed)) {
	for _, w := range s.searchers {
		if o := w.estimator.TakeObservation(w.Slots); o.IsNotable() {
			tell(w.ID, o)
		}
	}
}

// Hear takes what another daemon's requests met at a searcher.
func (s *Shard) Hear(now rrunit.Instant, id rrunit.SearcherID, o rrestimate.Observed) {
	if w := s.findSearcher(id); w != nil {
		w.estimator.RecordRemote(now, o)
	}
}
