package rrquarantine

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// OrphanTime is how long after its end an attempt that was abandoned may still end its
	// searcher, which need not notice that nobody waits for the answer.
	OrphanTime = 500 * time.Millisecond
	// orphanKeepTime is how long an attempt is kept until a check shows that its searcher
	// has outlived it.
	orphanKeepTime = 2 * OrphanTime
	// survivalTime is how long after the start of an attempt its searcher must live to have
	// survived it, and minSurvivedRun how long the attempt must have been in flight, so that
	// the searcher most likely has begun to run it.
	survivalTime   = 600 * time.Millisecond
	minSurvivedRun = 300 * time.Millisecond
	// maxSurvived limits how much the searchers that have outlived a request speak for it.
	maxSurvived = 3
	// maxOrphans limits memory; the oldest attempt is dropped first.
	maxOrphans = 4096
)

// orphan is an attempt that was given up before its answer.
type orphan struct {
	Loss
	at rrunit.Instant
	// ran is how long it was in flight.
	ran time.Duration
}

// RecordOrphan records an attempt that was given up before its answer after it had been in
// flight for ran, as when its caller left. It is suspect if its searcher is lost within
// OrphanTime.
func (t *Tracker) RecordOrphan(now rrunit.Instant, l Loss, ran time.Duration) {
	if l.Isolation != IsolationUnsuspected {
		// Others may have run at the searcher since.
		l.Isolation = IsolationShared
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireOrphans(now)
	if len(t.orphans) == maxOrphans {
		t.orphans = slices.Delete(t.orphans, 0, 1)
	}
	t.orphans = append(t.orphans, orphan{Loss: l, at: now, ran: ran})
}

// TakeOrphans removes and returns the attempts that may have ended the searcher, which was
// lost, after they had been abandoned there.
func (t *Tracker) TakeOrphans(now rrunit.Instant, id rrunit.SearcherID) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireOrphans(now)
	var out []Loss
	t.orphans = slices.DeleteFunc(t.orphans, func(a orphan) bool {
		if a.Searcher != id {
			return false
		}
		out = append(out, a.Loss)
		return true
	})
	return out
}

// RecordAlive records that a searcher lives. It has survived the attempts that were abandoned
// there long enough ago, which speaks for their requests if these are suspect.
func (t *Tracker) RecordAlive(now rrunit.Instant, id rrunit.SearcherID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orphans = slices.DeleteFunc(t.orphans, func(a orphan) bool {
		if a.Searcher != id {
			return false
		}
		s := t.suspects[a.Fingerprint]
		if s != nil && a.Isolation != IsolationUnsuspected && a.ran >= minSurvivedRun && a.ran+now.Sub(a.at) >= survivalTime {
			s.survived = min(maxSurvived, s.survived+1)
			return true
		}
		return now.Sub(a.at) >= OrphanTime
	})
	t.expireOrphans(now)
}

// expireOrphans drops the attempts whose searchers were not checked in time. The caller
// holds mu.
func (t *Tracker) expireOrphans(now rrunit.Instant) {
	old := 0
	for old < len(t.orphans) && now.Sub(t.orphans[old].at) > orphanKeepTime {
		old++
	}
	t.orphans = slices.Delete(t.orphans, 0, old)
}
