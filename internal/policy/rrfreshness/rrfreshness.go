// Package rrfreshness divides the time within which all daemons have to apply a change in the
// platform's store among the waits on the change's way from the store to the last daemon.
package rrfreshness

import "time"

// Waits that do not depend on the bound.
const (
	// Margin is the part of the bound that is left for a machine under load.
	Margin = 500 * time.Millisecond
	// PlanInterval is how often a daemon decides whom to ask.
	PlanInterval = 100 * time.Millisecond
	// AnswerTime is the greatest age of a store answer on arrival, from a store that is slowed
	// down 60 times.
	AnswerTime = 250 * time.Millisecond
	// StoreTimeout bounds a call to the store, in addition to the wait that a watch requests. The
	// store answers in milliseconds, and at worst 60 times more slowly.
	StoreTimeout = 700 * time.Millisecond
	// WatchPause is the pause after each watch, so that changes in quick succession are read
	// together.
	WatchPause = 150 * time.Millisecond
	// RetryDelay is the mean delay after a failed call to the store; half of it more at most.
	RetryDelay = 150 * time.Millisecond
	// RelayTime is the time of an answer from one daemon to another, in the farthest region.
	RelayTime = 100 * time.Millisecond
	// BackupDelay is how long the second source of a daemon holds back changes that the first
	// one is likely to send.
	BackupDelay = 250 * time.Millisecond
)

// Limits of the waits that depend on the bound. The least ones keep daemons from calling
// without a pause. Below a bound of 2.5 s they use up the margin.
const (
	minStoreWait = 300 * time.Millisecond
	maxStoreWait = 2 * time.Second
	minPeerWait  = 200 * time.Millisecond
	maxPeerWait  = 700 * time.Millisecond
	minStagger   = 300 * time.Millisecond
	maxStagger   = 2 * time.Second
)

// peerWaitShare is the part of the time for watches that those of other daemons get. The rest is
// for those of the store.
const peerWaitShare = 0.3

// Times are the waits of a daemon.
type Times struct {
	// StoreWait is how long a watch of the store waits for a change.
	StoreWait time.Duration
	// PeerWait is how long a request waits at another daemon for a change.
	PeerWait time.Duration
	// StaleAfter is the age from which data are stale. It is above the age that they reach
	// while the store and the daemons that read it answer.
	StaleAfter time.Duration
	// Stagger is the time over which daemons turn to the store if the data of all become stale
	// at the same time.
	Stagger time.Duration
}

// NewTimes returns the times with which a change is applied within the bound.
func NewTimes(bound time.Duration) Times {
	// What a fallback to the store takes beside the watches and the stagger.
	fixed := usualAge + PlanInterval + AnswerTime + Margin
	watches := bound - fixed - minStagger
	var t Times
	t.PeerWait = min(max(time.Duration(float64(watches)*peerWaitShare), minPeerWait), maxPeerWait)
	t.StoreWait = min(max(watches-t.PeerWait, minStoreWait), maxStoreWait)
	t.StaleAfter = t.StoreWait + t.PeerWait + usualAge
	t.Stagger = min(max(bound-fixed-t.StoreWait-t.PeerWait, minStagger), maxStagger)
	return t
}

// usualAge is the greatest age of a daemon's data while nothing fails, less the waits at the store
// and at the daemon that reads it.
const usualAge = AnswerTime + WatchPause + AnswerTime + RelayTime

// Wait is a part of the time until a daemon applies a change.
type Wait struct {
	Name string
	Time time.Duration
}

// Path is the waits between the store's acknowledgement of a change and the last daemon, at
// worst.
type Path []Wait

// Sum returns the time of the whole path.
func (p Path) Sum() time.Duration {
	var sum time.Duration
	for _, w := range p {
		sum += w.Time
	}
	return sum
}

// Calm is the path while nothing fails.
func (t Times) Calm() Path {
	return Path{{"pause between watches", WatchPause}, {"store's answer", AnswerTime}, {"first source's answer", RelayTime}}
}

// ReadersRefuse is the path if the daemons that read the store are lost and their machines
// refuse connections, with n of them.
func (t Times) ReadersRefuse(n int) Path {
	return Path{
		{"refusals of all readers, two at a time", time.Duration(n/2+1) * PlanInterval},
		{"store's answer", AnswerTime},
		{"refusals before a daemon is asked that reads the store", time.Duration(n/2+1) * PlanInterval},
		{"second source's delay", BackupDelay},
		{"its answer", RelayTime},
	}
}

// ReadersSilent is the path if all sources fall silent, or no longer learn of changes, with
// data that were fresh just before.
func (t Times) ReadersSilent() Path {
	return Path{
		{"age at which data are stale", t.StaleAfter},
		{"plan", PlanInterval},
		{"stagger", t.Stagger},
		{"store's answer", AnswerTime},
	}
}

// ConnectionSilent is the path if the connections to the store fall silent just after watches
// of the daemons that read it have begun.
func (t Times) ConnectionSilent() Path {
	return Path{
		{"watch", t.StoreWait},
		{"timeout", StoreTimeout},
		{"delay before the next call", RetryDelay + RetryDelay/2},
		{"store's answer", AnswerTime},
		{"second source's delay", BackupDelay},
		{"its answer", RelayTime},
	}
}
