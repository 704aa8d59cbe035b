package rrhttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

const (
	small = `{"service":"luettelo","body":1}`
	big   = `{"service":"luettelo","body":1,"caller":"big"}`
	// bigHitBytes is more than the buffers of a connection hold.
	bigHitBytes = 32 << 20
	// testTimeout is how long the tests wait for an expected event.
	testTimeout = 20 * time.Second
)

// service answers queries; the caller big gets a hit of bigHitBytes.
type service struct {
	def    *rrdefinition.Definition
	served atomic.Int64
}

func (s *service) Definition() *rrdefinition.Definition { return s.def }

func (s *service) Ready() bool { return true }

func (s *service) Serve(_ context.Context, q *rrquery.Query) *rrquery.Answer {
	s.served.Add(1)
	body := json.RawMessage("1")
	if q.Caller == "big" {
		body, _ = json.Marshal(strings.Repeat("x", bigHitBytes))
	}
	return &rrquery.Answer{Outcome: rrquery.OutcomeComplete, Hits: []rrquery.Hit{{ID: "1", Body: body}}}
}

type fixture struct {
	service *service
	address string
}

// start serves the callers' port with the given limits.
func start(t *testing.T, connections int, configure func(*rrhttp.Server), opts ...rrhttp.CallerAPIOption) *fixture {
	t.Helper()
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	s := &service{def: def}
	const requests = 1
	callers := rrhttp.NewCallerAPI(s, requests, func() bool { return false }, opts...)
	l, err := rrhttp.Listen(t.Context(), "127.0.0.1:0", connections)
	must.NoError(t, err)
	srv := rrhttp.NewServer(callers.Handler(), time.Minute)
	configure(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return &fixture{service: s, address: l.Addr().String()}
}

func (f *fixture) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	must.NoError(t, err)
	must.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (f *fixture) post(t *testing.T, body string) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	resp, err := client.Post("http://"+f.address+"/v1/query", "application/json", strings.NewReader(body))
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

func (f *fixture) waitStatus(t *testing.T, want int) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for f.post(t, small) != want {
		must.True(t, time.Now().Before(end), must.Sprintf("no status %d", want))
		time.Sleep(10 * time.Millisecond)
	}
}

// waitServed waits until the first query has started.
func (f *fixture) waitServed(t *testing.T) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for f.service.served.Load() == 0 {
		must.True(t, time.Now().Before(end), must.Sprint("no query was served"))
		time.Sleep(time.Millisecond)
	}
}

func write(t *testing.T, w io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	must.NoError(t, err)
}

func defaults(*rrhttp.Server) {}

func TestSlowHeaderClosesTheConnection(t *testing.T) {
	t.Parallel()
	f := start(t, 1, defaults)
	slow := f.dial(t)
	write(t, slow, "POST /v1/query HTTP/1.1\r\nHost: x\r\n")
	// The only connection slot is free again once the slow connection was closed.
	must.Eq(t, http.StatusOK, f.post(t, small))
	_, err := io.ReadAll(slow)
	must.NoError(t, err)
}

func TestSlowBodyClosesTheConnection(t *testing.T) {
	t.Parallel()
	f := start(t, 10, func(srv *rrhttp.Server) { srv.ReadTimeout = time.Second })
	slow := f.dial(t)
	write(t, slow, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
	// A slow body does not occupy a query slot.
	must.Eq(t, http.StatusOK, f.post(t, small))
	_, err := io.ReadAll(slow)
	must.NoError(t, err)
	must.Eq(t, 1, f.service.served.Load())
}

func TestSlowReaderClosesTheConnection(t *testing.T) {
	t.Parallel()
	f := start(t, 10, defaults, rrhttp.WithAnswerTimeout(2*time.Second))
	slow := f.dial(t)
	write(t, slow, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 46\r\n\r\n"+big)
	f.waitServed(t)
	must.Eq(t, http.StatusTooManyRequests, f.post(t, small))
	f.waitStatus(t, http.StatusOK)
	n, _ := io.Copy(io.Discard, slow)
	must.Less(t, bigHitBytes, n)
}

func TestBodyLimit(t *testing.T) {
	t.Parallel()
	f := start(t, 10, defaults)
	must.Eq(t, http.StatusBadRequest, f.post(t, `{"body":"`+strings.Repeat("x", 100<<10)))
	must.Eq(t, 0, f.service.served.Load())
}

func TestMemoryOfAllRequestsIsBounded(t *testing.T) {
	t.Parallel()
	f := start(t, 10, defaults, rrhttp.WithMemoryLimit(20_000))
	end := time.Now().Add(testTimeout)
	for {
		// If the small request is in progress when the last bytes of the large one
		// arrive, the large one is refused; then it is sent again.
		slow := f.dial(t)
		write(t, slow, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 12000\r\n\r\n"+strings.Repeat(" ", 9_990))
		time.Sleep(20 * time.Millisecond)
		status := f.post(t, small)
		must.NoError(t, slow.Close())
		if status == http.StatusTooManyRequests {
			break
		}
		must.True(t, time.Now().Before(end), must.Sprint("the small request was never refused"))
	}
	f.waitStatus(t, http.StatusOK)
}

func TestHeaderLimit(t *testing.T) {
	t.Parallel()
	f := start(t, 10, defaults)
	conn := f.dial(t)
	write(t, conn, "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
}

func TestTooManyConnections(t *testing.T) {
	t.Parallel()
	l, err := rrhttp.Listen(t.Context(), "127.0.0.1:0", 3, rrhttp.WithAddressLimit(2))
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 10)
	go func() {
		defer close(accepted)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	f := &fixture{address: l.Addr().String()}
	f.dial(t)
	f.dial(t)
	first := <-accepted
	<-accepted
	// The third connection from the same IP address is closed without an answer.
	_, err = f.dial(t).Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 0, len(accepted))
	must.NoError(t, first.Close())
	f.dial(t)
	must.NotNil(t, <-accepted)
}
