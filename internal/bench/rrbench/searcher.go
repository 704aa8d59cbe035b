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

// serviceTimeSigma is the sigma of the lognormal service time of a subquery.
const serviceTimeSigma = 0.5

// failure is how a searcher has failed.
type failure int

// The kinds of failure.
const (
	// failureNone means that the searcher works.
	failureNone failure = iota
	// failureReset resets connections and refuses new ones.
	failureReset
	// failureSilent sends nothing.
	failureSilent
)

// attempt is one attempt of a subquery at a searcher.
type attempt struct {
	from     *daemon
	to       *searcher
	deadline rrunit.Instant
	started  bool
	ended    bool
	// finish reports the outcome to the sender.
	finish func(rrupstream.Outcome)
}

// expire reports at the deadline that the attempt got no reply.
func (w *attempt) expire() {
	w.from.sim.loop.At(w.deadline, func() {
		w.from.deliver(func() { w.finish(rrupstream.OutcomeConnectionLost) })
	})
}

// searcher simulates a searcher with slots, a short queue, a limit on connections
// and random service times.
type searcher struct {
	rrdefinition.Searcher
	sim  *sim
	rand *rand.Rand

	failure failure
	running int
	queue   []*attempt
	// connected holds the daemons that have a connection.
	connected map[rrunit.InstanceID]bool
	// pending holds the running and queued attempts, oldest first.
	pending []*attempt
	// slowdown multiplies the service time of each subquery.
	slowdown float64
	// restartedAt is when a replacement started; it warms up for warmupDuration.
	restartedAt rrunit.Instant
	replaced    bool
	// misreportsLoad makes load reports show the searcher as idle.
	misreportsLoad bool
	// peakSlots and peakConnections are the most in use at once. Queued attempts
	// count as slots.
	peakSlots       int
	peakConnections int
}

func newSearcher(s *sim, def rrdefinition.Searcher, seed uint64) *searcher {
	return &searcher{
		Searcher:  def,
		sim:       s,
		rand:      rand.New(rand.NewPCG(s.opts.Seed, seed)),
		connected: make(map[rrunit.InstanceID]bool),
		slowdown:  1,
	}
}

func (s *searcher) location() location { return location{zone: s.Zone, region: s.Region} }

// connectDelay opens a connection for the daemon unless it has one, and returns the
// time that this takes.
func (s *searcher) connectDelay(d *daemon) time.Duration {
	if s.connected[d.id] || s.failure != failureNone {
		return 0
	}
	if len(s.connected) >= s.Connections {
		return 0
	}
	s.connected[d.id] = true
	s.peakConnections = max(s.peakConnections, len(s.connected))
	return s.sim.shape.connectTime
}

// arrive runs, queues or refuses an attempt that has arrived.
func (s *searcher) arrive(w *attempt) {
	switch {
	case w.ended:
		return
	case s.failure == failureSilent:
		w.expire()
		return
	case s.failure == failureReset:
		s.reply(w, rrupstream.OutcomeUnsent)
		return
	case !s.connected[w.from.id], s.running >= s.Slots && len(s.queue) >= s.Connections:
		s.reply(w, rrupstream.OutcomeShed)
		return
	}
	s.pending = append(s.pending, w)
	if s.running < s.Slots {
		s.start(w)
	} else {
		s.queue = append(s.queue, w)
	}
	s.peakSlots = max(s.peakSlots, s.running+len(s.queue))
}

func (s *searcher) start(w *attempt) {
	s.running++
	w.started = true
	s.sim.loop.After(s.serviceTime(), func() { s.end(w, rrupstream.OutcomeAnswered) })
}

// serviceTime draws the service time of a subquery.
func (s *searcher) serviceTime() time.Duration {
	o := &s.sim.opts.Case
	mean := float64(s.sim.shape.meanServiceTime)
	t := mean * math.Exp(serviceTimeSigma*s.rand.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	if o.StragglerOneIn > 0 && s.rand.IntN(o.StragglerOneIn) == 0 {
		t *= o.StragglerFactor
	}
	if s.replaced {
		part := 1 - float64(s.sim.loop.Now().Sub(s.restartedAt))/float64(warmupDuration)
		t *= 1 + max(0, part)*(initialSlowdown-1)
	}
	return time.Duration(t * s.slowdown)
}

// end finishes or cancels an attempt and frees its slot or its place in the queue.
func (s *searcher) end(w *attempt, outcome rrupstream.Outcome) {
	i := slices.Index(s.pending, w)
	if i < 0 {
		return
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	if w.started {
		s.running--
	} else {
		s.dequeue(w)
	}
	s.reply(w, outcome)
	s.startQueued()
}

// startQueued starts queued attempts in the free slots. Those past their deadline
// fail.
func (s *searcher) startQueued() {
	for s.running < s.Slots && len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		if s.sim.loop.Now() >= w.deadline {
			s.pending = slices.DeleteFunc(s.pending, func(o *attempt) bool { return o == w })
			s.reply(w, rrupstream.OutcomeFailed)
			continue
		}
		s.start(w)
	}
}

func (s *searcher) dequeue(w *attempt) {
	for i := range s.queue {
		if s.queue[i] == w {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *searcher) reply(w *attempt, outcome rrupstream.Outcome) {
	if w.ended {
		return
	}
	if !s.sim.net.reaches(s.location(), w.from.location) {
		w.expire()
		return
	}
	s.sim.net.send(s.location(), w.from.location, func() { w.from.deliver(func() { w.finish(outcome) }) })
}

// fail takes the searcher down; its pending attempts are lost.
func (s *searcher) fail(how failure) {
	s.failure = how
	lost := s.pending
	s.pending = nil
	s.running = 0
	s.queue = nil
	clear(s.connected)
	for _, w := range lost {
		if how == failureReset {
			s.reply(w, rrupstream.OutcomeConnectionLost)
		} else {
			w.expire()
		}
	}
}

// replace starts a new process in place of the failed one.
func (s *searcher) replace() {
	s.failure = failureNone
	s.replaced = true
	s.restartedAt = s.sim.loop.Now()
}

// loadReport returns the load that the searcher reports.
func (s *searcher) loadReport() rrupstream.Load {
	l := rrupstream.Load{Slots: s.Slots, BusySlots: min(s.Slots, s.running+len(s.queue))}
	if s.misreportsLoad {
		l.BusySlots = 0
	}
	l.Snapshots = s.sim.snapshots(s.ID)
	return l
}
