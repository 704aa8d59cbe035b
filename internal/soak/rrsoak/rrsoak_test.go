package rrsoak_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrsoak"
)

// TestSoak runs one seed for 50 seconds: planned stops, kills, lost connections,
// store outages and changes of the table.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute, and runs built processes, which the race detector does not see")
	}
	cfg := rrsoak.Config{Seed: 1, Duration: 50 * time.Second, Size: rrsoak.SizeSmall, Dir: t.TempDir(), Out: t.Output()}
	var err error
	cfg.DaemonPath, err = rrfleet.Build(t.Context(), cfg.Dir, "rhubarbreeld")
	must.NoError(t, err)
	cfg.StandinsPath, err = rrfleet.Build(t.Context(), cfg.Dir, "rhubarbreelsoak")
	must.NoError(t, err)
	violations, err := rrsoak.Run(t.Context(), cfg)
	must.NoError(t, err)
	must.SliceEmpty(t, violations)
}

func TestInvalidConfig(t *testing.T) {
	_, err := rrsoak.Run(t.Context(), rrsoak.Config{Duration: time.Minute, Size: "huge"})
	must.ErrorContains(t, err, "fleet")
	_, err = rrsoak.Run(t.Context(), rrsoak.Config{Duration: time.Second, Size: rrsoak.SizeSmall})
	must.ErrorContains(t, err, "for")
	_, err = rrsoak.Run(t.Context(), rrsoak.Config{Duration: time.Minute, Size: rrsoak.SizeSmall, OnlyEvents: []int{1, 9999}})
	must.ErrorContains(t, err, "only")
}
