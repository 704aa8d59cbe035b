package rrshared_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrshared"
)

// Searchers become slow for seconds in a fleet so large that each daemon uses a searcher
// only every other second, so that daemons depend on each other's observations.
func TestSlowSearchersOfALargeFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("a long run")
	}
	o := options(rrshared.GrownWhistle(), rrshared.Fault{From: 4 * second, Until: 12 * second, Share: 0.2, Slowdown: 7})
	with := mean(t, o)
	must.GreaterEq(t, overloadCredit, with)
	o.NoEvidence = true
	must.Greater(t, mean(t, o), with)
}

// Other load on the searchers' machines makes each 2.5 times slower in about a seventh
// of the time, for parts of a second.
func TestSlowdownOfSharedMachines(t *testing.T) {
	if testing.Short() {
		t.Skip("a long run")
	}
	o := options(rrshared.Whistle())
	must.GreaterEq(t, calmCredit, mean(t, o))
	o.Shape.Interference.MisreportShare = 0.3
	must.GreaterEq(t, calmCredit, mean(t, o), must.Sprint("some searchers misreport their slowdown"))
	must.GreaterEq(t, slowCredit, mean(t, options(rrshared.Whistle(),
		rrshared.Fault{From: 4 * second, Until: 12 * second, Share: 0.25, Slowdown: 3})))
}
