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
	controlService = "rhubarbreel.Control"
	exchangeName   = "Exchange"
	fetchName      = "Fetch"
	exchangeMethod = "/" + controlService + "/" + exchangeName
	fetchMethod    = "/" + controlService + "/" + fetchName
)

// Timeouts and sizes of the control calls. They have separate connections, so that
// they do not queue behind tasks on shards.
const (
	exchangeTimeout        = time.Second
	fetchTimeout           = 3 * time.Second
	controlIdleTimeout     = 30 * time.Second
	controlBufferBytes     = 4 << 10
	maxControlMessageBytes = int(rrpeer.MaxDocumentSize) + 1<<10
)

// checkable is a message with a check that runs after it is decoded.
type checkable[T any] interface {
	*T
	Check() error
}

// RegisterControl adds the control service to a gRPC server.
func RegisterControl(r grpc.ServiceRegistrar, c rrpeers.ControlClient) {
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: controlService,
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{
			{MethodName: exchangeName, Handler: unary(c.Exchange)},
			{MethodName: fetchName, Handler: unary(c.Fetch)},
		},
	}, c)
}

// unary returns the gRPC handler of a unary call. A panic fails only that call; the
// calling peer logs the error.
func unary[Req, Resp any, PReq checkable[Req]](serve func(context.Context, *Req) (*Resp, error)) grpc.MethodHandler {
	return func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (_ any, err error) {
		defer rrpanic.Recover(&err)
		in := PReq(new(Req))
		if err := dec(in); err != nil {
			return nil, err
		}
		if err := in.Check(); err != nil {
			return nil, err
		}
		return serve(ctx, in)
	}
}

// ControlClients holds the connections to peers for control and feed calls. It implements
// rrpeers.ControlClients and rrpeers.FeedClient and is safe for concurrent use.
type ControlClients struct {
	codec *Codec
	// dialOptions are additional options of each connection.
	dialOptions []grpc.DialOption

	// mu guards conns.
	mu sync.Mutex
	// conns are keyed by the address, with a prefix for the purpose.
	conns map[string]*controlConn
}

// controlConn implements rrpeers.ControlClient for one peer.
type controlConn struct {
	conn *grpc.ClientConn
	// idleTimeout is how long the connection is kept without use.
	idleTimeout time.Duration
	// lastUsed is read by prune.
	lastUsed time.Time
}

// ControlClientsOption configures ControlClients.
type ControlClientsOption func(*ControlClients)

// WithMeter counts the connections and their messages with a meter.
func WithMeter(m Meter) ControlClientsOption {
	return func(c *ControlClients) {
		c.dialOptions = append(c.dialOptions, grpc.WithStatsHandler(&statsHandler{side: SideClient, meter: m}))
	}
}

// NewControlClients returns ControlClients without connections.
func NewControlClients(codec *Codec, opts ...ControlClientsOption) *ControlClients {
	c := &ControlClients{codec: codec, conns: make(map[string]*controlConn)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Control implements rrpeers.ControlClients.
func (c *ControlClients) Control(address string) (rrpeers.ControlClient, error) {
	return c.connect(address, address, controlIdleTimeout)
}

// connect returns the connection with that name, or creates one to the address. It
// is closed after being unused for the idle timeout.
func (c *ControlClients) connect(name, address string, idle time.Duration) (*controlConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[name]; p != nil {
		p.lastUsed = time.Now()
		return p, nil
	}
	c.prune()
	bc := backoff.DefaultConfig
	bc.BaseDelay = 100 * time.Millisecond
	bc.MaxDelay = maxConnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(c.codec), grpc.MaxCallRecvMsgSize(maxControlMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bc, MinConnectTimeout: connectTimeout}),
		grpc.WithIdleTimeout(idle),
		grpc.WithReadBufferSize(controlBufferBytes),
		grpc.WithWriteBufferSize(controlBufferBytes),
		grpc.WithDisableServiceConfig(),
	}, c.dialOptions...)...)
	if err != nil {
		return nil, eris.Wrapf(err, "dialing peer %s", address)
	}
	p := &controlConn{conn: conn, idleTimeout: idle, lastUsed: time.Now()}
	c.conns[name] = p
	return p, nil
}

// prune closes the connections whose idle timeout has passed. The caller holds mu.
func (c *ControlClients) prune() {
	for name, p := range c.conns {
		if time.Since(p.lastUsed) > p.idleTimeout {
			delete(c.conns, name)
			_ = p.conn.Close()
		}
	}
}

// Close closes all connections.
func (c *ControlClients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.conns {
		delete(c.conns, name)
		_ = p.conn.Close()
	}
}

// Exchange implements rrpeers.ControlClient.
func (c *controlConn) Exchange(ctx context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	return invoke[rrpeer.Digest](ctx, c.conn, exchangeMethod, exchangeTimeout, d)
}

// Fetch implements rrpeers.ControlClient.
func (c *controlConn) Fetch(ctx context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error) {
	return invoke[rrpeer.DocumentCopy](ctx, c.conn, fetchMethod, fetchTimeout, a)
}

func invoke[Resp any, PResp checkable[Resp]](ctx context.Context, conn *grpc.ClientConn, method string, limit time.Duration, in any) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out := new(Resp)
	if err := conn.Invoke(ctx, method, in, out); err != nil {
		return nil, eris.Wrapf(err, "calling %s", method)
	}
	if err := PResp(out).Check(); err != nil {
		return nil, eris.Wrapf(err, "checking the response to %s", method)
	}
	return out, nil
}
