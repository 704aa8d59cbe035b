package rrentry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrentry"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// overloadedPeer is an owner that refuses every task as overloaded once end is closed.
type overloadedPeer struct {
	tasks chan *rrpeer.Task
	end   chan struct{}
}

func (p *overloadedPeer) Worker(rrunit.InstanceID) rrpeers.Worker { return p }
func (*overloadedPeer) Ready(rrunit.InstanceID) bool              { return true }
func (*overloadedPeer) Probe([]rrunit.ShardKey)                   {}

func (p *overloadedPeer) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	p.tasks <- task
	go func() {
		<-p.end
		for _, name := range task.Shards {
			result(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonOverload})
		}
	}()
	return func() {}
}

func TestOverloadIsRefusedBeforeTheFanout(t *testing.T) {
	peer := &overloadedPeer{tasks: make(chan *rrpeer.Task, 1000), end: make(chan struct{})}
	e := rrentry.New(peer)
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	e.SetDefinition(def)
	e.SetMembers(rrownership.NewTable([]rrownership.Member{{ID: "a", Zone: "etela-1", Region: "etela"}}))
	shards := def.Service("luettelo").Layouts[0].Shards
	for i := range shards {
		e.Report(rrpeer.ShardReport{
			Shard:    rrunit.ShardKey{Service: "luettelo", Layout: "base", Shard: shards[i].Name},
			Versions: []rrunit.IndexVersion{1},
		})
	}
	q, err := rrquery.Decode([]byte(`{"service":"luettelo","rank":"export","body":"x"}`), def)
	must.NoError(t, err)
	const queries = 100
	answers := make(chan *rrquery.Answer, queries)
	for range queries {
		go func() { answers <- e.Serve(t.Context(), q) }()
	}
	refused := <-answers
	must.Eq(t, rrquery.OutcomeRefused, refused.Outcome)
	must.Eq(t, rrquery.ReasonOverload, refused.Reason)
	must.True(t, refused.NotRun)
	must.Positive(t, refused.RetryAfter.Std())
	must.LessEq(t, 5*time.Second, refused.RetryAfter.Std())
	must.Len(t, len(def.Ranks), e.Admission()["luettelo"])
	close(peer.end)
	for range queries - 1 {
		<-answers
	}
	must.Less(t, queries, len(peer.tasks), must.Sprint("refused queries send nothing"))
}
