package rrdispatch

import (
	"maps"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
)

const (
	// unlistedHold is how long it is remembered what a searcher said that is no longer
	// listed. Most that come back, as their entries had only expired, do so within seconds.
	unlistedHold = 10 * time.Minute
	// maxUnlisted limits memory; the one that was listed longest ago is dropped first.
	maxUnlisted = 256
)

// unlistedSearcher is what a searcher that is no longer listed has said of itself. It still
// holds if the same process is listed again.
type unlistedSearcher struct {
	// since is when it was listed last.
	since rrunit.Instant
	// pausedUntil, saidLeaving and leavingUnshared are as in searcher; limit is the request
	// limit that it named at limitAt, nil for none.
	pausedUntil                  rrunit.Instant
	saidLeaving, leavingUnshared bool
	limit                        *rrunit.Rate
	limitAt                      rrunit.Instant
}

// rememberUnlisted keeps what a searcher said that is no longer listed.
func (s *Shard) rememberUnlisted(w *searcher) {
	u := unlistedSearcher{
		since: s.now, pausedUntil: w.pausedUntil, saidLeaving: w.saidLeaving, leavingUnshared: w.leavingUnshared,
		limit: w.namedLimit(), limitAt: w.limitAt,
	}
	if !u.saidLeaving && u.limit == nil && !w.isPaused(s.now) {
		return
	}
	maps.DeleteFunc(s.unlisted, func(_ rrunit.SearcherID, old unlistedSearcher) bool { return s.now.Sub(old.since) >= unlistedHold })
	if len(s.unlisted) >= maxUnlisted {
		s.dropOldestUnlisted()
	}
	s.unlisted[w.ID] = u
}

func (s *Shard) dropOldestUnlisted() {
	var oldest rrunit.SearcherID
	for id, u := range s.unlisted {
		if oldest == "" || u.since < s.unlisted[oldest].since {
			oldest = id
		}
	}
	delete(s.unlisted, oldest)
}

// recallUnlisted gives a searcher that is listed again what it said before.
func (s *Shard) recallUnlisted(w *searcher) {
	u, ok := s.unlisted[w.ID]
	if !ok {
		return
	}
	delete(s.unlisted, w.ID)
	if s.now.Sub(u.since) >= unlistedHold {
		return
	}
	w.pausedUntil, w.saidLeaving, w.leavingUnshared = u.pausedUntil, u.saidLeaving, u.leavingUnshared
	if u.limit != nil {
		w.limit, w.limitAt = *u.limit, u.limitAt
		w.quota = rrbudget.NewQuota(s.now, s.quotaPhase(w))
	}
}

// findNotified returns the searcher whose notice arrived, which may no longer be listed while
// attempts are in flight there, or nil.
func (s *Shard) findNotified(id rrunit.SearcherID) *searcher {
	if w := s.findSearcher(id); w != nil {
		return w
	}
	for _, w := range s.removed {
		if w.ID == id {
			return w
		}
	}
	return nil
}
