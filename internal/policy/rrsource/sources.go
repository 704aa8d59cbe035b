package rrsource

import (
	"net/netip"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// sources returns the daemons to ask: readers of the own region first, then other
// readers, then others. Those that failed recently or have only stale data are left
// out. One that has failed, or must have told of newer data by now, is asked again beside the
// others, or in place of missing ones.
func (c *Selector) sources(now rrunit.Instant) []Source {
	var sound, doubtful []netip.AddrPort
	isStale := !c.IsFresh(now)
	for _, at := range c.candidates() {
		p := c.peer(at)
		stale := p.answeredAt > 0 && now.Sub(p.answeredAt) < maxBackoff && p.dataAge > c.cfg.StaleAfter
		switch {
		case now < p.backoffUntil || stale:
		case p.failures > 0, isStale && p.answeredAt > 0 && now.Sub(p.answeredAt)+p.dataAge > c.cfg.StaleAfter:
			doubtful = append(doubtful, at)
		default:
			sound = append(sound, at)
		}
	}
	sound = sound[:min(len(sound), maxSources)]
	doubtful = doubtful[:min(len(doubtful), max(1, maxSources-len(sound)))]
	var out []Source
	for _, at := range slices.Concat(sound, doubtful) {
		out = append(out, Source{Address: at, Backup: len(out) > 0})
	}
	return out
}

// candidates returns the daemons that may be asked, the preferred ones first.
func (c *Selector) candidates() []netip.AddrPort {
	var sameRegion, otherRegions, out []netip.AddrPort
	for _, i := range c.readers {
		switch {
		case i.ID == c.cfg.Self.ID:
		case i.Region == c.cfg.Self.Region:
			sameRegion = append(sameRegion, i.PeerAddress)
		default:
			otherRegions = append(otherRegions, i.PeerAddress)
		}
	}
	out = slices.Concat(sameRegion, otherRegions)
	for _, i := range c.spares() {
		if i.ID != c.cfg.Self.ID {
			out = append(out, i.PeerAddress)
		}
	}
	out = append(out, c.failingSpares()...)
	for _, s := range c.cfg.Seeds {
		if s != c.cfg.Self.PeerAddress && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// spares returns the daemons to ask if no reader is usable: the first ones that are no
// readers and have not failed. This daemon can be among them.
func (c *Selector) spares() []rrcatalog.Instance {
	var out []rrcatalog.Instance
	for _, i := range c.ranked {
		if len(out) == maxSpareCandidates {
			break
		}
		isSelf := i.ID == c.cfg.Self.ID
		if !c.isReaderID(i.ID) && (isSelf || !c.isFailing(i.PeerAddress)) {
			out = append(out, i)
		}
	}
	return out
}

// failingSpares returns daemons to ask again that are no readers and have failed, but do not
// count as gone.
func (c *Selector) failingSpares() []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range c.ranked {
		if len(out) == maxSpareCandidates {
			break
		}
		if i.ID != c.cfg.Self.ID && !c.isReaderID(i.ID) && c.isFailing(i.PeerAddress) && !c.isGone(i) {
			out = append(out, i.PeerAddress)
		}
	}
	return out
}

// isSpare reports whether the other daemons ask this one if no reader is usable.
func (c *Selector) isSpare() bool {
	return slices.ContainsFunc(c.spares(), func(i rrcatalog.Instance) bool { return i.ID == c.cfg.Self.ID })
}

// areFailing reports whether all of the daemons have failed to answer since they last did.
func (c *Selector) areFailing(daemons []rrcatalog.Instance) bool {
	return !slices.ContainsFunc(daemons, func(i rrcatalog.Instance) bool { return !c.isFailing(i.PeerAddress) })
}

func (c *Selector) isFailing(at netip.AddrPort) bool {
	p := c.peers[at]
	return p != nil && p.failures > 0
}

// goneReader returns the first daemon in whose place another one reads the store, if it is
// time to ask whether it is back.
func (c *Selector) goneReader(now rrunit.Instant) []Source {
	for _, i := range c.ranked {
		if c.isGone(i) && now >= c.peers[i.PeerAddress].backoffUntil {
			return []Source{{Address: i.PeerAddress, Backup: true}}
		}
	}
	return nil
}

func (c *Selector) rank() int {
	return max(0, slices.IndexFunc(c.ranked, func(i rrcatalog.Instance) bool { return i.ID == c.cfg.Self.ID }))
}
