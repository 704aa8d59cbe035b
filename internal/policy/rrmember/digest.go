package rrmember

import (
	"cmp"
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Digest returns what to tell a peer.
func (c *Core) Digest(now rrunit.Instant) rrpeer.Digest {
	return rrpeer.Digest{
		From:        c.self.ID,
		Zone:        c.self.Zone,
		Tags:        c.tags,
		Leaving:     c.leaving,
		Round:       c.round.toMessage(c.list),
		Quarantines: c.Quarantines(now),
		News:        c.leaveNotices(now),
	}
}

// newsDigest tells who leaves, the latest first.
func (c *Core) leaveNotices(now rrunit.Instant) []rrpeer.News {
	if len(c.leftAt) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(c.leftAt), func(a, b rrunit.InstanceID) int {
		return cmp.Or(cmp.Compare(c.leftAt[b], c.leftAt[a]), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), rrpeer.MaxDigestLeaveNotices)]
	out := make([]rrpeer.News, 0, len(ids))
	for _, id := range ids {
		out = append(out, rrpeer.News{ID: id, Age: rrpeer.NewAge(now.Sub(c.leftAt[id]))})
	}
	return out
}
