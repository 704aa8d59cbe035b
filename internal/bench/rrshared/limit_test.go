package rrshared_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrshared"
)

// Searchers that name a request limit get more than it, as the daemons together send at
// the usual rate.
func TestNamedLimitExceeded(t *testing.T) {
	shapes := map[string]rrshared.Shape{"selka": rrshared.Selka(), "paddle": rrshared.Paddle()}
	seeds := uint64(1)
	if !testing.Short() {
		shapes["whistle"], shapes["grown"] = rrshared.Whistle(), rrshared.Grown()
		seeds = 3
	}
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []float64{0.5, 0.2} {
				for seed := range seeds {
					o := options(shape, rrshared.Fault{From: 3 * second, Until: 14 * second, Share: 0.6, LimitShare: limit})
					o.Seed = 40 + seed
					r := rrshared.Run(o)
					must.Positive(t, r.LimitAllowed)
					must.LessEq(t, r.LimitAllowed, r.MaxLimited, must.Sprintf("limit %g, seed %d: %s", limit, o.Seed, r))
				}
			}
		})
	}
}

// endedLimitCredit bounds the credit from the second after limits have ended.
const endedLimitCredit = 0.9

// Daemons of a large fleet go on keeping to limits that have ended, as each asks a limited
// searcher only every few seconds.
func TestEndOfLimitsIsKnownToTheZone(t *testing.T) {
	if testing.Short() {
		t.Skip("a long run")
	}
	// Until a second before the last window but one begins.
	o := options(rrshared.Grown(), rrshared.Fault{From: 3 * second, Until: 11 * second, Share: 1, LimitShare: 0.5})
	credit := func() float64 {
		sum := 0.0
		for seed := range uint64(4) {
			o.Seed = 60 + seed
			sum += rrshared.Run(o).Windows[6] / 4
		}
		return sum
	}
	with := credit()
	must.GreaterEq(t, endedLimitCredit, with)
	o.NoEvidence = true
	must.Greater(t, credit(), with)
}
