// Package rrliveness is the failure detector for the peer of a stream: it detects
// whether a peer with outstanding work has gone silent, and how late a peer's
// messages arrive. It has no goroutine, clock or socket.
package rrliveness

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// KeepaliveInterval is the interval at which a peer with outstanding work sends
// keepalive messages.
const KeepaliveInterval = 10 * time.Millisecond

// Times of the failure detector.
const (
	// silenceTimeout is how long a peer with work may send nothing, in addition
	// to the round trip.
	silenceTimeout = 4 * KeepaliveInterval
	// defaultRoundTrip is the assumed round trip until one has been measured.
	defaultRoundTrip = 50 * time.Millisecond
	// pingInterval is how often a silent peer is pinged.
	pingInterval = 200 * time.Millisecond
)

// Monitor detects whether a peer with outstanding work has gone silent. It is not
// safe for concurrent use.
type Monitor struct {
	openWork int
	// lastActivity is when the last message was received, or when work was sent
	// to the idle peer if that was later.
	lastActivity rrunit.Instant
	// awaitingFirst is true if lastActivity is the start of work and no message
	// has been received since.
	awaitingFirst bool
	roundTrip     time.Duration
	silent        bool
	lastPing      rrunit.Instant
}

// WorkStarted records that work was sent to the peer.
func (p *Monitor) WorkStarted(now rrunit.Instant) {
	if p.openWork == 0 {
		p.lastActivity = now
		p.awaitingFirst = true
	}
	p.openWork++
}

// WorkEnded records that a piece of the peer's work has ended.
func (p *Monitor) WorkEnded() { p.openWork = max(0, p.openWork-1) }

// Received records that a message of the peer was received.
func (p *Monitor) Received(now rrunit.Instant) {
	if p.awaitingFirst {
		p.updateRoundTrip(now.Sub(p.lastActivity))
	}
	p.awaitingFirst = false
	p.lastActivity = now
	p.silent = false
}

func (p *Monitor) updateRoundTrip(roundTrip time.Duration) {
	if p.roundTrip == 0 || roundTrip < p.roundTrip {
		p.roundTrip = roundTrip
	}
}

func (p *Monitor) timeout() time.Duration {
	if p.roundTrip == 0 {
		return silenceTimeout + defaultRoundTrip
	}
	return silenceTimeout + p.roundTrip
}

// Silent reports whether the peer was found silent and no message of it was
// received since.
func (p *Monitor) Silent() bool { return p.silent }

// Action is the action that a check of the peer calls for.
type Action string

// The actions.
const (
	// ActionNone needs no action.
	ActionNone Action = ""
	// ActionReassign is returned when the peer has just gone silent: its work
	// must be reassigned to other peers.
	ActionReassign Action = "silent"
	// ActionPing is to send an empty message to a silent peer.
	ActionPing Action = "ping"
)

// Check returns the action that is due for the peer.
func (p *Monitor) Check(now rrunit.Instant) Action {
	next, ok := p.NextCheck()
	if !ok || now < next {
		return ActionNone
	}
	p.lastPing = now
	if p.silent {
		return ActionPing
	}
	p.silent = true
	p.openWork = 0
	return ActionReassign
}

// NextCheck returns when Check is due, or false if not before the next event.
func (p *Monitor) NextCheck() (rrunit.Instant, bool) {
	switch {
	case p.silent:
		return p.lastPing.Add(pingInterval), true
	case p.openWork > 0:
		return p.lastActivity.Add(p.timeout()), true
	default:
		return 0, false
	}
}

// offsetWindow is how long a smallest clock offset is used. The clocks of two
// instances drift apart by some milliseconds in this time.
const offsetWindow = 30 * time.Second

// Lateness estimates how much later than usual a message arrives, from the send
// time by the sender's clock. The zero value is ready for the first message.
type Lateness struct {
	hasOffset   bool
	windowStart rrunit.Instant
	// currentMin and previousMin are the smallest offsets of the current and the
	// previous window.
	currentMin  time.Duration
	previousMin time.Duration
}

// Observe records a message that was sent at sentAt and returns how late it is:
// zero if it took no longer than the fastest recent message.
func (l *Lateness) Observe(now, sentAt rrunit.Instant) time.Duration {
	offset := now.Sub(sentAt)
	switch {
	case !l.hasOffset:
		*l = Lateness{hasOffset: true, windowStart: now, currentMin: offset, previousMin: offset}
	case now.Sub(l.windowStart) > offsetWindow:
		l.previousMin = l.currentMin
		l.currentMin = offset
		l.windowStart = now
	default:
		l.currentMin = min(l.currentMin, offset)
	}
	return max(0, offset-min(l.currentMin, l.previousMin))
}
