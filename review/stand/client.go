package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	path   string
	status int
	header http.Header
	body   []byte
	err    error
	// keptConnection is set if the connection had carried a request before.
	keptConnection bool
	sent, ended    time.Time
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// client sends requests to one daemon over kept connections. It sends each attempt once.
type client struct {
	fleet   *fleet
	address string
	// method is that of all requests.
	method string
	// single is set if each request has its own connection, and halfClose if the client
	// then shuts down its side before it reads the answer.
	single, halfClose bool

	// mu guards idle.
	mu   sync.Mutex
	idle []*clientConn
}

func (f *fleet) newClient(d *daemon) *client {
	return &client{fleet: f, address: d.callers, method: http.MethodGet}
}

// connectTime is how long a client waits for a new connection.
const connectTime = time.Second

func (c *client) connect(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn, nil
	}
	d := net.Dialer{Timeout: connectTime}
	conn, err := d.DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReader(conn)}, nil
}

// send sends one attempt and records it and its answer.
func (c *client) send(ctx context.Context, path string, budget time.Duration) answer {
	a := answer{id: c.fleet.newID(), path: path, sent: time.Now()}
	conn, err := c.connect(ctx)
	if err != nil {
		a.err = err
	} else {
		a.keptConnection = conn.used
		c.fleet.record("sent", "attempt", a.id, "method", c.method, "path", path, "to", c.address, "kept", conn.used)
		a.err = c.exchange(conn, budget, &a)
	}
	a.ended = time.Now()
	c.fleet.record("answer", "attempt", a.id, "status", a.status, "stamp", a.header.Get("X-Server-Stamp"), "bytes", len(a.body), "err", a.err)
	return a
}

// exchange sends the request and reads its answer. It keeps the connection if it can carry
// another request.
func (c *client) exchange(conn *clientConn, budget time.Duration, a *answer) error {
	keep := false
	defer func() {
		if !keep {
			_ = conn.Close()
			return
		}
		conn.used = true
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = append(c.idle, conn)
	}()
	if err := conn.SetDeadline(a.sent.Add(budget)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: %d\r\n%s\r\n",
		c.method, a.path, hostName, a.id, budget.Milliseconds(), lengthField(c.method)); err != nil {
		return err
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok && c.halfClose {
		if err := tcp.CloseWrite(); err != nil {
			return err
		}
	}
	res, err := http.ReadResponse(conn.r, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.header = res.StatusCode, res.Header
	a.body, err = io.ReadAll(res.Body)
	keep = err == nil && !res.Close && !c.single
	return err
}

// lengthField returns the header line for an empty body, if the method has one.
func lengthField(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "Content-Length: 0\r\n"
}

// sendSteadily sends requests at the rate until the context ends, each in its own
// goroutine, and returns when all are answered.
func (c *client) sendSteadily(ctx context.Context, perSecond float64, budget time.Duration, path func(n int) string, done func(answer)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		wg.Go(func() { done(c.send(context.WithoutCancel(ctx), path(n), budget)) })
	}
}
