package rrconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrconn"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func fields() rrforward.HeaderNames {
	return rrforward.HeaderNames{
		RequestID: "X-Id", TimeLeft: "X-Left", Signature: "X-Sign", ExpectedSearcher: "X-Expect", Load: "X-Load", NotRun: "X-Not-Run",
	}
}

// scriptedSearcher is a searcher whose connections are served by a test function.
type scriptedSearcher struct {
	listener net.Listener
	conns    atomic.Int64
}

// serve starts a searcher that calls f with each connection, numbered from 1.
func serve(t *testing.T, f func(n int64, conn net.Conn, r *bufio.Reader)) (*scriptedSearcher, rrforward.Target) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scriptedSearcher{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n := s.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				f(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s, rrforward.Target{ID: "w", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func read(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s-%s\r\nX-Load: 1,2,3\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// newRequest returns a request with the id r-n.
func newRequest(n string) *rrforward.Request {
	return &rrforward.Request{
		Method: http.MethodGet, URI: "/a%2Fb/?q=1&&x", Host: "h.example", Header: rrforward.EncodeHeader(http.Header{"X-Other": {"1", "2"}}),
		ID: rrunit.RequestID("r-" + n), Idempotent: true,
	}
}

func forward(t *testing.T, c *rrconn.Client, to rrforward.Target, req *rrforward.Request) rrforward.Response {
	t.Helper()
	return c.Forward(t.Context(), to, req, 2*time.Second)
}

func newClient(t *testing.T) *rrconn.Client {
	t.Helper()
	c := rrconn.New(fields())
	t.Cleanup(c.Close)
	return c
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		req, body, err := read(r)
		if err != nil {
			return
		}
		got <- req
		bodies <- body
		_, _ = io.WriteString(conn, okResponse("r-1", "hello"))
	})
	req := newRequest("1")
	req.Method, req.Body = http.MethodPost, []byte("the body")
	res := forward(t, newClient(t), to, req)
	must.Eq(t, rrupstream.OutcomeAnswered, res.Outcome)
	must.Eq(t, "hello", string(res.Body))
	must.Eq(t, "s-r-1", res.Signature)
	must.Eq(t, &rrforward.Load{Running: 1, Waiting: 2, Slots: 3}, res.Load)
	must.True(t, res.NewConnection)
	in := <-got
	must.Eq(t, "/a%2Fb/?q=1&&x", in.RequestURI)
	must.Eq(t, "h.example", in.Host)
	must.Eq(t, []string{"1", "2"}, in.Header.Values("X-Other"))
	must.Eq(t, "w", in.Header.Get("X-Expect"))
	must.Eq(t, "the body", <-bodies)
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     rrupstream.Outcome
	}{
		"refused as full":          {"HTTP/1.1 503 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeShed},
		"refused without the id":   {"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeShed},
		"refused as malformed":     {"HTTP/1.1 400 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeRejected},
		"address was reused":       {"HTTP/1.1 421 X\r\n" + idHeader + "Content-Length: 0\r\n\r\n", rrupstream.OutcomeMisdirected},
		"failed":                   {"HTTP/1.1 500 X\r\n" + idHeader + "X-Sign: s\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeFailed},
		"503 that may have run":    {"HTTP/1.1 503 X\r\n" + idHeader + "X-Sign: s\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeFailed},
		"without a signature":      {"HTTP/1.1 200 X\r\n" + idHeader + "Content-Length: 0\r\n\r\n", rrupstream.OutcomeFailed},
		"content encoding":         {"HTTP/1.1 200 X\r\n" + idHeader + "X-Sign: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", rrupstream.OutcomeFailed},
		"truncated":                {"HTTP/1.1 200 X\r\n" + idHeader + "X-Sign: s\r\nContent-Length: 10\r\n\r\nhalf", rrupstream.OutcomeFailed},
		"truncated chunk":          {"HTTP/1.1 200 X\r\n" + idHeader + "X-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", rrupstream.OutcomeFailed},
		"not HTTP":                 {"hello, this is no response\r\n\r\n", rrupstream.OutcomeFailed},
		"closed without response":  {"", rrupstream.OutcomeConnectionLost},
		"delimited by the close":   {"HTTP/1.1 200 X\r\n" + idHeader + "X-Sign: s\r\n\r\nall of it", rrupstream.OutcomeAnswered},
		"not found is an answer":   {"HTTP/1.1 404 X\r\n" + idHeader + "X-Sign: s\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeAnswered},
		"another's id, then close": {okResponse("r-0", "not yours"), rrupstream.OutcomeConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			res := forward(t, newClient(t), to, newRequest("1"))
			must.Eq(t, c.want, res.Outcome, must.Sprint(res.Err))
		})
	}
}

// A response that is delimited by the end of its connection is complete only if the
// connection was closed, not reset.
func TestResetTruncatesTheResponse(t *testing.T) {
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nX-Id: r-1\r\nX-Sign: s\r\n\r\nhalf of it")
		time.Sleep(20 * time.Millisecond)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	res := forward(t, newClient(t), to, newRequest("1"))
	must.Eq(t, rrupstream.OutcomeFailed, res.Outcome)
}

// answerAll answers every request on a connection.
func answerAll(_ int64, conn net.Conn, r *bufio.Reader) {
	for {
		if _, _, err := read(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse("r-1", "hello"))
	}
}

// A duplicate response, early or late, belongs to no request: it is skipped, and the
// response that follows is used.
func TestExtraResponseIsSkipped(t *testing.T) {
	for _, late := range []bool{false, true} {
		_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			for n := 1; ; n++ {
				req, _, err := read(r)
				if err != nil {
					return
				}
				id := req.Header.Get("X-Id")
				switch {
				case n == 1 && !late:
					_, _ = io.WriteString(conn, okResponse(id, "first")+okResponse(id, "extra"))
				case n == 2 && late:
					_, _ = io.WriteString(conn, okResponse("r-1", "extra")+okResponse(id, "second"))
				default:
					_, _ = io.WriteString(conn, okResponse(id, "plain"))
				}
			}
		})
		c := newClient(t)
		first := forward(t, c, to, newRequest("1"))
		must.Eq(t, rrupstream.OutcomeAnswered, first.Outcome)
		time.Sleep(10 * time.Millisecond)
		req := newRequest("2")
		second := forward(t, c, to, req)
		must.Eq(t, rrupstream.OutcomeAnswered, second.Outcome)
		must.Eq(t, "s-r-2", second.Signature)
		must.NotEq(t, "extra", string(second.Body))
	}
}

// A searcher that answers before it has read a long body would read the next request
// as the rest of it; no other request may be sent on that connection.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	s, to := serve(t, func(n int64, conn net.Conn, r *bufio.Reader) {
		if n == 1 {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(conn, okResponse("r-1", "early"))
			time.Sleep(time.Second)
			return
		}
		if _, _, err := read(r); err == nil {
			_, _ = io.WriteString(conn, okResponse("r-1", "second"))
		}
	})
	c := newClient(t)
	long := newRequest("1")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
	must.Eq(t, "early", string(forward(t, c, to, long).Body))
	must.Eq(t, "second", string(forward(t, c, to, newRequest("1")).Body))
	must.Eq(t, 2, s.conns.Load())
}

// A connection that closes after the searcher has had time to process the request
// counts as a lost response, also if the connection was reused.
func TestLostResponse(t *testing.T) {
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for n := 1; ; n++ {
			if _, _, err := read(r); err != nil {
				return
			}
			if n == 2 {
				time.Sleep(60 * time.Millisecond)
				return
			}
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, okResponse("r-1", "hello"))
		}
	})
	c := newClient(t)
	must.Eq(t, rrupstream.OutcomeAnswered, forward(t, c, to, newRequest("1")).Outcome)
	res := forward(t, c, to, newRequest("1"))
	must.Eq(t, rrupstream.OutcomeConnectionLost, res.Outcome)
	must.False(t, res.Outcome.NotRun())
}

// An answer that ends in the middle of its head, at any byte, is no answer: without the rest
// of the head its body would seem empty, or to end with the connection.
func TestHeadThatBreaksOff(t *testing.T) {
	for _, body := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "Connection: close\r\n\r\nhello"} {
		answer := "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Sign: s\r\n" + body
		cut := 0
		_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := read(r); err == nil {
				_, _ = io.WriteString(conn, answer[:cut])
			}
		})
		c := newClient(t)
		for cut = range strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n") {
			res := forward(t, c, to, newRequest("1"))
			must.NotEq(t, rrupstream.OutcomeAnswered, res.Outcome, must.Sprintf("%q", answer[:cut]))
			must.False(t, res.Outcome.NotRun())
			must.Zero(t, res.Status)
		}
		cut = len(answer)
		must.Eq(t, rrupstream.OutcomeAnswered, forward(t, c, to, newRequest("1")).Outcome)
	}
}

func TestDeadSearcher(t *testing.T) {
	s, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err == nil {
			_, _ = io.WriteString(conn, okResponse("r-1", "hello"))
			_, _, _ = read(r)
		}
	})
	c := newClient(t)
	must.False(t, c.IsDead(t.Context(), to))
	must.NoError(t, s.listener.Close())
	other := to
	other.ID = "other"
	must.True(t, c.IsDead(t.Context(), other))
	must.Eq(t, rrupstream.OutcomeUnsent, forward(t, c, other, newRequest("1")).Outcome)
}

// The ends of a dead process's connections arrive one after the other, so that another
// connection may look open when the first has ended.
func TestDeadSearcherLooksAlive(t *testing.T) {
	// endsWithin is less than the time that the check gives the connections.
	const endsWithin = 4 * time.Millisecond
	for range 100 {
		isDead, endedAfter := checkEndingSearcher(t)
		if endedAfter > endsWithin {
			// On a busy machine the timer of the test can be late.
			continue
		}
		must.True(t, isDead)
		return
	}
	t.Fatal("no connection ended in time")
}

// checkEndingSearcher checks a searcher whose last connection ends a millisecond after the
// start of the check, and returns the result and when it has ended.
func checkEndingSearcher(t *testing.T) (isDead bool, endedAfter time.Duration) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	s, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		accepted <- conn
		_, _, _ = read(r)
	})
	c := newClient(t)
	must.NoError(t, c.Connect(t.Context(), to))
	conn := <-accepted
	must.NoError(t, s.listener.Close())
	ended := make(chan time.Time, 1)
	start := time.Now()
	time.AfterFunc(time.Millisecond, func() {
		_ = conn.Close()
		ended <- time.Now()
	})
	isDead = c.IsDead(t.Context(), to)
	return isDead, (<-ended).Sub(start)
}

// A process that ends may accept a connection after it has ended another.
func TestDeadSearcherAcceptsOnceMore(t *testing.T) {
	listener := make(chan net.Listener, 1)
	s, to := serve(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
		_ = (<-listener).Close()
		_ = conn.Close()
	})
	listener <- s.listener
	must.True(t, newClient(t).IsDead(t.Context(), to))
}

// When the caller cancels, the attempt ends at once and its connection is closed,
// which the searcher can detect.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	_, to := serve(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err != nil {
			return
		}
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	start := time.Now()
	res := newClient(t).Forward(ctx, to, newRequest("1"), 5*time.Second)
	must.Eq(t, rrupstream.OutcomeCancelled, res.Outcome)
	must.Less(t, time.Second, time.Since(start))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// A cancellation that coincides with the response must not end the next request on
// the connection.
func TestLateCancelSparesTheNextRequest(t *testing.T) {
	var cancelCurrent atomic.Pointer[context.CancelFunc]
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for {
			req, _, err := read(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Id")
			_, _ = io.WriteString(conn, okResponse(id, "hello"))
			if cancel := cancelCurrent.Swap(nil); cancel != nil {
				(*cancel)()
			}
		}
	})
	c := newClient(t)
	for i := range 3000 {
		ctx, cancel := context.WithCancel(t.Context())
		cancelled, next := newRequest(fmt.Sprint("given-", i)), newRequest(fmt.Sprint("next-", i))
		cancelCurrent.Store(&cancel)
		c.Forward(ctx, to, cancelled, 5*time.Second)
		res := c.Forward(t.Context(), to, next, 5*time.Second)
		must.Eq(t, rrupstream.OutcomeAnswered, res.Outcome, must.Sprintf("request %d: %v", i, res.Err))
	}
}

func TestTimeBudgetIsSentAndEnforced(t *testing.T) {
	budgets := make(chan string, 1)
	_, to := serve(t, func(_ int64, _ net.Conn, r *bufio.Reader) {
		req, _, err := read(r)
		if err != nil {
			return
		}
		budgets <- req.Header.Get("X-Left")
		_, _ = r.ReadByte()
	})
	start := time.Now()
	res := newClient(t).Forward(t.Context(), to, newRequest("1"), 80*time.Millisecond)
	must.Eq(t, rrupstream.OutcomeCancelled, res.Outcome)
	must.Between(t, 60*time.Millisecond, time.Since(start), 500*time.Millisecond)
	var ms int
	_, err := fmt.Sscan(<-budgets, &ms)
	must.NoError(t, err)
	must.Between(t, 1, ms, 80)
}

// A duplicate of a refusal without an id may arrive late, in place of the response to
// the next request. It could not be distinguished from a refusal of that request, which
// may have run. So no other request is sent on its connection.
func TestRefusalWithoutIDClosesTheConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for n := 1; ; n++ {
			if _, _, err := read(r); err != nil {
				return
			}
			if n > 1 {
				// The duplicate; the request is still running.
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, refusal)
		}
	})
	c := newClient(t)
	must.Eq(t, rrupstream.OutcomeShed, forward(t, c, to, newRequest("1")).Outcome)
	must.Zero(t, c.IdleConnections(to))
	must.Eq(t, rrupstream.OutcomeShed, forward(t, c, to, newRequest("2")).Outcome)
	must.Eq(t, 2, s.conns.Load())
}
