package rrquantile_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquantile"
)

func TestWindowFollowsRecentLatencies(t *testing.T) {
	w := rrquantile.New(50, 95)
	must.Zero(t, w.Value(0))
	now := rrunit.Instant(0)
	record := func(n int, scale time.Duration) {
		for i := range n {
			now = now.Add(time.Millisecond)
			w.Record(now, time.Duration(i%100+1)*scale)
		}
	}
	within := func(want, got time.Duration) {
		must.InDelta(t, float64(want), float64(got), 0.05*float64(want))
	}
	record(1000, time.Millisecond)
	within(50*time.Millisecond, w.Value(0))
	within(95*time.Millisecond, w.Value(1))
	// After two full windows the old latencies are dropped.
	record(3000, 100*time.Microsecond)
	within(5*time.Millisecond, w.Value(0))
	must.Eq(t, 4000, w.Samples())
	w.Record(now, time.Hour)
	w.Record(now, -time.Second)
}
