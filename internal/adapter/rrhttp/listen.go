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

// Limits of every server.
const (
	// headerTimeout is how long the header of a request may take to arrive.
	headerTimeout = 2 * time.Second
	// readTimeout is how long a whole request may take to arrive.
	readTimeout = 10 * time.Second
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = time.Minute
	// maxHeaderBytes is the largest header of a request.
	maxHeaderBytes = 16 << 10
)

// ListenOption configures Listen.
type ListenOption func(*limitedListener)

// WithAddressLimit bounds the open connections from one IP address.
func WithAddressLimit(n int) ListenOption { return func(l *limitedListener) { l.perAddress = n } }

// WithServer lets the server close the listener when it drains.
func WithServer(s *Server) ListenOption {
	return func(l *limitedListener) { l.Listener = s.Listener(l.bound) }
}

// Bind returns a listener on the address. The network is tcp or tcp4.
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

// Listen returns a listener with at most maxConns open connections. Further ones wait
// until one closes; those over the limit of their IP address are closed.
func Listen(ctx context.Context, address string, maxConns int, opts ...ListenOption) (net.Listener, error) {
	bound, err := Bind(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &limitedListener{Listener: bound, bound: bound, perAddress: maxConns, counts: make(map[netip.Addr]int)}
	for _, opt := range opts {
		opt(l)
	}
	return netutil.LimitListener(l, maxConns), nil
}

// limitedListener closes new connections over the limit of their IP address.
type limitedListener struct {
	net.Listener
	// bound is the TCP listener, without the wrappers that options add.
	bound      *net.TCPListener
	perAddress int

	// mu guards counts, the number of open connections by IP address.
	mu     sync.Mutex
	counts map[netip.Addr]int
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := remoteAddr(conn)
		if l.acquire(from) {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.release(from) })}, nil
		}
		_ = conn.Close()
	}
}

func remoteAddr(conn net.Conn) netip.Addr {
	p, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return p.Addr().Unmap()
}

func (l *limitedListener) acquire(from netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[from] >= l.perAddress {
		return false
	}
	l.counts[from]++
	return true
}

func (l *limitedListener) release(from netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[from]--
	if l.counts[from] == 0 {
		delete(l.counts, from)
	}
}

// limitedConn is a connection that counts toward the limit until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// NewServer returns a server with the common limits. A response that is not written
// within writeTimeout, as to a slow reader, is cut off.
func NewServer(h http.Handler, writeTimeout time.Duration) *Server {
	return NewDrainable(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	})
}
