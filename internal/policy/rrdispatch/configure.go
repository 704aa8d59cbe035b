package rrdispatch

import (
	"cmp"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
)

// drainQueue empties the queue and returns its jobs by arrival. Waiting hedges are
// dropped.
func (s *Shard) drainQueue() []*job {
	var out []*job
	if s.queue == nil {
		return out
	}
	s.queue.Drain(func(laneKey) bool { return true }, func(e *rrqueue.Entry[laneKey, *job]) {
		if len(e.Value.running) == 0 {
			out = append(out, e.Value)
		}
	})
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (s *Shard) configureBudget() {
	s.budget.SetShare(s.cfg.ExtraShare)
	s.sharedBudget.SetBounds(s.cfg.ExtraShare, s.cfg.ExtraSlack)
	s.sharedBudget.SetHeld(s.now, s.cfg.IsHeldBack)
}

func (s *Shard) configureRanks() {
	floors := make([]rrunit.Share, 0, len(s.cfg.Ranks))
	for _, r := range s.cfg.Ranks {
		floors = append(floors, r.Floor)
	}
	if s.isShared() {
		// Jobs that can no longer meet their target have ranks of their own after all
		// others, with a tenth of the floors.
		for _, r := range s.cfg.Ranks {
			floors = append(floors, r.Floor/10)
		}
	}
	s.queue = rrqueue.New[laneKey, *job](floors, s.cfg.QueueLimit)
	for len(s.ranks) < len(s.cfg.Ranks) {
		s.ranks = append(s.ranks, newRankState(s.tuning))
	}
	s.ranks = s.ranks[:len(s.cfg.Ranks)]
}

// configureSearchers keeps the state of searchers that stay and adds the new ones.
func (s *Shard) configureSearchers() {
	previous := s.searchers
	s.searchers = nil
	used := s.usedBits(previous)
	for _, c := range s.cfg.Searchers {
		w := removeSearcher(&previous, c.ID)
		if w == nil {
			w = removeSearcher(&s.removed, c.ID)
		}
		isNew := w == nil
		if isNew {
			w = newSearcher(&used)
		}
		if w == nil {
			continue
		}
		w.configure(s.now, c)
		if isNew {
			s.recallUnlisted(w)
		}
		if w.quota != nil {
			w.quota.SetPhase(s.now, s.quotaPhase(w))
			w.quota.SetRate(s.now, w.quotaRate())
		}
		s.searchers = append(s.searchers, w)
	}
	for _, w := range previous {
		if len(w.running) > 0 {
			s.removed = append(s.removed, w)
		} else {
			s.rememberUnlisted(w)
		}
	}
	s.clearRemovedBits()
}

// removeSearcher removes the searcher from the list and returns it, or nil if it is not
// there.
func removeSearcher(from *[]*searcher, id rrunit.SearcherID) *searcher {
	for i, w := range *from {
		if w.ID == id {
			*from = slices.Delete(*from, i, i+1)
			return w
		}
	}
	return nil
}

// newSearcher returns a searcher with an unused bit, or nil if there is none left.
func newSearcher(used *searcherSet) *searcher {
	for i := range MaxSearchers {
		bit := searcherSet(1) << i
		if *used&bit == 0 {
			*used |= bit
			w := &searcher{bit: bit, health: healthUp}
			w.enterSlowStart()
			return w
		}
	}
	return nil
}

// usedBits returns the bits of the given searchers and of the removed ones.
func (s *Shard) usedBits(searchers []*searcher) searcherSet {
	var used searcherSet
	for _, w := range searchers {
		used |= w.bit
	}
	for _, w := range s.removed {
		used |= w.bit
	}
	return used
}

// clearRemovedBits clears, in all jobs, the bits of searchers that were removed and have
// no attempts in flight, since the bits are reused for other searchers. It visits every
// job, but configurations change rarely.
func (s *Shard) clearRemovedBits() {
	used := s.usedBits(s.searchers)
	for _, j := range s.jobs {
		j.tried &= used
	}
}

func (s *Shard) clearVersions() {
	for _, w := range s.searchers {
		w.hasReport = false
		w.versions = w.versions[:0]
		w.missing = w.missing[:0]
	}
}
