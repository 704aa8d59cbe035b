package rrmember

import (
	"math/rand/v2"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// partners are the peers that a daemon keeps connections to for its heartbeats.
// Their number is bounded to limit the memory used by connections.
type partners struct {
	// limit is the largest number of partners.
	limit int
	// peers are the partners, the oldest one first.
	peers []Peer
}

// drawsPerPartner is the largest number of random draws for each missing partner.
const drawsPerPartner = 8

// fill adds random candidates until the limit is reached.
func (p *partners) fill(c *Membership, candidates []Peer) {
	for tries := 0; len(p.peers) < p.limit && tries < drawsPerPartner*p.limit && len(candidates) > 0; tries++ {
		peer := candidates[c.rng.IntN(len(candidates))]
		otherZone := p == &c.otherZones
		if peer.ID == c.self.ID || p.has(peer.ID) || otherZone == (peer.Zone == c.self.Zone) || !c.IsReachable(&peer) {
			continue
		}
		p.peers = append(p.peers, peer)
	}
}

func (p *partners) has(id rrunit.InstanceID) bool {
	return slices.ContainsFunc(p.peers, func(x Peer) bool { return x.ID == id })
}

// sample returns n distinct random partners, or all if there are fewer.
func (p *partners) sample(rng *rand.Rand, n int) []Peer {
	n = max(0, min(n, len(p.peers)))
	out := make([]Peer, 0, n+otherZonePeers)
	for _, i := range rng.Perm(len(p.peers))[:n] {
		out = append(out, p.peers[i])
	}
	return out
}

// dropOldest removes the oldest partner.
func (p *partners) dropOldest() {
	if len(p.peers) > 0 {
		p.peers = slices.Delete(p.peers, 0, 1)
	}
}

func (p *partners) remove(id rrunit.InstanceID) {
	p.peers = slices.DeleteFunc(p.peers, func(x Peer) bool { return x.ID == id })
}

// removeOutdated removes the partners that are not on the list or whose address has
// changed.
func (p *partners) removeOutdated(l *List) {
	p.peers = slices.DeleteFunc(p.peers, func(x Peer) bool {
		now, ok := l.Peer(x.ID)
		return !ok || now.Address != x.Address
	})
}
