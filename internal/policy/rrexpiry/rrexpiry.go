// Package rrexpiry decides which searchers are used when their entries expire in the
// platform's store. An entry that expires while the store is disturbed does not mean
// that its searcher has failed: the entry of a live searcher is restored soon after.
// Until then the searcher stays in use. It also decides on searchers that had left and
// that a store restored from a copy lists again. The package holds no goroutine or clock.
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

// Tracker records when entries expired, and which were revived. It is not safe for
// concurrent use.
type Tracker struct {
	expiredAt map[rrunit.SearcherID]rrunit.Instant
	revived   map[rrunit.SearcherID]revival
}

// New returns a Tracker without expired or revived entries.
func New() *Tracker {
	return &Tracker{expiredAt: make(map[rrunit.SearcherID]rrunit.Instant), revived: make(map[rrunit.SearcherID]revival)}
}

// Usable returns the searchers that may be used or have just begun to drain, by
// service, and when to call it again if the entries do not change; zero is never.
func (c *Tracker) Usable(now rrunit.Instant, all *rrcatalog.Searchers) (map[rrunit.ServiceName][]rrcatalog.Searcher, rrunit.Instant) {
	out := make(map[rrunit.ServiceName][]rrcatalog.Searcher)
	var next rrunit.Instant
	for id, e := range all.Entries() {
		searcher, end := c.usable(now, id, &e)
		if end > 0 && (next == 0 || end < next) {
			next = end
		}
		if searcher != nil {
			out[searcher.Service] = append(out[searcher.Service], *searcher)
		}
	}
	return out, next
}

// usable returns the searcher of an entry as it is to be used, nil if it is not, and until
// when that holds if the entry does not change; zero is for good.
func (c *Tracker) usable(now rrunit.Instant, id rrunit.SearcherID, e *rrcatalog.Entry[rrcatalog.Searcher]) (*rrcatalog.Searcher, rrunit.Instant) {
	if !e.Removed {
		delete(c.expiredAt, id)
	}
	if e.Value == nil {
		return nil, 0
	}
	if e.Removed {
		end, inGrace := c.graceEnd(now, id, e)
		if !inGrace {
			return nil, 0
		}
		return e.Value, end
	}
	r, ok := c.revived[id]
	switch {
	case !ok:
		return e.Value, 0
	case now >= r.until || e.Revision != r.revision:
		delete(c.revived, id)
		return e.Value, 0
	case r.draining == nil:
		return nil, r.until
	default:
		return r.draining, r.until
	}
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
