package rrsoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
	"rhubarbreel.example/rhubarbreel/platform"
)

// inputPause is the mean time between two requests of a daemon's bad caller.
const inputPause = 400 * time.Millisecond

// badRequests have what must not be passed on, with the status that is owed; {id} is
// the id, and {field} the field that has it.
var badRequests = []struct { //nolint:gochecknoglobals // constant
	raw    string
	status int
}{
	{"POST /one/{id} HTTP/1.1\r\nHost: " + host + "\r\n{field}: {id}\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
	{"GET /one/{id} HTTP/1.1\r\nHost: " + host + "\r\n{field}: {id}\r\n{field}: other\r\n\r\n", 400},
	{"GET /one/{id} HTTP/1.1\r\nHost: " + host + "\r\n{field}: {id}\r\n folded\r\n\r\n", 400},
	{"POST /one/{id} HTTP/1.1\r\nHost: " + host + "\r\n{field}: {id}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
	{"GET /one/{id} HTTP/1.1\r\n{field}: {id}\r\n\r\n", 400},
	{"GET /nowhere/{id} HTTP/1.1\r\nHost: " + host + "\r\n{field}: {id}\r\n\r\n", 404},
}

// sendBad sends a daemon bad requests, each over a connection of its own, until
// ctx ends.
func (f *fleet) sendBad(ctx context.Context, d *place) {
	pause := func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(inputPause)) }
	for n := 1; rrunit.Sleep(ctx, pause()); n++ {
		bad := badRequests[n%len(badRequests)]
		id := fmt.Sprintf("%sbad%06d", d.name, n)
		sent := time.Now()
		raw := strings.NewReplacer("{id}", id, "{field}", platform.Fields().RequestID).Replace(bad.raw)
		status := exchange(ctx, d.through[rrplan.LinkCallers], raw)
		if ctx.Err() != nil {
			return // the run has ended, and this request with it
		}
		f.history.AnsweredBad(id, d.name, sent, bad.status, status)
	}
}

// exchange returns the status that raw bytes are answered with, zero for none.
func exchange(ctx context.Context, address, raw string) int {
	dialer := net.Dialer{Timeout: routeTime}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(routeTime))
	if _, err := io.WriteString(conn, raw); err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
