package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

const (
	ms     = time.Millisecond
	second = rrunit.Instant(time.Second)
	// capacity is the jobs per second of 3 searchers with 3 slots each. The mean of the
	// lognormal service times is 10.46 ms, above their median of 10 ms.
	capacity = 9 / 0.01046
)

// offerBaseLoad offers a fifth of the capacity in each of the two more urgent ranks.
func offerBaseLoad(s *sim, until rrunit.Instant) {
	s.load(0, 0.2*capacity, 150*ms, 0, until)
	s.load(1, 0.2*capacity, 400*ms, 0, until)
}

func TestOverloadByLeastUrgentRank(t *testing.T) {
	base := newSim(1, 3, 3, rrdispatch.Tuning{})
	offerBaseLoad(base, 20*second)
	base.run(25 * second)
	for _, factor := range []float64{2, 4} {
		s := newSim(1, 3, 3, rrdispatch.Tuning{})
		offerBaseLoad(s, 20*second)
		s.load(2, factor*capacity, 2000*ms, 0, 20*second)
		s.run(25 * second)
		for rank, bound := range []float64{1.1, 1.2} {
			before, after := base.latency(rank, 0.99), s.latency(rank, 0.99)
			t.Logf("x%g rank %d: p99 %s under base load, %s under overload", factor, rank, before, after)
			must.LessEq(t, bound, float64(after)/float64(before), must.Sprint(rank))
			answered, offered := s.count(rank)
			must.GreaterEq(t, 0.99, float64(answered)/float64(offered))
		}
		answered, _ := s.count(2)
		rest := 0.6 * capacity * 20
		t.Logf("x%g batch: %.3f of the remaining capacity", factor, float64(answered)/rest)
		must.GreaterEq(t, 0.85, float64(answered)/rest)
	}
}

func TestOverloadByMostUrgentRank(t *testing.T) {
	for _, factor := range []float64{1.5, 3} {
		s := newSim(2, 3, 3, rrdispatch.Tuning{})
		s.load(0, factor*capacity, 150*ms, 0, 20*second)
		s.load(1, 0.5*capacity, 400*ms, 0, 20*second)
		s.load(2, 0.5*capacity, 2000*ms, 0, 20*second)
		s.run(25 * second)
		for rank, floor := range []float64{0.5, 0.3, 0.1} {
			answered, _ := s.count(rank)
			share := float64(answered) / (capacity * 20)
			t.Logf("x%g rank %d: %.3f of capacity, floor %g", factor, rank, share, floor)
			must.GreaterEq(t, 0.9*floor, share)
		}
	}
}

func TestHedging(t *testing.T) {
	for name, load := range map[string]float64{"calm": 0.4, "busy": 0.8} {
		t.Run(name, func(t *testing.T) {
			run := func(tuning rrdispatch.Tuning) *sim {
				s := newSim(3, 3, 3, tuning)
				s.service = lognormal(10*ms, 0.01)
				// The stragglers add 9 percent to the mean.
				rate := load * capacity / 1.09
				s.load(0, 0.5*rate, 500*ms, 0, 30*second)
				s.load(1, 0.5*rate, 500*ms, 0, 30*second)
				s.run(35 * second)
				return s
			}
			with, without := run(rrdispatch.Tuning{}), run(rrdispatch.Tuning{NoHedge: true})
			extra := float64(with.ran)/float64(len(with.jobs)) - 1
			t.Logf("p99 %s with hedging, %s without; p99.9 %s with, %s without; extra load %.4f",
				with.latency(0, 0.99), without.latency(0, 0.99),
				with.latency(0, 0.999), without.latency(0, 0.999), extra)
			must.LessEq(t, 0.05, extra)
			// Without hedging every hundredth job is slow. The shard's p99.9 corresponds to
			// the p99 of a query over ten shards.
			must.LessEq(t, 0.5, float64(with.latency(0, 0.999))/float64(without.latency(0, 0.999)))
		})
	}
}

func TestThirdOfTheReplicasLost(t *testing.T) {
	for name, replicas := range map[string]int{"three": 3, "fifteen": 15} {
		for _, silent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s := newSim(4, replicas, 3, rrdispatch.Tuning{})
				rate := 0.5 * capacity * float64(replicas) / 3
				s.load(0, rate, 150*ms, 0, 10*second)
				s.at(5*second, func() {
					for _, id := range s.order[:replicas/3] {
						s.searchers[id].silent = silent
						if !silent {
							s.kill(s.searchers[id])
						}
					}
				})
				s.run(12 * second)
				answered, offered := s.count(0)
				extra := float64(s.ran)/float64(offered) - 1
				t.Logf("silent %v: %d of %d answered, extra load %.4f", silent, answered, offered, extra)
				must.Eq(t, offered, answered)
				must.LessEq(t, 0.1, extra)
			})
		}
	}
}

func TestShedsLimitConcurrency(t *testing.T) {
	s := newSim(5, 3, 3, rrdispatch.Tuning{})
	// The definition and the load reports overstate the slots of one searcher.
	overstated := s.searchers["s00"]
	overstated.slots = 1
	for at := rrunit.Instant(0); at < 10*second; at += second / 10 {
		s.at(at, func() {
			load := serving(1)
			load.Slots, load.BusySlots = 30, 0
			s.do(s.core.RecordLoadReport(s.now, overstated.id, load))
		})
	}
	s.load(0, 0.7*capacity*7/9, 150*ms, 0, 10*second)
	s.run(12 * second)
	answered, offered := s.count(0)
	t.Logf("%d of %d answered, p99 %s", answered, offered, s.latency(0, 0.99))
	must.GreaterEq(t, 0.995, float64(answered)/float64(offered))
}

func TestLostSearcherReturnsSlowly(t *testing.T) {
	s := newSim(6, 3, 3, rrdispatch.Tuning{})
	s.restart = time.Second
	s.load(0, 0.5*capacity, 150*ms, 0, 20*second)
	s.at(5*second, func() { s.kill(s.searchers["s00"]) })
	var early, late int
	s.at(9*second, func() { s.searchers["s00"].maxRunning = 0 })
	sample := func(running *int, at rrunit.Instant) {
		s.at(at, func() { *running = len(s.searchers["s00"].running) })
	}
	for at := 5 * second; at < 6*second; at += second / 100 {
		s.at(at, func() { early = max(early, len(s.searchers["s00"].running)) })
	}
	sample(&late, 15*second)
	s.run(22 * second)
	must.Zero(t, early)
	must.Eq(t, 3, s.searchers["s00"].maxRunning)
	answered, offered := s.count(0)
	must.Eq(t, offered, answered)
}
