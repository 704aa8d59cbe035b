// Package rrpresence decides which daemons are there: those that share limits, and those that
// are gone for good, whose objects are to be removed from the platform's store.
//
// A daemon registers once and renews nothing. One that is silent is asked directly; one that
// stays silent is marked as doubted in the store, so that whoever hears it can object, the
// doubted daemon itself included, and is removed if nobody does. A call to the store applies
// only to the revision that was judged. The package holds no goroutine, clock or connection.
package rrpresence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// probeAfter is how long a daemon is silent before it is asked, longer than the time
	// between two calls of a daemon that follows this one. probePause is the time between two
	// probes.
	probeAfter = 3500 * time.Millisecond
	probePause = 2 * time.Second
	// silenceTime and minFailures are how long a daemon must be silent, and how often it must
	// not have answered meanwhile, before it is doubted.
	silenceTime = 10 * time.Second
	minFailures = 3
	// objectionTime is how long others can object to a doubt before the daemon is removed.
	objectionTime = 14 * time.Second
	// maxUnseenAge is the age of the known objects from which a daemon leaves its share to the
	// others, as it may have been removed, or more may have come, meanwhile. It is less than
	// objectionTime: whoever learns of no doubt for that long can't object.
	maxUnseenAge = 12 * time.Second
	// restartTime is how long after the start of a process attempts of the one before may
	// arrive.
	restartTime = 1500 * time.Millisecond
	// writePause is the time between two calls to the store for one daemon.
	writePause = 2 * time.Second
	// maxFreshAge is the greatest age of the known objects at which a daemon is judged.
	maxFreshAge = 3 * time.Second
	// maxProbes and maxWrites bound what one plan asks for, however many daemons are gone.
	maxProbes = 8
	maxWrites = 4
)

// Member is a registered daemon, as of the revision of its object.
type Member struct {
	rrcatalog.Instance
	Revision rrcatalog.Revision
}

// Config holds the attributes of the own daemon.
type Config struct {
	Self rrunit.InstanceID
	// Window is the longest time over which shared limits are counted.
	Window time.Duration
	// ColdStart is true if all daemons start for the first time, so that nobody has used
	// anything of the limits.
	ColdStart bool
}

// Actions are what to do now.
type Actions struct {
	// Probe are the daemons to ask directly.
	Probe []Member
	// Doubt are the daemons to mark as doubted, and Clear those whose mark to take away.
	Doubt, Clear []Member
	// Remove are the daemons whose object to remove.
	Remove []Member
}

// member is the state of a registered daemon.
type member struct {
	Member
	// heardAt is when it was last heard, or registered, or when the tracker began.
	heardAt rrunit.Instant
	// failures counts the probes since then that it did not answer; askedAt is the last.
	failures int
	askedAt  rrunit.Instant
	// doubtedAt is when its doubt became known here.
	doubtedAt rrunit.Instant
	// writtenAt is when the store was last called for it; zero is never.
	writtenAt rrunit.Instant
}

func (m *member) recordHeard(now rrunit.Instant) { m.heardAt, m.failures = now, 0 }

// isGone reports whether the daemon, as far as this one knows, is gone.
func (m *member) isGone(now rrunit.Instant) bool {
	return m.failures >= minFailures && now.Sub(m.heardAt) >= silenceTime
}

func (m *member) mayWrite(now rrunit.Instant) bool {
	return m.writtenAt == 0 || now.Sub(m.writtenAt) >= writePause
}

// Tracker tracks the daemons for one of them. It is not safe for concurrent use.
type Tracker struct {
	cfg Config
	// members are the registered daemons in the order in which they become the judge.
	members []*member
	byID    map[rrunit.InstanceID]*member
	// removals has when other daemons were removed within the window.
	removals map[rrunit.InstanceID]rrunit.Instant
	// confirmed is when the known objects were last those of the store, or the start.
	confirmed rrunit.Instant
	// isHeld is set until a window has passed since the others learned of the own daemon, or
	// since the attempts of the process before have arrived: learnTime after heldSince, which
	// is when it was listed, or knew what is new again.
	isHeld    bool
	heldSince rrunit.Instant
	learnTime time.Duration
	// isListed is set while the own daemon is in the list, and isRegistered once it was, or has
	// registered.
	isListed, isRegistered bool
}

// New returns a Tracker for a daemon that starts now.
func New(now rrunit.Instant, cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, byID: make(map[rrunit.InstanceID]*member), removals: make(map[rrunit.InstanceID]rrunit.Instant),
		confirmed: now, isHeld: !cfg.ColdStart, heldSince: now, learnTime: restartTime,
	}
}

// SetMembers sets the registered daemons, in the order in which they become the judge.
func (t *Tracker) SetMembers(now rrunit.Instant, members []Member) {
	byID := make(map[rrunit.InstanceID]*member, len(members))
	t.members = t.members[:0]
	for _, in := range members {
		m := t.byID[in.ID]
		if m == nil {
			m = &member{heardAt: now}
		}
		if m.Revision != in.Revision {
			m.doubtedAt, m.writtenAt = now, 0
			if !in.Doubted {
				// It has registered, itself or by one that hears it.
				m.recordHeard(now)
			}
		}
		m.Member = in
		byID[in.ID] = m
		t.members = append(t.members, m)
		delete(t.removals, in.ID)
	}
	for id := range t.byID {
		if byID[id] == nil && id != t.cfg.Self {
			t.removals[id] = now
		}
	}
	t.byID = byID
	t.setListed(now, byID[t.cfg.Self] != nil)
}

func (t *Tracker) setListed(now rrunit.Instant, isListed bool) {
	if isListed && !t.isListed {
		t.heldSince = now
	}
	t.isListed, t.isRegistered = isListed, t.isRegistered || isListed
}

// RecordConfirmed records that the known objects were those of the store at the instant.
func (t *Tracker) RecordConfirmed(at rrunit.Instant) {
	if at.Sub(t.confirmed) >= maxUnseenAge {
		t.isHeld, t.heldSince = true, at
	}
	t.confirmed = max(t.confirmed, at)
}

// RecordRegistration records that the own daemon has registered. Those that are cut off learn of
// it last, and leave their share to others after maxUnseenAge.
func (t *Tracker) RecordRegistration() { t.isRegistered, t.learnTime = true, maxUnseenAge }

// RecordHeard records a sign of life of another daemon.
func (t *Tracker) RecordHeard(now rrunit.Instant, id rrunit.InstanceID) {
	if m := t.byID[id]; m != nil {
		m.recordHeard(now)
	}
}

// RecordFailure records that a daemon did not answer a probe.
func (t *Tracker) RecordFailure(id rrunit.InstanceID) {
	if m := t.byID[id]; m != nil {
		m.failures++
	}
}

// IsMissing reports whether the own daemon has to register again: its object was removed, or
// is doubted.
func (t *Tracker) IsMissing() bool {
	m := t.byID[t.cfg.Self]
	return m == nil && t.isRegistered && len(t.members) > 0 || m != nil && m.Doubted
}

// Sharers returns how many daemons share limits: those that are registered, and those that
// were within the window, as what they used counts until its end. It is zero while none is
// known.
func (t *Tracker) Sharers(now rrunit.Instant) int {
	maps.DeleteFunc(t.removals, func(_ rrunit.InstanceID, at rrunit.Instant) bool { return now.Sub(at) >= t.cfg.Window })
	n := len(t.members) + len(t.removals)
	if n > 0 && !t.isListed {
		n++
	}
	return n
}

// IsHeldBack reports whether the own daemon must use the least share only: others may be
// using its share, or a process in its place has used it.
func (t *Tracker) IsHeldBack(now rrunit.Instant) bool {
	switch {
	case now.Sub(t.confirmed) >= maxUnseenAge:
		return true
	case t.isListed && now.Sub(t.heldSince) >= t.cfg.Window+t.learnTime:
		t.isHeld = false
	}
	return t.isHeld
}

// Plan returns what to do now. Only a reader of the store asks and judges others, and only the
// first one that is there judges.
func (t *Tracker) Plan(now rrunit.Instant, isReader bool) Actions {
	a := Actions{Clear: t.clears(now)}
	if !isReader || !t.isListed {
		return a
	}
	self := slices.IndexFunc(t.members, func(m *member) bool { return m.ID == t.cfg.Self })
	isJudge := !slices.ContainsFunc(t.members[:self], func(m *member) bool { return !m.isGone(now) })
	if !isJudge {
		a.Probe = t.probes(now, t.members[:self])
		return a
	}
	a.Probe = t.probes(now, t.members)
	if now.Sub(t.confirmed) <= maxFreshAge {
		t.judge(now, &a)
	}
	return a
}

// clears returns the doubted daemons that were heard since their doubt.
func (t *Tracker) clears(now rrunit.Instant) []Member {
	var out []Member
	for _, m := range t.members {
		if m.Doubted && m.ID != t.cfg.Self && m.heardAt > m.doubtedAt && m.mayWrite(now) && len(out) < maxWrites {
			m.writtenAt = now
			out = append(out, m.Member)
		}
	}
	return out
}

// probes returns the daemons to ask: first those that have failed most often, then those that
// were not asked for longest.
func (t *Tracker) probes(now rrunit.Instant, among []*member) []Member {
	var silent []*member
	for _, m := range among {
		if m.ID != t.cfg.Self && now.Sub(m.heardAt) >= probeAfter && now.Sub(m.askedAt) >= probePause {
			silent = append(silent, m)
		}
	}
	slices.SortStableFunc(silent, func(x, y *member) int {
		return cmp.Or(cmp.Compare(min(y.failures, minFailures), min(x.failures, minFailures)), cmp.Compare(x.askedAt, y.askedAt))
	})
	var out []Member
	for _, m := range silent[:min(len(silent), maxProbes)] {
		m.askedAt = now
		out = append(out, m.Member)
	}
	return out
}

func (t *Tracker) judge(now rrunit.Instant, a *Actions) {
	writes := len(a.Clear)
	for _, m := range t.members {
		if writes >= maxWrites {
			return
		}
		if m.ID == t.cfg.Self || !m.isGone(now) || !m.mayWrite(now) {
			continue
		}
		switch {
		case !m.Doubted:
			a.Doubt = append(a.Doubt, m.Member)
		case now.Sub(m.doubtedAt) >= objectionTime:
			a.Remove = append(a.Remove, m.Member)
		default:
			continue
		}
		m.writtenAt = now
		writes++
	}
}
