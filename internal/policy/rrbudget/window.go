package rrbudget

import (
	"math"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// spanParts is the number of parts into which a counter divides the span.
	spanParts = 20
	// maxArrivalDelay is the longest time from the decision on extra work until it
	// arrives where it is counted.
	maxArrivalDelay = 500 * time.Millisecond
	// usedSlackShare is the part of the slack that is used. The rest allows for
	// work that is counted as extra on arrival but was not sent as such.
	usedSlackShare = 0.9
)

// Window limits extra work in every span of time, wherever it begins, to a share of
// the own work in the span plus a slack, as the operators measure it. A bucket with
// the same limit allows less: with little own work a second it leaves nearly all of
// the slack unused. It is not safe for concurrent use.
type Window struct {
	span time.Duration
	// share and slack define the limit; slack is not negative.
	share, slack float64
	own, extra   counter
	// roundingOffset, from 0 to 1, is added to the limit before it is rounded down,
	// so that many daemons with random offsets together use all of it.
	roundingOffset float64
	// isHeld is set while the limit is held back, since heldSince.
	isHeld    bool
	heldSince rrunit.Instant
}

// NewWindow returns an unused window. roundingOffset is a random number from 0 to 1.
func NewWindow(span time.Duration, share rrunit.Share, slack, roundingOffset float64) *Window {
	return &Window{
		span: span, share: float64(share), slack: slack, roundingOffset: roundingOffset,
		own: newCounter(span/spanParts, spanParts), extra: newCounter((span+maxArrivalDelay)/spanParts, spanParts+1),
	}
}

// SetHeld sets whether the limit is held back, as others may have used it up: a process that
// worked in the place of this one, or those that share it. There is only what they left unused
// of the slack. That grows from nothing within a span, as a process may be started again before
// its end.
func (w *Window) SetHeld(now rrunit.Instant, isHeld bool) {
	if isHeld && !w.isHeld {
		w.heldSince = now
	}
	w.isHeld = isHeld
}

// SetBounds changes the limit. Extra work that was started stays counted.
func (w *Window) SetBounds(share rrunit.Share, slack float64) {
	w.share, w.slack = float64(share), slack
}

// Earn counts one unit of own work.
func (w *Window) Earn(now rrunit.Instant) { w.own.add(now) }

// Spend counts one unit of extra work if at least reserve units are left
// afterwards, and reports whether it did.
func (w *Window) Spend(now rrunit.Instant, reserve float64) bool {
	if w.Available(now) < 1+reserve {
		return false
	}
	w.extra.add(now)
	return true
}

// Charge counts one unit of extra work that is done whether or not the limit allows it.
func (w *Window) Charge(now rrunit.Instant) { w.extra.add(now) }

// Available returns how much extra work may be started now. It is below zero if the
// limit has fallen below the work already started.
func (w *Window) Available(now rrunit.Instant) float64 {
	return w.Limit(now) - float64(w.extra.sum(now))
}

// Limit returns the limit of extra work in the span that ends now.
func (w *Window) Limit(now rrunit.Instant) float64 {
	share, slack := w.share, usedSlackShare*w.slack
	if w.isHeld {
		grown := min(1, float64(now.Sub(w.heldSince))/float64(w.span))
		share, slack = 0, (1-usedSlackShare)*w.slack*grown
	}
	return math.Floor(share*w.ownLowerBound(now) + slack + w.roundingOffset)
}

// ownLowerBound returns the own work of the span that ends now less its standard
// deviation. Otherwise each daemon would start extra work when it has had more own
// work than usual, and all daemons together would exceed their share.
func (w *Window) ownLowerBound(now rrunit.Instant) float64 {
	own := float64(w.own.sum(now))
	return own - math.Sqrt(own)
}

// counter counts the events of the most recent parts of a sliding window, the current
// part included. Own work is counted over a little less than the span, and extra work
// over a little more, so that the limit holds in any span.
type counter struct {
	partLength time.Duration
	parts      []int
	total      int
	// newest is the index of the newest part, counted from instant zero.
	newest int64
}

func newCounter(partLength time.Duration, parts int) counter {
	return counter{partLength: max(1, partLength), parts: make([]int, parts)}
}

func (c *counter) add(now rrunit.Instant) {
	c.advance(now)
	c.parts[c.newest%int64(len(c.parts))]++
	c.total++
}

func (c *counter) sum(now rrunit.Instant) int {
	c.advance(now)
	return c.total
}

// advance clears the parts that have left the window.
func (c *counter) advance(now rrunit.Instant) {
	part := int64(now) / int64(c.partLength)
	if part-c.newest > int64(len(c.parts)) {
		clear(c.parts)
		c.newest, c.total = part, 0
		return
	}
	for c.newest < part {
		c.newest++
		i := c.newest % int64(len(c.parts))
		c.total -= c.parts[i]
		c.parts[i] = 0
	}
}
