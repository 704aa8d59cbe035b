package rrlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
)

const (
	feedService    = "rhubarbreel.Feed2" // the number is raised when an older daemon would misread the messages
	followName     = "Follow"
	followMethod   = "/" + feedService + "/" + followName
	evidenceName   = "Tell"
	evidenceMethod = "/" + feedService + "/" + evidenceName
)

// followTimeoutMargin is added to the requested wait to get the timeout of a Follow
// call.
const followTimeoutMargin = 700 * time.Millisecond

// feedIdleTimeout is how long the connection to a source is kept without a call. It
// is far longer than the pause between two calls, and short because during an outage
// of the store all daemons temporarily call the same few.
const feedIdleTimeout = 5 * time.Second

// FeedServer serves the daemon's view of the platform, and receives evidence on
// searchers.
type FeedServer interface {
	Follow(ctx context.Context, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error)
	ReceiveEvidence(ctx context.Context, e *rrpeer.Evidence) (*rrpeer.EvidenceReply, error)
}

// RegisterFeed adds the feed service to a gRPC server.
func RegisterFeed(r grpc.ServiceRegistrar, codec *Codec, s FeedServer) {
	compressor := &changeCompressor{codec: codec}
	follow := func(ctx context.Context, ask *rrpeer.FeedRequest) (*feedMessage, error) {
		response, err := s.Follow(ctx, ask)
		if err != nil {
			return nil, err
		}
		out := &feedMessage{FeedResponse: *response}
		if response.Changes != nil {
			if out.Compressed, err = compressor.compress(response.Changes); err != nil {
				return nil, err
			}
		}
		return out, nil
	}
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: feedService,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: followName, Handler: unary(follow)},
			{MethodName: evidenceName, Handler: unary(s.ReceiveEvidence)},
		},
	}, s)
}

// Follow implements rrpeers.FeedClient.
func (c *ControlClients) Follow(ctx context.Context, peer netip.AddrPort, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	in, err := callFeed[feedMessage](ctx, c, "", peer, followMethod, ask.Wait.Std()+followTimeoutMargin, ask)
	if err != nil {
		return nil, err
	}
	response, err := c.codec.checkFeedMessage(in)
	return response, eris.Wrapf(err, "feed response of %s", peer)
}

// evidenceConnPrefix names the separate connections for evidence: closing one after
// a peer was too slow to receive evidence must not end a Follow call to that peer.
const evidenceConnPrefix = "evidence "

// SendEvidence implements rrpeers.FeedClient.
func (c *ControlClients) SendEvidence(ctx context.Context, peer netip.AddrPort, e *rrpeer.Evidence, limit time.Duration) (*rrpeer.EvidenceReply, error) {
	return callFeed[rrpeer.EvidenceReply](ctx, c, evidenceConnPrefix, peer, evidenceMethod, limit, e)
}

// callFeed calls a peer over the connection named by prefix and address.
func callFeed[Resp any, PResp checkable[Resp]](
	ctx context.Context, c *ControlClients, prefix string, peer netip.AddrPort, method string, limit time.Duration, in any,
) (*Resp, error) {
	address := peer.String()
	name := prefix + address
	p, err := c.connect(name, address, feedIdleTimeout)
	if err != nil {
		return nil, err
	}
	out, err := invoke[Resp, PResp](ctx, p.conn, method, limit, in)
	if err != nil && ctx.Err() == nil {
		// The connection may be dead, so it is not reused.
		c.drop(name, p)
	}
	return out, err
}

// drop closes the connection, so that the next call opens another.
func (c *ControlClients) drop(name string, p *controlConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[name] == p {
		delete(c.conns, name)
		_ = p.conn.Close()
	}
}
