package rrhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Times of the end of a server.
const (
	// acceptRest is how long connections that the kernel has completed are still
	// taken before the listener closes.
	acceptRest = 5 * time.Millisecond
	// newLinger is how long a connection may take to send its first request: some
	// round trips between regions, 40 ms each.
	newLinger = 500 * time.Millisecond
	// idleLinger is how long a kept connection without a request stays open, so that
	// a request that has arrived is read: two round trips between regions.
	idleLinger = 100 * time.Millisecond
	// drainCheck is how often a server that ends looks at its connections.
	drainCheck = 10 * time.Millisecond
)

// Server is an HTTP server that can leave without losing a request that it was sent.
// Shutdown of http.Server loses some: it drops each request that it reads after the
// call, on connections just opened as well.
type Server struct {
	*http.Server
	serving atomic.Int32

	// mu guards listeners and conns, the open connections.
	mu        sync.Mutex
	listeners []*drainListener
	conns     map[net.Conn]*drainConn
}

// drainConn is what is known of an open connection.
type drainConn struct {
	state http.ConnState
	// until is when the connection closes if no request comes; set while the server
	// ends and exactly while none is under way.
	until time.Time
}

// Wrap follows the connections of a server that does not serve yet.
func Wrap(srv *http.Server) *Server {
	s := &Server{Server: srv, conns: make(map[net.Conn]*drainConn)}
	srv.ConnState = s.follow
	return s
}

// Listener returns a listener that Leave ends, to be served or to be wrapped by one
// that is.
func (s *Server) Listener(l *net.TCPListener) net.Listener {
	dl := &drainListener{TCPListener: l}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, dl)
	return dl
}

// Serve serves until Leave, or until the server is closed.
func (s *Server) Serve(l net.Listener) error {
	s.serving.Add(1)
	defer s.serving.Add(-1)
	err := s.Server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Leave takes no new connections, answers what was sent on the open ones and
// returns when all have ended. The handler must ask callers to close by then. When
// ctx ends first, the error says how many connections are still open.
func (s *Server) Leave(ctx context.Context) error {
	if err := s.stopListening(); err != nil {
		return err
	}
	tick := time.NewTicker(drainCheck)
	defer tick.Stop()
	for {
		if n := s.linger(time.Now()); n == 0 && s.serving.Load() == 0 {
			return s.Shutdown(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "waiting for %d connections", s.linger(time.Now()))
		}
	}
}

func (s *Server) stopListening() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if err := l.SetDeadline(time.Now().Add(acceptRest)); err != nil {
			return eris.Wrap(err, "ending the listener")
		}
	}
	return nil
}

// follow is the server's hook for changes of a connection.
func (s *Server) follow(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = &drainConn{state: state}
}

// linger bounds how long connections wait for a request and returns how many
// connections are open.
func (s *Server) linger(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, c := range s.conns {
		if c.state == http.StateActive {
			continue
		}
		if c.until.IsZero() {
			c.until = now.Add(idleLinger)
			if c.state == http.StateNew {
				c.until = now.Add(newLinger)
			}
		}
		// The server sets a deadline of its own after the hook, so that this one is
		// set again at each check. An error means that the connection has ended.
		_ = conn.SetReadDeadline(c.until)
	}
	return len(s.conns)
}

// drainListener takes what the kernel has completed before it closes at its
// deadline, as closing resets what waits.
type drainListener struct {
	*net.TCPListener
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}
