// Package rrmember decides what a daemon tells which peers at its heartbeats,
// and what it makes of what they tell: who is live, leaving or silent, which
// requests are quarantined, and which definition number is in force everywhere.
// It holds no goroutine, clock or connection; its events come in as calls.
package rrmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Heartbeats of one daemon.
const (
	// Interval is the time between two heartbeats.
	Interval = 500 * time.Millisecond
	// nearPeers and farPeers are how many partners of the own zone and of
	// other zones get each heartbeat.
	sameZonePeers  = 2
	otherZonePeers = 1
	// beatCalls is how many exchanges a daemon aims at between two heartbeats,
	// those of its peers with it included.
	exchangesPerInterval = 2 * (sameZonePeers + otherZonePeers)
	// nearPartners and farPartners are how many connections a daemon keeps for
	// its heartbeats.
	sameZonePartners  = 8
	otherZonePartners = 4
	// rotateBeats is after how many heartbeats one partner is replaced.
	rotationHeartbeats = 30
)

// Times after which a word about others no longer counts.
const (
	// avoidTime is how long an instance that did not answer is routed around
	// without any word from it.
	unreachableTime = 10 * time.Second
	// newsTime is how long news of a leaving instance is passed on.
	leaveNoticeTime = time.Minute
)

// silentFailures is how many calls in a row without an answer make a peer count
// as silent.
const unreachableFailures = 2

// recentLists is how many lists a daemon keeps, so that it can read the rounds of
// peers that have not got the newest one yet.
const recentLists = 4

// maxQuarantines is the most quarantines that a daemon keeps and passes on.
const maxQuarantines = rrpeer.MaxDigestQuarantines

// Core is the membership of one daemon. It is not safe for concurrent use.
type Core struct {
	self Peer
	rng  *rand.Rand

	tags    rrpeer.Tags
	leaving bool
	list    *List

	sameZone, otherZones partners
	heartbeats           int
	// calls counts the digests of peers since the last heartbeat.
	incomingExchanges int

	// news has when each leaving instance said so.
	leftAt map[rrunit.InstanceID]rrunit.Instant
	// failures counts the calls in a row that each peer did not answer.
	failures map[rrunit.InstanceID]int
	// avoided has when each peer that did not answer may be tried again.
	unreachableUntil map[rrunit.InstanceID]rrunit.Instant
	// recent has the latest lists, the one in use included, newest first.
	recent []*List
	round  round
	// quarantines has the instant at which each one ends.
	quarantines map[rrunit.Fingerprint]rrunit.Instant
}

// New returns the core of a daemon.
func New(self Peer, rng *rand.Rand) *Core {
	return &Core{
		self:             self,
		rng:              rng,
		list:             NewList(0, nil),
		sameZone:         partners{limit: sameZonePartners},
		otherZones:       partners{limit: otherZonePartners},
		leftAt:           make(map[rrunit.InstanceID]rrunit.Instant),
		failures:         make(map[rrunit.InstanceID]int),
		unreachableUntil: make(map[rrunit.InstanceID]rrunit.Instant),
		quarantines:      make(map[rrunit.Fingerprint]rrunit.Instant),
	}
}

// SetTags takes the versions of the documents that the daemon holds.
func (c *Core) SetTags(t rrpeer.Tags) { c.tags = t }

// SetLeaving says that the daemon leaves.
func (c *Core) SetLeaving() { c.leaving = true }

// List returns the list in use.
func (c *Core) List() *List { return c.list }

// SetList takes a new list. Whoever is not on it is forgotten.
func (c *Core) SetList(l *List) {
	c.round.remap(c.list, l)
	c.list = l
	c.recent = slices.Insert(c.recent, 0, l)
	c.recent = c.recent[:min(len(c.recent), recentLists)]
	for id := range c.leftAt {
		if _, ok := l.Peer(id); !ok {
			delete(c.leftAt, id)
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

// Quarantine takes a quarantine that the daemon itself found or was told of. It
// returns false if it is known, or if too many are.
func (c *Core) Quarantine(now rrunit.Instant, q rrpeer.Quarantine) bool {
	end := now.Add(q.Left.Std())
	known, ok := c.quarantines[q.Fingerprint]
	if q.Left <= 0 || (!ok && len(c.quarantines) >= maxQuarantines) {
		return false
	}
	c.quarantines[q.Fingerprint] = max(known, end)
	return !ok
}

// Quarantines returns the quarantines in force.
func (c *Core) Quarantines(now rrunit.Instant) []rrpeer.Quarantine {
	var out []rrpeer.Quarantine
	for fp, end := range c.quarantines {
		left := end.Sub(now)
		if left <= 0 {
			delete(c.quarantines, fp)
			continue
		}
		out = append(out, rrpeer.Quarantine{Fingerprint: fp, Left: rrunit.Duration(left)})
	}
	return out
}

// Beat returns the peers that get this heartbeat.
func (c *Core) Beat(now rrunit.Instant) []Peer {
	c.heartbeats++
	if c.heartbeats%rotationHeartbeats == 0 {
		c.sameZone.dropOldest()
		c.otherZones.dropOldest()
	}
	c.expire(now)
	c.advanceRound(now)
	near := max(0, min(sameZonePeers, exchangesPerInterval-otherZonePeers-c.incomingExchanges))
	c.incomingExchanges = 0
	return c.choosePartners(near, otherZonePeers)
}

// pick returns partners, completing their number first. Far peers stand in for
// missing near ones and the other way round, so that small fleets beat as often.
func (c *Core) choosePartners(near, far int) []Peer {
	c.sameZone.fill(c, c.list.Zone(c.self.Zone))
	if c.list.Len() > len(c.list.Zone(c.self.Zone)) {
		c.otherZones.fill(c, c.list.Peers())
	}
	out := c.sameZone.sample(c.rng, near)
	return append(out, c.otherZones.sample(c.rng, far+near-len(out))...)
}

// Extra returns peers that get a digest at once, out of turn.
func (c *Core) Extra() []Peer { return c.choosePartners(sameZonePeers, 2*otherZonePeers) }

// Called says that a peer began an exchange with this daemon.
func (c *Core) Called() { c.incomingExchanges++ }

// Heard takes a digest from a peer. It returns the quarantines that are new.
func (c *Core) Heard(now rrunit.Instant, d *rrpeer.Digest) []rrpeer.Quarantine {
	if d.From == c.self.ID {
		return nil
	}
	delete(c.unreachableUntil, d.From)
	delete(c.failures, d.From)
	if d.Leaving {
		c.leftAt[d.From] = now
	} else {
		delete(c.leftAt, d.From)
	}
	for i := range d.News {
		c.recordLeaveNotice(now, &d.News[i])
	}
	c.mergeRound(now, d)
	var fresh []rrpeer.Quarantine
	for _, q := range d.Quarantines {
		if c.Quarantine(now, q) {
			fresh = append(fresh, q)
		}
	}
	return fresh
}

// hearOf keeps who leaves. An instance on the list that has come back says so
// itself; until then old news are passed on for newsTime at most.
func (c *Core) recordLeaveNotice(now rrunit.Instant, n *rrpeer.News) {
	said := now.Add(-n.Age.Std())
	_, listed := c.list.Peer(n.ID)
	if !listed || n.ID == c.self.ID || now.Sub(said) >= leaveNoticeTime {
		return
	}
	if old, known := c.leftAt[n.ID]; !known || old < said {
		c.leftAt[n.ID] = said
	}
}

// Failed says that a peer did not answer. One failure may be a lost message; the
// next one in a row has the peer routed around.
func (c *Core) Failed(now rrunit.Instant, id rrunit.InstanceID) {
	if _, listed := c.list.Peer(id); !listed {
		return
	}
	c.failures[id]++
	if c.failures[id] < unreachableFailures {
		return
	}
	delete(c.failures, id)
	c.unreachableUntil[id] = now.Add(unreachableTime)
	c.sameZone.remove(id)
	c.otherZones.remove(id)
}

// expire forgets what is too old to count.
func (c *Core) expire(now rrunit.Instant) {
	for id, until := range c.unreachableUntil {
		if now >= until {
			delete(c.unreachableUntil, id)
		}
	}
	for id, said := range c.leftAt {
		if now.Sub(said) >= leaveNoticeTime {
			delete(c.leftAt, id)
		}
	}
}

// TakesWork reports whether an instance can own shards: listed, and not leaving.
// Silence does not count here: entries go to a silent owner's stand-by by what
// they see of their own streams, and an owner that only some daemons take off
// their tables would leave its shards with two others.
func (c *Core) TakesWork(p *Peer) bool {
	if p.ID == c.self.ID {
		return !c.leaving
	}
	_, leaving := c.leftAt[p.ID]
	return !leaving && !p.Leaving
}

// IsHeard reports whether an instance can be a partner or a watcher: it takes work,
// and did not go silent just now.
func (c *Core) IsHeard(p *Peer) bool {
	_, avoided := c.unreachableUntil[p.ID]
	return !avoided && c.TakesWork(p)
}

// IsWatcher reports whether this daemon is one of the few of its zone that watch
// the platform for the others.
func (c *Core) IsWatcher() bool {
	return c.list.IsWatcher(c.self.ID, c.self.Zone, func(id rrunit.InstanceID) bool {
		p, ok := c.list.Peer(id)
		return !ok || !c.IsHeard(&p)
	})
}
