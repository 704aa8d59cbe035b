package rrestimate

import (
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// minWindow is the length of a window of the minimum filter, so that a sample counts
// for one to two windows.
const minWindow = 10 * time.Second

// RoundTrips has the round-trip time to each availability zone, and how much longer a
// request takes there on a new connection. Both come from the shortest recent
// response times. It is safe for concurrent use.
type RoundTrips struct {
	// mu guards the maps. reused has the times on reused connections, and dialed those
	// on connections that were opened for the request.
	mu             sync.Mutex
	reused, dialed map[rrunit.Zone]*windowedMin
}

// windowedMin is the minimum of the samples in the current and the previous window.
type windowedMin struct {
	since             rrunit.Instant
	current, previous time.Duration
}

// NewRoundTrips returns round-trip times without samples.
func NewRoundTrips() *RoundTrips {
	return &RoundTrips{reused: make(map[rrunit.Zone]*windowedMin), dialed: make(map[rrunit.Zone]*windowedMin)}
}

// Record records a response time in the zone, and whether a connection was opened for
// the request.
func (d *RoundTrips) Record(now rrunit.Instant, zone rrunit.Zone, took time.Duration, dialed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := d.reused
	if dialed {
		zones = d.dialed
	}
	m := zones[zone]
	if m == nil {
		m = &windowedMin{since: now}
		zones[zone] = m
	}
	m.record(now, took)
}

func (m *windowedMin) record(now rrunit.Instant, took time.Duration) {
	if now.Sub(m.since) >= minWindow && m.current > 0 {
		m.since, m.previous, m.current = now, m.current, 0
	}
	if m.current == 0 || took < m.current {
		m.current = took
	}
}

// value returns the minimum, and false if there are no samples.
func (m *windowedMin) value() (time.Duration, bool) {
	switch {
	case m == nil:
		return 0, false
	case m.previous > 0 && m.previous < m.current:
		return m.previous, true
	default:
		return m.current, true
	}
}

// RoundTrip returns the round-trip time to the zone, and false if it was never measured.
func (d *RoundTrips) RoundTrip(zone rrunit.Zone) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reused, ok := d.reused[zone].value(); ok {
		return reused, true
	}
	return d.dialed[zone].value()
}

// ConnectTime returns how much longer a request to the zone takes on a new connection, and
// false if that was never measured.
func (d *RoundTrips) ConnectTime(zone rrunit.Zone) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reused, ok := d.reused[zone].value()
	if !ok {
		return 0, false
	}
	dialed, ok := d.dialed[zone].value()
	return max(0, dialed-reused), ok
}
