package rrsearch_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrsearch"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// startSearcher serves a fixed reply over HTTP/2 without TLS.
func startSearcher(tb testing.TB, reply *rrsearch.Reply) rrupstream.Target {
	tb.Helper()
	b, err := json.Marshal(reply)
	must.NoError(tb, err)
	return serve(tb, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(b) })
}

func tenHits() *rrsearch.Reply {
	r := &rrsearch.Reply{
		Snapshot: rrunit.Snapshot{Version: 1, Layout: "first"},
		Shard:    "shard-01",
		Load:     &rrupstream.Load{Slots: 3, BusySlots: 1, Snapshots: []rrunit.Snapshot{{Version: 1, Layout: "first"}}},
	}
	for i := range 10 {
		r.Hits = append(r.Hits, rrquery.Hit{
			ID:    fmt.Sprintf("shard-01-v1-%04d", i),
			Score: 1 / float64(i+3),
			Body:  json.RawMessage(fmt.Sprintf(`{"title":"title number %d","mark":"84.%d"}`, i, i)),
		})
	}
	return r
}

func request() *rrupstream.Request {
	return &rrupstream.Request{
		Service: "luettelo", Shard: "shard-01", Snapshot: rrunit.Snapshot{Version: 1, Layout: "first"},
		Rank: "urgent", Caller: "press-1", TimeLeft: rrunit.Duration(time.Second), Limit: 10,
		Body: json.RawMessage(`{"title":"kalevala"}`),
	}
}

// BenchmarkSearch measures sequential subqueries of ten hits on one connection. Time
// and allocations include those of the searcher, which is in the same process.
func BenchmarkSearch(b *testing.B) {
	reply := tenHits()
	to := startSearcher(b, reply)
	c := rrsearch.New()
	b.Cleanup(c.Close)
	sub := request()
	b.ReportAllocs()
	for b.Loop() {
		if out := c.Search(b.Context(), to, sub); out.Outcome != rrupstream.OutcomeAnswered || len(out.Hits) != len(reply.Hits) {
			b.Fatalf("outcome %q with %d hits", out.Outcome, len(out.Hits))
		}
	}
}
