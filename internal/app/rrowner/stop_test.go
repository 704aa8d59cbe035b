package rrowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrowner"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// slow is an upstream that answers after a second unless it is cancelled.
type slow struct{ crashing }

func (slow) Search(ctx context.Context, _ rrupstream.Target, req *rrupstream.Request) rrupstream.Reply {
	select {
	case <-ctx.Done():
		return rrupstream.Reply{Outcome: rrupstream.OutcomeCancelled}
	case <-time.After(time.Second):
		return rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered, Snapshot: req.Snapshot}
	}
}

// TestWorkInFlight checks the reason of work that is in flight when the owner stops or
// the definition removes or keeps the shard.
func TestWorkInFlight(t *testing.T) {
	def, err := rrexample.Lakeside()
	must.NoError(t, err)
	service := def.Service("deposit-desk")
	layout := service.Layouts[0]
	withoutShard := &rrdefinition.Definition{}
	*withoutShard = *def
	withoutShard.Services = def.Services[:1]
	must.NoError(t, withoutShard.Prepare())
	for name, c := range map[string]struct {
		end  func(*rrowner.Owner, context.CancelFunc)
		want rrquery.Reason
	}{
		"the owner stops":        {func(_ *rrowner.Owner, stop context.CancelFunc) { stop() }, rrquery.ReasonLeaving},
		"the shard is dropped":   {func(o *rrowner.Owner, _ context.CancelFunc) { o.SetDefinition(withoutShard) }, rrquery.ReasonNone},
		"the definition remains": {func(o *rrowner.Owner, _ context.CancelFunc) { o.SetDefinition(def) }, rrquery.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				owner := rrowner.New(ctx, slow{crashing{layout: layout.Name}})
				owner.SetDefinition(def)
				results := make(chan rrpeer.Result, 1)
				owner.Worker(func(rrpeer.ShardReport) {}).Work(&rrpeer.Task{
					Service: service.Name, Snapshot: rrunit.Snapshot{Version: 1, Layout: layout.Name},
					Shards: []rrunit.ShardName{layout.Shards[0].Name}, Rank: def.Ranks[0].Name,
					TimeLeft: rrunit.Duration(3 * time.Second), Idempotent: true, Body: []byte(`1`),
				}, func(r rrpeer.Result) { results <- r })
				time.Sleep(10 * time.Millisecond)
				c.end(owner, stop)
				must.Eq(t, c.want, (<-results).Reason)
				stop()
				owner.Wait()
			})
		})
	}
}
