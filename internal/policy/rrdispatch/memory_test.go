package rrdispatch_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrheap"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// The idle dispatchers of the 225 shards of a large deployment use less than a fiftieth
// of a small machine's 184 MB.
func TestIdleMemory(t *testing.T) {
	const (
		shards   = 225
		maxBytes = 184 << 20 / 50
	)
	works := rrestimate.NewServiceTimes()
	all := make([]*rrdispatch.Shard, 0, shards)
	before := rrheap.LiveBytes()
	for i := range shards {
		all = append(all, rrdispatch.New(rrdispatch.Config{
			QueueLimit: 256, ExtraShare: 0.2, ExtraWindow: rrunit.Duration(10 * time.Second), ExtraSlack: 2, ChargeRefused: true, ServiceTimes: works,
			QuarantineDuration: rrunit.Duration(time.Minute), Seed: uint64(i),
			Ranks:     []rrdispatch.Rank{{}, {}, {}},
			Searchers: []rrdispatch.Searcher{{ID: "a", Slots: 7}, {ID: "b", Slots: 7}, {ID: "c", Slots: 7}},
		}))
	}
	must.Less(t, before+maxBytes, rrheap.LiveBytes())
	runtime.KeepAlive(all)
}
