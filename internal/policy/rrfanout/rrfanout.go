// Package rrfanout decides the fan-out of one query on one snapshot: which owner
// is asked for which shard, when a standby is asked instead, and what the final
// result of each shard is. It has no goroutine, clock or socket.
package rrfanout

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Shard is one shard that the query needs.
type Shard struct {
	Name rrunit.ShardName
	// Owners are the owner and its standbys, in the order in which to ask them.
	Owners []rrunit.InstanceID
}

// Assignment is the shards to send to one owner as one task.
type Assignment struct {
	Owner rrunit.InstanceID
	// ShardIndexes are the indexes of the shards in the fan-out, ascending.
	ShardIndexes []int
}

type shardState struct {
	Shard
	// result is the final result; nil until the shard is settled.
	result *rrpeer.Result
	// nextOwner is the index of the next owner to ask, so the number asked so far.
	nextOwner int
	// pending is how many of the owners asked have not answered.
	pending int
	// mayHaveRun is true if an owner may have run the work and no usable result
	// of it was received.
	mayHaveRun bool
}

// Fanout is the state of one fan-out. It is not safe for concurrent use.
type Fanout struct {
	snapshot        rrunit.Snapshot
	shards          []shardState
	unsettledShards int
}

// New returns a fan-out over the shards on the snapshot.
func New(snapshot rrunit.Snapshot, shards []Shard) *Fanout {
	f := &Fanout{snapshot: snapshot, shards: make([]shardState, len(shards)), unsettledShards: len(shards)}
	for i := range shards {
		f.shards[i].Shard = shards[i]
	}
	return f
}

// Start returns the first owners to ask.
func (f *Fanout) Start() []Assignment {
	indexes := make([]int, len(f.shards))
	for i := range indexes {
		indexes[i] = i
	}
	return f.ask(indexes)
}

// Done reports whether every shard has its final result.
func (f *Fanout) Done() bool { return f.unsettledShards == 0 }

// AddResult adds an owner's result for the shard at the index and returns the
// standbys to ask next. Results that arrive after the final one are ignored.
func (f *Fanout) AddResult(index int, r *rrpeer.Result) []Assignment {
	if index < 0 || index >= len(f.shards) || r.Shard != f.shards[index].Name {
		return nil
	}
	s := &f.shards[index]
	if s.result != nil {
		return nil
	}
	s.pending--
	if r.OK() {
		f.addHits(s, r)
		return nil
	}
	if r.Run != rrpeer.RunNever {
		s.mayHaveRun = true
	}
	if canFailOver(r.Reason) && s.nextOwner < len(s.Owners) {
		return f.ask([]int{index})
	}
	if s.pending <= 0 {
		f.settle(s, r)
	}
	return nil
}

// addHits settles the shard if the hits come from the requested snapshot or are
// the recorded outcome of the only shard. Hits of any other snapshot are
// discarded.
func (f *Fanout) addHits(s *shardState, r *rrpeer.Result) {
	recorded := r.Recorded != "" && len(f.shards) == 1
	if recorded || r.Snapshot == f.snapshot {
		s.result = r
		f.unsettledShards--
		return
	}
	s.mayHaveRun = true
	if s.pending <= 0 {
		f.settle(s, &rrpeer.Result{ID: r.ID, Shard: r.Shard, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonSnapshot})
	}
}

// settle makes r the final result of the shard. The result has RunNever only if no
// owner can have run the work.
func (f *Fanout) settle(s *shardState, r *rrpeer.Result) {
	if s.mayHaveRun && r.Run == rrpeer.RunNever {
		copied := *r
		copied.Run = rrpeer.RunMaybe
		r = &copied
	}
	s.result = r
	f.unsettledShards--
}

// Abandon settles every shard that has no final result as failed for the reason.
// Its owners may have run the work.
func (f *Fanout) Abandon(reason rrquery.Reason) {
	for i := range f.shards {
		s := &f.shards[i]
		if s.result == nil {
			f.settle(s, &rrpeer.Result{Shard: s.Name, Run: rrpeer.RunMaybe, Reason: reason})
		}
	}
}

// canFailOver reports whether another owner may succeed after a failure for the
// reason.
func canFailOver(reason rrquery.Reason) bool {
	switch reason {
	case rrquery.ReasonPeer, rrquery.ReasonNotOwner, rrquery.ReasonLeaving:
		return true
	default:
		return false
	}
}

// ask assigns each shard to its next owner, with all shards of one owner in one
// Assignment.
func (f *Fanout) ask(indexes []int) []Assignment {
	var out []Assignment
	for _, index := range indexes {
		s := &f.shards[index]
		if s.nextOwner == len(s.Owners) {
			f.settle(s, &rrpeer.Result{Shard: s.Name, Run: rrpeer.RunNever, Reason: rrquery.ReasonPeer})
			continue
		}
		owner := s.Owners[s.nextOwner]
		s.nextOwner++
		s.pending++
		i := slices.IndexFunc(out, func(assignment Assignment) bool { return assignment.Owner == owner })
		if i < 0 {
			i = len(out)
			out = append(out, Assignment{Owner: owner})
		}
		out[i].ShardIndexes = append(out[i].ShardIndexes, index)
	}
	return out
}

// Results returns the result of each shard by its index. A shard that has no
// final result gets one with RunMaybe and ReasonDeadline.
func (f *Fanout) Results() []rrpeer.Result {
	out := make([]rrpeer.Result, len(f.shards))
	for i := range f.shards {
		s := &f.shards[i]
		if s.result != nil {
			out[i] = *s.result
			continue
		}
		out[i] = rrpeer.Result{Shard: s.Name, Run: rrpeer.RunMaybe, Reason: rrquery.ReasonDeadline}
	}
	return out
}

// Covered returns how many shards have hits.
func (f *Fanout) Covered() int {
	n := 0
	for i := range f.shards {
		if r := f.shards[i].result; r != nil && r.OK() {
			n++
		}
	}
	return n
}

// NotRun reports whether every shard has a final result with RunNever: no searcher
// has run or will run the work.
func (f *Fanout) NotRun() bool {
	return !slices.ContainsFunc(f.shards, func(s shardState) bool {
		return s.result == nil || s.result.Run != rrpeer.RunNever
	})
}

// SnapshotMissing reports whether a shard's final result is that it no longer
// serves the snapshot.
func (f *Fanout) SnapshotMissing() bool {
	return slices.ContainsFunc(f.shards, func(s shardState) bool {
		return s.result != nil && s.result.Reason == rrquery.ReasonSnapshot
	})
}
