package rrslopes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrslopes"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The required bounds.
const (
	convergenceBound    = 10 * time.Second
	bytesPerSecondBound = 27_000
)

func fleetConfig(members int, loss rrunit.Share) rrslopes.FleetConfig {
	return rrslopes.FleetConfig{
		Members: members, LossShare: loss, RestartShare: 0.1, Seed: 7, Warmup: 15 * time.Second, Duration: 15 * time.Second,
	}
}

func TestPatchConvergesWithinBounds(t *testing.T) {
	for _, members := range []int{9, 100, 2300} {
		for _, loss := range []rrunit.Share{0, 0.01, 0.1} {
			t.Run(fmt.Sprintf("%d/%g", members, float64(loss)), func(t *testing.T) {
				if members > 1000 && testing.Short() {
					t.Skip("the large fleet runs without the race detector")
				}
				t.Parallel()
				r, err := rrslopes.RunFleet(fleetConfig(members, loss))
				must.NoError(t, err)
				t.Logf("%+v", r)
				must.Between(t, 0, r.Applied, convergenceBound)
				must.Between(t, 0, r.Converged, convergenceBound)
				must.LessEq(t, bytesPerSecondBound, r.P99BytesPerSecond)
				must.Zero(t, r.Regressions)
			})
		}
	}
}

func TestPatchDoesNotPropagateWithoutFetch(t *testing.T) {
	cfg := fleetConfig(100, 0)
	cfg.NoFetch = true
	r, err := rrslopes.RunFleet(cfg)
	must.NoError(t, err)
	must.Negative(t, r.Applied)
}

func TestPatchConvergesAfterZoneLoss(t *testing.T) {
	cfg := fleetConfig(220, 0.01)
	cfg.LoseZone = true
	cfg.Duration = 25 * time.Second
	r, err := rrslopes.RunFleet(cfg)
	must.NoError(t, err)
	t.Logf("%+v", r)
	must.Between(t, 0, r.Applied, convergenceBound)
	must.Between(t, 0, r.Converged, convergenceBound+10*time.Second, must.Sprint("the list is late by 10 s"))
	must.LessEq(t, bytesPerSecondBound, r.P99BytesPerSecond)
}

func TestPatchConvergesAfterRegionCut(t *testing.T) {
	cfg := fleetConfig(220, 0.01)
	cfg.RegionCut = 30 * time.Second
	cfg.Duration = 45 * time.Second
	r, err := rrslopes.RunFleet(cfg)
	must.NoError(t, err)
	t.Logf("%+v", r)
	must.Between(t, cfg.RegionCut, r.Applied, cfg.RegionCut+convergenceBound)
	must.Between(t, cfg.RegionCut, r.Converged, cfg.RegionCut+convergenceBound)
	must.LessEq(t, bytesPerSecondBound, r.P99BytesPerSecond)
}
