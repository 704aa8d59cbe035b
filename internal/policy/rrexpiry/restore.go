package rrexpiry

import (
	"maps"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// revivalTime is how long a revived entry is not believed: the time after which the store
// removes the entry of a searcher that is silent, and some more.
const revivalTime = 5 * time.Second

// revival is an entry of a searcher that had begun to leave, which a restored store lists as
// it was before. The entry counts again once the searcher writes it, or if it is still there
// at the end.
type revival struct {
	revision rrcatalog.Revision
	until    rrunit.Instant
	// draining is the searcher as it was last known; nil if it was gone.
	draining *rrcatalog.Searcher
}

// RecordRestore records the searchers before and after the store was restored from a copy.
func (c *Tracker) RecordRestore(now rrunit.Instant, before, after *rrcatalog.Searchers) {
	maps.DeleteFunc(c.revived, func(_ rrunit.SearcherID, r revival) bool { return now >= r.until })
	known := make(map[rrunit.SearcherID]rrcatalog.Entry[rrcatalog.Searcher])
	for id, e := range before.Entries() {
		known[id] = e
	}
	for id, e := range after.Entries() {
		old, ok := known[id]
		if e.Removed || e.Value == nil || !ok || old.Value == nil || old.Value.Incarnation != e.Value.Incarnation {
			continue
		}
		searcher, _ := c.usable(now, id, &old)
		if searcher == nil || searcher.State == rrcatalog.SearcherDraining && e.Value.State == rrcatalog.SearcherReady {
			c.revived[id] = revival{revision: e.Revision, until: now.Add(revivalTime), draining: searcher}
		}
	}
}
