package rrconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrconn"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// writeEndlessly writes the text on the connection until the other side closes it.
func writeEndlessly(conn net.Conn, text string) {
	text = strings.Repeat(text, 1+4096/len(text))
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

const idHeader = "X-Id: r-1\r\n"

// endlessResponses are a start and a text that repeats without end, by the part of
// the response that never ends.
func endlessResponses() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + "X-Sign: s\r\n"
	return map[string][2]string{
		"header lines":        {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"one header line":     {"HTTP/1.1 200 OK\r\nX-More: ", "x"},
		"a status line":       {"HTTP/1.1 200 ", "O"},
		"not HTTP":            {"", "\x00\xff"},
		"a body":              {head + "\r\n", "0123456789abcdef"},
		"a long body":         {head + "Content-Length: 999999999999\r\n\r\n", "0123456789abcdef"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"a chunk's extension": {head + "Transfer-Encoding: chunked\r\n\r\n5;x=", "y"},
		"a trailer":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n"},
		"interim responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"other responses":     {"", "HTTP/1.1 200 OK\r\nX-Id: r-0\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"},
	}
}

// A response without end fails the attempt long before its deadline, and counts as
// the searcher's failure.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	for name, c := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = io.WriteString(conn, c[0])
					writeEndlessly(conn, c[1])
					close(closed)
				}
			})
			cl := newClient(t)
			res := cl.Forward(t.Context(), to, newRequest("1"), time.Minute)
			must.Eq(t, rrupstream.OutcomeFailed, res.Outcome, must.Sprint(res.Err))
			<-closed
			must.Zero(t, cl.IdleConnections(to))
		})
	}
}

// maxHeapBytes bounds the heap while 200 searchers send without end. It is far below
// the memory of the smallest instance.
const maxHeapBytes = 64 << 20

// Many searchers that send without end at the same time must not exhaust the
// daemon's memory.
func TestEndlessBytesHoldLittleMemory(t *testing.T) {
	const searchers = 200
	// The platform's daemons run with this setting.
	oldPercent := debug.SetGCPercent(50)
	t.Cleanup(func() { debug.SetGCPercent(oldPercent) })
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + "X-Sign: s\r\n\r\n"
	for name, start := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX-More: ", "body": head} {
		t.Run(name, func(t *testing.T) {
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					_, _ = io.WriteString(conn, start)
					writeEndlessly(conn, "x")
				}
			})
			c := newClient(t)
			stop := make(chan struct{})
			peak := make(chan uint64)
			go func() { peak <- watchHeap(stop) }()
			var wg sync.WaitGroup
			for i := range searchers {
				target := to
				target.ID = rrunit.SearcherID(fmt.Sprint(i))
				wg.Go(func() { _ = c.Forward(t.Context(), target, newRequest("1"), 10*time.Second) })
			}
			wg.Wait()
			close(stop)
			must.Less(t, maxHeapBytes, <-peak)
			// The memory has been released.
			must.Eq(t, rrupstream.OutcomeAnswered, forwardLongResponse(t, c).Outcome)
		})
	}
}

// watchHeap returns the peak heap size until stop is closed.
func watchHeap(stop <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-stop:
			return peak
		case <-time.After(time.Millisecond):
		}
	}
}

// forwardLongResponse makes the client read a response of some megabytes.
func forwardLongResponse(t *testing.T, c *rrconn.Client) rrforward.Response {
	t.Helper()
	_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err == nil {
			_, _ = io.WriteString(conn, okResponse("r-1", strings.Repeat("x", 7<<20)))
		}
	})
	return c.Forward(t.Context(), to, newRequest("1"), 10*time.Second)
}

// The longest body is read whole, with and without an announced length, and one byte more
// fails the attempt.
func TestBodyLimit(t *testing.T) {
	const maxBody = 8 << 20
	for _, framing := range []string{"Content-Length: %d\r\n\r\n", "Connection: close\r\n\r\n"} {
		for size, want := range map[int]rrupstream.Outcome{
			0: rrupstream.OutcomeAnswered, 1: rrupstream.OutcomeAnswered, 16 << 10: rrupstream.OutcomeAnswered, 16<<10 + 1: rrupstream.OutcomeAnswered,
			maxBody: rrupstream.OutcomeAnswered, maxBody + 1: rrupstream.OutcomeFailed, maxBody + 16<<10: rrupstream.OutcomeFailed,
		} {
			body := strings.Repeat("x", size/2) + strings.Repeat("y", size-size/2)
			_, to := serve(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					head := "HTTP/1.1 200 OK\r\n" + idHeader + "X-Sign: s\r\n" + framing
					if strings.Contains(framing, "%d") {
						head = fmt.Sprintf(head, size)
					}
					_, _ = io.WriteString(conn, head+body)
				}
			})
			res := newClient(t).Forward(t.Context(), to, newRequest("1"), 10*time.Second)
			must.Eq(t, want, res.Outcome, must.Sprintf("%d bytes: %v", size, res.Err))
			if want == rrupstream.OutcomeAnswered {
				must.True(t, string(res.Body) == body, must.Sprintf("%d bytes", size))
			}
		}
	}
}
