package rrlink

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// Limits of the gRPC server for peers.
const (
	// handshakeTimeout bounds the handshake of a new connection.
	handshakeTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the concurrent calls of one connection.
	maxConcurrentCalls = 128
	// minPingInterval is the shortest interval accepted between two pings of a
	// client. It is below keepaliveInterval, so that keepalive pings on idle
	// connections do not close them.
	minPingInterval = time.Second
)

// ServerOptions returns the codec and the limits of a gRPC server for peers.
func ServerOptions(codec *Codec) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ForceServerCodec(codec),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
}

// MeterOption counts the connections and messages of a gRPC server for peers with a
// meter.
func MeterOption(m Meter) grpc.ServerOption {
	return grpc.StatsHandler(&statsHandler{side: SideServer, meter: m})
}
