package rrowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrowner"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// crashing is an upstream whose searchers crash on one request body.
type crashing struct {
	body   string
	layout rrunit.LayoutName
}

func (c crashing) Search(_ context.Context, _ rrupstream.Target, req *rrupstream.Request) rrupstream.Reply {
	time.Sleep(5 * time.Millisecond)
	if string(req.Body) == c.body {
		return rrupstream.Reply{Outcome: rrupstream.OutcomeConnectionLost}
	}
	return rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered, Snapshot: req.Snapshot}
}

func (c crashing) Load(context.Context, rrupstream.Target) (rrupstream.Load, error) {
	return rrupstream.Load{Snapshots: []rrunit.Snapshot{{Version: 1, Layout: c.layout}}}, nil
}

func TestQuarantineIsAnnouncedAndApplied(t *testing.T) {
	def, err := rrexample.Lakeside()
	must.NoError(t, err)
	service := def.Service("deposit-desk")
	layout := service.Layouts[0]
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		announced := make(chan rrpeer.Quarantine, 10)
		owner := rrowner.New(ctx, crashing{body: `"boom"`, layout: layout.Name},
			rrowner.WithQuarantine(func(q rrpeer.Quarantine) { announced <- q }))
		owner.SetDefinition(def)
		worker := owner.Worker(func(rrpeer.ShardReport) {})
		search := func(body string, f rrunit.Fingerprint) rrpeer.Result {
			results := make(chan rrpeer.Result, 1)
			worker.Work(&rrpeer.Task{
				Service: service.Name, Snapshot: rrunit.Snapshot{Version: 1, Layout: layout.Name},
				Shards: []rrunit.ShardName{layout.Shards[0].Name}, Rank: def.Ranks[0].Name, Fingerprint: f,
				TimeLeft: rrunit.Duration(2 * time.Second), Idempotent: true, Body: []byte(body),
			}, func(r rrpeer.Result) { results <- r })
			return <-results
		}
		first := search(`"boom"`, 1)
		must.Eq(t, rrquery.ReasonQuarantine, first.Reason)
		must.Eq(t, rrpeer.RunMaybe, first.Run)
		must.Positive(t, first.RetryAfter)
		q := <-announced
		must.Eq(t, 1, q.Fingerprint)
		must.Eq(t, def.Limits.QuarantineDuration, q.TimeLeft)
		again := search(`"boom"`, 1)
		must.Eq(t, rrquery.ReasonQuarantine, again.Reason)
		must.Eq(t, rrpeer.RunNever, again.Run)
		must.Eq(t, rrquery.ReasonNone, search(`"fine"`, 2).Reason)
		owner.Quarantine(rrpeer.Quarantine{Fingerprint: 2, TimeLeft: rrunit.Duration(time.Second)})
		must.Eq(t, rrquery.ReasonQuarantine, search(`"fine"`, 2).Reason)
		time.Sleep(2 * time.Second)
		must.Eq(t, rrquery.ReasonNone, search(`"fine"`, 2).Reason)
		must.Zero(t, len(announced))
		cancel()
		owner.Wait()
	})
}
