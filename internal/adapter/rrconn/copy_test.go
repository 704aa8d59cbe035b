package rrconn_test

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Guards against a request that runs at two searchers: a late copy of a refusal was read as
// the response to the second sending of the same request on that connection, which ran.
func TestCopyOfRefusalIsNoResponseToTheNextSending(t *testing.T) {
	for name, c := range map[string]struct {
		refusal string
		outcome rrupstream.Outcome
	}{
		"full":         {"HTTP/1.1 503 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeShed},
		"too many":     {"HTTP/1.1 429 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeShed},
		"malformed":    {"HTTP/1.1 400 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeRejected},
		"misdirected":  {"HTTP/1.1 421 X\r\n" + idHeader + "Content-Length: 0\r\n\r\n", rrupstream.OutcomeMisdirected},
		"failed":       {"HTTP/1.1 500 X\r\n" + idHeader + "X-Sign: s\r\nContent-Length: 0\r\n\r\n", rrupstream.OutcomeFailed},
		"not signed":   {"HTTP/1.1 200 X\r\n" + idHeader + "Content-Length: 0\r\n\r\n", rrupstream.OutcomeFailed},
		"with content": {"HTTP/1.1 503 X\r\n" + idHeader + "X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", rrupstream.OutcomeShed},
	} {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Bool
			s, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				extra := ""
				for {
					req, _, err := read(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, extra)
					extra = ""
					// The second sending runs for a while.
					if refused.CompareAndSwap(false, true) {
						_, _ = io.WriteString(conn, c.refusal)
						extra = c.refusal
						continue
					}
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(conn, okResponse(req.Header.Get("X-Id"), "ran"))
				}
			})
			to.MaxIdleConnections = 2
			client := newClient(t)
			must.Eq(t, c.outcome, forward(t, client, to, newRequest("1")).Outcome)
			again := forward(t, client, to, newRequest("1"))
			must.Eq(t, rrupstream.OutcomeAnswered, again.Outcome, must.Sprint(again.Err))
			must.Eq(t, 2, s.conns.Load())
			// Both connections stay in use: another request is told apart by its id.
			must.Eq(t, 2, client.IdleConnections(to))
			for range 2 {
				must.Eq(t, rrupstream.OutcomeAnswered, forward(t, client, to, newRequest("2")).Outcome)
			}
			must.Eq(t, 2, s.conns.Load())
		})
	}
}
