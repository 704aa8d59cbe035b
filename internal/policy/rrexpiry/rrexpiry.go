// Package rrexpiry decides which searchers are used when their entries expire in the
// platform's store. An entry that expires while the store is disturbed does not mean
// that its searcher has failed: the entry of a live searcher is restored soon after.
// Until then the searcher stays in use. The package holds no goroutine or clock.
package rrexpiry

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// expiryGrace is how long a searcher stays in use after its entry expired: the two
// seconds in which the platform restores entries, and the time until the restored
// entry is received.
const expiryGrace = 2500 * time.Millisecond

// Tracker records when entries expired. It is not safe for concurrent use.
type Tracker struct {
	expiredAt map[rrunit.SearcherID]rrunit.Instant
}

// New returns a Tracker without expired entries.
func New() *Tracker { return &Tracker{expiredAt: make(map[rrunit.SearcherID]rrunit.Instant)} }

// Usable returns the searchers that may be used or have just begun to drain, by
// service, and when to call it again if the entries do not change; zero is never.
func (c *Tracker) Usable(now rrunit.Instant, all *rrcatalog.Searchers) (map[rrunit.ServiceName][]rrcatalog.Searcher, rrunit.Instant) {
	out := make(map[rrunit.ServiceName][]rrcatalog.Searcher)
	var next rrunit.Instant
	for id, e := range all.Entries() {
		if !e.Removed {
			delete(c.expiredAt, id)
		}
		if e.Value == nil {
			continue
		}
		if e.Removed {
			end, inGrace := c.graceEnd(now, id, &e)
			if !inGrace {
				continue
			}
			if next == 0 || end < next {
				next = end
			}
		}
		out[e.Value.Service] = append(out[e.Value.Service], *e.Value)
	}
	return out, next
}

// graceEnd returns until when a searcher is used although its entry was removed, and
// whether it still is.
func (c *Tracker) graceEnd(now rrunit.Instant, id rrunit.SearcherID, e *rrcatalog.Entry[rrcatalog.Searcher]) (rrunit.Instant, bool) {
	if !e.RemovalUncertain || e.Value.State != rrcatalog.SearcherReady {
		return 0, false
	}
	expired, ok := c.expiredAt[id]
	if !ok {
		expired = now
		c.expiredAt[id] = now
	}
	end := expired.Add(expiryGrace)
	return end, now < end
}
