package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquantile"
)

// Parameters of the statistics of a rank.
const (
	// usageTimeConstant is the time constant of a rank's usual number of slots.
	usageTimeConstant = time.Second
	// expectedQuantile is the percentile of the latency within which an answer is
	// expected.
	expectedQuantile = 95
	// minSamples is the number of latencies from which the quantiles are used.
	minSamples = 32
)

// The indexes of the quantiles in rankState.latencies.
const (
	quantileHedge = iota
	quantileExpected
)

// rankState has the statistics of one rank.
type rankState struct {
	latencies *rrquantile.Estimator
	// running counts the attempts that hold a slot.
	running int
	// usage is the moving average of running, as of usageAt.
	usage   float64
	usageAt rrunit.Instant
	// limited counts the attempts at searchers that name request limits, as of limitedAt;
	// older ones count less.
	limited   float64
	limitedAt rrunit.Instant
	// limitRefusedAt is when a job was last refused because of request limits.
	limitRefusedAt rrunit.Instant
	// slotTime is the moving average, in nanoseconds, of the time that an attempt holds
	// its slot.
	slotTime float64
}

func newRankState(t Tuning) *rankState {
	return &rankState{latencies: rrquantile.New(t.HedgeQuantile, expectedQuantile)}
}

// updateUsage updates the moving average of the slots in use.
func (r *rankState) updateUsage(now rrunit.Instant) {
	d := now.Sub(r.usageAt)
	if d <= 0 {
		return
	}
	r.usage += (float64(r.running) - r.usage) * float64(d) / float64(d+usageTimeConstant)
	r.usageAt = now
}

// hedgeDelay returns the time after which a second attempt is started.
func (r *rankState) hedgeDelay(t Tuning) time.Duration {
	if r.latencies.Samples() < minSamples {
		return t.HedgeStart.Std()
	}
	return max(r.latencies.Value(quantileHedge), t.HedgeFloor.Std())
}

// expectedLatency returns the time within which an answer is expected; zero is unknown.
func (r *rankState) expectedLatency() time.Duration {
	if r.latencies.Samples() < minSamples {
		return 0
	}
	return r.latencies.Value(quantileExpected)
}

// updateUsage updates the moving averages of all ranks.
func (s *Shard) updateUsage(now rrunit.Instant) {
	for _, r := range s.ranks {
		r.updateUsage(now)
	}
}

// reservedSlots returns how many free slots are reserved for the ranks more urgent than
// the given one. Each reserves its usual number of slots, within its floor, less those
// that it uses now, so that its next job need not wait for a slot. Fractions are rounded
// at random. A rank without recent jobs reserves none. Neither does a shard where
// nothing runs, as no end of an attempt would trigger the next dispatch.
func (s *Shard) reservedSlots(rank int, total int) int {
	if s.tuning.NoReservation || len(s.attempts) == 0 {
		return 0
	}
	reserved := 0
	for i := range rank {
		r := s.ranks[i]
		usual := min(float64(s.cfg.Ranks[i].Floor)*float64(total), r.usage)
		reserved += max(0, int(usual+s.rng.Float64())-r.running)
	}
	return reserved
}
