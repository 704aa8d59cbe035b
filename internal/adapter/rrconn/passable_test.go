package rrconn_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Guards against a success with a body that is not the searcher's: a signed response with an
// encoded body failed the attempt, and was passed on to the caller as the searcher's failure.
func TestFailuresThatArePassedOn(t *testing.T) {
	const signed = idHeader + "X-Sign: s\r\nContent-Length: 1\r\n"
	for name, c := range map[string]struct {
		response, signature string
	}{
		"failure":         {"HTTP/1.1 500 X\r\n" + signed + "\r\nx", "s"},
		"encoded success": {"HTTP/1.1 200 X\r\n" + signed + "Content-Encoding: gzip\r\n\r\nx", ""},
		"encoded failure": {"HTTP/1.1 500 X\r\n" + signed + "Content-Encoding: gzip\r\n\r\nx", ""},
		// Without the field that says so, these have run for all that is known.
		"503 that may have run": {"HTTP/1.1 503 X\r\n" + signed + "\r\nx", ""},
		"429 that may have run": {"HTTP/1.1 429 X\r\n" + signed + "\r\nx", ""},
		"408 that may have run": {"HTTP/1.1 408 X\r\n" + signed + "\r\nx", ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			res := forward(t, newClient(t), to, newRequest("1"))
			must.Eq(t, rrupstream.OutcomeFailed, res.Outcome)
			must.Eq(t, c.signature, res.Signature)
		})
	}
}
