package rre2e_test

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

// crashes returns the number of crashes of all searchers.
func (c *cluster) crashes() int {
	n := 0
	for _, s := range c.fleet.Searchers {
		n += s.State().Crashes
	}
	return n
}

// TestCrashingRequest repeatedly sends a request that crashes every searcher that
// runs it through all daemons, under load of other requests. All daemons
// quarantine it after a bounded number of crashes, and no other request is
// refused.
func TestCrashingRequest(t *testing.T) {
	for _, shards := range []int{10, 15} {
		t.Run(strconv.Itoa(shards), func(t *testing.T) { testCrashingRequest(t, shards) })
	}
}

func testCrashingRequest(t *testing.T, shards int) {
	t.Helper()
	c := startSearchCluster(t, 3, shards, 3)
	l := c.startLoad(4, c.roundRobin(3))
	crashing := &rrquery.Query{Service: "search", Rank: "urgent", Body: json.RawMessage(`"` + rrsearcherfake.CrashMarker + `"`)}
	quarantined := func(d *daemon) bool {
		a := c.query(t, d, crashing)
		return a.NotRun && a.Reason == rrquery.ReasonQuarantine && a.RetryAfter > 0
	}
	for _, d := range c.daemons {
		eventually(t, "request quarantined by the daemon", 10*time.Second, func() bool { return quarantined(d) })
	}
	before := c.crashes()
	t.Logf("%d crashes over %d shards", before, shards)
	// The first crash at a shard makes the request suspect. It is quarantined
	// after a second crash while it runs alone, or after a third crash while
	// other requests run with it.
	const maxCrashesPerShard = 4
	must.LessEq(t, maxCrashesPerShard*shards, before)
	for range 20 {
		for _, d := range c.daemons {
			must.True(t, quarantined(d))
		}
	}
	must.Eq(t, before, c.crashes())
	for _, s := range l.finish(t) {
		must.NotEq(t, rrquery.ReasonQuarantine, s.answer.Reason)
		must.NotEq(t, rrquery.OutcomeRefused, s.answer.Outcome)
		c.checkHits(t, s.query, s.answer)
	}
}

// TestHalfOfSearchersLost closes half of the searchers at once, under load. The
// requests in progress there are lost together, and none of them is quarantined.
func TestHalfOfSearchersLost(t *testing.T) {
	c := startCluster(t, clusterConfig{
		daemons:   3,
		def:       smallDefinition(t, 10, 3),
		behaviour: rrsearcherfake.Behaviour{Latency: 20 * time.Millisecond},
	})
	l := c.startLoad(6, c.roundRobin(3))
	time.Sleep(300 * time.Millisecond)
	for i, s := range c.searchers("search", "base") {
		if i%2 == 0 {
			must.NoError(t, s.Close())
		}
	}
	time.Sleep(time.Second)
	complete := 0
	results := l.finish(t)
	for _, s := range results {
		must.NotEq(t, rrquery.ReasonQuarantine, s.answer.Reason)
		must.NotEq(t, rrquery.OutcomeRefused, s.answer.Outcome, must.Sprint(s.answer.Reason))
		if s.answer.Outcome == rrquery.OutcomeComplete {
			complete++
		}
		c.checkHits(t, s.query, s.answer)
	}
	t.Logf("%d of %d answers complete", complete, len(results))
}
