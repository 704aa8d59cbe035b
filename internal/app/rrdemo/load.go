package rrdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrclient"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

const (
	// queryPause is the time between an answer and the next query of a rank.
	queryPause = 20 * time.Millisecond
	// queryDeadline is long, so that the demo also passes on a busy machine.
	queryDeadline = rrunit.Duration(2 * time.Second)
	queryLimit    = 10
)

// rankResults holds the results of one rank in one phase.
type rankResults struct {
	outcomes  map[rrquery.Outcome]int
	latencies []time.Duration
	// errors describes failed queries and incorrect answers.
	errors []string
}

// loadGenerator sends queries of every rank until it is stopped.
type loadGenerator struct {
	cluster *cluster
	cancel  context.CancelFunc
	workers sync.WaitGroup

	// mu guards results.
	mu      sync.Mutex
	results map[rrunit.RankName]*rankResults
}

func startLoadGenerator(ctx context.Context, c *cluster) *loadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{cluster: c, cancel: cancel}
	l.takeResults()
	for i := range c.def.Ranks {
		l.workers.Go(func() { l.sendQueries(ctx, i) })
	}
	return l
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.workers.Wait()
}

// takeResults returns the results so far and resets them.
func (l *loadGenerator) takeResults() map[rrunit.RankName]*rankResults {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.results
	l.results = make(map[rrunit.RankName]*rankResults)
	for _, r := range l.cluster.def.Ranks {
		l.results[r.Name] = &rankResults{outcomes: make(map[rrquery.Outcome]int)}
	}
	return old
}

// sendQueries sends queries of one rank, to the daemons in turn. Queries in flight
// at the end are answered but not counted.
func (l *loadGenerator) sendQueries(ctx context.Context, rank int) {
	for n := 0; ctx.Err() == nil; n++ {
		q := l.cluster.makeQuery(rank, n)
		start := time.Now()
		a, err := l.cluster.callerClient(n).Query(context.WithoutCancel(ctx), q)
		if ctx.Err() != nil {
			return
		}
		l.record(q, a, err, time.Since(start))
		rrunit.Sleep(ctx, queryPause)
	}
}

func (l *loadGenerator) record(q *rrquery.Query, a *rrquery.Answer, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.results[q.Rank]
	if err != nil {
		r.errors = append(r.errors, "no answer: "+err.Error())
		return
	}
	r.outcomes[a.Outcome]++
	r.latencies = append(r.latencies, took)
	if problem := l.cluster.checkAnswer(q, a); problem != "" {
		r.errors = append(r.errors, problem)
	}
}

// callerClient returns a client of the callers' port of the n-th daemon, modulo the
// number of daemons.
func (c *cluster) callerClient(n int) *rrclient.Client {
	return rrclient.New([]string{c.settings[n%len(c.settings)].CallerAddress})
}

// makeQuery returns the n-th query of the rank, over all shards of a service with
// several.
func (c *cluster) makeQuery(rank, n int) *rrquery.Query {
	services := c.multiShardServices()
	return &rrquery.Query{
		Service:  services[n%len(services)].Name,
		Rank:     c.def.Ranks[rank].Name,
		Caller:   rrunit.CallerID(fmt.Sprintf("demo-%d", rank)),
		Deadline: queryDeadline,
		Limit:    queryLimit,
		Body:     json.RawMessage(fmt.Sprintf(`{"terms":"84.2 %d"}`, n)),
	}
}

func (c *cluster) multiShardServices() []*rrdefinition.Service {
	var out []*rrdefinition.Service
	for i := range c.def.Services {
		if !c.def.Services[i].IsSingleShard() {
			out = append(out, &c.def.Services[i])
		}
	}
	return out
}

// checkAnswer describes what is incorrect in an answer, empty if nothing is. It
// computes the expected hits from the snapshot and the shards in the answer.
func (c *cluster) checkAnswer(q *rrquery.Query, a *rrquery.Answer) string {
	if len(a.Covered) == 0 {
		return ""
	}
	layout := c.def.Service(q.Service).Layout(a.Snapshot.Layout)
	if layout == nil {
		return fmt.Sprintf("an answer names the unknown layout %q", a.Snapshot.Layout)
	}
	if len(a.Covered)+len(a.Missing) != len(layout.Shards) {
		return "an answer does not account for every shard"
	}
	want := rrsearcherfake.ExpectedHits(layout, a.Covered, q.Service, a.Snapshot.Version, q.Body, q.Limit)
	if !reflect.DeepEqual(want, a.Hits) {
		return fmt.Sprintf("the hits in an answer of %s differ from those of its snapshot and shards", q.Service)
	}
	return ""
}

// quantile returns the q-quantile of the latencies.
func (r *rankResults) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	i := int(q * float64(len(r.latencies)-1))
	return r.latencies[i].Round(100 * time.Microsecond)
}
