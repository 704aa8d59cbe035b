package rre2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrplatform"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

// proxySearchers places a TCP proxy in front of every searcher by a change of the
// definition.
func (c *cluster) proxySearchers(t *testing.T) []*tcpProxy {
	t.Helper()
	next := *c.def
	next.Number++
	var proxies []*tcpProxy
	for i := range next.Services {
		for j := range next.Services[i].Layouts[0].Shards {
			searchers := next.Services[i].Layouts[0].Shards[j].Searchers
			for k := range searchers {
				r := startProxy(t, searchers[k].Address)
				proxies = append(proxies, r)
				searchers[k].Address = r.listener.Addr().String()
			}
		}
	}
	value, err := json.Marshal(&next)
	must.NoError(t, err)
	platform := rrplatform.New("http://" + c.platformAddress)
	defer platform.Close()
	_, err = platform.Put(context.Background(), rrdaemon.DefinitionKey, value, 1)
	must.NoError(t, err)
	for _, d := range c.daemons {
		eventually(t, "definition with the proxies applied", 5*time.Second, func() bool {
			a, err := c.tryQuery(d, newPrintQuery(t))
			return err == nil && a.Definition == next.Number && a.Outcome == rrquery.OutcomeComplete
		})
	}
	return proxies
}

// injectFaults closes connections of the proxies, and makes searchers close theirs
// before or after a run, until stop is closed.
func (c *cluster) injectFaults(proxies []*tcpProxy, stop chan struct{}) {
	random := rand.New(rand.NewPCG(1, 4))
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		proxies[random.IntN(len(proxies))].closeConnections()
		for _, s := range c.fleet.Searchers {
			s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) {
				b.AbortBeforeExecution, b.AbortBeforeReply = random.IntN(8) == 0, random.IntN(8) == 0
			})
		}
	}
}

// TestNotRunIsAccurate checks that no searcher ran a request that was answered as
// not run, while deadlines are short and connections to searchers are closed
// before, during and after the sends.
func TestNotRunIsAccurate(t *testing.T) {
	c := startCluster(t, clusterConfig{
		daemons: 3, def: smallDefinition(t, 4, 2), behaviour: rrsearcherfake.Behaviour{Latency: 3 * time.Millisecond},
	})
	proxies := c.proxySearchers(t)
	stop := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { c.injectFaults(proxies, stop) })
	l := &loadGenerator{}
	for caller := range 8 {
		l.wg.Go(func() {
			for n := range 120 {
				q := newPrintQuery(t)
				if n%2 == 0 {
					q = &rrquery.Query{Service: "search", Rank: "urgent", Key: fmt.Sprint(n)}
				}
				q.Body = json.RawMessage(fmt.Sprintf(`"%d/%d"`, caller, n))
				q.Deadline = rrunit.Duration([]time.Duration{4, 8, 20, 1000}[n/2%4] * time.Millisecond)
				a, err := c.tryQuery(c.daemons[n%3], q)
				l.record(queryResult{query: q, answer: a}, err)
			}
		})
	}
	l.wg.Wait()
	close(stop)
	injector.Wait()
	time.Sleep(1200 * time.Millisecond)
	must.SliceEmpty(t, l.errs)
	c.checkNotRun(t, l.results)
}

// checkNotRun compares the answers with the runs that the searchers recorded.
func (c *cluster) checkNotRun(t *testing.T, all []queryResult) {
	t.Helper()
	runs := make(map[string]int)
	for _, s := range c.fleet.Searchers {
		for _, r := range s.State().Executions {
			runs[r.Body]++
		}
	}
	outcomes := make(map[rrquery.Outcome]int)
	for _, s := range all {
		outcomes[s.answer.Outcome]++
		n := runs[string(s.query.Body)]
		if s.answer.NotRun {
			must.Eq(t, 0, n, must.Sprint(s.answer))
		}
		if !s.query.IsIdempotent() {
			must.LessEq(t, 1, n, must.Sprint(s.answer))
		}
	}
	t.Log(outcomes)
	must.Positive(t, outcomes[rrquery.OutcomeRefused])
	must.Positive(t, outcomes[rrquery.OutcomeComplete])
	must.Positive(t, outcomes[rrquery.OutcomeUnknown])
}
