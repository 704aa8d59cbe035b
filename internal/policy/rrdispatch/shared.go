package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// An attempt at a searcher that answers nothing at all has the searcher count as
// down after silence, or after silentTails of its rank's tail where the work takes
// longer.
const (
	minSilence        = 300 * time.Millisecond
	silenceTailFactor = 4
)

// isShared reports whether other daemons send to the searchers too.
func (s *Shard) isShared() bool { return s.cfg.Works != nil }

// request describes one more attempt of the rank at the searcher.
func (s *Shard) estimateRequest(rank int, w *searcher) rrestimate.Request {
	var oldest rrunit.Instant
	if len(w.running) > 0 {
		oldest = w.running[0].startedAt
	}
	return rrestimate.Request{
		OldestSentAt: oldest,
		RoundTrip:    (w.Distance + w.connectTime()).Std(),
		ServiceTime:  s.cfg.Works.Median(rank),
		InFlight:     len(w.running),
		Slots:        w.Slots,
		FailureCost:  s.failureCost(),
	}
}

// What a request loses that has to be sent elsewhere: little while the budget for
// that is full, and most likely its answer once it is empty.
const (
	minFailureCost = 20 * time.Millisecond
	maxFailureCost = 200 * time.Millisecond
)

func (s *Shard) failureCost() time.Duration {
	spent := 1 - min(1, max(0, s.sharedBudget.Left(s.now)/max(1, s.sharedBudget.Size(s.now))))
	return minFailureCost + time.Duration(spent*spent*float64(maxFailureCost-minFailureCost))
}

// work returns how long the attempt has taken beyond its way.
func (a *attempt) serviceTime(now rrunit.Instant) time.Duration {
	return now.Sub(a.startedAt) - (a.searcher.Distance + a.connectTime).Std()
}

// learnPace takes what an answer tells of its searcher and of its rank's work.
func (s *Shard) recordServiceTime(now rrunit.Instant, a *attempt) {
	if !s.isShared() {
		return
	}
	rank, w := s.clampRank(a.rank), a.searcher
	if work, ok := w.estimator.RecordAnswer(now, a.startedAt, a.serviceTime(now), s.cfg.Works.Median(rank)); ok {
		s.cfg.Works.Record(now, rank, work)
	}
}

// learnSilence takes the end of an attempt that was given up on. A searcher that
// has answered nothing all the while is down.
func (s *Shard) recordCancelled(now rrunit.Instant, a *attempt) {
	if !s.isShared() {
		return
	}
	w, rank := a.searcher, s.clampRank(a.rank)
	limit := max(minSilence, w.estimator.OverdueAfter(now, s.estimateRequest(rank, w), silenceTailFactor*s.cfg.Works.Tail(rank)))
	if now.Sub(a.startedAt) >= limit && !w.estimator.AnsweredSince(a.startedAt) {
		w.markDown(now, s.rng.Float64())
	}
}

// patience returns how long the job's attempt is waited for before a second one.
func (s *Shard) hedgeDelay(now rrunit.Instant, j *job) time.Duration {
	if !s.isShared() {
		return s.ranks[j.Rank].hedgeDelay(s.tuning)
	}
	a := j.running[0]
	w := a.searcher
	r := s.estimateRequest(j.Rank, w)
	r.RoundTrip = (w.Distance + a.connectTime).Std()
	patience := w.estimator.OverdueAfter(now, r, s.cfg.Works.Tail(j.Rank))
	if latest, ok := s.latestHedge(now, j); ok {
		patience = min(patience, latest.Sub(now))
	}
	return max(patience, r.RoundTrip+r.ServiceTime)
}

// latestHedge returns when a second attempt is started at the latest so that it
// makes the target over an open connection, and false if there is no target or nobody
// to ask. Leaving time to open one would start many that are not needed.
func (s *Shard) latestHedge(now rrunit.Instant, j *job) (rrunit.Instant, bool) {
	if j.Target == 0 {
		return 0, false
	}
	best, ok := s.leastEstimate(now, j, true)
	if !ok {
		return 0, false
	}
	spread := s.cfg.Works.Tail(j.Rank) - s.cfg.Works.Median(j.Rank)
	return j.Target.Add(-best - max(0, spread)), true
}

// putOff lets a job wait once more for its first attempt if the searcher answers
// others meanwhile, and the target leaves the time. Such an attempt is most
// likely slow work, which would be as slow elsewhere.
func (s *Shard) postponeHedge(now rrunit.Instant, j *job) bool {
	if !s.isShared() || j.hedgePostponed || len(j.running) != 1 {
		return false
	}
	a := j.running[0]
	latest, ok := s.latestHedge(now, j)
	if !ok || !a.searcher.estimator.AnsweredSince(a.startedAt) {
		return false
	}
	next := min(now.Add(now.Sub(a.startedAt)), latest)
	if next <= now {
		return false
	}
	j.hedgePostponed = true
	j.hedgeAt = next
	return true
}

// earlyReserve is the part of the budget that second attempts leave which could
// wait for longer, for those that could not, and for refused work.
const earlyHedgeReserve = 0.3

// affordShared takes a second attempt from the budget. One that can wait and is
// refused asks again when it cannot any more.
func (s *Shard) chargeSharedHedge(now rrunit.Instant, j *job) bool {
	latest, ok := s.latestHedge(now, j)
	early := ok && now < latest
	reserve := 0.0
	if early {
		reserve = earlyHedgeReserve * s.sharedBudget.Size(now)
	}
	switch {
	case s.sharedBudget.Spend(now, reserve):
		return true
	case early:
		j.hedgeAt = latest
		s.updateTimer(j)
	case !j.lateHedge:
		s.scheduleLateHedge(now, j)
		s.updateTimer(j)
	}
	return false
}

// soonest returns the least estimate of the searchers that the job was not sent to.
// connected takes connections to all of them to be open.
func (s *Shard) leastEstimate(now rrunit.Instant, j *job, connected bool) (time.Duration, bool) {
	var best time.Duration
	found := false
	for _, w := range s.searchers {
		if j.tried&w.bit != 0 || w.isClosed() || w.health != healthUp {
			continue
		}
		r := s.estimateRequest(j.Rank, w)
		if connected {
			r.RoundTrip = w.Distance.Std()
		}
		if e := w.estimator.Estimate(now, r); !found || e < best {
			best, found = e, true
		}
	}
	return best, found
}

// markOverdue notes that the attempt should have been answered by now.
func (s *Shard) markOverdue(a *attempt) {
	if s.isShared() {
		a.searcher.estimator.RecordOverdue(a.startedAt)
		return
	}
	a.searcher.overdueAttempts++
}

// queueRank returns the rank that the job waits under: its own, or the one behind
// all others where it cannot make its target.
func (s *Shard) queueRank(j *job) int {
	if j.demoted {
		return j.Rank + len(s.ranks)
	}
	return j.Rank
}

// rankOfQueue returns the rank of the jobs that wait under a rank of the queue.
func (s *Shard) jobRank(rank int) int { return rank % len(s.ranks) }

// setCost sets the cost of a rank for the queue.
func (s *Shard) setCost(rank int, cost float64) {
	s.queue.SetCost(rank, cost)
	if s.isShared() {
		s.queue.SetCost(rank+len(s.ranks), cost)
	}
}

// setDemote sets when the job can no longer make its target.
func (s *Shard) setDemoteAt(now rrunit.Instant, j *job) {
	if !s.isShared() || j.Target == 0 {
		return
	}
	best, ok := s.leastEstimate(now, j, false)
	if !ok {
		best = 0
	}
	j.demoteAt = max(now+1, j.Target.Add(-best))
}

// demote lets a job that waits for its first attempt wait behind those that can
// still make their target.
func (s *Shard) demote(j *job) {
	j.demoteAt = 0
	j.demoted = true
	if len(j.running) == 0 {
		s.queue.Remove(&j.entry)
		s.enqueue(j, j.attemptsSent > 0)
		return
	}
	s.updateTimer(j)
}

// isLate reports whether the job can no longer make its target.
func (j *job) isPastTarget(now rrunit.Instant) bool { return j.Target != 0 && now >= j.Target }

// IsPossible reports whether any searcher may serve a new job sooner or later.
func (s *Shard) IsPossible(now rrunit.Instant) bool { return s.canServe(now, laneKey{}) }

// queueTurns is how many turns of a searcher's slots may wait there beside those
// that run. One keeps the slots busy across the way; what else waits here is
// served by rank and lot, which the searcher knows nothing of.
const maxQueuedTurns = 4

// isNearEnough reports whether a job of the rank goes to the best searcher of the
// daemon's region, though one of another region may answer sooner: it is most likely
// answered before a second attempt would be due, so that the bytes to the other region
// would serve nobody.
func (s *Shard) prefersRegion(rank int, near candidate) bool {
	w := near.searcher
	if w == nil || !s.isShared() {
		return false
	}
	return near.score <= float64((w.Distance+w.connectTime()).Std()+s.cfg.Works.Tail(rank))
}

// hasRoom reports whether the searcher has room for one more attempt by its own
// word and what was sent since. A second attempt wants a free slot: where it
// would have to wait it only takes the turn of others.
func (s *Shard) hasCapacity(now rrunit.Instant, rank int, w *searcher, key laneKey) bool {
	if !s.isShared() {
		return true
	}
	r := s.estimateRequest(rank, w)
	most := float64(w.Slots * (1 + maxQueuedTurns))
	if key.hedge || key.demoted {
		most = float64(w.Slots)
	}
	return w.estimator.Load(now, r) < most
}

// roomAt returns when the searcher has room again though it says nothing more.
func (s *Shard) capacityAt(w *searcher) rrunit.Instant {
	return w.estimator.LoadBelowAt(s.estimateRequest(0, w), w.Slots*(1+maxQueuedTurns))
}

// order returns what the job is served by among those that wait: its arrival,
// put forward by its lot as if it had waited for up to its time to the target.
func (s *Shard) queueOrder(j *job) rrunit.Instant {
	if !s.isShared() || j.Target == 0 {
		return 0
	}
	return j.arrivedAt.Add(-time.Duration(j.Lot * float64(j.Target.Sub(j.arrivedAt))))
}
