// Package rrsource decides from which sources a daemon gets the content of the
// platform's store: a few daemons, the readers, read the store; the others ask two
// of them, and read the store themselves if no daemon that they reach has newer
// data. There is no consensus: each daemon ranks the same instances by the same
// hash, and if two disagree, that only costs some extra calls. The package holds no
// goroutine, clock or connection.
package rrsource

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfreshness"
)

// Parameters of the selection.
const (
	// minReaders is the least number of daemons that read the store, so that the
	// loss of one has no effect.
	minReaders = 2
	// maxSources is how many daemons each daemon asks.
	maxSources = 2
	// maxSpareCandidates is how many daemons may be asked instead of readers that
	// are not usable.
	maxSpareCandidates = 4
	// minBackoff and maxBackoff bound how long a daemon that did not answer is not
	// asked again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// startGrace is how long after its start a daemon waits for answers of other daemons
	// before it falls back to the store.
	startGrace = 80 * time.Millisecond
	// coldStartGrace replaces startGrace if all daemons start for the first time,
	// when no caller waits.
	coldStartGrace = 2 * time.Second
	// staggerPerRank delays the fallback to the store by the daemon's rank among the
	// instances, up to Config.Stagger, so that the first one can serve the rest.
	staggerPerRank = 25 * time.Millisecond
	// fallbackReadTime is how long a daemon that falls back to the store reads it.
	fallbackReadTime = 4 * time.Second
	// goneTime and minGoneFailures are how long, and how often in that time, a daemon must not
	// have answered to count as gone.
	goneTime        = 4 * time.Second
	minGoneFailures = 3
)

// Config holds the settings of a daemon.
type Config struct {
	Self rrcatalog.Instance
	// Seeds are addresses to ask last, such as while no instance is known.
	Seeds []netip.AddrPort
	// ColdStart is true if all daemons start for the first time.
	ColdStart bool
	// StaleAfter is the age from which the data of a source is stale.
	StaleAfter time.Duration
	// Stagger is the time over which the daemons fall back to the store if the data of all
	// become stale at the same time.
	Stagger time.Duration
}

// Source is a daemon to ask. The first source of a plan answers at once. The second
// one, the backup, delays its answer, and sends only what the first one has not sent by
// then.
type Source struct {
	Address netip.AddrPort `json:"address"`
	Backup  bool           `json:"second"`
}

// Cause is the reason why a daemon reads the store.
type Cause string

// The causes.
const (
	// CauseNone means that the daemon does not read the store.
	CauseNone Cause = ""
	// CauseReader means that the daemon is one of the readers.
	CauseReader Cause = "reader"
	// CauseAlone means that the daemon has no source to ask.
	CauseAlone Cause = "alone"
	// CauseStale means that the daemon gets only stale data from its sources.
	CauseStale Cause = "stale"
	// CauseStandIn means that no reader answers, and that the other daemons ask this one next.
	CauseStandIn Cause = "standin"
)

// Plan is what to read and whom to ask now.
type Plan struct {
	// ReadStore is true if the daemon reads the store, and Cause is the reason.
	ReadStore bool
	Cause     Cause
	// Sources are the daemons to ask.
	Sources []Source
}

// peer is the state of one address.
type peer struct {
	// failures counts the failures since the last answer, the first of them at failingSince.
	failures     int
	failingSince rrunit.Instant
	backoffUntil rrunit.Instant
	// isGone is set while the daemon does not answer for long. Others read the store in its
	// place, as the objects of daemons that are gone stay in it.
	isGone bool
	// dataAge is the age of its data at answeredAt.
	dataAge    time.Duration
	answeredAt rrunit.Instant
}

// Part is a part of a daemon's data, which is read from the store by calls of its own.
type Part string

// The parts whose age is tracked. PartNone stands for calls that read neither.
const (
	PartNone      Part = ""
	PartTables    Part = "tables"
	PartSearchers Part = "searchers"
)

// Selector selects the sources of one daemon. It is not safe for concurrent use.
type Selector struct {
	cfg     Config
	started rrunit.Instant
	ranked  []rrcatalog.Instance
	// readers are the instances of ranked that read the store for all.
	readers []rrcatalog.Instance
	peers   map[netip.AddrPort]*peer
	// confirmed has when, by the answers received, the store last confirmed each part of this
	// daemon's data; a part that it never confirmed is missing.
	confirmed map[Part]rrunit.Instant
	// storeOK is true if the last call to the store succeeded.
	storeOK bool
	// listing is true while a daemon that has just started lists the store once.
	listing bool
	// fallbackUntil is the time until which the daemon reads the store as a fallback,
	// and fallbackCause the reason.
	fallbackUntil rrunit.Instant
	fallbackCause Cause
}

// New returns a Selector for a daemon that starts now.
func New(now rrunit.Instant, cfg Config) *Selector {
	return &Selector{cfg: cfg, started: now, peers: make(map[netip.AddrPort]*peer), confirmed: make(map[Part]rrunit.Instant)}
}

// SetTimes replaces the age from which data are stale, and the stagger.
func (c *Selector) SetTimes(staleAfter, stagger time.Duration) {
	c.cfg.StaleAfter, c.cfg.Stagger = staleAfter, stagger
}

// SetSeeds replaces the seeds.
func (c *Selector) SetSeeds(seeds []netip.AddrPort) { c.cfg.Seeds = seeds }

// SetInstances sets the known daemons.
func (c *Selector) SetInstances(instances []rrcatalog.Instance) {
	c.ranked = slices.Clone(instances)
	slices.SortFunc(c.ranked, func(a, b rrcatalog.Instance) int { return CompareRank(a.ID, b.ID) })
	known := make(map[netip.AddrPort]bool, len(instances)+len(c.cfg.Seeds))
	for _, i := range instances {
		known[i.PeerAddress] = true
	}
	for _, s := range c.cfg.Seeds {
		known[s] = true
	}
	maps.DeleteFunc(c.peers, func(at netip.AddrPort, _ *peer) bool { return !known[at] })
	c.updateReaders()
}

// CompareRank orders daemons as they become readers.
func CompareRank(a, b rrunit.InstanceID) int {
	return cmp.Or(cmp.Compare(rankingHash(a), rankingHash(b)), cmp.Compare(a, b))
}

// updateReaders chooses the readers among the daemons that are not gone.
func (c *Selector) updateReaders() {
	c.readers = chooseReaders(slices.DeleteFunc(slices.Clone(c.ranked), c.isGone))
}

func (c *Selector) isGone(i rrcatalog.Instance) bool {
	p := c.peers[i.PeerAddress]
	return p != nil && p.isGone && i.ID != c.cfg.Self.ID
}

func rankingHash(id rrunit.InstanceID) uint64 { return xxhash.Sum64String("reader/" + string(id)) }

// chooseReaders returns the first instance of each region, and more if these are
// fewer than minReaders.
func chooseReaders(ranked []rrcatalog.Instance) []rrcatalog.Instance {
	var readers, rest []rrcatalog.Instance
	hasReader := make(map[rrunit.Region]bool)
	for _, i := range ranked {
		if hasReader[i.Region] {
			rest = append(rest, i)
			continue
		}
		hasReader[i.Region] = true
		readers = append(readers, i)
	}
	for len(readers) < minReaders && len(rest) > 0 {
		readers = append(readers, rest[0])
		rest = rest[1:]
	}
	return readers
}

// SetListing sets whether the daemon, which has just started, is listing the store. It
// does not fall back to the store meanwhile: if many daemons start at once, each listing
// slows down the others.
func (c *Selector) SetListing(listing bool) { c.listing = listing }

// Instances returns how many daemons are known, this one included.
func (c *Selector) Instances() int { return max(1, len(c.ranked)) }

// RecordStoreCall records the end of a call to the store that began at startedAt and read the
// part. Its result was current when the store answered, however long a watch waited before.
func (c *Selector) RecordStoreCall(now, startedAt rrunit.Instant, ok bool, part Part) {
	c.storeOK = ok
	if ok && part != PartNone {
		c.confirm(max(startedAt, now.Add(-rrfreshness.AnswerTime)), part)
	}
}

func (c *Selector) confirm(at rrunit.Instant, parts ...Part) {
	for _, part := range parts {
		c.confirmed[part] = max(c.confirmed[part], at)
	}
}

// RecordPeerAnswer records the answer of a source with the age of its data; hasData is
// false if the source has none.
func (c *Selector) RecordPeerAnswer(now rrunit.Instant, from netip.AddrPort, age time.Duration, hasData bool) {
	p := c.peer(from)
	p.failures = 0
	p.backoffUntil = 0
	if p.isGone {
		p.isGone = false
		c.updateReaders()
	}
	p.answeredAt = now
	p.dataAge = age
	if !hasData {
		p.dataAge = c.cfg.StaleAfter + time.Second
		return
	}
	c.confirm(now.Add(-age), PartTables, PartSearchers)
}

// RecordPeerFailure records that a source did not answer.
func (c *Selector) RecordPeerFailure(now rrunit.Instant, from netip.AddrPort) {
	p := c.peer(from)
	p.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(p.failures, 8)))
	if p.failures == 0 {
		p.failingSince = now
	}
	p.failures++
	if !p.isGone && p.failures >= minGoneFailures && now.Sub(p.failingSince) >= goneTime {
		p.isGone = true
		c.updateReaders()
	}
}

func (c *Selector) peer(at netip.AddrPort) *peer {
	p := c.peers[at]
	if p == nil {
		p = &peer{}
		c.peers[at] = p
	}
	return p
}

// DataAge returns how long ago the store last confirmed the older part of this daemon's data,
// and false if it has not confirmed all.
func (c *Selector) DataAge(now rrunit.Instant) (time.Duration, bool) {
	tables, hasTables := c.confirmed[PartTables]
	searchers, hasSearchers := c.confirmed[PartSearchers]
	return max(0, now.Sub(min(tables, searchers))), hasTables && hasSearchers
}

// IsFresh reports whether this daemon's data are not stale.
func (c *Selector) IsFresh(now rrunit.Instant) bool {
	age, known := c.DataAge(now)
	return known && age < c.cfg.StaleAfter
}

// Plan returns what to read and whom to ask now.
func (c *Selector) Plan(now rrunit.Instant) Plan {
	var p Plan
	switch {
	case c.isReader():
		p.ReadStore, p.Cause = true, CauseReader
	case c.isFallingBack(now):
		p.ReadStore, p.Cause = true, c.fallbackCause
	}
	if p.Cause == CauseReader && c.storeOK && c.IsFresh(now) {
		p.Sources = c.goneReader(now)
		return p
	}
	p.Sources = append(c.sources(now), c.goneReader(now)...)
	if p.ReadStore {
		return p
	}
	if cause := c.needsStore(now, len(p.Sources)); cause != CauseNone {
		c.fallbackUntil, c.fallbackCause = now.Add(fallbackReadTime), cause
		p.ReadStore, p.Cause = true, cause
	}
	return p
}

// OtherReaders returns the readers without this daemon, and whether this daemon is a reader
// too. Readers follow nobody, so that what daemons find out themselves has to be sent to
// them.
func (c *Selector) OtherReaders() (others []rrcatalog.Instance, isReader bool) {
	others = slices.DeleteFunc(slices.Clone(c.readers), func(i rrcatalog.Instance) bool { return i.ID == c.cfg.Self.ID })
	return others, c.isReader()
}

// isReader reports whether this daemon is one of the readers.
func (c *Selector) isReader() bool {
	return c.isReaderID(c.cfg.Self.ID)
}

func (c *Selector) isReaderID(id rrunit.InstanceID) bool {
	return slices.ContainsFunc(c.readers, func(i rrcatalog.Instance) bool { return i.ID == id })
}
