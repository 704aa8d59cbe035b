package rrshared_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrshared"
)

// Searchers that name a request limit get more than it, as the daemons together send at
// the usual rate.
func TestNamedLimitExceeded(t *testing.T) {
	for name, shape := range map[string]rrshared.Shape{
		"selka": rrshared.Selka(), "paddle": rrshared.Paddle(), "whistle": rrshared.Whistle(), "grown": rrshared.Grown(),
	} {
		t.Run(name, func(t *testing.T) {
			for _, limit := range []float64{0.5, 0.2} {
				for seed := range uint64(3) {
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
