package rrsource

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// isFallingBack reports whether the daemon, which is not a reader, reads the store. It goes on
// until a reader has fresh data: the next fallback would begin only once its own are stale. One
// with sources that the others do not ask next reads it once, as there may be many of them.
func (c *Selector) isFallingBack(now rrunit.Instant) bool {
	if c.fallbackCause == CauseNone {
		return false
	}
	isReadOnce := c.fallbackCause == CauseStale && c.IsFresh(now) && !c.isSpare()
	if isReadOnce || now >= c.fallbackUntil && c.hasFreshReader(now) {
		c.fallbackCause = CauseNone
		return false
	}
	return true
}

// hasFreshReader reports whether a reader has answered lately, with data that are not stale.
func (c *Selector) hasFreshReader(now rrunit.Instant) bool {
	return slices.ContainsFunc(c.readers, func(i rrcatalog.Instance) bool {
		p := c.peers[i.PeerAddress]
		return p != nil && p.failures == 0 && p.answeredAt > 0 && now.Sub(p.answeredAt)+p.dataAge <= c.cfg.StaleAfter
	})
}

// needsStore returns why the daemon, which is not a reader, has to fall back to the
// store, or CauseNone.
func (c *Selector) needsStore(now rrunit.Instant, sources int) Cause {
	delay := min(c.cfg.Stagger, time.Duration(c.rank())*staggerPerRank)
	grace := startGrace
	if c.cfg.ColdStart {
		grace = coldStartGrace
	}
	age, known := c.DataAge(now)
	switch {
	case c.listing || now < c.started.Add(grace+delay) && !known:
		return CauseNone
	case sources == 0:
		return CauseAlone
	case !known || age > c.cfg.StaleAfter+delay:
		return CauseStale
	case c.isStandIn():
		return CauseStandIn
	}
	return CauseNone
}

// isStandIn reports whether no reader answers and the other daemons, which find the same, ask
// this one next.
func (c *Selector) isStandIn() bool {
	return len(c.readers) > 0 && c.areFailing(c.readers) && c.isSpare()
}
