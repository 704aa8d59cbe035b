package rrdispatch

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquantile"
)

// Parameters of what is learned of a rank.
const (
	// usageTime is the time constant of a rank's usual number of slots.
	usageTimeConstant = time.Second
	// usualQuantile is the quantile of the latency within which an answer is
	// expected.
	expectedQuantile = 95
	// enoughSamples is how many latencies make the quantiles count.
	minSamples = 32
)

// The quantiles that are followed, by index.
const (
	quantileHedge = iota
	quantileExpected
)

// rankState is what the shard learned of one rank.
type rankState struct {
	latencies *rrquantile.Window
	// running counts the attempts that hold a slot.
	running int
	// usage is the moving average of running, as of measured.
	usage   float64
	usageAt rrunit.Instant
	// cost is the moving average of the time that an attempt holds its slot.
	slotTime float64
}

func newRankState(t Tuning) *rankState {
	return &rankState{latencies: rrquantile.New(t.HedgeQuantile, expectedQuantile)}
}

// measure brings the usage up to now.
func (r *rankState) updateUsage(now rrunit.Instant) {
	d := now.Sub(r.usageAt)
	if d <= 0 {
		return
	}
	r.usage += (float64(r.running) - r.usage) * float64(d) / float64(d+usageTimeConstant)
	r.usageAt = now
}

// hedgeDelay returns how long an attempt is waited for before a second one.
func (r *rankState) hedgeDelay(t Tuning) time.Duration {
	if r.latencies.Samples() < minSamples {
		return t.HedgeStart.Std()
	}
	return max(r.latencies.Value(quantileHedge), t.HedgeFloor.Std())
}

// usual returns the time in which an answer is expected; zero is not known yet.
func (r *rankState) expectedLatency() time.Duration {
	if r.latencies.Samples() < minSamples {
		return 0
	}
	return r.latencies.Value(quantileExpected)
}

// measure brings the moving averages of all ranks up to now.
func (s *Shard) updateUsage(now rrunit.Instant) {
	for _, r := range s.ranks {
		r.updateUsage(now)
	}
}

// held returns how many slots are kept free for the ranks more urgent than the
// given one. Each keeps as many as it usually has, within its floor, less those
// that it has now, so that its next job need not wait for a slot. A part of a
// slot is kept that part of the time, by chance. A rank without work keeps none,
// and a shard where nothing runs keeps none, as no end of an attempt would come
// to ask again.
func (s *Shard) reservedSlots(rank int, total int) int {
	if s.tuning.NoReservation || len(s.attempts) == 0 {
		return 0
	}
	kept := 0
	for i := range rank {
		r := s.ranks[i]
		usual := min(float64(s.cfg.Ranks[i].Floor)*float64(total), r.usage)
		kept += max(0, int(usual+s.rng.Float64())-r.running)
	}
	return kept
}
