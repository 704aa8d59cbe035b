package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// learn takes what the end of an attempt tells of its searcher, its rank and
// its fingerprint.
func (s *Shard) learn(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	switch outcome {
	case rrupstream.OutcomeAnswered:
		if a.opened {
			w.full, w.connectAt = 0, 0
		}
		s.learnLatency(now, a)
		s.learnPace(now, a)
		w.answered(now, a.version, now.Sub(a.started))
		s.suspects.RecordAnswer(a.fingerprint)
	case rrupstream.OutcomeFailed:
		w.pace.Missed(now)
		s.strike(now, w)
		s.suspects.RecordAnswer(a.fingerprint)
	case rrupstream.OutcomeShed, rrupstream.OutcomeDraining, rrupstream.OutcomeMisdirected, rrupstream.OutcomeSnapshot:
		s.learnRefusal(now, a, outcome)
	case rrupstream.OutcomeUnsent, rrupstream.OutcomeLost, rrupstream.OutcomeSilent, rrupstream.OutcomeCancelled:
		s.learnSilent(now, a, outcome)
	case rrupstream.OutcomeStale:
		// One alone does not put the searcher down, but another one is the better
		// choice.
		w.pace.Missed(now)
		if s.isShared() && a.opened {
			w.refuseConnection(now, s.rng.Float64())
			return
		}
		w.resets++
		if w.resets >= maxResets {
			w.fail(now, s.rng.Float64())
		}
	case rrupstream.OutcomeRejected:
	}
}

// learnRefusal takes that the searcher turned the attempt away.
func (s *Shard) learnRefusal(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	w.resets = 0
	switch outcome {
	case rrupstream.OutcomeShed:
		w.pace.Missed(now)
		w.shed(now, a.id, s.next)
		return
	case rrupstream.OutcomeSnapshot:
		w.refuse(a.version, now)
	default:
		w.drain(now)
	}
	s.recheck = true
}

// learnSilent takes that the attempt ended without a word of the searcher.
func (s *Shard) learnSilent(now rrunit.Instant, a *attempt, outcome rrupstream.Outcome) {
	w := a.searcher
	switch outcome {
	case rrupstream.OutcomeCancelled:
		s.learnSilence(now, a)
	case rrupstream.OutcomeUnsent:
		// An attempt that was given up before it left tells nothing.
		if a.job != nil && now < a.job.Deadline {
			w.refused = false
			w.fail(now, s.rng.Float64())
		}
	case rrupstream.OutcomeLost:
		w.pace.Missed(now)
		w.refused = false
		w.fail(now, s.rng.Float64())
		if !s.isShared() {
			s.learnLoss(now, a.fingerprint, w.ID, a.isolation())
		}
	default:
		w.fail(now, s.rng.Float64())
	}
}

// learnLatency takes the latency of an answer.
func (s *Shard) learnLatency(now rrunit.Instant, a *attempt) {
	latency := now.Sub(a.started)
	r := s.ranks[s.rankOf(a.rank)]
	if a.job != nil {
		// The end of a cancelled attempt says little of its latency.
		r.recent.Record(now, latency)
	}
	s.latency = average(s.latency, latency)
	r.cost = average(r.cost, latency)
	s.setCost(s.rankOf(a.rank), max(1, r.cost))
}

func average(old float64, latency time.Duration) float64 {
	if old == 0 {
		return float64(latency)
	}
	return old + latencyWeight*(float64(latency)-old)
}

// tooSlow notes that an attempt is given up after a long time. Its time so far
// counts as a latency, since leaving out the slow ones would shorten the
// quantiles.
func (s *Shard) tooSlow(now rrunit.Instant, a *attempt) {
	s.ranks[s.rankOf(a.rank)].recent.Record(now, now.Sub(a.started))
	if s.isShared() {
		w := a.searcher
		w.pace.Slow(now, a.started, a.work(now), s.cfg.Works.Usual(s.rankOf(a.rank)))
		return
	}
	s.strike(now, a.searcher)
}

// strike notes an attempt that the searcher failed. Several in a row mean that
// it hangs or is broken, unless half of all would then be down: a fleet that is
// slow or broken as a whole still has to be used.
func (s *Shard) strike(now rrunit.Instant, w *searcher) {
	w.strikes++
	w.overdue++
	if w.health != healthUp || w.strikes >= maxStrikes && 2*(s.up()-1) >= len(s.searchers) {
		w.fail(now, s.rng.Float64())
	}
}

// up returns how many searchers are up.
func (s *Shard) up() int {
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
	s.learnLoss(now, f, id, isolation)
	return s.end(now)
}

// learnLoss takes what the loss of an attempt tells of its fingerprint.
func (s *Shard) learnLoss(now rrunit.Instant, f rrunit.Fingerprint, id rrunit.SearcherID, isolation rrquarantine.Isolation) {
	q, quarantined := s.suspects.RecordLoss(now, rrquarantine.Loss{Fingerprint: f, Searcher: id, Isolation: isolation})
	if quarantined {
		s.quarantine(now, q)
	}
}
