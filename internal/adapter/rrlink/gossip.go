package rrlink

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

const (
	controlName    = "rhubarbreel.Control"
	exchangeName   = "Exchange"
	fetchName      = "Fetch"
	exchangeMethod = "/" + controlName + "/" + exchangeName
	fetchMethod    = "/" + controlName + "/" + fetchName
)

// Times and sizes of the control calls. Control has connections of its own, so
// that it does not wait behind the work on shards.
const (
	exchangeTimeout = time.Second
	fetchTimeout    = 3 * time.Second
	controlIdle     = 30 * time.Second
	controlBuffer   = 4 << 10
	maxCopy         = int(rrpeer.MaxDocumentSize) + 1<<10
)

// checked is a message that checks itself after it was decoded.
type checked[T any] interface {
	*T
	Check() error
}

// RegisterControl adds the control service to a gRPC server.
func RegisterControl(r grpc.ServiceRegistrar, c rrpeers.ControlClient) {
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: controlName,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: exchangeName, Handler: unary(c.Exchange)},
			{MethodName: fetchName, Handler: unary(c.Fetch)},
		},
	}, c)
}

// unary returns the gRPC handler of a control call. An unexpected error ends the call
// alone; the peer that called logs it.
func unary[Q, A any, PQ checked[Q]](serve func(context.Context, *Q) (*A, error)) grpc.MethodHandler {
	return func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (_ any, err error) {
		defer rrpanic.Recover(&err)
		in := PQ(new(Q))
		if err := dec(in); err != nil {
			return nil, err
		}
		if err := in.Check(); err != nil {
			return nil, err
		}
		return serve(ctx, in)
	}
}

// Controls holds the control connections to peers. It implements
// rrpeers.Controls and is safe for concurrent use.
type Controls struct {
	codec *Codec
	// options are further options of each connection.
	options []grpc.DialOption

	// mu guards peers.
	mu sync.Mutex
	// peers has the connections by name: the address, after what it is for.
	peers map[string]*control
}

// control implements rrpeers.Control for one peer.
type control struct {
	conn *grpc.ClientConn
	// idle is after how long without use the connection is closed.
	idle time.Duration
	// used is the last use, for prune.
	used time.Time
}

// ControlsOption changes how Controls are built.
type ControlsOption func(*Controls)

// WithMeter has a meter told what the connections carry.
func WithMeter(m Meter) ControlsOption {
	return func(c *Controls) {
		c.options = append(c.options, grpc.WithStatsHandler(&metered{side: SideClient, meter: m}))
	}
}

// NewControls returns a set without connections.
func NewControls(codec *Codec, opts ...ControlsOption) *Controls {
	c := &Controls{codec: codec, peers: make(map[string]*control)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Control implements rrpeers.Controls.
func (c *Controls) Control(address string) (rrpeers.ControlClient, error) {
	return c.connect(address, address, controlIdle)
}

// connect returns the connection of that name to the address. One that is not used
// for the idle time is closed.
func (c *Controls) connect(name, address string, idle time.Duration) (*control, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[name]; p != nil {
		p.used = time.Now()
		return p, nil
	}
	c.prune()
	bc := backoff.DefaultConfig
	bc.BaseDelay = 100 * time.Millisecond
	bc.MaxDelay = maxConnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(c.codec), grpc.MaxCallRecvMsgSize(maxCopy)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bc, MinConnectTimeout: connectTimeout}),
		grpc.WithIdleTimeout(idle),
		grpc.WithReadBufferSize(controlBuffer),
		grpc.WithWriteBufferSize(controlBuffer),
		grpc.WithDisableServiceConfig(),
	}, c.options...)...)
	if err != nil {
		return nil, eris.Wrapf(err, "dialing peer %s", address)
	}
	p := &control{conn: conn, idle: idle, used: time.Now()}
	c.peers[name] = p
	return p, nil
}

// prune closes the connections that were not used for a while. The caller holds
// mu.
func (c *Controls) prune() {
	for address, p := range c.peers {
		if time.Since(p.used) > p.idle {
			delete(c.peers, address)
			_ = p.conn.Close()
		}
	}
}

// Close closes all connections.
func (c *Controls) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.peers {
		delete(c.peers, address)
		_ = p.conn.Close()
	}
}

// Exchange implements rrpeers.Control.
func (c *control) Exchange(ctx context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	return invoke[rrpeer.Digest](ctx, c.conn, exchangeMethod, exchangeTimeout, d)
}

// Fetch implements rrpeers.Control.
func (c *control) Fetch(ctx context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error) {
	return invoke[rrpeer.DocumentCopy](ctx, c.conn, fetchMethod, fetchTimeout, a)
}

func invoke[A any, PA checked[A]](ctx context.Context, conn *grpc.ClientConn, method string, limit time.Duration, in any) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out := new(A)
	if err := conn.Invoke(ctx, method, in, out); err != nil {
		return nil, eris.Wrapf(err, "calling %s", method)
	}
	if err := PA(out).Check(); err != nil {
		return nil, eris.Wrapf(err, "checking the answer to %s", method)
	}
	return out, nil
}
