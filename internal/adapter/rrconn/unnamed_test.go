package rrconn_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Guards against a refusal that is untrue: a response without an id, late on a connection
// that had carried another, was taken for a refusal of the request that was running.
func TestRefusalWithoutIDProvesNothingOnAUsedConnection(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 400 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nX-Not-Run: 1\r\nX-Id:\r\nContent-Length: 0\r\n\r\n",
	} {
		s, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			for n := 1; ; n++ {
				req, _, err := read(r)
				if err != nil {
					return
				}
				if n == 2 {
					_, _ = io.WriteString(conn, refusal)
					time.Sleep(5 * time.Millisecond)
				}
				_, _ = io.WriteString(conn, okResponse(req.Header.Get("X-Id"), "ran"))
			}
		})
		c := newClient(t)
		must.Eq(t, rrupstream.OutcomeAnswered, forward(t, c, to, newRequest("1")).Outcome)
		res := forward(t, c, to, newRequest("2"))
		must.False(t, res.Outcome.NotRun(), must.Sprintf("%q: %s", refusal, res.Outcome))
		must.Zero(t, c.IdleConnections(to))
		must.Eq(t, 1, s.conns.Load())
	}
}

// The same goes for the first request on a connection once another response was skipped.
func TestRefusalWithoutIDProvesNothingAfterAnotherResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for before, want := range map[string]rrupstream.Outcome{
		okResponse("r-0", "another's"):             rrupstream.OutcomeFailed,
		"HTTP/1.1 102 Processing\r\n\r\n":          rrupstream.OutcomeShed,
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n": rrupstream.OutcomeShed,
	} {
		_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if _, _, err := read(r); err == nil {
				_, _ = io.WriteString(conn, before+refusal)
			}
		})
		must.Eq(t, want, forward(t, newClient(t), to, newRequest("1")).Outcome, must.Sprint(before))
	}
}

// A response that names two requests answers neither.
func TestResponseWithTwoIDsIsSkipped(t *testing.T) {
	const both = "HTTP/1.1 503 X\r\n" + idHeader + "X-Id: r-0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err == nil {
			_, _ = io.WriteString(conn, both+okResponse("r-1", "ran"))
		}
	})
	must.Eq(t, rrupstream.OutcomeAnswered, forward(t, newClient(t), to, newRequest("1")).Outcome)
}
