package rrsource

import (
	"cmp"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
)

// maxEvidencePeers is how many daemons of its zone each daemon sends its evidence to,
// and so how many connections it keeps for that. In a smaller zone it sends to all.
const maxEvidencePeers = 12

// EvidencePeers returns the daemons of the zone that this one sends its evidence to: its
// successors in the ring of ids. They change only if daemons come or go, so that
// connections can be kept, and each daemon receives from as many as it sends to.
func (c *Selector) EvidencePeers() []rrcatalog.Instance {
	var zone []rrcatalog.Instance
	for _, i := range c.ranked {
		if i.Zone == c.cfg.Self.Zone && i.ID != c.cfg.Self.ID {
			zone = append(zone, i)
		}
	}
	slices.SortFunc(zone, func(a, b rrcatalog.Instance) int { return cmp.Compare(a.ID, b.ID) })
	after := slices.IndexFunc(zone, func(i rrcatalog.Instance) bool { return i.ID > c.cfg.Self.ID })
	ring := slices.Concat(zone[max(after, 0):], zone[:max(after, 0)])
	return ring[:min(len(ring), maxEvidencePeers)]
}
