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

// loadGenerator sends queries from several concurrent callers until stopped, and
// records every answer.
type loadGenerator struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	results []queryResult
	errs    []error
}

// queryResult is an answer, its query and the time that it took.
type queryResult struct {
	query  *rrquery.Query
	answer *rrquery.Answer
	took   time.Duration
}

// startSearchCluster starts daemons over a service of the given number of shards
// and replicas whose searchers take 2 ms.
func startSearchCluster(t *testing.T, daemons, shards, replicas int) *cluster {
	t.Helper()
	return startCluster(t, clusterConfig{
		daemons:   daemons,
		def:       smallDefinition(t, shards, replicas),
		behaviour: rrsearcherfake.Behaviour{Latency: 2 * time.Millisecond},
	})
}

// roundRobin returns a function that selects the first daemons in turn.
func (c *cluster) roundRobin(daemons int) func(n int) *daemon {
	return func(n int) *daemon { return c.daemons[n%daemons] }
}

// startLoad starts callers that send their queries to the daemon that pick returns.
// All queries have the same id.
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

// finish stops the callers and returns all answers. It fails the test if a request
// got no answer.
func (l *loadGenerator) finish(t *testing.T) []queryResult {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	must.SliceEmpty(t, l.errs)
	return l.results
}

// checkComplete checks that every answer is complete and has the expected hits.
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

// TestFrozenDaemon stops one of three daemons with SIGSTOP. Standby owners serve
// its shards, and every answer of the other daemons stays complete.
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

// TestKilledDaemon kills one of three daemons. Every answer of the other daemons
// stays complete.
func TestKilledDaemon(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	l := c.startLoad(4, c.roundRobin(2))
	time.Sleep(300 * time.Millisecond)
	c.daemons[2].signal(t, syscall.SIGKILL)
	time.Sleep(time.Second)
	c.checkComplete(t, l.finish(t))
}

// TestStoreOutage makes the platform unavailable and then slow, under load. Every
// idempotent query is still answered completely.
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
