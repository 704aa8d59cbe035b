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

// How the work of one request varies: lognormal, with a tail of long ones.
const (
	workSpread = 0.35
	tailShare  = 0.01
	tailFactor = 5
)

// work is one request at a searcher.
type work struct {
	class int
	// cost is the time that it takes at usual pace.
	cost time.Duration
	// reply takes the end at the searcher, with what it tells of itself then.
	reply   func(outcome rrupstream.Outcome, told rrestimate.Report)
	running bool
	ended   bool
}

// searcher has slots, a line of waiting work, and pauses.
type searcher struct {
	sim    *sim
	shard  int
	region int
	id     rrunit.SearcherID
	rng    *rand.Rand
	speed  float64
	// phase is when its first pause begins.
	phase   time.Duration
	trouble Trouble
	// noisy says that others slow its machine until noiseUntil.
	noisy      bool
	noiseUntil rrunit.Instant
	// lies says that it tells a pace that its work does not have.
	lies    bool
	running int
	line    []*work
}

func newSearcher(s *sim, shard, region int) *searcher {
	w := &searcher{
		sim:    s,
		shard:  shard,
		region: region,
		id:     searcherID(shard, region),
		rng:    rand.New(rand.NewPCG(s.Seed, uint64(100+shard*10+region))),
		speed:  s.Shape.Speeds[(shard+region)%len(s.Shape.Speeds)],
	}
	if s.Shape.Noise.Lie > 0 {
		w.lies = w.rng.Float64() < s.Shape.Noise.Lie
	}
	if s.Shape.Pause > 0 {
		w.phase = time.Duration(w.rng.Int64N(int64(s.Shape.PauseEvery)))
	}
	return w
}

func (w *searcher) hit(t Trouble) { w.trouble = t }
func (w *searcher) heal()         { w.trouble = Trouble{} }

// take takes a request that has just arrived.
func (w *searcher) take(k *work) {
	switch {
	case w.trouble.Down:
		k.end(rrupstream.OutcomeUnsent, rrestimate.Report{})
	case w.rng.Float64() < w.trouble.Shed || len(w.line) >= w.sim.Shape.Queue:
		k.end(rrupstream.OutcomeShed, w.tell())
	default:
		w.line = append(w.line, k)
		w.next()
	}
}

// tell returns what the searcher tells of itself.
func (w *searcher) tell() rrestimate.Report {
	r := rrestimate.Report{Load: w.running + len(w.line)}
	if w.sim.Shape.Noise.Told {
		r.Slowdown = w.noise() * max(1, w.trouble.Slow)
		if w.lies {
			r.Slowdown *= lieFactor
		}
	}
	return r
}

// lieFactor is by how much a searcher that lies tells a longer time.
const lieFactor = 2

// noise returns how much longer than usual work takes on the machine at this moment.
func (w *searcher) noise() float64 {
	n := &w.sim.Shape.Noise
	if n.Every == 0 {
		return 1
	}
	if at := w.sim.loop.Now(); at >= w.noiseUntil {
		w.noiseUntil = at.Add(n.Every - time.Duration(at)%n.Every)
		w.noisy = w.rng.Float64() < n.Share
	}
	if w.noisy {
		return n.X
	}
	return 1
}

// next starts the work that waits for a free slot.
func (w *searcher) next() {
	for w.running < w.sim.Shape.Slots && len(w.line) > 0 {
		k := w.line[0]
		w.line = w.line[1:]
		w.run(k)
	}
}

func (w *searcher) run(k *work) {
	w.running++
	k.running = true
	cost := float64(k.cost) * w.speed * math.Exp(workSpread*w.rng.NormFloat64())
	if w.rng.Float64() < tailShare {
		cost *= tailFactor
	}
	if w.trouble.Slow > 0 {
		cost *= w.trouble.Slow
	}
	cost *= w.noise()
	w.sim.loop.At(w.finishAt(time.Duration(cost)), func() {
		if k.ended {
			return
		}
		w.running--
		outcome := rrupstream.OutcomeAnswered
		if w.rng.Float64() < w.trouble.Lose {
			outcome = rrupstream.OutcomeConnectionLost
		}
		k.end(outcome, w.tell())
		w.next()
	})
}

// finishAt returns when work that starts now ends, the pauses included.
func (w *searcher) finishAt(cost time.Duration) rrunit.Instant {
	at := w.sim.loop.Now()
	every, pause := w.sim.Shape.PauseEvery, w.sim.Shape.Pause
	if pause == 0 {
		return at.Add(cost)
	}
	for {
		into := (time.Duration(at) - w.phase%every + every) % every
		if into < pause {
			at = at.Add(pause - into)
			continue
		}
		until := every - into
		if cost <= until {
			return at.Add(cost)
		}
		cost -= until
		at = at.Add(until)
	}
}

func (k *work) end(outcome rrupstream.Outcome, told rrestimate.Report) {
	k.ended = true
	k.reply(outcome, told)
}

// drop gives up a request whose connection was closed.
func (w *searcher) drop(k *work) {
	if k.ended {
		return
	}
	k.ended = true
	if k.running {
		w.running--
		w.next()
		return
	}
	w.line = slices.DeleteFunc(w.line, func(o *work) bool { return o == k })
}
