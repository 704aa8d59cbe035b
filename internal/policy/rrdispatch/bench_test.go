package rrdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// maxAllocations is the maximum number of heap allocations per subquery.
const maxAllocations = 6

// loadGenerator offers jobs and finishes attempts so that a number of jobs always waits.
type loadGenerator struct {
	core    *rrdispatch.Shard
	now     rrunit.Instant
	next    rrdispatch.JobID
	running []rrdispatch.AttemptID
	callers []rrunit.CallerID
}

func newLoadGenerator(replicas, waiting int) *loadGenerator {
	g := &loadGenerator{core: newSim(1, replicas, 3, rrdispatch.Tuning{}).core}
	for i := range 16 {
		g.callers = append(g.callers, rrunit.CallerID(fmt.Sprintf("caller-%d", i)))
	}
	for range 3*replicas + waiting {
		g.offer()
	}
	return g
}

func (g *loadGenerator) apply(actions []rrdispatch.Action) {
	for i := range actions {
		if actions[i].Kind == rrdispatch.ActionSend {
			g.running = append(g.running, actions[i].Attempt)
		}
	}
}

func (g *loadGenerator) offer() {
	g.next++
	g.apply(g.core.Offer(g.now, rrdispatch.Job{
		ID: g.next, Rank: int(g.next % 3), Caller: g.callers[g.next%16], Version: 1,
		Fingerprint: rrunit.Fingerprint(g.next), Idempotent: true, Deadline: g.now.Add(time.Second),
	}))
}

// step runs one subquery from its offer to its reply.
func (g *loadGenerator) step() {
	g.now = g.now.Add(10 * time.Microsecond)
	if at, ok := g.core.Next(); ok && at <= g.now {
		g.apply(g.core.Tick(g.now))
	}
	g.offer()
	id := g.running[0]
	g.running = append(g.running[:0], g.running[1:]...)
	g.apply(g.core.Finish(g.now, id, rrupstream.OutcomeAnswered))
}

func BenchmarkSubquery(b *testing.B) {
	for _, replicas := range []int{3, 15} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("replicas=%d/waiting=%d", replicas, waiting), func(b *testing.B) {
				g := newLoadGenerator(replicas, waiting)
				b.ReportAllocs()
				for b.Loop() {
					g.step()
				}
			})
		}
	}
}

func TestAllocations(t *testing.T) {
	for _, waiting := range []int{0, 200} {
		g := newLoadGenerator(3, waiting)
		for range 5000 {
			g.step()
		}
		n := testing.AllocsPerRun(5000, g.step)
		t.Logf("%d waiting: %g allocations a subquery", waiting, n)
		must.LessEq(t, maxAllocations, n)
	}
}
