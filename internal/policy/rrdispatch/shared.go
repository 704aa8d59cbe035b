package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// A searcher that answers no request at all is marked down once an attempt has taken
// minSilence, or silenceTailFactor times the tail of its rank's service times if that is
// longer.
const (
	minSilence        = 300 * time.Millisecond
	silenceTailFactor = 4
)

// isShared reports whether other daemons send to the searchers too.
func (s *Shard) isShared() bool { return s.cfg.ServiceTimes != nil }

// estimateRequest returns the input of an estimate for one more attempt of the rank at
// the searcher.
func (s *Shard) estimateRequest(rank int, w *searcher) rrestimate.Request {
	var oldest rrunit.Instant
	if len(w.running) > 0 {
		oldest = w.running[0].startedAt
	}
	return rrestimate.Request{
		OldestSentAt: oldest,
		RoundTrip:    (w.RoundTrip + w.connectTime()).Std(),
		ServiceTime:  s.cfg.ServiceTimes.Median(rank),
		InFlight:     len(w.running),
		Slots:        w.Slots,
		FailureCost:  s.failureCost(),
	}
}

// The cost of a request that has to be sent elsewhere: little while the budget for
// retries is full, and most likely its answer once the budget is empty.
const (
	minFailureCost = 20 * time.Millisecond
	maxFailureCost = 200 * time.Millisecond
)

func (s *Shard) failureCost() time.Duration {
	used := 1 - min(1, max(0, s.sharedBudget.Available(s.now)/max(1, s.sharedBudget.Limit(s.now))))
	return minFailureCost + time.Duration(used*used*float64(maxFailureCost-minFailureCost))
}

// serviceTime returns how long the attempt has taken without the round trip and the time
// to connect.
func (a *attempt) serviceTime(now rrunit.Instant) time.Duration {
	return now.Sub(a.startedAt) - (a.searcher.RoundTrip + a.connectTime).Std()
}

// recordServiceTime records the service time of an answered attempt for its searcher and
// its rank.
func (s *Shard) recordServiceTime(now rrunit.Instant, a *attempt) {
	if !s.isShared() {
		return
	}
	rank, w := s.clampRank(a.rank), a.searcher
	if service, ok := w.estimator.RecordAnswer(now, a.startedAt, a.serviceTime(now), s.cfg.ServiceTimes.Median(rank)); ok {
		s.cfg.ServiceTimes.Record(now, rank, service)
	}
}

// recordCancelled records the end of a cancelled attempt. A searcher that has answered
// nothing since it was sent is marked down.
func (s *Shard) recordCancelled(now rrunit.Instant, a *attempt) {
	if !s.isShared() {
		return
	}
	w, rank := a.searcher, s.clampRank(a.rank)
	limit := max(minSilence, w.estimator.OverdueAfter(now, s.estimateRequest(rank, w), silenceTailFactor*s.cfg.ServiceTimes.Tail(rank)))
	if now.Sub(a.startedAt) >= limit && !w.estimator.AnsweredSince(a.startedAt) {
		w.markDown(now, s.rng.Float64())
	}
}

// hedgeDelay returns the time after which a second attempt of the job is started.
func (s *Shard) hedgeDelay(now rrunit.Instant, j *job) time.Duration {
	if !s.isShared() {
		return s.ranks[j.Rank].hedgeDelay(s.tuning)
	}
	a := j.running[0]
	w := a.searcher
	r := s.estimateRequest(j.Rank, w)
	r.RoundTrip = (w.RoundTrip + a.connectTime).Std()
	delay := w.estimator.OverdueAfter(now, r, s.cfg.ServiceTimes.Tail(j.Rank))
	if latest, ok := s.latestHedge(now, j); ok {
		delay = min(delay, latest.Sub(now))
	}
	return max(delay, r.RoundTrip+r.ServiceTime)
}

// latestHedge returns the latest start of a second attempt that meets the target over an
// open connection, and false if there is no target or no searcher for it. Allowing for
// the time to open a connection would start many that are not needed.
func (s *Shard) latestHedge(now rrunit.Instant, j *job) (rrunit.Instant, bool) {
	if j.Target == 0 {
		return 0, false
	}
	best, ok := s.leastEstimate(now, j, true)
	if !ok {
		return 0, false
	}
	spread := s.cfg.ServiceTimes.Tail(j.Rank) - s.cfg.ServiceTimes.Median(j.Rank)
	return j.Target.Add(-best - max(0, spread)), true
}

// postponeHedge postpones the second attempt once if the searcher has answered other
// requests since the first was sent, and the target leaves the time. The request itself
// is then most likely slow, and would be as slow elsewhere.
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

// earlyHedgeReserve is the share of the budget that hedges which could still wait leave
// for those that could not, and for retries of refused attempts.
const earlyHedgeReserve = 0.3

// chargeSharedHedge takes a second attempt from the shared budget and reports whether it
// could. One that can still wait is otherwise scheduled again for its latest start.
func (s *Shard) chargeSharedHedge(now rrunit.Instant, j *job) bool {
	latest, ok := s.latestHedge(now, j)
	early := ok && now < latest
	reserve := 0.0
	if early {
		reserve = earlyHedgeReserve * s.sharedBudget.Limit(now)
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

// leastEstimate returns the lowest estimated latency of the searchers that the job was
// not sent to. If connected is set, open connections to all of them are assumed, and those
// whose request limits leave no room now are left out.
func (s *Shard) leastEstimate(now rrunit.Instant, j *job, connected bool) (time.Duration, bool) {
	var best time.Duration
	found := false
	for _, w := range s.searchers {
		if j.tried&w.bit != 0 || w.isClosed() || w.health != healthUp || connected && !w.hasQuota(now) {
			continue
		}
		r := s.estimateRequest(j.Rank, w)
		if connected {
			r.RoundTrip = w.RoundTrip.Std()
		}
		if e := w.estimator.Estimate(now, r); !found || e < best {
			best, found = e, true
		}
	}
	return best, found
}

// markOverdue records that the attempt has taken longer than expected.
func (s *Shard) markOverdue(a *attempt) {
	if s.isShared() {
		a.searcher.estimator.RecordOverdue(a.startedAt)
		return
	}
	a.searcher.overdueAttempts++
}

// queueRank returns the job's rank in the queue: its own, or the corresponding one after
// all others if the job cannot meet its target.
func (s *Shard) queueRank(j *job) int {
	if j.demoted {
		return j.Rank + len(s.ranks)
	}
	return j.Rank
}

// jobRank returns the rank of the jobs in a rank of the queue.
func (s *Shard) jobRank(rank int) int { return rank % len(s.ranks) }

// setCost sets the cost of a rank's jobs in the queue.
func (s *Shard) setCost(rank int, cost float64) {
	s.queue.SetCost(rank, cost)
	if s.isShared() {
		s.queue.SetCost(rank+len(s.ranks), cost)
	}
}

// setDemoteAt sets when the job can no longer meet its target.
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

// demote moves a job without attempts in flight behind those that can still meet their
// target.
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

// isPastTarget reports whether the job's target has passed.
func (j *job) isPastTarget(now rrunit.Instant) bool { return j.Target != 0 && now >= j.Target }

// maxQueuedTurns limits the queue at a searcher, as a multiple of its slots. One turn
// keeps the slots busy during a round trip. Jobs in this dispatcher's queue are served by
// rank and random priority, which the searcher does not have.
const maxQueuedTurns = 4

// prefersRegion reports whether a job of the rank goes to the best searcher of the
// daemon's region, though one of another region may answer sooner. That is so if it will
// most likely be answered before a second attempt would be due, so that the traffic to
// the other region would gain nothing.
func (s *Shard) prefersRegion(rank int, inRegion candidate) bool {
	w := inRegion.searcher
	if w == nil || !s.isShared() {
		return false
	}
	return inRegion.score <= float64((w.RoundTrip+w.connectTime()).Std()+s.cfg.ServiceTimes.Tail(rank))
}

// hasCapacity reports whether the searcher has capacity for one more attempt, by its
// load report and the attempts in flight. Second attempts and demoted jobs need a free
// slot: in the searcher's queue they would only delay other jobs.
func (s *Shard) hasCapacity(now rrunit.Instant, rank int, w *searcher, key laneKey) bool {
	if !s.isShared() {
		return true
	}
	r := s.estimateRequest(rank, w)
	maxLoad := float64(w.Slots * (1 + maxQueuedTurns))
	if key.hedge || key.demoted {
		maxLoad = float64(w.Slots)
	}
	return w.estimator.Load(now, r) < maxLoad
}

// capacityAt returns when the searcher is expected to have capacity again without a
// further load report.
func (s *Shard) capacityAt(w *searcher) rrunit.Instant {
	return w.estimator.LoadBelowAt(s.estimateRequest(0, w), w.Slots*(1+maxQueuedTurns))
}

// queueOrder returns the instant by which the job is ordered in the queue: its arrival,
// moved back by its random priority times the time from arrival to target, as if it had
// waited that much longer.
func (s *Shard) queueOrder(j *job) rrunit.Instant {
	if !s.isShared() || j.Target == 0 {
		return 0
	}
	return j.arrivedAt.Add(-time.Duration(j.RandomPriority * float64(j.Target.Sub(j.arrivedAt))))
}
