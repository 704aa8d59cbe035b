// Package rrsearch is the client of searchers over HTTP/2 without TLS, so that
// cancelling a subquery doesn't close a connection. docs/design/upstream.md has the
// protocol.
package rrsearch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrmemory"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrstatus"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Limits of the calls.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 2 * time.Minute
	sendPingTimeout = 2 * time.Second
	pingTimeout     = time.Second
	maxReplyBytes   = 4 << 20
	// maxHeaderBytes is the longest header of a reply.
	maxHeaderBytes = 64 << 10
	// unchargedBytes of each reply don't count toward maxBufferedBytes, which bounds the
	// memory of all replies that are being read.
	unchargedBytes   = 16 << 10
	maxBufferedBytes = 16 << 20
	// copiesPerReply is the memory of a reply, as a multiple of its size, while its buffer
	// grows: the full buffer and a new one of twice the size.
	copiesPerReply = 3
	// streamBufferBytes and connectionBufferBytes are how much a searcher may send ahead of
	// what was read of a reply, and of all replies on a connection.
	streamBufferBytes     = 256 << 10
	connectionBufferBytes = 1 << 20
	// maxPooledBytes is the largest buffer that is reused for later replies.
	maxPooledBytes = 64 << 10
)

// Reply is the wire form of a searcher's reply.
type Reply struct {
	Snapshot rrunit.Snapshot  `json:"snapshot"`
	Shard    rrunit.ShardName `json:"shard"`
	Hits     []rrquery.Hit    `json:"hits"`
	Load     *rrupstream.Load `json:"load,omitempty"`
	// Refusal is set in responses with a status other than 200.
	Refusal rrupstream.Outcome `json:"refusal,omitempty"`
}

// Client implements rrupstream.Client.
type Client struct {
	// transport is used without an http.Client, which would follow redirects and so
	// send work a second time. Cookies are not needed.
	transport *http.Transport
	dialer    *dialer
	// header is the read-only header of every search request.
	header http.Header
	// buffers is a pool of *bytes.Buffer for replies.
	buffers sync.Pool
	// memory is the budget of all replies that are being read.
	memory *rrmemory.Budget
}

// New returns a client for searchers.
func New() *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	d := &dialer{Dialer: net.Dialer{Timeout: dialTimeout}, counts: make(map[string]int)}
	transport := &http.Transport{
		Protocols:       protocols,
		DialContext:     d.dial,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               sendPingTimeout,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		transport: transport,
		dialer:    d,
		header:    http.Header{"Content-Type": {"application/json"}},
		buffers:   sync.Pool{New: func() any { return new(bytes.Buffer) }},
		memory:    rrmemory.NewBudget(maxBufferedBytes),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Search implements rrupstream.Client.
func (c *Client) Search(ctx context.Context, to rrupstream.Target, sub *rrupstream.Request) rrupstream.Reply {
	body, err := json.Marshal(sub)
	if err != nil {
		return rrupstream.Reply{Outcome: rrupstream.OutcomeRejected}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { connected.Store(true) },
	}
	req := c.searchRequest(to, body).WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return rrupstream.Reply{Outcome: classifyError(ctx, connected.Load(), err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if rrstatus.Check(resp.StatusCode) != nil {
		// What it says of the work is not believed either.
		return rrupstream.Reply{Outcome: rrupstream.OutcomeFailed}
	}
	return c.readReply(ctx, sub, resp)
}

// searchRequest returns the HTTP request of one search. It has no GetBody, so that the
// transport does not retry it.
func (c *Client) searchRequest(to rrupstream.Target, body []byte) *http.Request {
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: to.Address, Path: "/search"},
		Host:          to.Address,
		Header:        c.header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}

// pingTimeoutText occurs in the transport's error when pings are not answered. The
// standard library exports no error for this case.
const pingTimeoutText = "client connection lost"

// classifyError returns the outcome of a call without a response. Work that never had
// a connection did not run.
func classifyError(ctx context.Context, connected bool, err error) rrupstream.Outcome {
	switch {
	case !connected:
		return rrupstream.OutcomeUnsent
	case ctx.Err() != nil:
		return rrupstream.OutcomeCancelled
	case strings.Contains(err.Error(), pingTimeoutText):
		return rrupstream.OutcomeUnresponsive
	default:
		return rrupstream.OutcomeConnectionLost
	}
}

// putBuffer returns a buffer to the pool, unless it has grown large.
func (c *Client) putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBytes {
		return
	}
	buf.Reset()
	c.buffers.Put(buf)
}

// limitBody returns a reader of the reply's body, which must be released.
func (c *Client) limitBody(resp *http.Response) *rrmemory.Reader {
	return c.memory.NewReader(io.LimitReader(resp.Body, maxReplyBytes), rrmemory.WithCopies(copiesPerReply), rrmemory.WithUncharged(unchargedBytes))
}

func (c *Client) readReply(ctx context.Context, sub *rrupstream.Request, resp *http.Response) rrupstream.Reply {
	buf, _ := c.buffers.Get().(*bytes.Buffer)
	defer c.putBuffer(buf)
	body := c.limitBody(resp)
	defer body.Release()
	if _, err := buf.ReadFrom(body); errors.Is(err, rrmemory.ErrExhausted) {
		return rrupstream.Reply{Outcome: rrupstream.OutcomeFailed}
	} else if err != nil {
		return rrupstream.Reply{Outcome: classifyError(ctx, true, err)}
	}
	r := Reply{Hits: make([]rrquery.Hit, 0, min(max(0, sub.Limit), rrquery.DefaultLimit))}
	// Decoded values don't reference the buffer.
	if err := json.Unmarshal(buf.Bytes(), &r); err != nil {
		return rrupstream.Reply{Outcome: rrupstream.OutcomeFailed}
	}
	out := rrupstream.Reply{Snapshot: r.Snapshot, Hits: r.Hits, Load: r.Load}
	switch {
	case resp.StatusCode != http.StatusOK:
		out.Outcome = refusalOutcome(r.Refusal)
		out.Refused = out.Outcome != rrupstream.OutcomeFailed
	case r.Snapshot != sub.Snapshot || r.Shard != sub.Shard:
		out.Outcome = rrupstream.OutcomeWrongSnapshot
	default:
		out.Outcome = rrupstream.OutcomeAnswered
	}
	return out
}

// refusalOutcome returns the searcher's refusal, or OutcomeFailed if it is not one that
// searchers may use.
func refusalOutcome(o rrupstream.Outcome) rrupstream.Outcome {
	switch o {
	case rrupstream.OutcomeShed, rrupstream.OutcomeDraining, rrupstream.OutcomeWrongSnapshot, rrupstream.OutcomeRejected:
		return o
	default:
		return rrupstream.OutcomeFailed
	}
}

// Load implements rrupstream.Client.
func (c *Client) Load(ctx context.Context, to rrupstream.Target) (rrupstream.Load, error) {
	var l rrupstream.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.Address+"/load", nil)
	if err != nil {
		return l, eris.Wrapf(err, "building the load request to %s", to.ID)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return l, eris.Wrapf(err, "requesting the load of %s", to.ID)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return l, eris.Errorf("requesting the load of %s: status %s", to.ID, resp.Status)
	}
	body := c.limitBody(resp)
	defer body.Release()
	if err := json.NewDecoder(body).Decode(&l); err != nil {
		return l, eris.Wrapf(err, "decoding the load of %s", to.ID)
	}
	return l, nil
}
