package rrhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Times of a server's drain.
const (
	// backlogAcceptTime is how long connections from the kernel's accept queue are
	// still accepted before the listener closes.
	backlogAcceptTime = 5 * time.Millisecond
	// newConnTimeout is how long a new connection may take to send its first request:
	// some round trips between regions, 40 ms each.
	newConnTimeout = 500 * time.Millisecond
	// idleConnTimeout is how long an idle connection stays open, so that a request in
	// transit is still read: two round trips between regions.
	idleConnTimeout = 100 * time.Millisecond
	// drainPollInterval is how often a draining server checks its connections.
	drainPollInterval = 10 * time.Millisecond
)

// Server is an HTTP server that can stop without losing a request that was sent to
// it. http.Server.Shutdown loses some: it drops requests that it reads after the
// call, also on connections that were just opened.
type Server struct {
	*http.Server

	// mu guards listeners, draining, which is set once Drain was called, and conns, the open
	// connections.
	mu        sync.Mutex
	listeners []*drainListener
	draining  bool
	conns     map[net.Conn]*trackedConn
}

// trackedConn is the state of an open connection.
type trackedConn struct {
	state http.ConnState
	// closeAt is when the connection closes unless a request arrives. It is set only
	// while the server drains and the connection has no request in progress.
	closeAt time.Time
}

// NewDrainable returns a Server that tracks the connections of srv, which must not have
// started to serve.
func NewDrainable(srv *http.Server) *Server {
	s := &Server{Server: srv, conns: make(map[net.Conn]*trackedConn)}
	srv.ConnState = s.trackConn
	return s
}

// Listener returns a listener that Drain closes. Serve it, or a listener that wraps
// it. It must be called before Drain, which does not wait for listeners that it does not know.
func (s *Server) Listener(l *net.TCPListener) net.Listener {
	dl := &drainListener{TCPListener: l}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, dl)
	if s.draining {
		// An error means that the listener is closed.
		_ = dl.stopSoon()
	}
	return dl
}

// Serve serves until Drain is called or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	err := s.Server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Drain drains the server: it accepts no new connections, answers the requests on the
// open ones and returns when all are closed. From its call on, the handler must ask
// callers to close their connections. If ctx ends first, the error has the number of
// connections that are still open.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.stopListening(); err != nil {
		return err
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		// A listener may accept one more connection before it closes, so it is asked first.
		if closed := s.listenersClosed(); s.limitIdleConns(time.Now()) == 0 && closed {
			return s.Shutdown(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "waiting for %d connections", s.limitIdleConns(time.Now()))
		}
	}
}

// listenersClosed reports whether all listeners are closed. One that is not served yet is
// open, and connections may wait in its accept queue.
func (s *Server) listenersClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.listeners, func(l *drainListener) bool { return !l.closed.Load() })
}

func (s *Server) stopListening() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, l := range s.listeners {
		if err := l.stopSoon(); err != nil {
			return eris.Wrap(err, "setting the listener's deadline")
		}
	}
	return nil
}

// trackConn implements the ConnState hook of http.Server.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = &trackedConn{state: state}
}

// limitIdleConns sets read deadlines on connections without a request and returns the
// number of open connections.
func (s *Server) limitIdleConns(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, c := range s.conns {
		if c.state == http.StateActive {
			continue
		}
		if c.closeAt.IsZero() {
			c.closeAt = now.Add(idleConnTimeout)
			if c.state == http.StateNew {
				c.closeAt = now.Add(newConnTimeout)
			}
		}
		// The server sets its own deadline after the hook, so this one is set again at
		// each check. An error means that the connection is closed.
		_ = conn.SetReadDeadline(c.closeAt)
	}
	return len(s.conns)
}

// drainListener accepts the connections in the kernel's accept queue after its deadline and
// then closes, since closing it at once would reset them.
type drainListener struct {
	*net.TCPListener
	closed atomic.Bool
}

// Close implements net.Listener. It closes once: http.Server closes the listeners on its list,
// and a listener that has closed by itself is there until Accept has returned.
func (l *drainListener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.TCPListener.Close()
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// After the deadline, net accepts nothing, even if a connection waits.
		if !l.hasWaiting() || l.stopSoon() != nil {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// stopSoon makes the listener close once no connection has waited for backlogAcceptTime.
func (l *drainListener) stopSoon() error {
	return l.SetDeadline(time.Now().Add(backlogAcceptTime))
}

// hasWaiting reports whether a connection waits in the kernel's accept queue.
func (l *drainListener) hasWaiting() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		n, pollErr := 0, error(unix.EINTR)
		for errors.Is(pollErr, unix.EINTR) {
			n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
		waiting = pollErr == nil && n > 0
	})
	return err == nil && waiting
}
