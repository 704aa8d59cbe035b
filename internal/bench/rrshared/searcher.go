package rrshared

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Service times are lognormal, with a tail of long ones.
const (
	serviceTimeSigma = 0.35
	tailShare        = 0.01
	tailFactor       = 5
)

// execution is one attempt at a searcher.
type execution struct {
	class int
	// sender is the daemon that sent it.
	sender *daemon
	// meanTime is the base service time, without slowdown.
	meanTime time.Duration
	// reply reports the outcome with the searcher's report at that time.
	reply   func(outcome rrupstream.Outcome, r report)
	running bool
	ended   bool
}

// report is what a searcher says of itself in an answer.
type report struct {
	load rrestimate.Report
	// limit is the request limit that it names; nil for none.
	limit *rrunit.Rate
}

// searcher simulates a searcher with slots, a queue and pauses.
type searcher struct {
	sim        *sim
	shard      int
	region     int
	id         rrunit.SearcherID
	rng        *rand.Rand
	timeFactor float64
	// firstPause is when its first pause begins.
	firstPause time.Duration
	fault      Fault
	// hasInterference is set if other load slows its machine until interferenceUntil.
	hasInterference   bool
	interferenceUntil rrunit.Instant
	// misreports is set if it reports more than its actual slowdown.
	misreports bool
	running    int
	queue      []*execution
	// limit records the requests that arrive while the searcher names a limit.
	limit limitRecord
}

func newSearcher(s *sim, shard, region int) *searcher {
	w := &searcher{
		sim:        s,
		shard:      shard,
		region:     region,
		id:         searcherID(shard, region),
		rng:        rand.New(rand.NewPCG(s.Seed, uint64(100+shard*10+region))),
		timeFactor: s.Shape.TimeFactors[(shard+region)%len(s.Shape.TimeFactors)],
	}
	if s.Shape.Interference.MisreportShare > 0 {
		w.misreports = w.rng.Float64() < s.Shape.Interference.MisreportShare
	}
	if s.Shape.PauseDuration > 0 {
		w.firstPause = time.Duration(w.rng.Int64N(int64(s.Shape.PauseInterval)))
	}
	return w
}

func (w *searcher) applyFault(t Fault) {
	w.fault = t
	if t.LimitShare > 0 {
		w.limit.start(w.sim.loop.Now(), rrunit.Rate(t.LimitShare*w.sim.Shape.searcherRate()))
	}
}

func (w *searcher) clearFault() { w.fault = Fault{} }

// receive queues or refuses an attempt that has just arrived.
func (w *searcher) receive(k *execution) {
	if w.fault.LimitShare > 0 {
		w.limit.recordArrival(w.sim.loop.Now(), k.sender)
	}
	switch {
	case w.fault.Down:
		k.end(rrupstream.OutcomeUnsent, report{})
	case w.rng.Float64() < w.fault.ShedShare || len(w.queue) >= w.sim.Shape.QueueLimit:
		k.end(rrupstream.OutcomeShed, w.report())
	default:
		w.queue = append(w.queue, k)
		w.startQueued()
	}
}

// report returns what the searcher says of itself.
func (w *searcher) report() report {
	r := report{load: w.loadReport()}
	if w.fault.LimitShare > 0 {
		r.limit = &w.limit.rate
	}
	return r
}

// loadReport returns the load that the searcher reports.
func (w *searcher) loadReport() rrestimate.Report {
	r := rrestimate.Report{Load: w.running + len(w.queue)}
	if w.sim.Shape.Interference.Reported {
		r.Slowdown = w.machineSlowdown() * max(1, w.fault.Slowdown)
		if w.misreports {
			r.Slowdown *= misreportFactor
		}
	}
	return r
}

// misreportFactor multiplies the reported slowdown of a searcher that misreports it.
const misreportFactor = 2

// machineSlowdown returns the current slowdown by other load on the machine.
func (w *searcher) machineSlowdown() float64 {
	n := &w.sim.Shape.Interference
	if n.Interval == 0 {
		return 1
	}
	if at := w.sim.loop.Now(); at >= w.interferenceUntil {
		w.interferenceUntil = at.Add(n.Interval - time.Duration(at)%n.Interval)
		w.hasInterference = w.rng.Float64() < n.Share
	}
	if w.hasInterference {
		return n.Slowdown
	}
	return 1
}

// startQueued starts queued attempts in the free slots.
func (w *searcher) startQueued() {
	for w.running < w.sim.Shape.Slots && len(w.queue) > 0 {
		k := w.queue[0]
		w.queue = w.queue[1:]
		w.run(k)
	}
}

func (w *searcher) run(k *execution) {
	w.running++
	k.running = true
	duration := float64(k.meanTime) * w.timeFactor * math.Exp(serviceTimeSigma*w.rng.NormFloat64())
	if w.rng.Float64() < tailShare {
		duration *= tailFactor
	}
	if w.fault.Slowdown > 0 {
		duration *= w.fault.Slowdown
	}
	duration *= w.machineSlowdown()
	w.sim.loop.At(w.finishAt(time.Duration(duration)), func() {
		if k.ended {
			return
		}
		w.running--
		outcome := rrupstream.OutcomeAnswered
		if w.rng.Float64() < w.fault.LossShare {
			outcome = rrupstream.OutcomeConnectionLost
		}
		k.end(outcome, w.report())
		w.startQueued()
	})
}

// finishAt returns when an attempt that starts now ends, pauses included.
func (w *searcher) finishAt(remaining time.Duration) rrunit.Instant {
	at := w.sim.loop.Now()
	every, pause := w.sim.Shape.PauseInterval, w.sim.Shape.PauseDuration
	if pause == 0 {
		return at.Add(remaining)
	}
	for {
		elapsed := (time.Duration(at) - w.firstPause%every + every) % every
		if elapsed < pause {
			at = at.Add(pause - elapsed)
			continue
		}
		left := every - elapsed
		if remaining <= left {
			return at.Add(remaining)
		}
		remaining -= left
		at = at.Add(left)
	}
}

func (k *execution) end(outcome rrupstream.Outcome, r report) {
	k.ended = true
	k.reply(outcome, r)
}

// cancel drops an attempt whose connection was closed.
func (w *searcher) cancel(k *execution) {
	if k.ended {
		return
	}
	k.ended = true
	if k.running {
		w.running--
		w.startQueued()
		return
	}
	w.queue = slices.DeleteFunc(w.queue, func(o *execution) bool { return o == k })
}
