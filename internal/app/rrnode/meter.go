package rrnode

import (
	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
)

// peerTrafficMeter counts the connections between daemons and the bytes sent over
// them. It implements rrlink.Meter.
type peerTrafficMeter struct{ metrics *rrmetrics.GatewayMetrics }

// RecordMessage implements rrlink.Meter.
func (m peerTrafficMeter) RecordMessage(method string, side rrlink.Side, way rrlink.Direction, n int) {
	m.metrics.Add(rrmetrics.GroupPeerBytes, rrmetrics.JoinLabels(method, side, way), n)
}

// AddConnections implements rrlink.Meter.
func (m peerTrafficMeter) AddConnections(side rrlink.Side, n int) {
	m.metrics.Add(rrmetrics.GroupPeerConnections, string(side), n)
}
