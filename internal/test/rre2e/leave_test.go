package rre2e_test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// loadBalancer selects daemons whose health check succeeds, as the platform's load
// balancer does.
type loadBalancer struct {
	mu      sync.Mutex
	healthy []*daemon
}

func (b *loadBalancer) pick(n int) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.healthy[n%len(b.healthy)]
}

func (b *loadBalancer) checkHealth(c *cluster) {
	var healthy []*daemon
	for _, d := range c.daemons {
		resp, err := c.client.Get("http://" + d.settings.CallerAddress + "/healthz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			healthy = append(healthy, d)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy = healthy
}

// startLoadBalancer checks the health of the daemons until the test ends.
func (c *cluster) startLoadBalancer(t *testing.T) *loadBalancer {
	t.Helper()
	b := new(loadBalancer)
	b.checkHealth(c)
	stop, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				b.checkHealth(c)
			}
		}
	}()
	return b
}

// restart stops the daemons concurrently and starts them again.
func (c *cluster) restart(t *testing.T, daemons ...*daemon) {
	t.Helper()
	for _, d := range daemons {
		d.signal(t, syscall.SIGTERM)
	}
	for _, d := range daemons {
		must.NoError(t, d.wait(t, 20*time.Second))
		d.start(t)
	}
	for _, d := range daemons {
		c.waitHealthy(t, d)
	}
}

// TestRollingRestart restarts all daemons under load, one by one and then half of
// them at once. Every answer stays complete.
func TestRollingRestart(t *testing.T) {
	c := startSearchCluster(t, 4, 10, 3)
	b := c.startLoadBalancer(t)
	l := c.startLoad(4, b.pick)
	for _, d := range c.daemons {
		c.restart(t, d)
	}
	c.restart(t, c.daemons[0], c.daemons[1])
	c.checkComplete(t, l.finish(t))
}

// TestLeavingSearcher makes a searcher leave, announced through only one of the
// possible channels: the instance list, the load reports or the answers. It gets
// no new work after the limit.
func TestLeavingSearcher(t *testing.T) {
	const noticeLimit = 2 * time.Second
	byList := func(c *cluster, s *rrsearcherfake.Searcher, id rrunit.SearcherID) {
		c.listAsLeaving(id)
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Draining, b.HideDraining = true, true })
	}
	byLoad := func(_ *cluster, s *rrsearcherfake.Searcher, _ rrunit.SearcherID) {
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Draining = true })
	}
	byAnswer := func(_ *cluster, s *rrsearcherfake.Searcher, _ rrunit.SearcherID) {
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Draining, b.HideDrainingInLoad = true, true })
	}
	for name, leave := range map[string]func(*cluster, *rrsearcherfake.Searcher, rrunit.SearcherID){
		"list": byList, "load": byLoad, "answer": byAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, clusterConfig{
				daemons:   2,
				def:       smallDefinition(t, 2, 3),
				behaviour: rrsearcherfake.Behaviour{Latency: time.Millisecond},
			})
			const id = "search-00-a"
			s := c.fleet.Searchers[id]
			l := c.startLoad(4, c.roundRobin(2))
			eventually(t, "work received by the searcher", 5*time.Second, func() bool { return s.State().Received > 0 })
			leave(c, s, id)
			time.Sleep(noticeLimit)
			before := s.State().Received
			time.Sleep(noticeLimit / 2)
			must.Eq(t, before, s.State().Received)
			c.checkComplete(t, l.finish(t))
		})
	}
}

// listAsLeaving marks the searcher as leaving in the platform's instance list.
func (c *cluster) listAsLeaving(id rrunit.SearcherID) {
	list := c.instanceList()
	list.Upstreams = []rrstore.Upstream{{ID: id, State: rrstore.InstanceLeaving}}
	c.fleet.Platform.SetInstances(list)
}
