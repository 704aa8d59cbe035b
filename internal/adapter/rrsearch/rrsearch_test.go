package rrsearch_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrsearch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

func TestSearchOutcomes(t *testing.T) {
	const ok = `{"snapshot":{"version":1,"layout":"first"},"shard":"shard-01"}`
	for name, tc := range map[string]struct {
		status int
		body   string
		want   rrupstream.Outcome
	}{
		"answered without hits": {http.StatusOK, ok, rrupstream.OutcomeAnswered},
		"another shard":         {http.StatusOK, `{"shard":"shard-02"}`, rrupstream.OutcomeWrongSnapshot},
		"not JSON":              {http.StatusOK, `<html>`, rrupstream.OutcomeFailed},
		"shed":                  {http.StatusServiceUnavailable, `{"refusal":"shed"}`, rrupstream.OutcomeShed},
		"error":                 {http.StatusInternalServerError, ok, rrupstream.OutcomeFailed},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			to := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			})
			c := rrsearch.New()
			t.Cleanup(c.Close)
			out := c.Search(t.Context(), to, request())
			must.Eq(t, tc.want, out.Outcome)
			must.SliceEmpty(t, out.Hits)
			must.Eq(t, 1, calls.Load())
		})
	}
}

func TestSearchDistinguishesUnsentFromLost(t *testing.T) {
	c := rrsearch.New()
	t.Cleanup(c.Close)
	broken := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	must.Eq(t, rrupstream.OutcomeConnectionLost, c.Search(t.Context(), broken, request()).Outcome)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	gone := rrupstream.Target{ID: "gone", Address: l.Addr().String()}
	must.Eq(t, rrupstream.OutcomeUnsent, c.Search(t.Context(), gone, request()).Outcome)
}

// serve serves the handler over HTTP/2 without TLS.
func serve(tb testing.TB, h http.HandlerFunc) rrupstream.Target {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tb, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Protocols: protocols, ReadHeaderTimeout: time.Second, Handler: h}
	go func() { _ = srv.Serve(l) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return rrupstream.Target{ID: "s", Address: l.Addr().String(), MaxConnections: 1}
}
