package rrbench

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrloop"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// location is where a process runs.
type location struct {
	zone   rrunit.Zone
	region rrunit.Region
}

// zoneRoundTrip is the round trip between two processes of one region.
const zoneRoundTrip = 500 * time.Microsecond

// network carries messages between processes. Messages between two locations keep
// their order; those to or from an isolated region are lost.
type network struct {
	loop *rrloop.Loop
	// regionRoundTrip is the round trip between two regions.
	regionRoundTrip time.Duration
	// isolated is the region that the others cannot reach; empty means none.
	isolated rrunit.Region
}

func (n *network) oneWay(a, b location) time.Duration {
	if a.region != b.region {
		return n.regionRoundTrip / 2
	}
	return zoneRoundTrip / 2
}

func (n *network) reaches(a, b location) bool {
	return n.isolated == "" || a.region == b.region || (a.region != n.isolated && b.region != n.isolated)
}

// send runs f after the delay of a message from a to b, unless the message is lost.
func (n *network) send(a, b location, f func()) {
	if !n.reaches(a, b) {
		return
	}
	n.loop.After(n.oneWay(a, b), f)
}
