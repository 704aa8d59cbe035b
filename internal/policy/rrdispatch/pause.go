package rrdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The end of a pause is delayed by a random part of it, one pauseSpreadDivisor-th and
// maxPauseSpread at most, so that the daemons do not return at once.
const (
	pauseSpreadDivisor = 8
	maxPauseSpread     = 500 * time.Millisecond
)

// RecordPause records that a searcher asked this daemon for a pause. No attempt starts there
// until its end; then one does, and more as answers come. It reports whether the searcher
// was not paused before.
func (s *Shard) RecordPause(now rrunit.Instant, id rrunit.SearcherID, pause rrunit.Duration) bool {
	w := s.findNotified(id)
	if w == nil || pause <= 0 {
		return false
	}
	isNew := !w.isPaused(now)
	spread := min(pause.Std()/pauseSpreadDivisor, maxPauseSpread)
	end := now.Add(pause.Std() + time.Duration(s.rng.Float64()*float64(spread)))
	w.pausedUntil = max(w.pausedUntil, end)
	w.enterSlowStart()
	s.recheckPauses = true
	return isNew
}

// replyAllPaused replies to all waiting jobs that the pauses leave no attempt in time.
func (s *Shard) replyAllPaused(now rrunit.Instant) {
	if _, ok := s.pauseEnd(now, laneKey{}); !ok {
		return
	}
	waiting := slices.DeleteFunc(slices.Collect(maps.Values(s.jobs)), func(j *job) bool { return !j.entry.Queued() || len(j.running) > 0 })
	slices.SortFunc(waiting, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range waiting {
		if reason, wait := s.pauseRefusal(now, j); reason != rrquery.ReasonNone {
			s.reply(j, reason, wait)
		}
	}
}

// isPaused reports whether the searcher wants no attempts of this daemon now.
func (w *searcher) isPaused(now rrunit.Instant) bool { return now < w.pausedUntil }

// pauseEnd returns when the first pause ends if all searchers that may serve the lane are
// paused.
func (s *Shard) pauseEnd(now rrunit.Instant, key laneKey) (rrunit.Instant, bool) {
	first, found := rrunit.Instant(0), false
	for _, w := range s.searchers {
		if key.tried&w.bit != 0 || w.health != healthUp || !w.mayServe(key.version, now) {
			continue
		}
		if !w.isPaused(now) {
			return 0, false
		}
		if !found || w.pausedUntil < first {
			first, found = w.pausedUntil, true
		}
	}
	return first, found
}

// pauseRefusal returns whether a job is refused because no searcher wants attempts until it
// is too late to meet the deadline, and the time after which to try again.
func (s *Shard) pauseRefusal(now rrunit.Instant, j *job) (rrquery.Reason, time.Duration) {
	end, ok := s.pauseEnd(now, s.laneOf(j))
	if !ok || end <= s.latestStart(now, j) {
		return rrquery.ReasonNone, 0
	}
	return rrquery.ReasonPaused, end.Sub(now)
}
