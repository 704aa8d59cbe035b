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
	feedName     = "rhubarbreel.Feed2" // its number rises when an older daemon would misread it
	followName   = "Follow"
	followMethod = "/" + feedName + "/" + followName
	tellName     = "Tell"
	tellMethod   = "/" + feedName + "/" + tellName
)

// followSlack is how much longer than the wait asked for an answer may take.
const followSlack = 700 * time.Millisecond

// feedIdle is after how long a source that is no longer asked is left: far above
// the pause between two asks, and short, as an outage of the store makes a whole
// fleet ask the same few daemons for a while.
const feedIdle = 5 * time.Second

// FeedServer answers what the daemon knows of the platform.
type FeedServer interface {
	Follow(ctx context.Context, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error)
	ReceiveEvidence(ctx context.Context, e *rrpeer.Evidence) (*rrpeer.EvidenceReply, error)
}

// RegisterFeed adds the feed service to a gRPC server.
func RegisterFeed(r grpc.ServiceRegistrar, codec *Codec, s FeedServer) {
	p := &packer{codec: codec}
	follow := func(ctx context.Context, ask *rrpeer.FeedRequest) (*feedNews, error) {
		news, err := s.Follow(ctx, ask)
		if err != nil {
			return nil, err
		}
		out := &feedNews{FeedResponse: *news}
		if news.Changes != nil {
			if out.Packed, err = p.pack(news.Changes); err != nil {
				return nil, err
			}
		}
		return out, nil
	}
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: feedName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: followName, Handler: unary(follow)},
			{MethodName: tellName, Handler: unary(s.ReceiveEvidence)},
		},
	}, s)
}

// Follow implements rrpeers.Feeds.
func (c *Controls) Follow(ctx context.Context, peer netip.AddrPort, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	in, err := callFeed[feedNews](ctx, c, "", peer, followMethod, ask.Wait.Std()+followSlack, ask)
	if err != nil {
		return nil, err
	}
	news, err := c.codec.news(in)
	return news, eris.Wrapf(err, "news of %s", peer)
}

// evidenceLink marks the connections for evidence: giving up on a peer that takes
// it too slowly must not end what is followed there.
const evidenceLink = "evidence "

// SendEvidence implements rrpeers.Feeds.
func (c *Controls) SendEvidence(ctx context.Context, peer netip.AddrPort, e *rrpeer.Evidence, limit time.Duration) (*rrpeer.EvidenceReply, error) {
	return callFeed[rrpeer.EvidenceReply](ctx, c, evidenceLink, peer, tellMethod, limit, e)
}

// callFeed calls a peer over its connection of that link.
func callFeed[A any, PA checked[A]](
	ctx context.Context, c *Controls, link string, peer netip.AddrPort, method string, limit time.Duration, in any,
) (*A, error) {
	address := peer.String()
	name := link + address
	p, err := c.connect(name, address, feedIdle)
	if err != nil {
		return nil, err
	}
	out, err := invoke[A, PA](ctx, p.conn, method, limit, in)
	if err != nil && ctx.Err() == nil {
		// A connection that went silent is not used again.
		c.drop(name, p)
	}
	return out, err
}

// drop closes the connection, so that the next call opens another.
func (c *Controls) drop(name string, p *control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[name] == p {
		delete(c.peers, name)
		_ = p.conn.Close()
	}
}
