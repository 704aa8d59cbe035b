package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// recordOutcome updates the state of the attempt's searcher, rank and fingerprint after
// its end.
func (s *Shard) recordOutcome(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	switch outcome {
	case rrupstream.OutcomeAnswered:
		if a.newConnection {
			w.connectResets, w.nextConnectAt = 0, 0
		}
		s.recordLatency(now, a)
		s.recordServiceTime(now, a)
		w.recordAnswer(now, a.version, now.Sub(a.startedAt))
		s.suspects.RecordAnswer(now, a.fingerprint, s.cfg.Service)
	case rrupstream.OutcomeFailed:
		if !w.isPaused(now) {
			w.estimator.RecordFailure(now)
			s.recordFailure(now, w)
		}
		// It does not clear the request, which the searcher may have failed before it began
		// to run it.
	case rrupstream.OutcomeShed, rrupstream.OutcomeDraining, rrupstream.OutcomeMisdirected, rrupstream.OutcomeWrongSnapshot:
		s.recordRefusal(now, a, outcome)
	case rrupstream.OutcomeUnsent, rrupstream.OutcomeConnectionLost, rrupstream.OutcomeUnresponsive, rrupstream.OutcomeCancelled:
		s.recordNoAnswer(now, a, outcome)
	case rrupstream.OutcomeStaleConnection:
		// A single reset does not mark the searcher down, but makes others preferred.
		w.estimator.RecordFailure(now)
		if s.isShared() && a.newConnection {
			w.recordConnectReset(now, s.rng.Float64())
			return
		}
		w.resets++
		if w.resets >= maxResets {
			w.markDown(now, s.rng.Float64())
		}
	case rrupstream.OutcomeRejected:
	}
}

// recordRefusal records that the searcher refused the attempt.
func (s *Shard) recordRefusal(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	w.resets = 0
	switch outcome {
	case rrupstream.OutcomeShed:
		if w.isPaused(now) {
			return
		}
		w.estimator.RecordFailure(now)
		w.recordShed(now, a.id, s.lastAttempt)
		return
	case rrupstream.OutcomeWrongSnapshot:
		w.recordMissingVersion(a.version, now)
	default:
		w.recordDraining(now)
	}
	s.recheckWaiting = true
}

// recordNoAnswer records that the attempt ended without a response.
func (s *Shard) recordNoAnswer(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	switch outcome {
	case rrupstream.OutcomeCancelled:
		s.recordCancelled(now, a)
		s.recordOrphan(now, a)
	case rrupstream.OutcomeUnsent:
		// An attempt that was abandoned before it was sent is no evidence.
		if a.job != nil && now < a.job.Deadline {
			w.refusedDraining = false
			w.markDown(now, s.rng.Float64())
		}
	case rrupstream.OutcomeConnectionLost:
		w.estimator.RecordFailure(now)
		w.refusedDraining = false
		w.markDown(now, s.rng.Float64())
		if !s.isShared() {
			s.recordLoss(now, a.fingerprint, w.ID, a.isolation())
		}
	default:
		w.markDown(now, s.rng.Float64())
		s.recordOrphan(now, a)
	}
}

// recordLatency records the latency of an answer.
func (s *Shard) recordLatency(now rrunit.Instant, a *attempt) {
	latency := now.Sub(a.startedAt)
	r := s.ranks[s.clampRank(a.rank)]
	if a.job != nil {
		// The end of a cancelled attempt is no measure of its latency.
		r.latencies.Record(now, latency)
	}
	s.meanLatency = movingAverage(s.meanLatency, latency)
	r.slotTime = movingAverage(r.slotTime, latency)
	s.setCost(s.clampRank(a.rank), max(1, r.slotTime))
}

func movingAverage(old float64, latency time.Duration) float64 {
	if old == 0 {
		return float64(latency)
	}
	return old + latencyWeight*(float64(latency)-old)
}

// recordSlow records an attempt that is cancelled because it takes too long. Its time so
// far counts as a latency, since leaving out slow attempts would bias the quantiles low.
func (s *Shard) recordSlow(now rrunit.Instant, a *attempt) {
	s.ranks[s.clampRank(a.rank)].latencies.Record(now, now.Sub(a.startedAt))
	if s.isShared() {
		w := a.searcher
		w.estimator.RecordAbandoned(now, a.startedAt, a.serviceTime(now), s.cfg.ServiceTimes.Median(s.clampRank(a.rank)))
		return
	}
	s.recordFailure(now, a.searcher)
}

// recordFailure records an attempt that the searcher failed or was too slow for. After
// several in a row the searcher is marked down, unless fewer than half of all would then
// be up: searchers that are all slow or failing still have to be used. A failed probe
// marks the searcher down again.
func (s *Shard) recordFailure(now rrunit.Instant, w *searcher) {
	w.failedAttempts++
	w.overdueAttempts++
	if w.health != healthUp || w.failedAttempts >= maxFailures && 2*(s.countUp()-1) >= len(s.searchers) {
		w.markDown(now, s.rng.Float64())
	}
}

// countUp returns the number of searchers that are up.
func (s *Shard) countUp() int {
	n := 0
	for _, w := range s.searchers {
		if w.health == healthUp {
			n++
		}
	}
	return n
}

// isolation returns what the loss of the attempt would prove.
func (a *attempt) isolation() rrquarantine.Isolation {
	switch {
	case a.alone:
		return rrquarantine.IsolationAlone
	case a.suspect:
		return rrquarantine.IsolationShared
	default:
		return rrquarantine.IsolationUnsuspected
	}
}

// RecordCrash records that a searcher was found dead after it had lost a request of the
// fingerprint. It is used where searchers lose answers for other causes too, so that a
// loss alone does not make the request suspect.
func (s *Shard) RecordCrash(now rrunit.Instant, f rrunit.Fingerprint, id rrunit.SearcherID, isolation rrquarantine.Isolation) []Action {
	s.begin(now)
	s.recordLoss(now, f, id, isolation)
	return s.end(now)
}

// recordLoss records the loss of an attempt against its fingerprint, and against those of the
// attempts that were abandoned at the searcher: any of them may be the cause.
func (s *Shard) recordLoss(now rrunit.Instant, f rrunit.Fingerprint, id rrunit.SearcherID, isolation rrquarantine.Isolation) {
	orphans := s.suspects.TakeOrphans(now, id)
	isOther := func(l rrquarantine.Loss) bool { return l.Fingerprint != f }
	if isolation != rrquarantine.IsolationUnsuspected && slices.ContainsFunc(orphans, isOther) {
		isolation = rrquarantine.IsolationShared
	}
	s.recordOneLoss(now, rrquarantine.Loss{Fingerprint: f, Service: s.cfg.Service, Searcher: id, Isolation: isolation})
	s.recordOrphanLosses(now, slices.DeleteFunc(orphans, func(l rrquarantine.Loss) bool { return !isOther(l) }))
}

func (s *Shard) recordOneLoss(now rrunit.Instant, l rrquarantine.Loss) {
	if q, quarantined := s.suspects.RecordLoss(now, l); quarantined {
		s.emitQuarantine(now, q)
	}
}
