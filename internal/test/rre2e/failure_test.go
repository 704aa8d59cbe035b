package rre2e_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

// load sends queries one after another from several callers until stopped, and
// keeps every answer.
type loadGenerator struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []queryResult
	errs    []error
}

// served is one answer, its query and how long it took.
type queryResult struct {
	query  *rrquery.Query
	answer *rrquery.Answer
	took   time.Duration
}

// startSmall starts daemons over a service of the given shape whose searchers
// take 2 ms.
func startSearchCluster(t *testing.T, daemons, shards, replicas int) *cluster {
	t.Helper()
	return startCluster(t, clusterConfig{
		daemons: daemons,
		def:     smallDefinition(t, shards, replicas),
		behaviour:  rrsearcherfake.Behaviour{Latency: 2 * time.Millisecond},
	})
}

// inTurn picks the first daemons in turn.
func (c *cluster) roundRobin(daemons int) func(n int) *daemon {
	return func(n int) *daemon { return c.daemons[n%daemons] }
}

// startLoad starts callers that each ask the daemon that pick returns.
func (c *cluster) startLoad(callers int, pick func(n int) *daemon) *loadGenerator {
	l := &loadGenerator{stop: make(chan struct{})}
	for caller := range callers {
		l.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				q := &rrquery.Query{Service: "search", Rank: "urgent", ID: "same", Body: json.RawMessage(fmt.Sprintf(`"%d/%d"`, caller, n))}
				start := time.Now()
				a, err := c.tryQuery(pick(n), q)
				l.record(queryResult{query: q, answer: a, took: time.Since(start)}, err)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *loadGenerator) record(s queryResult, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errs = append(l.errs, err)
		return
	}
	l.results = append(l.results, s)
}

// end stops the callers and returns all answers; no request may have failed
// without one.
func (l *loadGenerator) finish(t *testing.T) []queryResult {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	must.SliceEmpty(t, l.errs)
	return l.results
}

// checkComplete checks that every answer is whole and true.
func (c *cluster) checkComplete(t *testing.T, all []queryResult) {
	t.Helper()
	slowest := time.Duration(0)
	for _, s := range all {
		must.Eq(t, rrquery.OutcomeComplete, s.answer.Outcome, must.Sprint(s.answer.Reason, s.answer.Missing))
		c.checkHits(t, s.query, s.answer)
		slowest = max(slowest, s.took)
	}
	t.Logf("%d answers, slowest %s", len(all), slowest)
}

// TestFrozenDaemon freezes one of three daemons. Its shards are served by
// stand-bys, and every answer of the others stays whole.
func TestFrozenDaemon(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	l := c.startLoad(4, c.roundRobin(2))
	time.Sleep(300 * time.Millisecond)
	c.daemons[2].signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	c.daemons[2].signal(t, syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond)
	c.checkComplete(t, l.finish(t))
}

// TestKilledDaemon kills one of three daemons.
func TestKilledDaemon(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	l := c.startLoad(4, c.roundRobin(2))
	time.Sleep(300 * time.Millisecond)
	c.daemons[2].signal(t, syscall.SIGKILL)
	time.Sleep(time.Second)
	c.checkComplete(t, l.finish(t))
}

// TestStoreOutage takes the platform down, then makes it slow, under load.
// Idempotent queries go on untouched.
func TestStoreOutage(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	l := c.startLoad(4, c.roundRobin(3))
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Down: true})
	time.Sleep(2 * time.Second)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Delay: 1500 * time.Millisecond})
	time.Sleep(2 * time.Second)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	c.checkComplete(t, l.finish(t))
}
