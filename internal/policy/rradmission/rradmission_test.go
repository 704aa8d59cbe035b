package rradmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rradmission"
)

const (
	urgent = iota
	leastUrgent
)

func newGate() *rradmission.Controller {
	return rradmission.New(rradmission.Config{Ranks: []rradmission.Rank{
		{Name: "urgent", Deadline: rrunit.Duration(150 * time.Millisecond)},
		{Name: "least", Deadline: rrunit.Duration(2 * time.Second)},
	}}, rand.NewPCG(1, 2))
}

func waitReport(rank rrunit.RankName, wait time.Duration) *rrpeer.ShardReport {
	return &rrpeer.ShardReport{
		Shard: rrunit.ShardKey{Service: "s", Layout: "l", Shard: "0"},
		Waits: []rrpeer.RankWait{{Rank: rank, Wait: rrunit.Duration(wait)}},
	}
}

func at(d time.Duration) rrunit.Instant { return rrunit.Instant(d) }

// fill admits queries of the caller until one is refused, and returns how many
// were admitted.
func fill(g *rradmission.Controller, now rrunit.Instant, rank int, caller rrunit.CallerID) int {
	const maxQueries = 10_000
	for n := range maxQueries {
		if d := g.Admit(now, rank, caller); !d.Admitted {
			return n
		}
	}
	return maxQueries
}

func TestWindowFollowsReportedWaits(t *testing.T) {
	cases := map[string]struct {
		wait time.Duration
		more bool
	}{
		"no wait":          {0, true},
		"below target":     {50 * time.Millisecond, true},
		"far above target": {time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			before := fill(g, 0, leastUrgent, "a")
			g.AddReport(0, waitReport("least", c.wait))
			after := before
			for range 5 {
				for range after {
					g.Done(0, leastUrgent, "a", rradmission.ResultComplete)
				}
				after = fill(g, 0, leastUrgent, "a")
			}
			must.Eq(t, c.more, after > before, must.Sprint(before, after))
			must.Positive(t, after)
		})
	}
}

func TestStaleReportsAreIgnored(t *testing.T) {
	g := newGate()
	g.AddReport(0, waitReport("least", 2*time.Second))
	for range 100 {
		must.True(t, g.Admit(0, leastUrgent, "a").Admitted)
		g.Done(0, leastUrgent, "a", rradmission.ResultOverload)
	}
	must.Eq(t, 1, fill(g, 0, leastUrgent, "a"), must.Sprint("one query is admitted at any time"))
	now := at(time.Second)
	g.Done(now, leastUrgent, "a", rradmission.ResultComplete)
	for range 100 {
		if g.Admit(now, leastUrgent, "a").Admitted {
			g.Done(now, leastUrgent, "a", rradmission.ResultComplete)
		}
	}
	must.Greater(t, 1, fill(g, now, leastUrgent, "a"), must.Sprint("the window grows without new reports"))
}

func TestRanksAreIndependent(t *testing.T) {
	g := newGate()
	g.AddReport(0, waitReport("urgent", 150*time.Millisecond))
	for range 100 {
		if g.Admit(0, urgent, "a").Admitted {
			g.Done(0, urgent, "a", rradmission.ResultOverload)
		}
	}
	must.Eq(t, 1, fill(g, 0, urgent, "a"))
	must.Greater(t, 1, fill(g, 0, leastUrgent, "a"))
}

func TestFloodingCallerLeavesCapacity(t *testing.T) {
	g := newGate()
	for range 200 {
		first, second := g.Admit(0, leastUrgent, "flood"), g.Admit(0, leastUrgent, "flood")
		if first.Admitted && second.Admitted {
			g.Done(0, leastUrgent, "flood", rradmission.ResultComplete)
		}
	}
	for range 200 {
		g.Done(0, leastUrgent, "flood", rradmission.ResultOther)
	}
	must.True(t, g.Admit(0, leastUrgent, "other").Admitted)
	held := fill(g, 0, leastUrgent, "flood")
	must.Positive(t, held)
	must.True(t, g.Admit(0, leastUrgent, "other").Admitted, must.Sprint("capacity is left for another caller"))
}

func TestRefusalHasRetryDelay(t *testing.T) {
	g := newGate()
	g.AddReport(0, waitReport("least", 700*time.Millisecond))
	fill(g, 0, leastUrgent, "a")
	d := g.Admit(0, leastUrgent, "a")
	must.False(t, d.Admitted)
	must.GreaterEq(t, 700*time.Millisecond, d.RetryAfter.Std())
	must.LessEq(t, 5*time.Second, d.RetryAfter.Std())
}

// TestFirstQueryIsAdmitted checks that a rank without running queries admits one,
// after any order of events.
func TestFirstQueryIsAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate()
		var now rrunit.Instant
		var open [2]int
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			rank := rapid.IntRange(urgent, leastUrgent).Draw(t, "rank")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				admitted := g.Admit(now, rank, "a").Admitted
				must.True(t, admitted || open[rank] > 0)
				if admitted {
					open[rank]++
				}
			case 1:
				if open[rank] > 0 {
					open[rank]--
					g.Done(now, rank, "a", rapid.SampledFrom([]rradmission.Result{
						rradmission.ResultComplete, rradmission.ResultOverload, rradmission.ResultOther,
					}).Draw(t, "result"))
				}
			default:
				wait := time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				g.AddReport(now, waitReport("least", wait))
			}
		}
	})
}

// TestBurstFromIdle checks that a burst is admitted at once while no waits are
// reported, and that the window limits a later burst once a wait is reported.
func TestBurstFromIdle(t *testing.T) {
	g := rradmission.New(rradmission.Config{
		Ranks: []rradmission.Rank{{Name: "urgent", Deadline: rrunit.Duration(150 * time.Millisecond)}},
	}, rand.NewPCG(1, 1))
	const burst = 64
	for range burst {
		must.True(t, g.Admit(0, 0, "").Admitted)
	}
	must.False(t, g.Admit(0, 0, "").Admitted)
	for range burst / 2 {
		g.Done(0, 0, "", rradmission.ResultOverload)
	}
	g.AddReport(0, &rrpeer.ShardReport{Waits: []rrpeer.RankWait{{Rank: "urgent", Wait: rrunit.Duration(time.Second)}}})
	for range burst / 4 {
		g.Done(0, 0, "", rradmission.ResultOverload)
	}
	admitted := 0
	for range burst {
		if g.Admit(0, 0, "").Admitted {
			admitted++
		}
	}
	must.Less(t, burst, admitted+burst/4)
}
