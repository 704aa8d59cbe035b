package rrlink_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// slowFeed answers Follow calls, and never evidence.
type slowFeed struct{}

func (slowFeed) Follow(_ context.Context, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	time.Sleep(ask.Wait.Std())
	return &rrpeer.FeedResponse{Confirmed: true}, nil
}

func (slowFeed) ReceiveEvidence(ctx context.Context, _ *rrpeer.Evidence) (*rrpeer.EvidenceReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// feedPeer serves the feed until the test ends.
func feedPeer(t *testing.T, feed rrlink.FeedServer) (*rrlink.Codec, netip.AddrPort) {
	t.Helper()
	codec, err := rrlink.NewCodec()
	must.NoError(t, err)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer(rrlink.ServerOptions(codec)...)
	rrlink.RegisterFeed(srv, codec, feed)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return codec, netip.MustParseAddrPort(l.Addr().String())
}

// A daemon that is too slow to receive evidence may still be a source for the store's
// content: the timeout of an evidence call must not end a Follow call.
func TestSlowEvidenceCallKeepsFeed(t *testing.T) {
	codec, peer := feedPeer(t, slowFeed{})
	controls := rrlink.NewControlClients(codec)
	defer controls.Close()
	followed := make(chan error, 1)
	go func() {
		_, err := controls.Follow(t.Context(), peer, &rrpeer.FeedRequest{Wait: rrunit.Duration(600 * time.Millisecond)})
		followed <- err
	}()
	time.Sleep(200 * time.Millisecond)
	_, err := controls.SendEvidence(t.Context(), peer, &rrpeer.Evidence{From: "d"}, 100*time.Millisecond)
	must.Error(t, err)
	must.NoError(t, <-followed)
}

// links counts open connections and the bytes of received messages. It implements
// rrlink.Meter.
type links struct{ open, in atomic.Int64 }

func (l *links) AddConnections(_ rrlink.Side, n int) { l.open.Add(int64(n)) }

func (l *links) RecordMessage(_ string, _ rrlink.Side, direction rrlink.Direction, n int) {
	if direction == rrlink.DirectionIn {
		l.in.Add(int64(n))
	}
}

// During an outage of the store daemons follow other daemons than usual. Those must
// not keep a connection from every daemon afterwards.
func TestIdleFeedConnectionIsClosed(t *testing.T) {
	t.Parallel()
	codec, peer := feedPeer(t, slowFeed{})
	var l links
	controls := rrlink.NewControlClients(codec, rrlink.WithMeter(&l))
	defer controls.Close()
	_, err := controls.Follow(t.Context(), peer, &rrpeer.FeedRequest{})
	must.NoError(t, err)
	must.Eq(t, 1, l.open.Load())
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		if l.open.Load() == 0 {
			return
		}
	}
	t.Fatal("the connection is open 8 s after its last use")
}

// panicFeed panics on evidence.
type panicFeed struct{ slowFeed }

func (panicFeed) ReceiveEvidence(context.Context, *rrpeer.Evidence) (*rrpeer.EvidenceReply, error) {
	panic("unexpected")
}

// A panic while a message of a peer is handled fails that call only.
func TestPanicEndsOneCall(t *testing.T) {
	codec, peer := feedPeer(t, panicFeed{})
	controls := rrlink.NewControlClients(codec)
	defer controls.Close()
	for range 2 {
		_, err := controls.SendEvidence(t.Context(), peer, &rrpeer.Evidence{From: "d"}, time.Second)
		must.ErrorContains(t, err, "unexpected")
	}
	_, err := controls.Follow(t.Context(), peer, &rrpeer.FeedRequest{})
	must.NoError(t, err)
}
