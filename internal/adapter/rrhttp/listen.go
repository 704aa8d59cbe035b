package rrhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
)

// Limits of every listener.
const (
	// headerTimeout is how long the header of a request may take.
	headerTimeout = 2 * time.Second
	// readTimeout is how long a whole request may take to arrive.
	readTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept without a request.
	idleTimeout = time.Minute
	// maxHeader is the largest header of a request in bytes.
	maxHeader = 16 << 10
)

// ListenOption changes how Listen listens.
type ListenOption func(*guard)

// WithAddressLimit bounds the connections from one IP number at once.
func WithAddressLimit(n int) ListenOption { return func(g *guard) { g.limit = n } }

// WithServer lets the server end the listener when it leaves.
func WithServer(s *Server) ListenOption { return func(g *guard) { g.Listener = s.Listener(g.bound) } }

// Bind returns a listener on the address of the network, tcp or tcp4.
func Bind(ctx context.Context, network, address string) (*net.TCPListener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, network, address)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", address)
	}
	bound, ok := l.(*net.TCPListener)
	if !ok {
		return nil, eris.Errorf("listening on %s: %T is not a TCP listener", address, l)
	}
	return bound, nil
}

// Listen returns a listener that holds at most connections at once. Further
// ones wait until one ends; those over the limit of their IP number are closed.
func Listen(ctx context.Context, address string, connections int, opts ...ListenOption) (net.Listener, error) {
	bound, err := Bind(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	g := &guard{Listener: bound, bound: bound, limit: connections, counts: make(map[netip.Addr]int)}
	for _, opt := range opts {
		opt(g)
	}
	return netutil.LimitListener(g, connections), nil
}

// guard is a listener that closes connections over the limit of their address.
type guard struct {
	net.Listener
	// bound is the listener below, without what options put around it.
	bound *net.TCPListener
	limit int

	// mu guards counts, the open connections of each address that has any.
	mu     sync.Mutex
	counts map[netip.Addr]int
}

// Accept implements net.Listener.
func (g *guard) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := addressOf(conn)
		if g.take(from) {
			return &guarded{Conn: conn, release: sync.OnceFunc(func() { g.release(from) })}, nil
		}
		_ = conn.Close()
	}
}

func addressOf(conn net.Conn) netip.Addr {
	p, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}

func (g *guard) take(from netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts[from] >= g.limit {
		return false
	}
	g.counts[from]++
	return true
}

func (g *guard) release(from netip.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[from]--
	if g.counts[from] == 0 {
		delete(g.counts, from)
	}
}

// guarded is a connection that counts until it is closed.
type guarded struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *guarded) Close() error {
	c.release()
	return c.Conn.Close()
}

// NewServer returns a server with the limits of every listener. Responses that
// a slow reader does not take within writeTimeout are cut.
func NewServer(h http.Handler, writeTimeout time.Duration) *Server {
	return Wrap(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	})
}
