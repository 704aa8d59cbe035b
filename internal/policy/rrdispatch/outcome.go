package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// learn takes what the end of an attempt tells of its searcher, its rank and
// its fingerprint.
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
		s.suspects.Survived(a.fingerprint)
	case rrupstream.OutcomeFailed:
		w.estimator.RecordFailure(now)
		s.recordFailure(now, w)
		s.suspects.Survived(a.fingerprint)
	case rrupstream.OutcomeShed, rrupstream.OutcomeDraining, rrupstream.OutcomeMisdirected, rrupstream.OutcomeSnapshot:
		s.recordRefusal(now, a, outcome)
	case rrupstream.OutcomeUnsent, rrupstream.OutcomeLost, rrupstream.OutcomeSilent, rrupstream.OutcomeCancelled:
		s.recordNoAnswer(now, a, outcome)
	case rrupstream.OutcomeStale:
		// One alone does not put the searcher down, but another one is the better
		// choice.
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

// learnRefusal takes that the searcher turned the attempt away.
func (s *Shard) recordRefusal(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	w.resets = 0
	switch outcome {
	case rrupstream.OutcomeShed:
		w.estimator.RecordFailure(now)
		w.recordShed(now, a.id, s.lastAttempt)
		return
	case rrupstream.OutcomeSnapshot:
		w.recordMissingVersion(a.version, now)
	default:
		w.recordDraining(now)
	}
	s.recheckWaiting = true
}

// learnSilent takes that the attempt ended without a word of the searcher.
func (s *Shard) recordNoAnswer(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	switch outcome {
	case rrupstream.OutcomeCancelled:
		s.recordCancelled(now, a)
	case rrupstream.OutcomeUnsent:
		// An attempt that was given up before it left tells nothing.
		if a.job != nil && now < a.job.Deadline {
			w.refusedDraining = false
			w.markDown(now, s.rng.Float64())
		}
	case rrupstream.OutcomeLost:
		w.estimator.RecordFailure(now)
		w.refusedDraining = false
		w.markDown(now, s.rng.Float64())
		if !s.isShared() {
			s.recordLoss(now, a.fingerprint, w.ID, a.isolation())
		}
	default:
		w.markDown(now, s.rng.Float64())
	}
}

// learnLatency takes the latency of an answer.
func (s *Shard) recordLatency(now rrunit.Instant, a *attempt) {
	latency := now.Sub(a.startedAt)
	r := s.ranks[s.clampRank(a.rank)]
	if a.job != nil {
		// The end of a cancelled attempt says little of its latency.
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

// tooSlow notes that an attempt is given up after a long time. Its time so far
// counts as a latency, since leaving out the slow ones would shorten the
// quantiles.
func (s *Shard) recordSlow(now rrunit.Instant, a *attempt) {
	s.ranks[s.clampRank(a.rank)].latencies.Record(now, now.Sub(a.startedAt))
	if s.isShared() {
		w := a.searcher
		w.estimator.RecordAbandoned(now, a.startedAt, a.serviceTime(now), s.cfg.Works.Median(s.clampRank(a.rank)))
		return
	}
	s.recordFailure(now, a.searcher)
}

// strike notes an attempt that the searcher failed. Several in a row mean that
// it hangs or is broken, unless half of all would then be down: a fleet that is
// slow or broken as a whole still has to be used.
func (s *Shard) recordFailure(now rrunit.Instant, w *searcher) {
	w.failedAttempts++
	w.overdueAttempts++
	if w.health != healthUp || w.failedAttempts >= maxFailures && 2*(s.countUp()-1) >= len(s.searchers) {
		w.markDown(now, s.rng.Float64())
	}
}

// up returns how many searchers are up.
func (s *Shard) countUp() int {
	n := 0
	for _, w := range s.searchers {
		if w.health == healthUp {
			n++
		}
	}
	return n
}

// isolation says what the loss of the attempt would prove.
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

// Crashed takes that a searcher was found dead after it had lost a request of the
// fingerprint. Where searchers lose answers for other causes too, only that makes
// the request suspect.
func (s *Shard) Crashed(now rrunit.Instant, f rrunit.Fingerprint, id rrunit.SearcherID, isolation rrquarantine.Isolation) []Action {
	s.begin(now)
	s.recordLoss(now, f, id, isolation)
	return s.end(now)
}

// learnLoss takes what the loss of an attempt tells of its fingerprint.
func (s *Shard) recordLoss(now rrunit.Instant, f rrunit.Fingerprint, id rrunit.SearcherID, isolation rrquarantine.Isolation) {
	q, quarantined := s.suspects.Lost(now, rrquarantine.Loss{Fingerprint: f, Searcher: id, Isolation: isolation})
	if quarantined {
		s.emitQuarantine(now, q)
	}
}
