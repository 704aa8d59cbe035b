package rrsource_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

const staleAge = 3 * time.Second

// threeRegions returns the daemons of three regions.
func threeRegions(perRegion int) []rrcatalog.Instance {
	var all []rrcatalog.Instance
	for r := range 3 {
		for i := range perRegion {
			all = append(all, rrcatalog.Instance{
				ID:          rrunit.InstanceID(fmt.Sprintf("d-%d-%d", r, i)),
				Region:      rrunit.Region(fmt.Sprintf("r%d", r)),
				PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r), 0, byte(i + 1)}), 7000),
			})
		}
	}
	return all
}

func core(self rrcatalog.Instance, all []rrcatalog.Instance) *rrsource.Selector {
	c := rrsource.New(0, rrsource.Config{Self: self, StaleAfter: staleAge})
	c.SetInstances(all)
	return c
}

func at(d time.Duration) rrunit.Instant { return rrunit.Instant(d) }

// recordRead records that the daemon has read both parts of its data.
func recordRead(c *rrsource.Selector, now, startedAt rrunit.Instant) {
	c.RecordStoreCall(now, startedAt, true, rrsource.PartTables)
	c.RecordStoreCall(now, startedAt, true, rrsource.PartSearchers)
}

// readersAndFollowers returns which daemons read the store, and which do not, when each
// has the whole list of instances.
func readersAndFollowers(t *testing.T, all []rrcatalog.Instance) (readers, others []rrcatalog.Instance) {
	t.Helper()
	for _, self := range all {
		c := core(self, all)
		if c.Plan(at(time.Millisecond)).ReadStore {
			readers = append(readers, self)
		} else {
			others = append(others, self)
		}
	}
	return readers, others
}

func TestFewReaders(t *testing.T) {
	for _, n := range []int{2, 24, 100} {
		all := threeRegions(n)
		readers, others := readersAndFollowers(t, all)
		must.Len(t, 3, readers, must.Sprint("one per region, however many daemons there are"))
		regions := map[rrunit.Region]bool{}
		for _, r := range readers {
			regions[r.Region] = true
		}
		must.MapLen(t, 3, regions)
		must.Len(t, len(all)-3, others)
	}
	one := []rrcatalog.Instance{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}, {ID: "c", Region: "r"}}
	readers, _ := readersAndFollowers(t, one)
	must.Len(t, 2, readers, must.Sprint("two in a single region"))
}

func TestFollowerAsksReadersOfItsRegionFirst(t *testing.T) {
	all := threeRegions(8)
	readers, others := readersAndFollowers(t, all)
	self := others[0]
	p := core(self, all).Plan(at(time.Millisecond))
	must.False(t, p.ReadStore)
	must.Len(t, 2, p.Sources)
	i := slices.IndexFunc(readers, func(r rrcatalog.Instance) bool { return r.PeerAddress == p.Sources[0].Address })
	must.GreaterEq(t, 0, i)
	must.Eq(t, self.Region, readers[i].Region)
	must.False(t, p.Sources[0].Backup)
	must.True(t, p.Sources[1].Backup)
}

func TestFailedReaderIsReplaced(t *testing.T) {
	all := threeRegions(8)
	_, others := readersAndFollowers(t, all)
	c := core(others[0], all)
	p := c.Plan(at(time.Millisecond))
	first := p.Sources[0].Address
	c.RecordPeerAnswer(at(time.Second), p.Sources[1].Address, 0, true)
	c.RecordPeerFailure(at(time.Second), first)
	p = c.Plan(at(time.Second))
	must.Len(t, 2, p.Sources)
	must.NotEq(t, first, p.Sources[0].Address)
	must.False(t, p.ReadStore, must.Sprint("the other sources have fresh data"))
}

// TestIsolatedDaemonReadsStore checks that a daemon that reaches no other daemon falls
// back to the store.
func TestIsolatedDaemonReadsStore(t *testing.T) {
	all := threeRegions(3)
	_, others := readersAndFollowers(t, all)
	c := core(others[0], all)
	now := at(2 * time.Second)
	c.RecordPeerAnswer(now, all[0].PeerAddress, 0, true)
	for range 12 {
		for _, s := range c.Plan(now).Sources {
			c.RecordPeerFailure(now, s.Address)
		}
	}
	p := c.Plan(now)
	must.Len(t, 0, p.Sources)
	must.True(t, p.ReadStore)
}

// TestStaleSourcesCauseFallback checks that followers of readers that have lost the store,
// and so have only stale data, fall back to the store within the time in which a routing
// table must be applied.
func TestStaleSourcesCauseFallback(t *testing.T) {
	all := threeRegions(8)
	_, others := readersAndFollowers(t, all)
	c := core(others[0], all)
	now := at(time.Second)
	for _, s := range c.Plan(now).Sources {
		c.RecordPeerAnswer(now, s.Address, 0, true)
	}
	for now < at(10*time.Second) {
		now = now.Add(100 * time.Millisecond)
		p := c.Plan(now)
		if p.ReadStore {
			break
		}
		for _, s := range p.Sources {
			c.RecordPeerAnswer(now, s.Address, now.Sub(at(time.Second)), true)
		}
	}
	must.Less(t, at(time.Second+staleAge+time.Second), now)
	must.True(t, c.Plan(now).ReadStore)
}

// TestRefusedReaderAsksPeers checks that a reader whose store call failed asks other
// daemons, and continues to read the store.
func TestRefusedReaderAsksPeers(t *testing.T) {
	all := threeRegions(2)
	readers, _ := readersAndFollowers(t, all)
	c := core(readers[0], all)
	recordRead(c, at(time.Second), at(time.Second))
	must.Len(t, 0, c.Plan(at(time.Second)).Sources)
	c.RecordStoreCall(at(time.Second), at(time.Second), false, rrsource.PartNone)
	p := c.Plan(at(1100 * time.Millisecond))
	must.True(t, p.ReadStore)
	must.Len(t, 2, p.Sources)
}

// TestSeedsBeforeAnyInstanceIsKnown checks that a daemon without a list of instances asks
// its seeds.
func TestSeedsBeforeAnyInstanceIsKnown(t *testing.T) {
	seed := netip.MustParseAddrPort("10.0.0.9:7000")
	c := rrsource.New(0, rrsource.Config{Self: threeRegions(1)[0], Seeds: []netip.AddrPort{seed}, StaleAfter: staleAge})
	p := c.Plan(0)
	must.Len(t, 1, p.Sources)
	must.Eq(t, seed, p.Sources[0].Address)
	must.True(t, c.Plan(at(time.Second)).ReadStore, must.Sprint("a seed that does not answer does not delay the fallback"))
	c.RecordPeerAnswer(at(time.Second), seed, 0, true)
	age, known := c.DataAge(at(1500 * time.Millisecond))
	must.True(t, known)
	must.Eq(t, 500*time.Millisecond, age)
}

// TestEmptyWatchConfirms checks that a watch that ends without changes after seconds
// confirms the data as of its end, so that no daemon falls back to the store.
func TestEmptyWatchConfirms(t *testing.T) {
	all := threeRegions(2)
	readers, _ := readersAndFollowers(t, all)
	c := core(readers[0], all)
	recordRead(c, at(5*time.Second), at(3*time.Second))
	age, known := c.DataAge(at(5 * time.Second))
	must.True(t, known)
	must.Less(t, 300*time.Millisecond, age)
}

// TestOtherCallsConfirmNothing checks that a store call that does not read the tracked
// data, such as the registration of a new daemon, does not make the data fresh.
func TestOtherCallsConfirmNothing(t *testing.T) {
	c := rrsource.New(at(0), rrsource.Config{Self: rrcatalog.Instance{ID: "a"}, StaleAfter: time.Second})
	c.RecordStoreCall(at(time.Second), at(time.Second), true, rrsource.PartNone)
	_, known := c.DataAge(at(time.Second))
	must.False(t, known)
	recordRead(c, at(2*time.Second), at(2*time.Second))
	c.RecordStoreCall(at(5*time.Second), at(5*time.Second), true, rrsource.PartNone)
	age, known := c.DataAge(at(5 * time.Second))
	must.True(t, known)
	must.GreaterEq(t, 3*time.Second, age)
}

// TestNoFallbackWhileListing checks that a new daemon does not fall back to the store
// while it lists it, however long that takes, but does once the listing has failed.
func TestNoFallbackWhileListing(t *testing.T) {
	c := rrsource.New(at(0), rrsource.Config{Self: rrcatalog.Instance{ID: "a"}, StaleAfter: time.Second})
	c.SetListing(true)
	for _, d := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		must.False(t, c.Plan(at(d)).ReadStore)
	}
	c.SetListing(false)
	must.True(t, c.Plan(at(3100*time.Millisecond)).ReadStore)
}

// Guards against versions that are in force too late: with all readers replaced for good, the
// others read the store for some seconds each time their data had become stale, and not in
// between. Their objects stay in the store.
func TestReadersThatAreGoneAreReplaced(t *testing.T) {
	for _, perRegion := range []int{4, 20} {
		all := threeRegions(perRegion)
		readers, others := readersAndFollowers(t, all)
		must.Len(t, 3, readers)
		// Of the others, those are left that come next.
		left, _ := readersAndFollowers(t, others)
		alive := make(map[netip.AddrPort]*rrsource.Selector)
		for _, i := range left {
			alive[i.PeerAddress] = core(i, all)
		}
		reads := make(map[netip.AddrPort]int)
		worst := time.Duration(0)
		const step = 100 * time.Millisecond
		for now := at(step); now < at(120*time.Second); now = now.Add(step) {
			for address, c := range alive {
				p := c.Plan(now)
				if p.ReadStore {
					recordRead(c, now, now)
				}
				if p.ReadStore && now > at(90*time.Second) {
					reads[address]++
				}
				for _, s := range p.Sources {
					other := alive[s.Address]
					if other == nil {
						c.RecordPeerFailure(now, s.Address)
						continue
					}
					age, known := other.DataAge(now)
					c.RecordPeerAnswer(now, s.Address, age, known)
				}
				if age, known := c.DataAge(now); now > at(10*time.Second) {
					must.True(t, known)
					worst = max(worst, age)
				}
			}
		}
		must.LessEq(t, time.Second, worst, must.Sprintf("%d daemons a region", perRegion))
		for address := range alive {
			must.Positive(t, reads[address], must.Sprint("none reads the store for the region"))
		}
	}
}

// A reader that was away for long reads the store for the others again once it answers.
func TestGoneReaderIsBack(t *testing.T) {
	all := threeRegions(4)
	_, others := readersAndFollowers(t, all)
	c := core(others[0], all)
	before := c.Plan(at(step100)).Sources[0].Address
	now := at(step100)
	for ; now < at(20*time.Second); now = now.Add(step100) {
		for _, s := range c.Plan(now).Sources {
			if s.Address == before {
				c.RecordPeerFailure(now, s.Address)
				continue
			}
			c.RecordPeerAnswer(now, s.Address, 0, true)
		}
	}
	must.NotEq(t, before, c.Plan(now).Sources[0].Address)
	for ; now < at(40*time.Second); now = now.Add(step100) {
		for _, s := range c.Plan(now).Sources {
			c.RecordPeerAnswer(now, s.Address, 0, true)
		}
	}
	must.Eq(t, before, c.Plan(now).Sources[0].Address)
}

const step100 = 100 * time.Millisecond

// Guards against a store that all daemons read for good once its readers are gone: one of each
// region reads in their place.
func TestFewReadInThePlaceOfGoneReaders(t *testing.T) {
	all := threeRegions(8)
	_, others := readersAndFollowers(t, all)
	alive := make(map[netip.AddrPort]*rrsource.Selector)
	for _, i := range others {
		alive[i.PeerAddress] = core(i, all)
	}
	reading := make(map[netip.AddrPort]bool)
	for now := at(step100); now < at(60*time.Second); now = now.Add(step100) {
		for address, c := range alive {
			p := c.Plan(now)
			if p.ReadStore {
				recordRead(c, now, now)
			}
			if now > at(50*time.Second) {
				reading[address] = reading[address] || p.ReadStore
			}
			for _, s := range p.Sources {
				if other := alive[s.Address]; other != nil {
					age, known := other.DataAge(now)
					c.RecordPeerAnswer(now, s.Address, age, known)
					continue
				}
				c.RecordPeerFailure(now, s.Address)
			}
		}
	}
	n := 0
	for _, isReading := range reading {
		if isReading {
			n++
		}
	}
	must.Eq(t, 3, n)
}

// Guards against one part of the data that hides the other: the age is that of the older one.
func TestEachPartHasItsAge(t *testing.T) {
	for _, parts := range [][]rrsource.Part{{rrsource.PartTables, rrsource.PartSearchers}, {rrsource.PartSearchers, rrsource.PartTables}} {
		c := rrsource.New(at(0), rrsource.Config{Self: rrcatalog.Instance{ID: "a"}, StaleAfter: time.Second})
		c.RecordStoreCall(at(time.Second), at(time.Second), true, parts[0])
		_, known := c.DataAge(at(time.Second))
		must.False(t, known)
		c.RecordStoreCall(at(time.Second), at(time.Second), true, parts[1])
		must.True(t, c.IsFresh(at(time.Second)))
		c.RecordStoreCall(at(3*time.Second), at(3*time.Second), true, parts[0])
		age, known := c.DataAge(at(3 * time.Second))
		must.True(t, known)
		must.Eq(t, 2*time.Second, age)
		must.False(t, c.IsFresh(at(3*time.Second)))
	}
}

// Guards against a whole fleet that waits until its data are stale although its readers are
// known to be lost: those that the others ask next read the store at once, and no others.
func TestFewStandInForFailedReaders(t *testing.T) {
	all := threeRegions(8)
	readers, others := readersAndFollowers(t, all)
	standIns := 0
	for _, self := range others {
		c := core(self, all)
		c.RecordPeerAnswer(at(step100), readers[0].PeerAddress, 0, true)
		for n, r := range readers {
			must.NotEq(t, rrsource.CauseStandIn, c.Plan(at(step100)).Cause, must.Sprintf("%d of the readers failed", n))
			c.RecordPeerFailure(at(step100), r.PeerAddress)
		}
		if p := c.Plan(at(step100)); p.Cause == rrsource.CauseStandIn {
			must.True(t, p.ReadStore)
			standIns++
		}
	}
	must.Eq(t, 4, standIns)
}
