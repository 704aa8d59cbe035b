package rrdispatch

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// RecordLeaving records that a searcher said that it leaves. It gets no new jobs, whatever
// the platform's list says, as long as it runs: another process has another id. isOwn is set
// if it said so to this daemon. It reports whether that is new.
func (s *Shard) RecordLeaving(id rrunit.SearcherID, isOwn bool) bool {
	if u, ok := s.unlisted[id]; ok {
		u.saidLeaving = true
		s.unlisted[id] = u
		return false
	}
	w := s.findNotified(id)
	if w == nil || w.saidLeaving {
		return false
	}
	w.saidLeaving, w.leavingUnshared = true, isOwn
	s.recheckWaiting = true
	return true
}

// TakeLeaving calls yield with each searcher that has said to this daemon since the last
// call that it leaves.
func (s *Shard) TakeLeaving(yield func(rrunit.SearcherID)) {
	for _, w := range s.searchers {
		if w.leavingUnshared {
			w.leavingUnshared = false
			yield(w.ID)
		}
	}
}
