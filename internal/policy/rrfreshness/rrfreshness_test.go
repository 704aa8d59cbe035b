package rrfreshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrfreshness"
)

// Guards against waits that add up to more than the time in which a change must be in force:
// each way on which a change can come has room for a loaded machine.
func TestWaitsStayWithinTheBound(t *testing.T) {
	for bound := 2500 * time.Millisecond; bound <= 12*time.Second; bound += 100 * time.Millisecond {
		times := rrfreshness.NewTimes(bound)
		for name, path := range map[string]rrfreshness.Path{
			"calm": times.Calm(), "refused": times.ReadersRefuse(3), "silent readers": times.ReadersSilent(), "silent connections": times.ConnectionSilent(),
		} {
			must.LessEq(t, bound, path.Sum()+rrfreshness.Margin, must.Sprintf("bound %s, %s: %+v", bound, name, path))
		}
	}
}

// Data that are confirmed as seldom as the watches allow are not stale.
func TestUsualAgeIsNotStale(t *testing.T) {
	for bound := time.Second; bound <= 12*time.Second; bound += 100 * time.Millisecond {
		times := rrfreshness.NewTimes(bound)
		must.Greater(t, rrfreshness.WatchPause+times.StoreWait+2*rrfreshness.AnswerTime+times.PeerWait, times.StaleAfter, must.Sprint(bound))
		must.Positive(t, times.StoreWait)
		must.Positive(t, times.PeerWait)
	}
}
