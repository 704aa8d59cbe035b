package rrgather_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
)

func TestDecide(t *testing.T) {
	const target, deadline = rrunit.Instant(100), rrunit.Instant(1000)
	for name, c := range map[string]struct {
		succeeded, failed int
		now               rrunit.Instant
		want              rrgather.Decision
	}{
		"no results yet":             {0, 0, 0, rrgather.DecisionWait},
		"whole":                      {10, 0, 5, rrgather.DecisionAnswer},
		"enough, but time is left":   {9, 0, 99, rrgather.DecisionWait},
		"enough at the target":       {9, 0, 100, rrgather.DecisionAnswer},
		"enough and the rest failed": {9, 1, 5, rrgather.DecisionAnswer},
		"too few at the target":      {8, 0, 100, rrgather.DecisionWait},
		"too few can succeed":        {3, 2, 5, rrgather.DecisionFail},
		"too few at the deadline":    {8, 1, 1000, rrgather.DecisionFail},
		"enough after the target":    {9, 0, 400, rrgather.DecisionAnswer},
		"complete at the deadline":   {10, 0, 1000, rrgather.DecisionAnswer},
	} {
		g := rrgather.New(rrgather.Config{Shards: 10, MinShards: 9, Target: target, Deadline: deadline})
		for range c.succeeded {
			g.AddResult(true)
		}
		for range c.failed {
			g.AddResult(false)
		}
		must.Eq(t, c.want, g.Decide(c.now), must.Sprint(name))
	}
}

func record(s string) string { return s + strings.Repeat(".", rrgather.RecordSize-len(s)) }

func TestTop(t *testing.T) {
	parts := [][]byte{
		[]byte(record("b") + record("d") + "rest"),
		[]byte(record("d") + record("a")),
		nil,
		[]byte("short"),
	}
	must.Eq(t, record("d")+record("d")+record("b"), string(rrgather.TopRecords(parts, 3)))
	must.Eq(t, record("d")+record("d")+record("b")+record("a"), string(rrgather.TopRecords(parts, 10)))
	must.Eq(t, "", string(rrgather.TopRecords(nil, 5)))
}

func TestTopReturnsGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 100), 0, 6).Draw(t, "parts")
		n := rapid.IntRange(0, 8).Draw(t, "n")
		got := rrgather.TopRecords(parts, n)
		total := 0
		for _, p := range parts {
			total += len(p) / rrgather.RecordSize
		}
		if len(got) != min(n, total)*rrgather.RecordSize {
			t.Fatalf("got %d bytes for %d records", len(got), total)
		}
		for i := rrgather.RecordSize; i < len(got); i += rrgather.RecordSize {
			if bytes.Compare(got[i-rrgather.RecordSize:i], got[i:i+rrgather.RecordSize]) < 0 {
				t.Fatal("the records are not in descending order")
			}
		}
	})
}
