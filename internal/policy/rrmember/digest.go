package rrmember

import (
	"cmp"
	"maps"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Digest returns the digest to send to a peer.
func (c *Membership) Digest(now rrunit.Instant) rrpeer.Digest {
	return rrpeer.Digest{
		From:         c.self.ID,
		Zone:         c.self.Zone,
		Versions:     c.versions,
		Leaving:      c.leaving,
		Round:        c.round.toMessage(c.list),
		Quarantines:  c.Quarantines(now),
		LeaveNotices: c.leaveNotices(now),
	}
}

// leaveNotices returns the notices of leaving instances, the most recent first.
func (c *Membership) leaveNotices(now rrunit.Instant) []rrpeer.LeaveNotice {
	if len(c.leavingSince) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(c.leavingSince), func(a, b rrunit.InstanceID) int {
		return cmp.Or(cmp.Compare(c.leavingSince[b], c.leavingSince[a]), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), rrpeer.MaxDigestLeaveNotices)]
	out := make([]rrpeer.LeaveNotice, 0, len(ids))
	for _, id := range ids {
		out = append(out, rrpeer.LeaveNotice{ID: id, Age: rrpeer.NewAge(now.Sub(c.leavingSince[id]))})
	}
	return out
}
