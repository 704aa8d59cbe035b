package rrlog_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/fake/rroutput"
)

func TestLines(t *testing.T) {
	out := new(rroutput.Output)
	l := rrlog.New(out)
	l.With("instance", "a1").StateChange("searcher down", "searcher", "i-1", "cause", "lost")
	l.Failure("request short", "id", "x y")
	l.Close()
	must.StrContains(t, out.String(), `level=info msg="searcher down" instance=a1 searcher=i-1 cause=lost`)
	must.StrContains(t, out.String(), `level=warn msg="request short" id="x y"`)
}

// A message above its rate limit does not displace others, and the count of its
// dropped lines is logged.
func TestMessageRateLimit(t *testing.T) {
	out := new(rroutput.Output)
	l := rrlog.New(out)
	const n = 1000
	for range n {
		l.Routine("request answered")
	}
	l.StateChange("searcher down")
	time.Sleep(1200 * time.Millisecond)
	l.Close()
	written := strings.Count(out.String(), `msg="request answered"`)
	must.Between(t, 1, written, 60)
	must.StrContains(t, out.String(), `msg="searcher down"`)
	must.StrContains(t, out.String(), `msg="lines left out" of="request answered" count=`)
}

// A blocked writer blocks neither logging nor Close.
func TestBlockedWriter(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	l := rrlog.New(w)
	start := time.Now()
	for range 5000 {
		l.StateChange("searcher down", "searcher", strings.Repeat("x", 100))
		l.Logger().Info("library")
	}
	l.Close()
	must.Less(t, 3*time.Second, time.Since(start))
}

func BenchmarkRequest(b *testing.B) {
	line := func(l *rrlog.Log) {
		l.Routine("request answered", "id", "211354e53c5a63ed", "uri", "/nono601/no91/2f", "route", "r-1", "rank", 1,
			"kind", "idempotent", "table", 7, "status", 200, "reason", "", "took", 71*time.Millisecond)
	}
	b.Run("written", func(b *testing.B) {
		l := rrlog.New(io.Discard)
		defer l.Close()
		for b.Loop() {
			l.Logger().Info("request answered", "id", "211354e53c5a63ed", "uri", "/nono601/no91/2f", "route", "r-1", "rank", 1,
				"kind", "idempotent", "table", 7, "status", 200, "reason", "", "took", 71*time.Millisecond)
		}
	})
	b.Run("bounded", func(b *testing.B) {
		l := rrlog.New(io.Discard)
		defer l.Close()
		for b.Loop() {
			line(l)
		}
	})
}
