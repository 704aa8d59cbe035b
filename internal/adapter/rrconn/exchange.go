package rrconn

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrstatus"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

const (
	// maxUnmatchedResponses is how many responses, of which none matches the
	// request, are read before the connection is closed.
	maxUnmatchedResponses = 4
	// concurrentBodyBytes is the body length from which the body is written
	// concurrently with reading the response, since a searcher may answer before it
	// has read the body.
	concurrentBodyBytes = 2 << 10
)

var (
	errUnmatchedResponses = errors.New("the responses on the connection belong to other requests")
	errAnonymousRefusal   = errors.New("the refusal has no request id, and may belong to an earlier request on the connection")
)

// roundTrip sends the request and reads its response.
func (c *Client) roundTrip(ctx context.Context, p *pool, pc *persistConn, to rrforward.Target, req *rrforward.Request, deadline time.Time) rrforward.Response {
	pc.reusable = false
	if err := pc.conn.SetDeadline(deadline); err != nil {
		return rrforward.Response{Outcome: rrupstream.OutcomeUnsent, Err: eris.Wrap(err, "setting the deadline")}
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.conn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() {
			// The function that ends this request may still be about to change the
			// connection's deadline.
			pc.reusable = false
		}
	}()
	start := time.Now()
	isSent, err := c.send(pc, to, req, time.Until(deadline))
	if err != nil {
		return c.noResponse(ctx, p, pc, start, eris.Wrap(err, "sending the request"))
	}
	res := c.receive(ctx, p, pc, req, start)
	if !isSent() {
		// The searcher answered before it had read the whole request; it would
		// read the next request on this connection as the rest of the body.
		pc.reusable = false
	}
	return res
}

// send writes the request, a long body in the background. The returned function
// reports whether the whole request has been written.
func (c *Client) send(pc *persistConn, to rrforward.Target, req *rrforward.Request, budget time.Duration) (func() bool, error) {
	header := c.requestHeader(to, req, budget)
	if len(req.Body) < concurrentBodyBytes {
		_, err := pc.conn.Write(append(header, req.Body...))
		return func() bool { return true }, err
	}
	if _, err := pc.conn.Write(header); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := pc.conn.Write(req.Body)
		done <- err
	}()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

// requestHeader returns the request line and the header. The path, the query and
// the caller's header fields are copied byte for byte.
func (c *Client) requestHeader(to rrforward.Target, req *rrforward.Request, budget time.Duration) []byte {
	var b bytes.Buffer
	b.Grow(512)
	line := func(parts ...string) {
		for _, p := range parts {
			b.WriteString(p)
		}
		b.WriteString("\r\n")
	}
	line(req.Method, " ", req.URI, " HTTP/1.1")
	line("Host: ", req.Host)
	b.Write(req.Header)
	line(c.fields.RequestID, ": ", string(req.ID))
	line(c.fields.TimeLeft, ": ", strconv.FormatInt(max(1, budget.Milliseconds()), 10))
	line(c.fields.ExpectedSearcher, ": ", string(to.ID))
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		line("Content-Length: ", strconv.Itoa(len(req.Body)))
	}
	line()
	return b.Bytes()
}

// receive reads responses until one matches the request.
func (c *Client) receive(ctx context.Context, p *pool, pc *persistConn, req *rrforward.Request, start time.Time) rrforward.Response {
	defer pc.limit.release()
	// hasResponse is set once the connection has carried any response.
	hasResponse := pc.used
	for range maxUnmatchedResponses {
		pc.limit.startHeader()
		if _, err := pc.r.Peek(1); err != nil {
			return c.noResponse(ctx, p, pc, start, eris.Wrap(err, "waiting for the response"))
		}
		res, err := c.readResponse(pc, req)
		if err != nil {
			return unusableResponse(ctx, err)
		}
		if hasResponse && c.isAnonymousRefusal(res) {
			return unusableResponse(ctx, errAnonymousRefusal)
		}
		if c.matches(res, req) {
			took := time.Since(start)
			p.recordResponseTime(took)
			if !pc.used {
				c.recordAcceptDelay(took - pc.dialTime)
			}
			return c.accept(pc, res)
		}
		hasResponse = hasResponse || res.status >= http.StatusOK
	}
	return unusableResponse(ctx, errUnmatchedResponses)
}

// response is one response that was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
	// keepAlive is set if the connection may carry another request.
	keepAlive bool
}

// readResponse reads one complete response.
func (c *Client) readResponse(pc *persistConn, req *rrforward.Request) (*response, error) {
	res, err := http.ReadResponse(pc.r, &http.Request{Method: req.Method})
	if err != nil {
		return nil, eris.Wrap(err, "reading the header of the response")
	}
	if err := rrstatus.Check(res.StatusCode); err != nil {
		return nil, err
	}
	pc.limit.startBody()
	defer func() { _ = res.Body.Close() }()
	body, err := c.bodies.read(res.Body, res.ContentLength)
	if err != nil {
		return nil, eris.Wrap(err, "reading the body of the response")
	}
	return &response{status: res.StatusCode, header: res.Header, body: body, keepAlive: !res.Close && res.ProtoAtLeast(1, 1)}, nil
}

// matches reports whether the response belongs to the request. The first refusal on a
// connection may lack the request id.
func (c *Client) matches(res *response, req *rrforward.Request) bool {
	ids := res.header.Values(c.fields.RequestID)
	return res.status >= http.StatusOK && len(ids) == 1 && ids[0] == string(req.ID) || c.isAnonymousRefusal(res)
}

// isAnonymousRefusal reports whether the response refuses a request that it does not name.
// On a connection that has carried a response before, the request may be an earlier one,
// while the searcher runs the current one.
func (c *Client) isAnonymousRefusal(res *response) bool {
	return res.status >= http.StatusOK && res.header.Get(c.fields.RequestID) == "" && c.isNotRun(res)
}

// accept converts a complete response and updates the connection's state.
func (c *Client) accept(pc *persistConn, res *response) rrforward.Response {
	pc.used = true
	// A duplicate of a response without an id could not be distinguished from the
	// response to the next request.
	pc.reusable = res.keepAlive && res.header.Get(c.fields.RequestID) != ""
	pc.applyKeepAlive(res.header.Get("Keep-Alive"))
	out := rrforward.Response{
		Outcome:   c.outcome(res),
		Status:    res.status,
		Header:    res.header,
		Body:      res.body,
		Signature: c.signature(res),
	}
	out.Load, out.LoadErr = parseLoad(res.header.Get(c.fields.Load))
	out.RequestLimit, out.RequestLimitErr = c.decodeLimit(res.header)
	out.Notice, out.NoticeErr = c.decodeNotice(res.status, res.header)
	if out.Outcome != rrupstream.OutcomeAnswered {
		out.Err = eris.Errorf("status %d", res.status)
	}
	return out
}

func (c *Client) isNotRun(res *response) bool { return res.header.Get(c.fields.NotRun) != "" }

// signature returns the searcher's proof that the response is its own, whole and as it was
// sent; empty if there is none. Nothing without it is passed on to callers. Bodies are asked
// for without any encoding, so that an encoded one is not the searcher's.
func (c *Client) signature(res *response) string {
	if res.header.Get("Content-Encoding") != "" || promisesNotRun(res.status) && !c.isNotRun(res) {
		return ""
	}
	return res.header.Get(c.fields.Signature)
}

// promisesNotRun reports whether the status alone tells a caller that its request has not run.
// A searcher says so in a field of its own.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// outcome classifies the attempt by the searcher's complete response.
func (c *Client) outcome(res *response) rrupstream.Outcome {
	switch {
	case res.status == http.StatusMisdirectedRequest:
		return rrupstream.OutcomeMisdirected
	case c.isNotRun(res) && res.status == http.StatusBadRequest:
		return rrupstream.OutcomeRejected
	case c.isNotRun(res):
		return rrupstream.OutcomeShed
	case c.signature(res) == "":
		return rrupstream.OutcomeFailed
	case res.status >= http.StatusInternalServerError:
		return rrupstream.OutcomeFailed
	default:
		return rrupstream.OutcomeAnswered
	}
}

// noResponse returns the result of an exchange that ended before the first byte of
// a response.
func (c *Client) noResponse(ctx context.Context, p *pool, pc *persistConn, start time.Time, err error) rrforward.Response {
	if ctx.Err() != nil || isTimeout(err) {
		return rrforward.Response{Outcome: rrupstream.OutcomeCancelled, Err: err}
	}
	// A searcher closes connections that were idle for long, and resets new ones
	// when it has too many; it may accept the next one. Such a close arrives sooner
	// than any response could.
	isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if (pc.used || isReset) && time.Since(start) < c.earliestResponse(p, pc) {
		return rrforward.Response{Outcome: rrupstream.OutcomeStaleConnection, Err: err}
	}
	return rrforward.Response{Outcome: rrupstream.OutcomeConnectionLost, Err: err}
}

// unusableResponse returns the result of an exchange whose response cannot be used.
func unusableResponse(ctx context.Context, err error) rrforward.Response {
	if ctx.Err() != nil || isTimeout(err) {
		return rrforward.Response{Outcome: rrupstream.OutcomeCancelled, Err: err}
	}
	return rrforward.Response{Outcome: rrupstream.OutcomeFailed, Err: err}
}

func isTimeout(err error) bool {
	t, ok := errors.AsType[interface {
		error
		Timeout() bool
	}](err)
	return ok && t.Timeout()
}

// applyKeepAlive sets the idle timeout from the searcher's Keep-Alive field.
func (pc *persistConn) applyKeepAlive(field string) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			pc.idleTimeout = min(time.Duration(n)*time.Second, maxIdleTimeout)
		}
	}
}
