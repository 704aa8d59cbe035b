package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request; status is zero without a complete answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// closes is set if the connection can't be used again.
	closes bool
	err    error
}

// client sends requests one after the other on a connection that it keeps.
type client struct {
	rec     *record
	name    string
	address string
	budget  time.Duration
	conn    net.Conn
	r       *bufio.Reader
	sent    int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless one is open.
func (c *client) connect(ctx context.Context) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

// send sends a request with a new id and waits for its answer.
func (c *client) send(ctx context.Context, method, path, body string) answer {
	c.sent++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.sent)}
	if a.err = c.connect(ctx); a.err != nil {
		return a
	}
	defer func() {
		if a.closes || a.err != nil {
			c.close()
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(c.budget + 500*time.Millisecond))
	c.rec.printf("client %s sends %s %s", c.name, a.id, path)
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, a.id, c.budget.Milliseconds(), len(body), body)
	if a.err != nil {
		return a
	}
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		a.err = err
		c.rec.printf("client %s gets no answer to %s: %v", c.name, a.id, err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	a.status, a.header, a.body, a.closes, a.err = res.StatusCode, res.Header, string(b), res.Close, err
	c.rec.printf("client %s gets %d for %s (Retry-After %q, stamp %q), body %q", c.name, a.status, a.id, res.Header.Get("Retry-After"), res.Header.Get("X-Server-Stamp"), a.body)
	return a
}
