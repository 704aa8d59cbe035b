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

// meanInvalidPause is the mean time between two invalid requests to a daemon.
const meanInvalidPause = 400 * time.Millisecond

// invalidRequests are requests that must not be forwarded, with the status that
// they must get. {id} is replaced by the request's id, {field} by the name of the
// header field that has it.
var invalidRequests = []struct { //nolint:gochecknoglobals // constant
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

// sendInvalid sends a daemon invalid requests, each over a new connection, until
// ctx ends.
func (f *fleet) sendInvalid(ctx context.Context, d *node) {
	pause := func() time.Duration { return time.Duration(rand.ExpFloat64() * float64(meanInvalidPause)) }
	for n := 1; rrunit.Sleep(ctx, pause()); n++ {
		invalid := invalidRequests[n%len(invalidRequests)]
		id := fmt.Sprintf("%sbad%06d", d.name, n)
		sent := time.Now()
		raw := strings.NewReplacer("{id}", id, "{field}", platform.Fields().RequestID).Replace(invalid.raw)
		status := exchange(ctx, d.proxyAddress[rrplan.LinkCallers], raw)
		if ctx.Err() != nil {
			return // the request was interrupted by the end of the run
		}
		f.history.RecordInvalidRequest(id, d.name, sent, invalid.status, status)
	}
}

// exchange sends raw bytes and returns the status of the answer, zero if there is
// none.
func exchange(ctx context.Context, address, raw string) int {
	dialer := net.Dialer{Timeout: routeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(routeTimeout))
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
