package rrconn

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// Indexes of the values in a load field. Further values are ignored, so that
// searchers can add some later.
const (
	loadRunning = iota
	loadWaiting
	loadSlots
	loadSlowdown
	loadValues
)

// parseLoad parses the load that a searcher reports. It returns nil for an empty or
// malformed field. The slowdown may be missing.
func parseLoad(field string) (*rrforward.Load, error) {
	if field == "" {
		return nil, nil
	}
	parts := strings.Split(field, ",")
	if len(parts) <= loadSlots {
		return nil, eris.Errorf("load %.40q: %d values, want at least %d", field, len(parts), loadSlots+1)
	}
	var n [loadValues]int
	for i, p := range parts[:min(len(parts), loadValues)] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil, eris.Errorf("load %.40q: value %d is not a non-negative integer", field, i+1)
		}
		n[i] = v
	}
	return &rrforward.Load{Running: n[loadRunning], Waiting: n[loadWaiting], Slots: n[loadSlots], SlowdownPercent: n[loadSlowdown]}, nil
}
