package rrshared_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrshared"
)

// The targets of docs/design/shared.md, as shares of the possible credit.
const (
	calmCredit     = 0.97
	slowCredit     = 0.90
	refusedCredit  = 0.90
	overloadCredit = 0.55
)

const second = time.Second

// mean runs the options with several seeds and returns the mean credit.
func mean(t *testing.T, o rrshared.Options) float64 {
	t.Helper()
	const seeds = 4
	sum := 0.0
	for seed := range uint64(seeds) {
		o.Seed = 7 + 100*seed
		r := rrshared.Run(o)
		t.Log(r)
		sum += r.Credit / seeds
		// The operators' bound on extra attempts holds in all cases.
		must.LessEq(t, r.ExtraLimit, r.MaxExtra, must.Sprint("extra attempts at a shard in ten seconds"))
	}
	return sum
}

func options(s rrshared.Shape, troubles ...rrshared.Fault) rrshared.Options {
	return rrshared.Options{Shape: s, Duration: 16 * second, Faults: troubles}
}

func TestCalm(t *testing.T) {
	shapes := map[string]rrshared.Shape{"selka": rrshared.Selka(), "paddle": rrshared.Paddle(), "grown": rrshared.Grown()}
	if !testing.Short() {
		shapes["grownpaddle"] = rrshared.GrownPaddle()
	}
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) { must.GreaterEq(t, calmCredit, mean(t, options(shape))) })
	}
}

// maxNewConnections bounds the share of attempts that wait for a new connection without
// faults, second attempts left out.
const maxNewConnections = 0.03

// First attempts find open connections, even if a searcher accepts only one connection
// from each daemon.
func TestConnectionsAreReady(t *testing.T) {
	if testing.Short() {
		t.Skip("a long run")
	}
	for name, shape := range map[string]rrshared.Shape{"paddle": rrshared.Paddle(), "grown": rrshared.Grown(), "grownpaddle": rrshared.GrownPaddle()} {
		t.Run(name, func(t *testing.T) {
			o := options(shape)
			o.Seed = 11
			r := rrshared.Run(o)
			must.LessEq(t, maxNewConnections, float64(r.NewConnections-r.Extra)/float64(r.Attempts), must.Sprint(r))
		})
	}
}

// Some of the searchers become slow for eight seconds.
func TestSlowSearchers(t *testing.T) {
	slow := func(x, share float64) rrshared.Fault {
		return rrshared.Fault{From: 4 * second, Until: 12 * second, Share: share, Slowdown: x}
	}
	must.GreaterEq(t, slowCredit, mean(t, options(rrshared.Selka(), slow(9.5, 0.27))))
	must.GreaterEq(t, slowCredit, mean(t, options(rrshared.Paddle(), slow(7, 0.27))))
	must.GreaterEq(t, slowCredit, mean(t, options(rrshared.Grown(), slow(8, 0.14))))
}

// About half of all searchers refuse, or lose the answers of, two in five requests.
func TestPartialFailures(t *testing.T) {
	shed := rrshared.Fault{From: 4 * second, Until: 12 * second, Share: 0.45, ShedShare: 0.4}
	must.GreaterEq(t, refusedCredit, mean(t, options(rrshared.Paddle(), shed)))
	lose := rrshared.Fault{From: 4 * second, Until: 12 * second, Share: 0.5, LossShare: 0.4}
	must.GreaterEq(t, refusedCredit, mean(t, options(rrshared.Paddle(), lose)))
}

// Arrivals burst while searchers of many shards are slow. Unless jobs that can still
// meet their target are separated from those that cannot, late jobs take the slots.
func TestBurstOnSlowSearchers(t *testing.T) {
	o := options(rrshared.Paddle(),
		rrshared.Fault{From: 3 * second, Until: 11 * second, Share: 0.3, Slowdown: 7},
		rrshared.Fault{From: 4 * second, Until: 10 * second, ArrivalFactor: 1.8})
	with := mean(t, o)
	must.GreaterEq(t, overloadCredit, with)
	o.NoTarget = true
	must.Greater(t, mean(t, o), with)
}

// Searchers fail while others are slow, so that some shards have no searcher left that
// can carry their load.
func TestLostAndSlowSearchers(t *testing.T) {
	must.GreaterEq(t, overloadCredit, mean(t, options(rrshared.Paddle(),
		rrshared.Fault{From: 3 * second, Until: 11 * second, Share: 0.25, Slowdown: 7},
		rrshared.Fault{From: 4 * second, Until: 10 * second, Share: 0.35, Down: true})))
}

// The same seed gives the same figures.
func TestRepeats(t *testing.T) {
	o := options(rrshared.Selka())
	o.Duration, o.Seed = 3*second, 5
	must.Eq(t, rrshared.Run(o).String(), rrshared.Run(o).String())
}
