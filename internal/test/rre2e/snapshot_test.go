package rre2e_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// checkRollout checks that every answer is complete and has the hits of its
// snapshot, and that some answers are of the last snapshot.
func (c *cluster) checkRollout(t *testing.T, all []queryResult, last rrunit.Snapshot) {
	t.Helper()
	c.checkComplete(t, all)
	snapshots := make(map[rrunit.Snapshot]int)
	for _, s := range all {
		must.SliceEmpty(t, s.answer.Missing)
		c.checkCoverage(t, s.query, s.answer)
		snapshots[s.answer.Snapshot]++
	}
	t.Logf("answers by snapshot: %v", snapshots)
	must.MapContainsKey(t, snapshots, last)
}

// checkCoverage checks that each shard of the layout is either covered or missing,
// exactly once.
func (c *cluster) checkCoverage(t *testing.T, q *rrquery.Query, a *rrquery.Answer) {
	t.Helper()
	occurrences := make(map[rrunit.ShardName]int)
	for _, name := range a.Covered {
		occurrences[name]++
	}
	for _, m := range a.Missing {
		occurrences[m.Shard]++
	}
	layout := c.def.Service(q.Service).Layout(a.Snapshot.Layout)
	must.MapLen(t, len(layout.Shards), occurrences)
	for i := range layout.Shards {
		must.Eq(t, 1, occurrences[layout.Shards[i].Name])
	}
}

// searchers returns the fake searchers of a service's layout.
func (c *cluster) searchers(service rrunit.ServiceName, layout rrunit.LayoutName) []*rrsearcherfake.Searcher {
	var out []*rrsearcherfake.Searcher
	for _, shard := range c.def.Service(service).Layout(layout).Shards {
		for _, s := range shard.Searchers {
			out = append(out, c.fleet.Searchers[s.ID])
		}
	}
	return out
}

func setVersions(s *rrsearcherfake.Searcher, versions ...rrunit.IndexVersion) {
	s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Versions = versions })
}

// TestRollingVersions changes the index version of one searcher after another
// under load, while one searcher reports a wrong version in its answers and one
// claims a version that it does not have. The hits of each answer are compared
// with those expected of its snapshot.
func TestRollingVersions(t *testing.T) {
	c := startSearchCluster(t, 2, 4, 3)
	all := c.searchers("search", "base")
	all[0].UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.WrongVersion = 9 })
	all[3].UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.AdvertisedVersions = []rrunit.IndexVersion{3} })
	l := c.startLoad(4, c.roundRobin(2))
	for next := rrunit.IndexVersion(2); next <= 4; next++ {
		for _, s := range all {
			setVersions(s, next-1, next)
			time.Sleep(20 * time.Millisecond)
		}
		for _, s := range all {
			setVersions(s, next)
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond)
	c.checkRollout(t, l.finish(t), rrunit.Snapshot{Version: 4, Layout: "base"})
}

// TestInPlaceVersionUpdate replaces the index version of each searcher by the
// next one, the first replicas of all shards before the second ones. At any time
// all shards have a replica of the old snapshot or all have one of the new.
func TestInPlaceVersionUpdate(t *testing.T) {
	const replicas = 3
	c := startSearchCluster(t, 2, 4, replicas)
	all := c.searchers("search", "base")
	l := c.startLoad(4, c.roundRobin(2))
	for i := range all {
		setVersions(all[i*replicas%len(all)+i*replicas/len(all)], 2)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	c.checkRollout(t, l.finish(t), rrunit.Snapshot{Version: 2, Layout: "base"})
}

// TestRepartition moves a service to a layout with another number of shards under
// load.
func TestRepartition(t *testing.T) {
	def := smallDefinition(t, 4, 2)
	service := def.Service("search")
	service.Layouts = append(service.Layouts, rrdefinition.Layout{Name: "wide", Shards: smallShards(t, "wide", 6, 2)})
	must.NoError(t, def.Prepare())
	c := startCluster(t, clusterConfig{daemons: 2, def: def, behaviour: rrsearcherfake.Behaviour{Latency: 2 * time.Millisecond}})
	base, wide := c.searchers("search", "base"), c.searchers("search", "wide")
	for _, s := range wide {
		setVersions(s)
	}
	l := c.startLoad(4, c.roundRobin(2))
	for _, s := range wide {
		setVersions(s, 2)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range base {
		setVersions(s)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	c.checkRollout(t, l.finish(t), rrunit.Snapshot{Version: 2, Layout: "wide"})
}

// TestLostShard closes every replica of one shard. The status and body of an
// answer state that it is partial, and the body which shard is missing.
func TestLostShard(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 2, def: smallDefinition(t, 4, 2)})
	q := &rrquery.Query{Service: "search", Rank: "urgent", Body: json.RawMessage(`"x"`)}
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[0], q).Outcome)
	for _, s := range c.searchers("search", "base")[2:4] {
		must.NoError(t, s.Close())
	}
	body, err := json.Marshal(q)
	must.NoError(t, err)
	status, b, err := c.post(c.daemons[0], body)
	must.NoError(t, err)
	var a rrquery.Answer
	must.NoError(t, json.Unmarshal(b, &a))
	must.Eq(t, 206, status)
	must.Eq(t, rrquery.OutcomePartial, a.Outcome)
	must.Eq(t, []rrunit.ShardName{"00", "02", "03"}, a.Covered)
	must.Len(t, 1, a.Missing)
	must.Eq(t, "01", a.Missing[0].Shard)
	c.checkHits(t, q, &a)
}

// TestStreamsCut repeatedly closes the streams between daemons under load, with the
// same request id used by all callers. The hits depend on the body, so an answer
// that was delivered to another caller would not match its query.
func TestStreamsCut(t *testing.T) {
	c := startSearchCluster(t, 3, 10, 3)
	list := c.instanceList()
	proxies := make([]*tcpProxy, 0, len(list.Instances))
	for i := range list.Instances {
		r := startProxy(t, list.Instances[i].Peer)
		proxies = append(proxies, r)
		list.Instances[i].Peer = r.listener.Addr().String()
	}
	c.fleet.Platform.SetInstances(rrstore.List{Instances: list.Instances})
	time.Sleep(300 * time.Millisecond)
	l := c.startLoad(6, c.roundRobin(3))
	for i := range 20 {
		time.Sleep(50 * time.Millisecond)
		proxies[i%3].closeConnections()
	}
	c.checkComplete(t, l.finish(t))
}

// TestRegionPartition pauses all traffic from one region to the daemons and
// searchers of another. Answers cover the region's own shards, list the missing
// ones, and after a while arrive well before the deadline. Once the traffic
// resumes, they are complete again.
func TestRegionPartition(t *testing.T) {
	def := smallDefinition(t, 6, 2)
	shards := def.Service("search").Layouts[0].Shards
	for i := range shards {
		shards[i].Region = []rrunit.Region{"r1", "r2"}[i%2]
	}
	n := 0
	c := startCluster(t, clusterConfig{daemons: 4, def: def, changeSettings: func(s *rrsettings.Settings) {
		s.Region = []rrunit.Region{"r1", "r2"}[n%2]
		s.Zone = rrunit.Zone(s.Region + "-1")
		n++
	}})
	var proxies []*tcpProxy
	proxied := func(to string) string {
		r := startProxy(t, to)
		proxies = append(proxies, r)
		return r.listener.Addr().String()
	}
	list := c.instanceList()
	for i := range list.Instances {
		if list.Instances[i].Region == "r2" {
			list.Instances[i].Peer = proxied(list.Instances[i].Peer)
		}
	}
	c.fleet.Platform.SetInstances(list)
	for i := range shards {
		for j := range shards[i].Searchers {
			if searcher := &shards[i].Searchers[j]; shards[i].Region == "r2" {
				searcher.Address = proxied(searcher.Address)
			}
		}
	}
	c.replaceDefinition(t, def)
	q := &rrquery.Query{Service: "search", Rank: "urgent", Deadline: rrunit.Duration(2 * time.Second), Body: json.RawMessage(`"x"`)}
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[0], q).Outcome)
	for _, r := range proxies {
		r.pauseMu.Lock()
	}
	eventually(t, "partial answer within a quarter of the deadline", 20*time.Second, func() bool {
		start := time.Now()
		a := c.query(t, c.daemons[0], q)
		took := time.Since(start)
		t.Logf("%s after %s, missing %v", a.Outcome, took, a.Missing)
		must.Eq(t, rrquery.OutcomePartial, a.Outcome)
		must.Eq(t, []rrunit.ShardName{"00", "02", "04"}, a.Covered)
		c.checkHits(t, q, a)
		return took < q.Deadline.Std()/4 && a.Missing[0].Reason == rrquery.ReasonNoSearcher
	})
	for _, r := range proxies {
		r.pauseMu.Unlock()
	}
	eventually(t, "complete answer after the partition", 5*time.Second, func() bool {
		return c.query(t, c.daemons[0], q).Outcome == rrquery.OutcomeComplete
	})
}
