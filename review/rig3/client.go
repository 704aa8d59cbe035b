package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// call is one attempt of a client.
type call struct {
	id     string
	method string
	path   string
	body   string
	// header has fields beyond those that every attempt has.
	header http.Header
	// budget is how long the client waits.
	budget time.Duration
}

// answer is what a client received; status is zero if the connection ended without an answer.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	header          http.Header
	body            []byte
}

// send sends the attempt to the daemon and records it with its answer.
func (f *fleet) send(ctx context.Context, d *daemon, c *call) *answer {
	ctx, cancel := context.WithTimeout(ctx, c.budget+time.Second)
	defer cancel()
	out := &answer{sentAt: time.Now()}
	f.rec.noteAt(out.sentAt, "client %s %s %s to %s", c.id, c.method, c.path, d.name)
	out.status, out.header, out.body = f.exchange(ctx, d, c)
	out.endedAt = time.Now()
	f.rec.noteAt(out.endedAt, "answer %s from %s: status %d, stamp %q, body %q", c.id, d.name, out.status,
		out.header.Get("X-Server-Stamp"), out.body[:min(len(out.body), 48)])
	return out
}

func (f *fleet) exchange(ctx context.Context, d *daemon, c *call) (int, http.Header, []byte) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callers+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return 0, nil, nil
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Time-Budget-Ms", strconv.FormatInt(c.budget.Milliseconds(), 10))
	res, err := f.client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, res.Header, body
	}
	return res.StatusCode, res.Header, body
}
