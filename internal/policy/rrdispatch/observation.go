package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// TakeObservations calls yield with each searcher's observation since the last call, if it
// is notable, and clears the observations.
func (s *Shard) TakeObservations(yield func(rrunit.SearcherID, rrestimate.Observation)) {
	for _, w := range s.searchers {
		if o := w.estimator.TakeObservation(w.Slots); o.IsNotable() {
			yield(w.ID, o)
		}
	}
}

// MergeObservations records another daemon's observation of a searcher.
func (s *Shard) MergeObservations(now rrunit.Instant, id rrunit.SearcherID, o rrestimate.Observation) {
	if w := s.findSearcher(id); w != nil {
		w.estimator.RecordRemote(now, o)
	}
}
