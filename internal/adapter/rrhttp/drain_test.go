package rrhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
)

// drainFixture is a server that is drained while clients have connections open.
type drainFixture struct {
	server   *rrhttp.Server
	address  string
	draining atomic.Bool
	// release lets the request for /held finish.
	release chan struct{}
	drained chan error
}

func startDrainFixture(t *testing.T) *drainFixture {
	t.Helper()
	return startDrainFixtureOn(t, func(l net.Listener) net.Listener { return l })
}

// startDrainFixtureOn starts the fixture on a listener that wrap returns.
func startDrainFixtureOn(t *testing.T, wrap func(net.Listener) net.Listener) *drainFixture {
	t.Helper()
	s := &drainFixture{release: make(chan struct{}), drained: make(chan error, 1)}
	s.server = rrhttp.NewDrainable(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-s.release
		}
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
	}), IdleTimeout: time.Minute})
	l, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = l.Addr().String()
	served := make(chan error, 1)
	listener := wrap(s.server.Listener(l))
	go func() { served <- s.server.Serve(listener) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		must.NoError(t, <-served)
	})
	return s
}

func (s *drainFixture) drain(ctx context.Context) {
	s.draining.Store(true)
	go func() { s.drained <- s.server.Drain(ctx) }()
	time.Sleep(30 * time.Millisecond)
}

func (s *drainFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	must.NoError(t, err)
}

// receive reads a successful response and returns whether it closes the connection.
func receive(t *testing.T, conn net.Conn) (closes bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	must.Eq(t, http.StatusOK, res.StatusCode)
	return res.Close
}

// A draining server answers the requests on its open connections.
func TestDrainAnswersOpenConnections(t *testing.T) {
	cases := map[string]func(t *testing.T, s *drainFixture) net.Conn{
		"new connection": func(t *testing.T, s *drainFixture) net.Conn {
			conn := s.dial(t)
			s.drain(t.Context())
			send(t, conn, "/")
			return conn
		},
		"idle connection": func(t *testing.T, s *drainFixture) net.Conn {
			conn := s.dial(t)
			send(t, conn, "/")
			receive(t, conn)
			s.drain(t.Context())
			send(t, conn, "/")
			return conn
		},
		"request in progress": func(t *testing.T, s *drainFixture) net.Conn {
			conn := s.dial(t)
			send(t, conn, "/held")
			time.Sleep(30 * time.Millisecond)
			s.drain(t.Context())
			time.AfterFunc(300*time.Millisecond, func() { close(s.release) })
			return conn
		},
	}
	for name, open := range cases {
		t.Run(name, func(t *testing.T) {
			s := startDrainFixture(t)
			conn := open(t, s)
			must.True(t, receive(t, conn))
			must.NoError(t, <-s.drained)
			_, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.address)
			must.Error(t, err)
		})
	}
}

// stalledListener accepts nothing until it is released, like a process that gets no processor.
type stalledListener struct {
	net.Listener
	released <-chan struct{}
}

func (l stalledListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// Connections that were opened before the drain are accepted and answered, however late the
// server gets to accept them.
func TestDrainResetsTheAcceptQueue(t *testing.T) {
	released := make(chan struct{})
	s := startDrainFixtureOn(t, func(l net.Listener) net.Listener { return stalledListener{l, released} })
	var conns []net.Conn
	for range 5 {
		conn := s.dial(t)
		send(t, conn, "/")
		conns = append(conns, conn)
	}
	s.drain(t.Context())
	close(released)
	for _, conn := range conns {
		must.True(t, receive(t, conn))
	}
	must.NoError(t, <-s.drained)
}

// A server that is drained before it has begun to serve answers what waits for it.
func TestDrainBeforeServing(t *testing.T) {
	server := rrhttp.NewDrainable(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})})
	l, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	listener := server.Listener(l)
	s := &drainFixture{server: server, address: l.Addr().String(), drained: make(chan error, 1)}
	conn := s.dial(t)
	send(t, conn, "/")
	s.drain(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	must.True(t, receive(t, conn))
	must.NoError(t, <-s.drained)
	must.NoError(t, <-served)
}

// Connections without a request delay the drain for a bounded time only.
func TestDrainClosesIdleConnections(t *testing.T) {
	s := startDrainFixture(t)
	kept := s.dial(t)
	send(t, kept, "/")
	receive(t, kept)
	s.dial(t)
	s.drain(t.Context())
	select {
	case err := <-s.drained:
		must.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("the drain waits for connections without a request")
	}
}

// If a request outlasts the drain, the error has the number of open connections.
func TestDrainReportsOpenConnections(t *testing.T) {
	s := startDrainFixture(t)
	conn := s.dial(t)
	send(t, conn, "/held")
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.drain(ctx)
	err := <-s.drained
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.StrContains(t, err.Error(), "1 connections")
	close(s.release)
}

// Guards against a drain without end: one listener was added to the server while it drained,
// and nothing closed it.
func TestDrainClosesALateListener(t *testing.T) {
	server := rrhttp.NewDrainable(&http.Server{Handler: http.NotFoundHandler()})
	first, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	known := server.Listener(first)
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	// The drain waits for the first listener, which is not served yet.
	time.Sleep(50 * time.Millisecond)
	second, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	late := server.Listener(second)
	go func() { _ = server.Serve(late) }()
	must.NoError(t, server.Serve(known))
	select {
	case err := <-drained:
		must.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the drain has not ended")
	}
}

// slowListener returns from Accept some time after the listener has closed.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	}
	return conn, err
}

// Guards against a drain that fails as it closes a listener which has closed by itself, but has
// not told its server yet.
func TestDrainWhileAcceptReturns(t *testing.T) {
	server := rrhttp.NewDrainable(&http.Server{Handler: http.NotFoundHandler()})
	l, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	listener := slowListener{server.Listener(l)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	must.NoError(t, server.Drain(t.Context()))
	must.NoError(t, <-served)
}
