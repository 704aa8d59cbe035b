package rrlink

import (
	"context"
	"path"

	"google.golang.org/grpc/stats"
)

// Meter counts the traffic and the connections between daemons. Its methods are
// called concurrently and must not block.
type Meter interface {
	// RecordMessage records one message of n bytes, without headers.
	RecordMessage(method string, side Side, direction Direction, n int)
	// AddConnections adds n to the number of connections: 1 for one that opened, -1
	// for one that closed.
	AddConnections(side Side, n int)
}

// Side is this daemon's role in a connection.
type Side string

// The sides.
const (
	// SideClient is the side of connections opened by this daemon.
	SideClient Side = "client"
	// SideServer is the side of connections opened by other daemons.
	SideServer Side = "server"
)

// Direction is the direction of a message, seen from this daemon.
type Direction string

// The directions.
const (
	DirectionIn  Direction = "in"
	DirectionOut Direction = "out"
)

// statsHandler forwards gRPC statistics to a meter.
type statsHandler struct {
	side  Side
	meter Meter
}

type methodKey struct{}

// TagRPC implements stats.Handler.
func (*statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (m *statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.InPayload:
		m.meter.RecordMessage(method, m.side, DirectionIn, s.WireLength)
	case *stats.OutPayload:
		m.meter.RecordMessage(method, m.side, DirectionOut, s.WireLength)
	}
}

// TagConn implements stats.Handler.
func (*statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m *statsHandler) HandleConn(_ context.Context, s stats.ConnStats) {
	switch s.(type) {
	case *stats.ConnBegin:
		m.meter.AddConnections(m.side, 1)
	case *stats.ConnEnd:
		m.meter.AddConnections(m.side, -1)
	}
}
