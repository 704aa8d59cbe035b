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

// leaver is a server that is told to leave while callers hold connections.
type leaver struct {
	server  *rrhttp.Server
	address string
	leaving atomic.Bool
	// held ends the request for /held.
	held chan struct{}
	left chan error
}

func startLeaver(t *testing.T) *leaver {
	t.Helper()
	s := &leaver{held: make(chan struct{}), left: make(chan error, 1)}
	s.server = rrhttp.Wrap(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-s.held
		}
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
	}), IdleTimeout: time.Minute})
	l, err := rrhttp.Bind(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.server.Listener(l)) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		must.NoError(t, <-served)
	})
	return s
}

func (s *leaver) leave(ctx context.Context) {
	s.leaving.Store(true)
	go func() { s.left <- s.server.Leave(ctx) }()
	time.Sleep(30 * time.Millisecond)
}

func (s *leaver) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	must.NoError(t, err)
}

// receive reads a success and returns whether it closes the connection.
func receive(t *testing.T, conn net.Conn) (closes bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	must.Eq(t, http.StatusOK, res.StatusCode)
	return res.Close
}

// A server that leaves answers what it is sent on the connections that it has.
func TestLeaveAnswers(t *testing.T) {
	cases := map[string]func(t *testing.T, s *leaver) net.Conn{
		"on a connection just opened": func(t *testing.T, s *leaver) net.Conn {
			conn := s.dial(t)
			s.leave(t.Context())
			send(t, conn, "/")
			return conn
		},
		"on a kept connection": func(t *testing.T, s *leaver) net.Conn {
			conn := s.dial(t)
			send(t, conn, "/")
			receive(t, conn)
			s.leave(t.Context())
			send(t, conn, "/")
			return conn
		},
		"that was under way": func(t *testing.T, s *leaver) net.Conn {
			conn := s.dial(t)
			send(t, conn, "/held")
			time.Sleep(30 * time.Millisecond)
			s.leave(t.Context())
			time.AfterFunc(300*time.Millisecond, func() { close(s.held) })
			return conn
		},
	}
	for name, open := range cases {
		t.Run(name, func(t *testing.T) {
			s := startLeaver(t)
			conn := open(t, s)
			must.True(t, receive(t, conn))
			must.NoError(t, <-s.left)
			_, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.address)
			must.Error(t, err)
		})
	}
}

// Connections on which nothing comes hold a server up for a bounded time.
func TestLeaveEndsSilentConnections(t *testing.T) {
	s := startLeaver(t)
	kept := s.dial(t)
	send(t, kept, "/")
	receive(t, kept)
	s.dial(t)
	s.leave(t.Context())
	select {
	case err := <-s.left:
		must.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("it waits for connections on which nothing comes")
	}
}

// A request that outlasts the time to leave is said to be cut.
func TestLeaveSaysWhatIsCut(t *testing.T) {
	s := startLeaver(t)
	conn := s.dial(t)
	send(t, conn, "/held")
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.leave(ctx)
	err := <-s.left
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.StrContains(t, err.Error(), "1 connections")
	close(s.held)
}
