package rrfanout_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfanout"
)

var snapshot = rrunit.Snapshot{Version: 7, Layout: "base"}

// delivery is a result in flight from an owner.
type delivery struct {
	shardIndex int
	result     rrpeer.Result
}

func drawResult(t *rapid.T, name rrunit.ShardName) rrpeer.Result {
	r := rrpeer.Result{Shard: name, Run: rrpeer.RunDone, Snapshot: snapshot}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r.Snapshot = rapid.SampledFrom([]rrunit.Snapshot{{Version: 6, Layout: "base"}, {Version: 7, Layout: "new"}, {}}).Draw(t, "other")
	case 1:
		r = rrpeer.Result{Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonNotOwner}
	case 2:
		r = rrpeer.Result{Shard: name, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonPeer}
	case 3:
		r = rrpeer.Result{Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonOverload}
	case 4:
		r = rrpeer.Result{Shard: name, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonSnapshot}
	}
	return r
}

// TestResultsInAnyOrder delivers results late, repeated and out of order. Covered
// shards must be of the snapshot, and a result may have RunNever only if no owner can
// have run the work.
func TestResultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "shards")
		shards := make([]rrfanout.Shard, n)
		for i := range shards {
			shards[i].Name = rrunit.ShardName(fmt.Sprint(i))
			for o := range rapid.IntRange(0, 3).Draw(t, "owners") {
				shards[i].Owners = append(shards[i].Owners, rrunit.InstanceID(fmt.Sprint((i+o)%4)))
			}
		}
		f := rrfanout.New(snapshot, shards)
		var inFlight []delivery
		mayHaveRun := make(map[int]bool)
		asked := make(map[string]bool)
		send := func(asks []rrfanout.Assignment) {
			for _, ask := range asks {
				for _, shardIndex := range ask.ShardIndexes {
					key := fmt.Sprint(ask.Owner, "/", shardIndex)
					must.False(t, asked[key])
					asked[key] = true
					inFlight = append(inFlight, delivery{shardIndex, drawResult(t, shards[shardIndex].Name)})
				}
			}
		}
		send(f.Start())
		for len(inFlight) > 0 {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "next")
			m := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			settled := f.Results()[m.shardIndex]
			if m.result.Run != rrpeer.RunNever {
				mayHaveRun[m.shardIndex] = true
			}
			send(f.AddResult(m.shardIndex, &m.result))
			if settled.OK() {
				must.Eq(t, settled, f.Results()[m.shardIndex])
			}
			if rapid.IntRange(0, 3).Draw(t, "repeat") == 0 && f.Results()[m.shardIndex].Reason != rrquery.ReasonDeadline {
				must.SliceEmpty(t, f.AddResult(m.shardIndex, &m.result))
			}
		}
		must.True(t, f.Done())
		for i, r := range f.Results() {
			must.Eq(t, shards[i].Name, r.Shard)
			if r.OK() {
				must.Eq(t, snapshot, r.Snapshot)
			}
			if r.Run == rrpeer.RunNever {
				must.False(t, mayHaveRun[i])
			}
		}
	})
}

func TestResultOfAnotherShardIsIgnored(t *testing.T) {
	f := rrfanout.New(snapshot, []rrfanout.Shard{{Name: "a", Owners: []rrunit.InstanceID{"x"}}})
	must.Len(t, 1, f.Start())
	f.AddResult(0, &rrpeer.Result{Shard: "b", Run: rrpeer.RunDone, Snapshot: snapshot})
	f.AddResult(1, &rrpeer.Result{Shard: "a", Run: rrpeer.RunDone, Snapshot: snapshot})
	must.False(t, f.Done())
	must.Eq(t, 0, f.Covered())
}

func TestOneTaskPerOwner(t *testing.T) {
	f := rrfanout.New(snapshot, []rrfanout.Shard{
		{Name: "a", Owners: []rrunit.InstanceID{"x", "y"}},
		{Name: "b", Owners: []rrunit.InstanceID{"y"}},
		{Name: "c", Owners: []rrunit.InstanceID{"x"}},
	})
	must.Eq(t, []rrfanout.Assignment{{Owner: "x", ShardIndexes: []int{0, 2}}, {Owner: "y", ShardIndexes: []int{1}}}, f.Start())
	must.Eq(t, []rrfanout.Assignment{{Owner: "y", ShardIndexes: []int{0}}},
		f.AddResult(0, &rrpeer.Result{Shard: "a", Run: rrpeer.RunMaybe, Reason: rrquery.ReasonPeer}))
}
