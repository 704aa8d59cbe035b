package rrestimate

import (
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// distanceAge is how long a measured round trip counts at least.
const distanceAge = 10 * time.Second

// Distances has the round trip to each availability zone, and how much longer a
// request takes there on a new connection: the shortest times in which anything was
// answered of late. It is safe for concurrent use.
type Distances struct {
	// mu guards the maps. kept has the times on kept connections, and opened those on
	// connections that were opened for the request.
	mu           sync.Mutex
	kept, opened map[rrunit.Zone]*shortest
}

// shortest is the least of the samples of the present and the last window.
type shortest struct {
	since         rrunit.Instant
	present, last time.Duration
}

// NewDistances returns distances of which nothing is known.
func NewDistances() *Distances {
	return &Distances{kept: make(map[rrunit.Zone]*shortest), opened: make(map[rrunit.Zone]*shortest)}
}

// Record takes how long something in the zone took to be answered, and whether a
// connection was opened for it.
func (d *Distances) Record(now rrunit.Instant, zone rrunit.Zone, took time.Duration, opened bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := d.kept
	if opened {
		zones = d.opened
	}
	s := zones[zone]
	if s == nil {
		s = &shortest{since: now}
		zones[zone] = s
	}
	s.record(now, took)
}

func (s *shortest) record(now rrunit.Instant, took time.Duration) {
	if now.Sub(s.since) >= distanceAge && s.present > 0 {
		s.since, s.last, s.present = now, s.present, 0
	}
	if s.present == 0 || took < s.present {
		s.present = took
	}
}

// value returns the shortest time, and false if there is none.
func (s *shortest) value() (time.Duration, bool) {
	switch {
	case s == nil:
		return 0, false
	case s.last > 0 && s.last < s.present:
		return s.last, true
	default:
		return s.present, true
	}
}

// Of returns the round trip to the zone, and false if it was never measured.
func (d *Distances) Of(zone rrunit.Zone) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kept, ok := d.kept[zone].value(); ok {
		return kept, true
	}
	return d.opened[zone].value()
}

// Connect returns how much longer a request in the zone takes on a new connection,
// and false if it was never measured.
func (d *Distances) Connect(zone rrunit.Zone) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept, ok := d.kept[zone].value()
	if !ok {
		return 0, false
	}
	opened, ok := d.opened[zone].value()
	return max(0, opened-kept), ok
}
