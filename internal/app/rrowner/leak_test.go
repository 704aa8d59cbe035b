package rrowner

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrheap"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// TestFinishedWorkIsFreed checks that finished tasks hold no memory although their
// cancel functions are never called, as with tasks of remote entries.
func TestFinishedWorkIsFreed(t *testing.T) {
	const (
		tasks          = 20_000
		maxGrowthBytes = 1 << 20
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	o := New(ctx, &upstream{reply: rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered}})
	o.SetDefinition(def)
	w := o.Worker(func(rrpeer.ShardReport) {})
	run := func(n int) {
		for i := range n {
			var wg sync.WaitGroup
			wg.Add(1)
			w.Work(&rrpeer.Task{
				ID: rrpeer.TaskID(i), Service: "painojono", Shards: []rrunit.ShardName{"00"},
				Snapshot: rrunit.Snapshot{Version: 1, Layout: "base"}, Rank: "shelf", Idempotent: true,
				TimeLeft: rrunit.Duration(time.Minute), Limit: 1, Body: json.RawMessage(`1`),
			}, func(rrpeer.Result) { wg.Done() })
			wg.Wait()
		}
	}
	run(1000)
	before := rrheap.LiveBytes()
	run(tasks)
	must.Less(t, before+maxGrowthBytes, rrheap.LiveBytes())
	cancel()
	o.Wait()
}
