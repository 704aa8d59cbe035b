package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// TakeObserved calls yield with each searcher's observation since the last call, if it
// is notable, and clears the observations.
func (s *Shard) TakeObserved(yield func(rrunit.SearcherID, rrestimate.Observed)) {
	for _, w := range s.searchers {
		if o := w.estimator.TakeObservation(w.Slots); o.IsNotable() {
			yield(w.ID, o)
		}
	}
}

// Hear records another daemon's observation of a searcher.
func (s *Shard) Hear(now rrunit.Instant, id rrunit.SearcherID, o rrestimate.Observed) {
	if w := s.findSearcher(id); w != nil {
		w.estimator.RecordRemote(now, o)
	}
}
