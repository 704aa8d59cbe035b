package rrbench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// serviceSpread is the sigma of the lognormal time that a subquery takes.
const serviceSpread = 0.5

// down says how a searcher fails.
type down int

// The ways in which a searcher is down.
const (
	// downNot serves.
	downNot down = iota
	// downReset breaks connections and refuses new ones.
	downReset
	// downSilent never says anything.
	downSilent
)

// work is one attempt at a searcher.
type work struct {
	from     *daemon
	to       *searcher
	deadline rrunit.Instant
	started  bool
	ended    bool
	// finish takes the end of the attempt at the sender.
	finish func(rrupstream.Outcome)
}

// lose lets the sender hear at the deadline that the attempt got no reply.
func (w *work) lose() {
	w.from.sim.loop.At(w.deadline, func() {
		w.from.deliver(func() { w.finish(rrupstream.OutcomeConnectionLost) })
	})
}

// searcher is a fake searcher: slots, a short line of waiting work, a limit of
// connections, and a made-up time for each subquery.
type searcher struct {
	rrdefinition.Searcher
	sim  *sim
	rand *rand.Rand

	down    down
	running int
	line    []*work
	// held has the connections, which stand for the daemons that opened them.
	held map[rrunit.InstanceID]bool
	// open has the attempts that run or wait, oldest first.
	open []*work
	// slow multiplies the time of each subquery.
	slow float64
	// coldSince is when a replacement started; it is slow for coldTime.
	coldSince rrunit.Instant
	cold      bool
	// lies makes load reports claim that the searcher is idle.
	lies bool
	// mostSlots and mostConnections are the most held at once.
	mostSlots       int
	mostConnections int
}

func newSearcher(s *sim, def rrdefinition.Searcher, seed uint64) *searcher {
	return &searcher{
		Searcher: def,
		sim:      s,
		rand:     rand.New(rand.NewPCG(s.opts.Seed, seed)),
		held:     make(map[rrunit.InstanceID]bool),
		slow:     1,
	}
}

func (s *searcher) place() place { return place{zone: s.Zone, region: s.Region} }

// connect returns the time that a first connection of the daemon costs.
func (s *searcher) connect(d *daemon) time.Duration {
	if s.held[d.id] || s.down != downNot {
		return 0
	}
	if len(s.held) >= s.Connections {
		return 0
	}
	s.held[d.id] = true
	s.mostConnections = max(s.mostConnections, len(s.held))
	return s.sim.shape.connectTime
}

// arrive takes an attempt.
func (s *searcher) arrive(w *work) {
	switch {
	case w.ended:
		return
	case s.down == downSilent:
		w.lose()
		return
	case s.down == downReset:
		s.reply(w, rrupstream.OutcomeUnsent)
		return
	case !s.held[w.from.id], s.running >= s.Slots && len(s.line) >= s.Connections:
		s.reply(w, rrupstream.OutcomeShed)
		return
	}
	s.open = append(s.open, w)
	if s.running < s.Slots {
		s.start(w)
	} else {
		s.line = append(s.line, w)
	}
	s.mostSlots = max(s.mostSlots, s.running+len(s.line))
}

func (s *searcher) start(w *work) {
	s.running++
	w.started = true
	s.sim.loop.After(s.time(), func() { s.end(w, rrupstream.OutcomeAnswered) })
}

// time draws how long a subquery takes.
func (s *searcher) time() time.Duration {
	o := &s.sim.opts.Case
	mean := float64(s.sim.shape.meanTime)
	t := mean * math.Exp(serviceSpread*s.rand.NormFloat64()-serviceSpread*serviceSpread/2)
	if o.StragglerOneIn > 0 && s.rand.IntN(o.StragglerOneIn) == 0 {
		t *= o.StragglerFactor
	}
	if s.cold {
		part := 1 - float64(s.sim.loop.Now().Sub(s.coldSince))/float64(coldTime)
		t *= 1 + max(0, part)*(coldFactor-1)
	}
	return time.Duration(t * s.slow)
}

// end gives up or finishes an attempt, and frees what it held.
func (s *searcher) end(w *work, outcome rrupstream.Outcome) {
	i := slices.Index(s.open, w)
	if i < 0 {
		return
	}
	s.open = slices.Delete(s.open, i, i+1)
	if w.started {
		s.running--
	} else {
		s.unqueue(w)
	}
	s.reply(w, outcome)
	s.fill()
}

// fill starts waiting work that is still of use.
func (s *searcher) fill() {
	for s.running < s.Slots && len(s.line) > 0 {
		w := s.line[0]
		s.line = s.line[1:]
		if s.sim.loop.Now() >= w.deadline {
			s.open = slices.DeleteFunc(s.open, func(o *work) bool { return o == w })
			s.reply(w, rrupstream.OutcomeFailed)
			continue
		}
		s.start(w)
	}
}

func (s *searcher) unqueue(w *work) {
	for i := range s.line {
		if s.line[i] == w {
			s.line = append(s.line[:i:i], s.line[i+1:]...)
			return
		}
	}
}

func (s *searcher) reply(w *work, outcome rrupstream.Outcome) {
	if w.ended {
		return
	}
	if !s.sim.net.reaches(s.place(), w.from.place) {
		w.lose()
		return
	}
	s.sim.net.send(s.place(), w.from.place, func() { w.from.deliver(func() { w.finish(outcome) }) })
}

// fail takes the searcher down and loses what it runs.
func (s *searcher) fail(how down) {
	s.down = how
	lost := s.open
	s.open = nil
	s.running = 0
	s.line = nil
	clear(s.held)
	for _, w := range lost {
		if how == downReset {
			s.reply(w, rrupstream.OutcomeConnectionLost)
		} else {
			w.lose()
		}
	}
}

// replace starts a new process in the place of the old one.
func (s *searcher) replace() {
	s.down = downNot
	s.cold = true
	s.coldSince = s.sim.loop.Now()
}

// load is the load report.
func (s *searcher) load() rrupstream.Load {
	l := rrupstream.Load{Slots: s.Slots, BusySlots: min(s.Slots, s.running+len(s.line))}
	if s.lies {
		l.BusySlots = 0
	}
	l.Snapshots = s.sim.snapshotsOf(s.ID)
	return l
}
