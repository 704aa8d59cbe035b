// Package rrquarantine detects requests that crash the searchers that run them.
// A request that was in flight when a searcher's connection was lost is suspect.
// It then runs alone, and is quarantined if that connection is lost too.
// Connections lost at several searchers at once for another cause, such as the
// failure of a rack, quarantine no request.
//
// A request may be sent to many services at once. What is found out at one holds at all
// of them, and only one of them runs a suspect until a searcher has answered it.
//
// The package is independent of jobs and dispatch. Its user reports losses, trials and
// answers, and queries whether a request may run.
package rrquarantine

import (
	"slices"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// State is whether and how a request may run.
type State string

// The states of a request.
const (
	// StateClear runs without restrictions.
	StateClear State = "clear"
	// StateSuspect runs at one searcher at a time, alone if possible.
	StateSuspect State = "suspect"
	// StateHeld must not run until it becomes suspect or quarantined.
	StateHeld State = "held"
	// StateQuarantined is refused.
	StateQuarantined State = "quarantined"
)

// Isolation is whether an attempt that ended with a lost connection ran alone.
type Isolation string

// The kinds of isolation.
const (
	// IsolationUnsuspected ran before the request was suspect, and is no evidence
	// of the cause.
	IsolationUnsuspected Isolation = "unsuspected"
	// IsolationShared ran while suspect, together with other requests or at a
	// searcher that was not known to be healthy.
	IsolationShared Isolation = "shared"
	// IsolationAlone ran while suspect, alone at a healthy searcher.
	IsolationAlone Isolation = "alone"
	// IsolationOrphaned ran like IsolationAlone, but its caller had left. A request whose
	// callers never wait for its answer can't be cleared by one, and is more often at a
	// searcher that ends for another cause.
	IsolationOrphaned Isolation = "orphaned"
)

// Times and counts of the decision.
const (
	// holdTime is how long a suspect is held after a loss, so that other losses of
	// a common cause are detected first.
	holdTime = 20 * time.Millisecond
	// decisionDelay is how long after the loss of a suspect that ran alone the loss
	// of another searcher still shows a common cause.
	decisionDelay = 100 * time.Millisecond
	// commonCauseTime is how long before the loss of a suspect that ran alone the
	// loss of another searcher shows a common cause.
	commonCauseTime = time.Second
	// maxInconclusive is how many inconclusive losses, each at a shared searcher, with a
	// common cause or of another daemon, quarantine the request. The last is of this daemon.
	maxInconclusive = 3
	// minOrphanedLosses is how many losses of IsolationOrphaned prove what one of
	// IsolationAlone does.
	minOrphanedLosses = 2
	// unansweredTime is how long after a loss nobody must have answered the request for
	// other daemons to be told. Most requests that were lost with a searcher are answered
	// by another one sooner.
	unansweredTime = 250 * time.Millisecond
	// trialCheckInterval is how often a suspect that waits for the end of its trial at
	// another service is checked.
	trialCheckInterval = 10 * time.Millisecond
	// maxTrialWait is how long a suspect waits for that at most, as the searcher of the
	// trial may be slow or silent.
	maxTrialWait = 250 * time.Millisecond
	// maxUntold limits memory; the oldest loss is dropped first.
	maxUntold = 1024
	// Each quarantine lasts 1<<prolongShift times as long as the one before, at most
	// 1<<maxProlongShift times as long as the first.
	prolongShift    = 2
	maxProlongShift = 6
	// maxSuspects limits memory; the oldest suspect is dropped first.
	maxSuspects = 4096
)

// Loss is one attempt that ended with a lost connection.
type Loss struct {
	Fingerprint rrunit.Fingerprint
	// Service is that of the searcher; empty where a tracker has one service alone.
	Service   rrunit.ServiceName
	Searcher  rrunit.SearcherID
	Isolation Isolation
}

// Quarantine is a request that was found to crash searchers, and until when it is
// refused.
type Quarantine struct {
	Fingerprint rrunit.Fingerprint
	Until       rrunit.Instant
}

// suspect is a request that was in flight when a connection was lost.
type suspect struct {
	// searchers are those whose connection was lost with the request in flight.
	searchers []rrunit.SearcherID
	// services are those of the searchers, without those that have answered the request
	// since.
	services []rrunit.ServiceName
	// isProven is set if a searcher of any service has answered the request since its last
	// loss, so that its trials at the services need not wait for each other.
	isProven bool
	// inconclusive counts the losses that are no proof by themselves.
	inconclusive int
	// peerLosses counts the searchers at which only other daemons have lost the request.
	peerLosses int
	// orphanedLosses counts the losses of IsolationOrphaned.
	orphanedLosses int
	// survived counts the attempts, made while suspect and abandoned later, that their
	// searchers have survived, up to maxSurvived. Each speaks against one loss, and none is
	// proof by itself then.
	survived int
	// heldUntil is when the request may run again.
	heldUntil rrunit.Instant
	// decideAt is when the loss of the suspect that ran alone quarantines it; zero
	// if no decision is pending.
	decideAt rrunit.Instant
	// expiresAt is when the request is no longer suspect without an answer.
	expiresAt rrunit.Instant
	// quarantines is how often the request was quarantined. Each loss after the first
	// quarantine is proof.
	quarantines int
}

// incident is the loss of one searcher.
type incident struct {
	searcher rrunit.SearcherID
	at       rrunit.Instant
}

// untoldLoss is a loss that other daemons were not told of yet.
type untoldLoss struct {
	fingerprint rrunit.Fingerprint
	service     rrunit.ServiceName
	searcher    rrunit.SearcherID
	at          rrunit.Instant
	// isDue is set once the request has ended without an answer.
	isDue bool
}

// trial are the attempts in flight of one suspect.
type trial struct {
	attempts int
	// holdsUntil is until when other services wait for their end.
	holdsUntil rrunit.Instant
}

// timedFingerprint is a fingerprint with the time of its event, in a queue by time.
type timedFingerprint struct {
	fingerprint rrunit.Fingerprint
	at          rrunit.Instant
}

// Tracker holds the suspect and the quarantined requests of one shard, or of all services
// of a daemon. It is safe for concurrent use.
type Tracker struct {
	// mu guards the fields below.
	mu       sync.Mutex
	duration time.Duration
	// suspects has at most maxSuspects entries; expiryQueue holds them with their
	// expiry, in the order in which they were added.
	suspects    map[rrunit.Fingerprint]*suspect
	expiryQueue []timedFingerprint
	// trials has the suspects that are in flight.
	trials map[rrunit.Fingerprint]trial
	// pending holds the suspects with a pending decision, by time.
	pending []timedFingerprint
	// quarantined holds the end of each quarantine.
	quarantined map[rrunit.Fingerprint]rrunit.Instant
	// untold are the losses that other daemons were not told of yet, by time. There are at
	// most maxUntold.
	untold []untoldLoss
	// incidents are those of the last commonCauseTime, by time.
	incidents []incident
	// orphans are the attempts that were abandoned in the last orphanKeepTime, by time.
	// There are at most maxOrphans.
	orphans []orphan
}

// New returns a tracker whose quarantines last for the duration.
func New(duration rrunit.Duration) *Tracker {
	return &Tracker{
		duration:    duration.Std(),
		suspects:    make(map[rrunit.Fingerprint]*suspect),
		trials:      make(map[rrunit.Fingerprint]trial),
		quarantined: make(map[rrunit.Fingerprint]rrunit.Instant),
	}
}

// SetDuration changes the duration of new quarantines.
func (t *Tracker) SetDuration(duration rrunit.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.duration = duration.Std()
}

// Add quarantines a request. It stays suspect for as long afterwards, so that it crashes at
// most one more searcher.
func (t *Tracker) Add(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, f, until)
}

// add implements Add. The caller holds mu.
func (t *Tracker) add(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) {
	isActive := now < t.quarantined[f]
	if isActive && until <= t.quarantined[f] {
		return
	}
	before := t.suspects[f]
	s := t.addSuspect(now, f, until.Add(max(t.duration, until.Sub(now))))
	s.quarantines = 1
	if before != nil {
		s.services, s.quarantines = before.services, before.quarantines
		if !isActive {
			s.quarantines++
		}
	}
	// Each key is handled independently, so the order of the map does not matter.
	for other, end := range t.quarantined {
		if end <= now {
			delete(t.quarantined, other)
		}
	}
	if until > now && until > t.quarantined[f] {
		t.quarantined[f] = until
	}
}

// State returns the state of the request, and its end if it is held or
// quarantined.
func (t *Tracker) State(now rrunit.Instant, f rrunit.Fingerprint) (State, rrunit.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, f)
}

// state implements State. The caller holds mu.
func (t *Tracker) state(now rrunit.Instant, f rrunit.Fingerprint) (State, rrunit.Instant) {
	if len(t.quarantined) > 0 {
		if until, ok := t.quarantined[f]; ok && now < until {
			return StateQuarantined, until
		}
	}
	if len(t.suspects) == 0 {
		return StateClear, 0
	}
	s := t.suspects[f]
	if s == nil || now >= s.expiresAt {
		return StateClear, 0
	}
	if until := max(s.heldUntil, s.decideAt); now < until || s.decideAt != 0 {
		// A decision that is due waits for Tick, which any service may call.
		return StateHeld, until
	}
	if holdsUntil := t.trials[f].holdsUntil; !s.isProven && now < holdsUntil {
		return StateHeld, min(holdsUntil, now.Add(trialCheckInterval))
	}
	return StateSuspect, 0
}

// Suspects returns how many requests are suspect.
func (t *Tracker) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}

// BeginTrial records that a suspect is sent to a searcher, and reports whether it may be:
// another service may have begun a trial of it since it asked for the state.
func (t *Tracker) BeginTrial(now rrunit.Instant, f rrunit.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, _ := t.state(now, f); state == StateHeld || state == StateQuarantined {
		return false
	}
	t.trials[f] = trial{attempts: t.trials[f].attempts + 1, holdsUntil: now.Add(maxTrialWait)}
	return true
}

// EndTrial records the end of an attempt that BeginTrial has recorded, after its loss or
// answer.
func (t *Tracker) EndTrial(f rrunit.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.trials[f]
	running.attempts--
	if running.attempts <= 0 {
		delete(t.trials, f)
		return
	}
	t.trials[f] = running
}

// RecordAnswer records that a searcher of the service has answered the request. It clears
// the suspicion once each service that has lost the request has answered it, as a request
// may crash the searchers of some services alone. An answer to what was sent before a
// quarantine does not.
func (t *Tracker) RecordAnswer(now rrunit.Instant, f rrunit.Fingerprint, service rrunit.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || now < t.quarantined[f] {
		return
	}
	s.isProven = true
	s.services = slices.DeleteFunc(s.services, func(name rrunit.ServiceName) bool { return name == service })
	if len(s.services) == 0 {
		delete(t.suspects, f)
	}
}

// Quarantined reports until when the request is refused, and whether it is.
func (t *Tracker) Quarantined(now rrunit.Instant, f rrunit.Fingerprint) (rrunit.Instant, bool) {
	state, until := t.State(now, f)
	return until, state == StateQuarantined
}
