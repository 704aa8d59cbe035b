package rrmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Peer is a daemon on the platform's list.
type Peer struct {
	ID      rrunit.InstanceID
	Zone    rrunit.Zone
	Region  rrunit.Region
	Address string
	// Leaving is the state on the platform's list; a notice of the instance itself
	// may be more recent.
	Leaving bool
}

// List is one version of the platform's list. It is immutable.
type List struct {
	sum     rrpeer.Sum
	peers   []Peer
	indexes map[rrunit.InstanceID]int
	zones   map[rrunit.Zone][]Peer
}

// NewList returns a list with a copy of the peers and the sum of its document. If
// peers have the same id, the last one is used.
func NewList(sum rrpeer.Sum, peers []Peer) *List {
	l := &List{
		sum:     sum,
		indexes: make(map[rrunit.InstanceID]int, len(peers)),
		zones:   make(map[rrunit.Zone][]Peer),
	}
	byID := make(map[rrunit.InstanceID]Peer, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
	}
	l.peers = make([]Peer, 0, len(byID))
	for _, p := range byID {
		l.peers = append(l.peers, p)
	}
	slices.SortFunc(l.peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for i, p := range l.peers {
		l.indexes[p.ID] = i
		l.zones[p.Zone] = append(l.zones[p.Zone], p)
	}
	return l
}

// Len returns the number of peers.
func (l *List) Len() int { return len(l.peers) }

// Peers returns all peers in ascending order of ids. The caller must not modify
// them.
func (l *List) Peers() []Peer { return l.peers }

// Zone returns the peers of the zone. The caller must not modify them.
func (l *List) Zone(z rrunit.Zone) []Peer { return l.zones[z] }

// Peer returns the peer with the id, and false if there is none.
func (l *List) Peer(id rrunit.InstanceID) (Peer, bool) {
	i, ok := l.indexes[id]
	if !ok {
		return Peer{}, false
	}
	return l.peers[i], true
}

// WatchersPerZone is the number of instances of each zone that watch the platform
// on behalf of the others.
const WatchersPerZone = 3

// IsWatcher reports whether the instance is one of the zone's watchers: the first
// instances in the order of a hash of their ids, skipping those for which absent
// returns true.
func (l *List) IsWatcher(self rrunit.InstanceID, zone rrunit.Zone, absent func(rrunit.InstanceID) bool) bool {
	ownHash := watcherHash(self)
	before := 0
	for _, p := range l.zones[zone] {
		if p.ID == self || p.Leaving || watcherHash(p.ID) > ownHash || absent(p.ID) {
			continue
		}
		before++
		if before >= WatchersPerZone {
			return false
		}
	}
	return true
}

func watcherHash(id rrunit.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// Sum returns the sum of the list's document.
func (l *List) Sum() rrpeer.Sum { return l.sum }
