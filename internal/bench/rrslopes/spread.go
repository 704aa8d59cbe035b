package rrslopes

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

// Parameters of the measured runs.
const (
	fleetWarmup   = 10 * time.Second
	fleetDuration = 15 * time.Second
	fleetSeed     = 11
)

// spreadSlopes measures the propagation of a patch in fleets in virtual time.
func spreadSlopes() ([]Slope, error) {
	rate := Slope{Name: "heartbeats and digests at the 99th percentile of daemons, in and out", Unit: "B/s", Per: "member", Target: targetMembers}
	cpu := Slope{Name: "processor time of the cores and the encoding", Unit: "us/s", Per: "member", Target: targetMembers}
	out := []Slope{}
	for _, restart := range []rrunit.Share{0, 0.1} {
		for _, loss := range []rrunit.Share{0, 0.01, 0.1} {
			applied, converged := roundsSlope("in use", restart, loss), roundsSlope("known in force", restart, loss)
			for _, members := range []int{50, 100, 500, 1000, targetMembers} {
				var r FleetResult
				spent, err := processorTimeOf(func() (err error) {
					r, err = RunFleet(FleetConfig{
						Members: members, LossShare: loss, RestartShare: restart, Seed: fleetSeed, Warmup: fleetWarmup, Duration: fleetDuration,
					})
					return err
				})
				if err != nil {
					return nil, err
				}
				x := math.Log2(float64(members))
				applied.Points = append(applied.Points, Point{x, r.Applied.Seconds() / rrmember.HeartbeatInterval.Seconds()})
				converged.Points = append(converged.Points, Point{x, r.Converged.Seconds() / rrmember.HeartbeatInterval.Seconds()})
				if loss == 0 && restart > 0 {
					rate.Points = append(rate.Points, Point{float64(members), float64(r.P99BytesPerSecond)})
					each := float64(spent.Microseconds()) / (fleetWarmup + fleetDuration).Seconds() / float64(members)
					cpu.Points = append(cpu.Points, Point{float64(members), each})
				}
			}
			out = append(out, applied, converged)
		}
	}
	return append(out, rate, cpu), nil
}

func roundsSlope(what string, restart, loss rrunit.Share) Slope {
	return Slope{
		Name: fmt.Sprintf("patch %s by all, %g%% of the members restarting (3 to 4 s), %g%% of the messages lost",
			what, 100*float64(restart), 100*float64(loss)),
		Unit: "heartbeats of 0.5 s", Per: "doubling of the members", Target: math.Log2(targetMembers),
	}
}

// printScenarios runs fleets of the required size through failures.
func printScenarios(w io.Writer) error {
	base := FleetConfig{Members: targetMembers, LossShare: 0.01, Seed: fleetSeed, Warmup: fleetWarmup, Duration: 2 * fleetDuration}
	zone, region := base, base
	zone.LoseZone = true
	region.RegionCut = fleetDuration
	for _, s := range []struct {
		name string
		cfg  FleetConfig
	}{
		{"nothing else", base},
		{"a zone lost at the moment of the patch, listed for 10 s more", zone},
		{"a region cut off for 15 s from the patch on", region},
	} {
		r, err := RunFleet(s.cfg)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "%d members, 1%% of the messages lost, %s: in use after %s, known in force after %s, %d B/s at the 99th percentile, %d B/s mean, %.1f digests/s sent\n",
			targetMembers, s.name, r.Applied, r.Converged, r.P99BytesPerSecond, r.MeanBytesPerSecond, r.DigestsPerSecond)
		if err != nil {
			return eris.Wrap(err, "printing a run")
		}
	}
	return nil
}
