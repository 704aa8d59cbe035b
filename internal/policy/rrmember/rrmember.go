// Package rrmember implements gossip membership: it selects the peers of each
// heartbeat and the content of digests, and derives from received digests which
// instances are live, leaving or unreachable, which requests are quarantined, and
// which definition number all instances use. It has no goroutine, clock or
// connection; events are passed in as calls.
package rrmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Parameters of a daemon's heartbeats.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// sameZonePeers and otherZonePeers are the numbers of partners in the daemon's
	// own zone and in other zones that receive each heartbeat.
	sameZonePeers  = 2
	otherZonePeers = 1
	// exchangesPerInterval is the intended number of exchanges of a daemon between
	// two heartbeats, including those started by its peers.
	exchangesPerInterval = 2 * (sameZonePeers + otherZonePeers)
	// sameZonePartners and otherZonePartners are the numbers of connections that a
	// daemon keeps for its heartbeats.
	sameZonePartners  = 8
	otherZonePartners = 4
	// rotationHeartbeats is the number of heartbeats after which one partner is
	// replaced.
	rotationHeartbeats = 30
)

// Times after which information about other instances expires.
const (
	// unreachableTimeout is how long an instance that did not answer is avoided
	// unless a digest of it arrives.
	unreachableTimeout = 10 * time.Second
	// leaveNoticeTTL is how long the notice of a leaving instance is forwarded.
	leaveNoticeTTL = time.Minute
)

// unreachableFailures is the number of consecutive failed calls after which a peer
// is treated as unreachable.
const unreachableFailures = 2

// recentLists is the number of lists that a daemon keeps, so that it can merge the
// rounds of peers that do not have the newest list yet.
const recentLists = 4

// maxQuarantines is the largest number of quarantines that a daemon keeps and
// forwards.
const maxQuarantines = rrpeer.MaxDigestQuarantines

// Membership is the membership state of one daemon. It is not safe for concurrent use.
type Membership struct {
	self Peer
	rng  *rand.Rand

	versions rrpeer.DocumentVersions
	leaving  bool
	list     *List

	sameZone, otherZones partners
	heartbeats           int
	// incomingExchanges counts the exchanges started by peers since the last
	// heartbeat.
	incomingExchanges int

	// leavingSince is when each leaving instance announced it.
	leavingSince map[rrunit.InstanceID]rrunit.Instant
	// failures counts the consecutive failed calls to each peer.
	failures map[rrunit.InstanceID]int
	// unreachableUntil is when each unreachable peer may be tried again.
	unreachableUntil map[rrunit.InstanceID]rrunit.Instant
	// recent holds the most recent lists including the current one, the newest first.
	recent []*List
	round  round
	// quarantines is when each quarantine ends.
	quarantines map[rrunit.Fingerprint]rrunit.Instant
}

// New returns the membership of a daemon with an empty list.
func New(self Peer, rng *rand.Rand) *Membership {
	return &Membership{
		self:             self,
		rng:              rng,
		list:             NewList(0, nil),
		sameZone:         partners{limit: sameZonePartners},
		otherZones:       partners{limit: otherZonePartners},
		leavingSince:     make(map[rrunit.InstanceID]rrunit.Instant),
		failures:         make(map[rrunit.InstanceID]int),
		unreachableUntil: make(map[rrunit.InstanceID]rrunit.Instant),
		quarantines:      make(map[rrunit.Fingerprint]rrunit.Instant),
	}
}

// SetVersions sets the versions of the documents that the daemon holds.
func (c *Membership) SetVersions(t rrpeer.DocumentVersions) { c.versions = t }

// SetLeaving marks the daemon as leaving.
func (c *Membership) SetLeaving() { c.leaving = true }

// List returns the current list.
func (c *Membership) List() *List { return c.list }

// SetList sets a new list and drops the state of instances that are not on it.
func (c *Membership) SetList(l *List) {
	c.round.remap(c.list, l)
	c.list = l
	c.recent = slices.Insert(c.recent, 0, l)
	c.recent = c.recent[:min(len(c.recent), recentLists)]
	for id := range c.leavingSince {
		if _, ok := l.Peer(id); !ok {
			delete(c.leavingSince, id)
		}
	}
	for id := range c.unreachableUntil {
		if _, ok := l.Peer(id); !ok {
			delete(c.unreachableUntil, id)
		}
	}
	clear(c.failures)
	c.sameZone.removeOutdated(l)
	c.otherZones.removeOutdated(l)
}

// AddQuarantine adds a quarantine that the daemon detected itself or received. It
// returns false if the quarantine is already known or has ended, or if there are
// too many.
func (c *Membership) AddQuarantine(now rrunit.Instant, q rrpeer.Quarantine) bool {
	end := now.Add(q.TimeLeft.Std())
	known, ok := c.quarantines[q.Fingerprint]
	if q.TimeLeft <= 0 || (!ok && len(c.quarantines) >= maxQuarantines) {
		return false
	}
	c.quarantines[q.Fingerprint] = max(known, end)
	return !ok
}

// Quarantines returns the active quarantines.
func (c *Membership) Quarantines(now rrunit.Instant) []rrpeer.Quarantine {
	var out []rrpeer.Quarantine
	for fp, end := range c.quarantines {
		left := end.Sub(now)
		if left <= 0 {
			delete(c.quarantines, fp)
			continue
		}
		out = append(out, rrpeer.Quarantine{Fingerprint: fp, TimeLeft: rrunit.Duration(left)})
	}
	return out
}

// Heartbeat starts a heartbeat and returns the peers to exchange digests with.
func (c *Membership) Heartbeat(now rrunit.Instant) []Peer {
	c.heartbeats++
	if c.heartbeats%rotationHeartbeats == 0 {
		c.sameZone.dropOldest()
		c.otherZones.dropOldest()
	}
	c.expire(now)
	c.advanceRound(now)
	sameZone := max(0, min(sameZonePeers, exchangesPerInterval-otherZonePeers-c.incomingExchanges))
	c.incomingExchanges = 0
	return c.choosePartners(sameZone, otherZonePeers)
}

// choosePartners returns random partners, after it replaced missing ones. Partners
// in other zones make up for missing ones in the same zone, so that daemons with
// few peers in their zone send as many heartbeats.
func (c *Membership) choosePartners(near, far int) []Peer {
	c.sameZone.fill(c, c.list.Zone(c.self.Zone))
	if c.list.Len() > len(c.list.Zone(c.self.Zone)) {
		c.otherZones.fill(c, c.list.Peers())
	}
	out := c.sameZone.sample(c.rng, near)
	return append(out, c.otherZones.sample(c.rng, far+near-len(out))...)
}

// ImmediatePeers returns peers to exchange digests with immediately, without waiting for the
// next heartbeat.
func (c *Membership) ImmediatePeers() []Peer {
	return c.choosePartners(sameZonePeers, 2*otherZonePeers)
}

// RecordIncomingExchange records that a peer started an exchange with this daemon.
func (c *Membership) RecordIncomingExchange() { c.incomingExchanges++ }

// HandleDigest processes a digest from a peer. It returns the new quarantines.
func (c *Membership) HandleDigest(now rrunit.Instant, d *rrpeer.Digest) []rrpeer.Quarantine {
	if d.From == c.self.ID {
		return nil
	}
	delete(c.unreachableUntil, d.From)
	delete(c.failures, d.From)
	if d.Leaving {
		c.leavingSince[d.From] = now
	} else {
		delete(c.leavingSince, d.From)
	}
	for i := range d.LeaveNotices {
		c.recordLeaveNotice(now, &d.LeaveNotices[i])
	}
	c.mergeRound(now, d)
	var added []rrpeer.Quarantine
	for _, q := range d.Quarantines {
		if c.AddQuarantine(now, q) {
			added = append(added, q)
		}
	}
	return added
}

// recordLeaveNotice records that an instance is leaving. If the instance is on the
// list and has returned, its own digest removes the record; until then an old notice
// is forwarded for leaveNoticeTTL at most.
func (c *Membership) recordLeaveNotice(now rrunit.Instant, n *rrpeer.LeaveNotice) {
	announcedAt := now.Add(-n.Age.Std())
	_, listed := c.list.Peer(n.ID)
	if !listed || n.ID == c.self.ID || now.Sub(announcedAt) >= leaveNoticeTTL {
		return
	}
	if old, known := c.leavingSince[n.ID]; !known || old < announcedAt {
		c.leavingSince[n.ID] = announcedAt
	}
}

// RecordFailure records that a peer did not answer. A single failure may be a lost message;
// a second consecutive one marks the peer as unreachable.
func (c *Membership) RecordFailure(now rrunit.Instant, id rrunit.InstanceID) {
	if _, listed := c.list.Peer(id); !listed {
		return
	}
	c.failures[id]++
	if c.failures[id] < unreachableFailures {
		return
	}
	delete(c.failures, id)
	c.unreachableUntil[id] = now.Add(unreachableTimeout)
	c.sameZone.remove(id)
	c.otherZones.remove(id)
}

// expire drops expired state about other instances.
func (c *Membership) expire(now rrunit.Instant) {
	for id, until := range c.unreachableUntil {
		if now >= until {
			delete(c.unreachableUntil, id)
		}
	}
	for id, announcedAt := range c.leavingSince {
		if now.Sub(announcedAt) >= leaveNoticeTTL {
			delete(c.leavingSince, id)
		}
	}
}

// CanOwnShards reports whether a listed instance can own shards, which it can unless it
// is leaving. An unreachable instance still can: entries fail over from an
// unresponsive owner to its standby based on their own streams, and if only some
// daemons removed an owner from their tables, its shards would have two owners.
func (c *Membership) CanOwnShards(p *Peer) bool {
	if p.ID == c.self.ID {
		return !c.leaving
	}
	_, leaving := c.leavingSince[p.ID]
	return !leaving && !p.Leaving
}

// IsReachable reports whether an instance can be a partner or a watcher: it can own
// shards and is not marked as unreachable.
func (c *Membership) IsReachable(p *Peer) bool {
	_, unreachable := c.unreachableUntil[p.ID]
	return !unreachable && c.CanOwnShards(p)
}

// IsWatcher reports whether this daemon is one of its zone's watchers, which watch
// the platform on behalf of the others.
func (c *Membership) IsWatcher() bool {
	return c.list.IsWatcher(c.self.ID, c.self.Zone, func(id rrunit.InstanceID) bool {
		p, ok := c.list.Peer(id)
		return !ok || !c.IsReachable(&p)
	})
}
