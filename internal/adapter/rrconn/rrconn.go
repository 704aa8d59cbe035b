// Package rrconn forwards callers' requests to searchers over persistent HTTP/1.1
// connections, one request at a time on each. It distinguishes requests that a
// searcher certainly did not run from those that it may have run. Retries and
// routing are left to its callers.
package rrconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Limits of connections.
const (
	// dialTimeout bounds the opening of a connection. A lost SYN is retransmitted
	// after a second; by then another searcher is a better choice.
	dialTimeout = time.Second
	// readBufferBytes is enough for a typical response.
	readBufferBytes = 4 << 10
)

// Client sends requests to searchers. It is safe for concurrent use.
type Client struct {
	fields rrforward.HeaderNames
	// decodeLimit decodes the request limit that a response names.
	decodeLimit rrforward.LimitDecoder
	// decodeNotice decodes what a response says of further requests.
	decodeNotice rrforward.NoticeDecoder
	dialer       net.Dialer
	bodies       *bodyReader

	// mu guards pools.
	mu    sync.Mutex
	pools map[rrunit.SearcherID]*pool

	// minAcceptDelayNS is the shortest time, less the dial time, in which any searcher
	// has answered on a new connection, in nanoseconds; zero before the first.
	minAcceptDelayNS atomic.Int64
	// buffered counts the bytes of the responses that are being read, beyond
	// uncountedBytes of each.
	buffered atomic.Int64
}

// Option configures a Client.
type Option func(*Client)

// WithNoticeDecoder sets the decoder of searchers' notices. Without it they are ignored.
func WithNoticeDecoder(decode rrforward.NoticeDecoder) Option {
	return func(c *Client) {
		if decode != nil {
			c.decodeNotice = decode
		}
	}
}

// WithLimitDecoder sets the decoder of the request limits that searchers name. Without
// it, or if it is nil, no response has one.
func WithLimitDecoder(decode rrforward.LimitDecoder) Option {
	return func(c *Client) {
		if decode != nil {
			c.decodeLimit = decode
		}
	}
}

// New returns a client for searchers that use the given header fields.
func New(fields rrforward.HeaderNames, opts ...Option) *Client {
	c := &Client{
		fields:       fields,
		decodeLimit:  func(http.Header) (*rrunit.Rate, error) { return nil, nil },
		decodeNotice: func(int, http.Header) (rrforward.Notice, error) { return rrforward.Notice{}, nil },
		dialer:       net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		bodies:       newBodyReader(),
		pools:        make(map[rrunit.SearcherID]*pool),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Forward implements rrforward.Forwarder.
func (c *Client) Forward(ctx context.Context, to rrforward.Target, req *rrforward.Request, budget time.Duration) rrforward.Response {
	deadline := time.Now().Add(budget)
	p := c.pool(to)
	if pc := p.get(time.Now(), req.ID); pc != nil {
		return c.exchange(ctx, p, pc, to, req, deadline)
	}
	pc, err := c.dial(ctx, to, deadline)
	if err != nil {
		return rrforward.Response{Outcome: rrupstream.OutcomeUnsent, Err: err, NewConnection: true}
	}
	res := c.exchange(ctx, p, pc, to, req, deadline)
	res.NewConnection = true
	return res
}

// exchange sends the request on the connection and returns the connection to the
// pool if it can be reused.
func (c *Client) exchange(ctx context.Context, p *pool, pc *persistConn, to rrforward.Target, req *rrforward.Request, deadline time.Time) rrforward.Response {
	res := c.roundTrip(ctx, p, pc, to, req, deadline)
	if pc.reusable && res.Outcome != rrupstream.OutcomeAnswered {
		pc.unanswered.add(time.Now(), req.ID, deadline)
	}
	if pc.reusable {
		p.put(pc, time.Now())
	} else {
		pc.close()
	}
	return res
}

// probeTimeout is how long a searcher may take to accept or refuse a connection.
// After that it counts as unreachable, not as dead.
const probeTimeout = 300 * time.Millisecond

// maxProbes is how many connections a check opens. A process that ends may still accept the
// first one, as its listener is not the first that it closes.
const maxProbes = 2

// endsArriveWithin is the time within which the ends of all connections of a process that
// has ended arrive.
const endsArriveWithin = 5 * time.Millisecond

// IsDead implements rrforward.Forwarder. A connection that it opens goes to the
// pool.
func (c *Client) IsDead(ctx context.Context, to rrforward.Target) bool {
	p := c.pool(to)
	for range maxProbes {
		if p.hasOpen(time.Now()) && rrunit.Sleep(ctx, endsArriveWithin) && p.hasOpen(time.Now()) {
			return false
		}
		pc, err := c.dial(ctx, to, time.Now().Add(probeTimeout))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		p.put(pc, time.Now())
	}
	return false
}

// IdleConnections implements rrforward.Forwarder.
func (c *Client) IdleConnections(to rrforward.Target) int { return c.pool(to).idleCount(time.Now()) }

// Connect implements rrforward.Forwarder.
func (c *Client) Connect(ctx context.Context, to rrforward.Target) error {
	p := c.pool(to)
	if p.idleCount(time.Now()) > 0 {
		return nil
	}
	pc, err := c.dial(ctx, to, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.put(pc, time.Now())
	return nil
}

func (c *Client) dial(ctx context.Context, to rrforward.Target, deadline time.Time) (*persistConn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	start := time.Now()
	conn, err := c.dialer.DialContext(ctx, "tcp4", to.Address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "connecting to searcher %s", to.ID)
	}
	return newPersistConn(conn, time.Since(start), &c.buffered), nil
}

// pool returns the pool of the searcher. Idle connections to an earlier process of
// that id are closed.
func (c *Client) pool(to rrforward.Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to.ID]
	if p == nil || p.address != to.Address || p.born != to.Incarnation {
		if p != nil {
			p.close()
		}
		p = &pool{address: to.Address, born: to.Incarnation}
		c.pools[to.ID] = p
	}
	p.use(time.Now(), max(1, to.MaxIdleConnections), to.IdleTimeout)
	return p
}

// recordAcceptDelay lowers minAcceptDelayNS to the time that the first response on a
// connection took beyond the dial time.
func (c *Client) recordAcceptDelay(delay time.Duration) {
	for delay > 0 {
		least := c.minAcceptDelayNS.Load()
		if least > 0 && least <= int64(delay) || c.minAcceptDelayNS.CompareAndSwap(least, int64(delay)) {
			return
		}
	}
}

// earliestResponse returns the time before which no response can arrive on the
// connection. The searcher accepts a new connection before it reads from it.
func (c *Client) earliestResponse(p *pool, pc *persistConn) time.Duration {
	shortest := p.fastestResponse()
	if pc.used {
		return max(shortest, minProcessingTime)
	}
	return max(shortest, pc.dialTime+max(minProcessingTime, time.Duration(c.minAcceptDelayNS.Load())))
}

// KeepUsed closes connections once they have timed out, and forgets searchers that are no
// longer used, until ctx ends.
func (c *Client) KeepUsed(ctx context.Context) {
	tick := time.NewTicker(closeInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			c.closeUnused(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) closeUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		if p.closeUnused(now) {
			delete(c.pools, id)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		p.close()
		delete(c.pools, id)
	}
}
