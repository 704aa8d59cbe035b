package rrnode

import (
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
)

// peerTrafficMeter counts the connections between daemons and the bytes sent over
// them. It implements rrlink.Meter.
type peerTrafficMeter struct{ metrics *rrmetrics.GatewayMetrics }

// Carried implements rrlink.Meter.
func (m peerTrafficMeter) Carried(method string, side rrlink.Side, way rrlink.Way, n int) {
	m.metrics.Add(rrmetrics.GroupPeerBytes, rrmetrics.JoinLabels(method, side, way), n)
}

// Connected implements rrlink.Meter.
func (m peerTrafficMeter) Connected(side rrlink.Side, n int) {
	m.metrics.Add(rrmetrics.GroupPeerConnections, string(side), n)
}
