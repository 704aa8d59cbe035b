package rrpresence_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpresence"
)

const (
	window = 10 * time.Second
	// tick is the time between two steps of the simulation.
	tick = 500 * time.Millisecond
	// settleTime is how long after the last fault all daemons must agree on who is there: a
	// daemon is doubted and removed, what it used ends with a window, and each daemon that was
	// held back is so for a window.
	settleTime = 60 * time.Second
	// answerTime is within how long a doubted daemon that is heard again is taken back.
	answerTime = 2 * time.Second
	// readers is how many daemons ask others.
	readers = 3
)

// process is one process of a daemon; a restarted daemon is another one.
type process struct {
	id      rrunit.InstanceID
	tracker *rrpresence.Tracker
	// known is the list that it knows, which the store confirmed at seenAt.
	known  []rrpresence.Member
	seenAt rrunit.Instant
	// shares has its share of limits at each step.
	shares []float64
	isGone bool
	// isAlone is set while it reaches no other daemon, and isCut while it does not reach the
	// store.
	isAlone, isCut, isFrozen bool
	// heardAt is when it last was heard by a daemon that reaches the store, or was one, without
	// a break since heardSince.
	heardAt, heardSince rrunit.Instant
	// hasRegistered is set once it has registered.
	hasRegistered bool
}

func (p *process) recordHeard(now rrunit.Instant) {
	if now.Sub(p.heardAt) > tick {
		p.heardSince = now
	}
	p.heardAt = now
}

// fleet simulates daemons, the network between them and the store.
type fleet struct {
	now       rrunit.Instant
	processes []*process
	objects   map[rrunit.InstanceID]rrpresence.Member
	revision  rrcatalog.Revision
	// isStoreDown is set while nobody reaches the store.
	isStoreDown bool
	// steps counts the steps taken.
	steps int
	// removed has the processes that were removed although they were heard.
	removed []string
}

func newFleet(daemons int) *fleet {
	f := &fleet{objects: make(map[rrunit.InstanceID]rrpresence.Member)}
	for i := range daemons {
		f.start(rrunit.InstanceID(fmt.Sprintf("d%d", i)), true)
	}
	return f
}

func (f *fleet) start(id rrunit.InstanceID, isColdStart bool) *process {
	p := &process{
		id: id, seenAt: f.now, heardAt: f.now, heardSince: f.now, shares: make([]float64, f.steps),
		tracker: rrpresence.New(f.now, rrpresence.Config{Self: id, Window: window, ColdStart: isColdStart}),
	}
	f.processes = append(f.processes, p)
	if isColdStart {
		f.registerProcess(p)
	}
	return p
}

func (f *fleet) registerProcess(p *process) {
	f.register(p.id)
	p.hasRegistered = true
	p.tracker.RecordRegistration()
}

func (f *fleet) register(id rrunit.InstanceID) {
	f.write(rrpresence.Member{Instance: rrcatalog.Instance{ID: id}})
}

func (f *fleet) write(m rrpresence.Member) {
	f.revision++
	m.Revision = f.revision
	f.objects[m.ID] = m
}

// running returns the processes that run, in the order in which they become readers.
func (f *fleet) running() []*process {
	out := slices.DeleteFunc(slices.Clone(f.processes), func(p *process) bool { return p.isGone || p.isFrozen })
	slices.SortFunc(out, func(a, b *process) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (f *fleet) reachesStore(p *process) bool { return !f.isStoreDown && !p.isCut }

func (f *fleet) list() []rrpresence.Member {
	var out []rrpresence.Member
	for _, m := range f.objects {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b rrpresence.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// step lets each daemon learn the list, follow two others and carry out its plan.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	f.steps++
	running := f.running()
	for _, p := range running {
		f.learn(p, running)
	}
	for i, p := range running {
		isReader := i < readers
		f.perform(p, p.tracker.Plan(f.now, isReader), running)
	}
	for _, p := range f.processes {
		share := 0.0
		if n := p.tracker.Sharers(f.now); !p.isGone && !p.isFrozen && n > 0 && !p.tracker.IsHeldBack(f.now) {
			share = 1 / float64(n)
		}
		p.shares = append(p.shares, share)
	}
}

func (f *fleet) learn(p *process, running []*process) {
	if f.reachesStore(p) {
		p.known, p.seenAt = f.list(), f.now
		p.recordHeard(f.now)
		if !p.hasRegistered {
			f.registerProcess(p)
			p.known = f.list()
		}
	}
	if !p.isAlone {
		followed := 0
		for _, other := range running {
			if other == p || other.isAlone || followed == 2 {
				continue
			}
			followed++
			p.tracker.RecordHeard(f.now, other.id)
			other.tracker.RecordHeard(f.now, p.id)
			if f.reachesStore(other) {
				p.recordHeard(f.now)
			}
			if other.seenAt > p.seenAt {
				p.known, p.seenAt = other.known, other.seenAt
			}
		}
	}
	p.tracker.RecordConfirmed(p.seenAt)
	p.tracker.SetMembers(f.now, p.known)
	if p.tracker.IsMissing() && f.reachesStore(p) {
		f.register(p.id)
	}
}

func (f *fleet) perform(p *process, a rrpresence.Actions, running []*process) {
	for _, m := range a.Probe {
		answers := slices.ContainsFunc(running, func(other *process) bool {
			return other.id == m.ID && !other.isAlone && !p.isAlone
		})
		if answers {
			p.tracker.RecordHeard(f.now, m.ID)
		} else {
			p.tracker.RecordFailure(m.ID)
		}
	}
	if !f.reachesStore(p) {
		return
	}
	isCurrent := func(m rrpresence.Member) bool { return f.objects[m.ID].Revision == m.Revision }
	for _, m := range a.Doubt {
		if isCurrent(m) {
			m.Doubted = true
			f.write(m)
		}
	}
	for _, m := range a.Clear {
		if isCurrent(m) {
			m.Doubted = false
			f.write(m)
		}
	}
	for _, m := range a.Remove {
		if !isCurrent(m) {
			continue
		}
		delete(f.objects, m.ID)
		f.revision++
		for _, other := range running {
			if other.id == m.ID && f.now.Sub(other.heardAt) <= tick && f.now.Sub(other.heardSince) >= answerTime {
				f.removed = append(f.removed, fmt.Sprintf("%s at %s", m.ID, f.now.Sub(0)))
			}
		}
	}
}

// worstShares returns the largest sum of the shares that all processes may have used within
// any window.
func (f *fleet) worstShares() (worst float64, at time.Duration) {
	perWindow := int(window / tick)
	for end := perWindow; end <= f.steps; end++ {
		sum := 0.0
		for _, p := range f.processes {
			sum += slices.Max(p.shares[end-perWindow : end])
		}
		if sum > worst {
			worst, at = sum, time.Duration(end)*tick
		}
	}
	return worst, at
}

// TestDaemonsThatAreGoneAreForgotten guards against shares of limits that fall with each
// machine that was ever replaced: nine daemons are gone for good, and three have come.
func TestDaemonsThatAreGoneAreForgotten(t *testing.T) {
	f := newFleet(9)
	for range 20 {
		f.step()
	}
	for i := range 3 {
		f.start(rrunit.InstanceID(fmt.Sprintf("new%d", i)), false)
	}
	for range 4 {
		f.step()
	}
	for _, p := range f.processes[:9] {
		p.isGone = true
	}
	for range int(settleTime / tick) {
		f.step()
	}
	must.MapLen(t, 3, f.objects)
	for _, p := range f.processes[9:] {
		must.Eq(t, 3, p.tracker.Sharers(f.now), must.Sprint(p.id))
		must.False(t, p.tracker.IsHeldBack(f.now))
	}
	worst, at := f.worstShares()
	must.LessEq(t, 1.0001, worst, must.Sprintf("at %s", at))
}

// TestPresenceUnderFaults guards against daemons that are removed while others hear them, and
// against shares that add up to more than the limit, under random faults.
func TestPresenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "daemons"))
		names := 0
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			alive := slices.DeleteFunc(slices.Clone(f.processes), func(p *process) bool { return p.isGone })
			if len(alive) == 0 {
				names++
				alive = append(alive, f.start(rrunit.InstanceID(fmt.Sprintf("n%d", names)), false))
			}
			p := alive[rapid.IntRange(0, len(alive)-1).Draw(t, "daemon")]
			switch rapid.SampledFrom([]string{"leave", "restart", "add", "alone", "cut", "off", "heal", "freeze", "store", "all"}).Draw(t, "fault") {
			case "leave":
				p.isGone = true
			case "restart":
				p.isGone = true
				f.start(p.id, false)
			case "add":
				names++
				f.start(rrunit.InstanceID(fmt.Sprintf("n%d", names)), false)
			case "alone":
				p.isAlone = true
			case "cut":
				p.isCut = true
			case "off":
				p.isAlone, p.isCut = true, true
			case "heal":
				p.isAlone, p.isCut, p.isFrozen = false, false, false
			case "freeze":
				p.isFrozen = true
			case "store":
				f.isStoreDown = !f.isStoreDown
			case "all":
				for _, p := range alive {
					p.isGone = true
					f.start(p.id, false)
				}
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				f.step()
			}
		}
		f.isStoreDown = false
		for _, p := range f.processes {
			p.isAlone, p.isCut, p.isFrozen = false, false, false
		}
		for range int(settleTime / tick) {
			f.step()
		}
		if len(f.removed) > 0 {
			t.Fatalf("removed while heard: %v", f.removed)
		}
		if worst, at := f.worstShares(); worst > 1.0001 {
			t.Fatalf("the shares within a window add up to %g at %s", worst, at)
		}
		running := f.running()
		if len(f.objects) != len(running) && len(running) > 0 {
			t.Fatalf("%d daemons are registered, %d are there", len(f.objects), len(running))
		}
		for _, p := range running {
			if n := p.tracker.Sharers(f.now); n != len(running) || p.tracker.IsHeldBack(f.now) {
				t.Fatalf("%s shares with %d daemons, %d are there; held back: %t", p.id, n, len(running), p.tracker.IsHeldBack(f.now))
			}
		}
	})
}
