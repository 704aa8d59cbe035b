package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
)

// Parameters of the choice of a searcher.
const (
	// overdueProbeWait is how long a due probe waits for a job of the least urgent rank,
	// or for one that can be retried, before any job is used for it.
	overdueProbeWait = time.Second
	// latencySpread is the factor by which a searcher's latency may differ from the
	// shard's in its score.
	latencySpread = 4
)

// dispatch starts all jobs that can be started now.
func (s *Shard) dispatch() {
	now := s.now
	s.suspectHeldUntil = 0
	s.needsIdle = false
	for s.queue.Len() > 0 && s.anyFree(now) {
		e := s.queue.Pick(s.ready)
		if e == nil {
			break
		}
		s.startJob(now, e.Value)
	}
	s.reserveForSuspect(now)
}

// anyFree reports whether any searcher can start an attempt now, including one that is
// reserved for a suspect.
func (s *Shard) anyFree(now rrunit.Instant) bool {
	for _, w := range s.searchers {
		if w.reserved || w.canStart(now) {
			return true
		}
	}
	return false
}

// countSlots returns the number of slots and how many of them are free.
func (s *Shard) countSlots(now rrunit.Instant) (total, free int) {
	for _, w := range s.searchers {
		if w.isClosed() || now < w.retryAt {
			continue
		}
		total += w.currentLimit()
		if w.canStart(now) {
			free += w.currentLimit() - len(w.running)
		}
	}
	return total, free
}

// isReady reports whether a job of the lane can be sent now.
func (s *Shard) isReady(rank int, key laneKey, floor bool) bool {
	rank = s.jobRank(rank)
	if key.suspect {
		return s.isSuspectReady(rank, key)
	}
	if !s.isShared() && !floor && rank > 0 && !s.hasUnreservedSlot(rank) {
		return false
	}
	return s.place(placement{searcher: s.chooseSearcher(s.now, rank, key)})
}

// placement is where and how the next job of a lane runs.
type placement struct {
	// searcher is nil if none can take the job now.
	searcher *searcher
	// suspect is set if the job runs as a suspect, and alone if a loss would then prove
	// that it caused the loss.
	suspect, alone bool
}

// place keeps the placement of a lane for startJob, and reports whether there is one. It is
// not worked out again when the job starts: other dispatchers record service times at any
// moment, so that the same question may get another answer.
func (s *Shard) place(p placement) bool {
	if p.searcher == nil {
		return false
	}
	s.placed = p
	return true
}

// hasUnreservedSlot reports whether a slot is free beyond those that are reserved for
// more urgent ranks.
func (s *Shard) hasUnreservedSlot(rank int) bool {
	total, free := s.countSlots(s.now)
	return free > s.reservedSlots(rank, total) || free == total
}

// candidate is the searcher with the lowest score so far; nil before the first.
type candidate struct {
	searcher *searcher
	score    float64
}

func (c *candidate) offer(w *searcher, score float64) {
	if c.searcher == nil || score < c.score {
		*c = candidate{w, score}
	}
}

// chooseSearcher returns the searcher for the next job of the lane, or nil if no free
// one can serve it.
func (s *Shard) chooseSearcher(now rrunit.Instant, rank int, key laneKey) *searcher {
	var best, inRegion candidate
	var probe *searcher
	n := len(s.searchers)
	for i := range n {
		w := s.searchers[(i+int(s.lastAttempt%MaxSearchers))%n]
		if !s.canTake(now, rank, w, key) {
			continue
		}
		if w.health != healthUp {
			probe = w
			continue
		}
		score := s.score(now, rank, w)
		best.offer(w, score)
		if !w.IsOtherRegion {
			inRegion.offer(w, score)
		}
	}
	if s.prefersRegion(rank, inRegion) {
		best = inRegion
	}
	if probe == nil || key.hedge {
		return best.searcher
	}
	if best.searcher == nil || s.probeDue(now, rank, probe, key.nonIdempotent) {
		return probe
	}
	return best.searcher
}

// canTake reports whether the searcher can start a job of the lane now.
func (s *Shard) canTake(now rrunit.Instant, rank int, w *searcher, key laneKey) bool {
	return key.tried&w.bit == 0 && w.canStart(now) && w.hasQuota(now) && w.mayConnect(now) && w.mayServe(key.version, now) && s.hasCapacity(now, rank, w, key)
}

// probeDue reports whether a job of the rank is used to probe a searcher that was down,
// though others are free. The least urgent rank is used first, and jobs that cannot be
// retried last.
func (s *Shard) probeDue(now rrunit.Instant, rank int, w *searcher, nonIdempotent bool) bool {
	if nonIdempotent {
		return now >= w.retryAt.Add(overdueProbeWait)
	}
	if s.isShared() && rank > 0 {
		return true
	}
	return rank == len(s.ranks)-1 || now >= w.retryAt.Add(overdueProbeWait)
}

// score returns a searcher's score for one more job, lower being better: its estimated
// latency. A searcher without a load report scores worse, as it may lack the version.
func (s *Shard) score(now rrunit.Instant, rank int, w *searcher) float64 {
	if s.isShared() {
		return float64(w.estimator.Estimate(now, s.estimateRequest(rank, w)))
	}
	latency := s.meanLatency + float64(w.RoundTrip)
	if now.Sub(w.latencyAt) <= latencyExpiry {
		latency = min(max(w.latency, s.meanLatency/latencySpread), latency*latencySpread)
	}
	if !w.hasReport {
		latency *= latencySpread
	}
	return (latency + 1) * float64((len(w.running)+1)*(w.overdueAttempts+1)) / w.concurrencyLimit
}

// canServe reports whether any searcher may serve a job of the lane, now or later.
func (s *Shard) canServe(now rrunit.Instant, key laneKey) bool {
	for _, w := range s.searchers {
		if key.tried&w.bit == 0 && w.mayServe(key.version, now) {
			return true
		}
	}
	return false
}

// laneOf returns the lane of the job.
func (s *Shard) laneOf(j *job) laneKey {
	key := laneKey{version: j.Version, tried: j.tried, hedge: len(j.running) > 0, demoted: j.demoted, nonIdempotent: s.isShared() && !j.Idempotent}
	if state, _ := s.suspects.State(s.now, j.Fingerprint); state != rrquarantine.StateClear {
		key.suspect = true
		key.fingerprint = j.Fingerprint
	}
	return key
}
