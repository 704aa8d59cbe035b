package rrmember

import (
	"math/rand/v2"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// partners are the peers that a daemon keeps connections to for a while. A
// bounded number of them keeps the memory of connections bounded as well.
type partners struct {
	// limit is the most peers kept.
	limit int
	// peers are ordered from the oldest partner to the newest.
	peers []Peer
}

// fillTries bounds the draws for each missing partner.
const drawsPerPartner = 8

// fill draws the missing partners among the candidates.
func (p *partners) fill(c *Core, candidates []Peer) {
	for tries := 0; len(p.peers) < p.limit && tries < drawsPerPartner*p.limit && len(candidates) > 0; tries++ {
		peer := candidates[c.rng.IntN(len(candidates))]
		far := p == &c.otherZones
		if peer.ID == c.self.ID || p.has(peer.ID) || far == (peer.Zone == c.self.Zone) || !c.IsHeard(&peer) {
			continue
		}
		p.peers = append(p.peers, peer)
	}
}

func (p *partners) has(id rrunit.InstanceID) bool {
	return slices.ContainsFunc(p.peers, func(x Peer) bool { return x.ID == id })
}

// draw returns n different partners, or all if there are fewer.
func (p *partners) sample(rng *rand.Rand, n int) []Peer {
	n = max(0, min(n, len(p.peers)))
	out := make([]Peer, 0, n+otherZonePeers)
	for _, i := range rng.Perm(len(p.peers))[:n] {
		out = append(out, p.peers[i])
	}
	return out
}

// rotate gives up the oldest partner.
func (p *partners) dropOldest() {
	if len(p.peers) > 0 {
		p.peers = slices.Delete(p.peers, 0, 1)
	}
}

func (p *partners) remove(id rrunit.InstanceID) {
	p.peers = slices.DeleteFunc(p.peers, func(x Peer) bool { return x.ID == id })
}

// keep drops the partners that are not on the list, or stand elsewhere by now.
func (p *partners) removeOutdated(l *List) {
	p.peers = slices.DeleteFunc(p.peers, func(x Peer) bool {
		now, ok := l.Peer(x.ID)
		return !ok || now.Address != x.Address
	})
}
