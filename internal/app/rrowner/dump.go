package rrowner

import (
	"maps"
	"slices"
	"strings"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// ShardDump is the state of one shard at its owner.
type ShardDump struct {
	Shard rrunit.ShardKey `json:"shard"`
	// Jobs counts the subqueries without a result.
	Jobs int `json:"jobs"`
	rrdispatch.State
}

// Dump returns the state of all shards that this owner runs, sorted by key.
func (o *Owner) Dump() []ShardDump {
	o.mu.RLock()
	shards := slices.Collect(maps.Values(o.shards))
	o.mu.RUnlock()
	out := make([]ShardDump, 0, len(shards))
	for _, s := range shards {
		out = append(out, s.dump())
	}
	slices.SortFunc(out, func(a, b ShardDump) int { return strings.Compare(a.Shard.String(), b.Shard.String()) })
	return out
}

func (s *shard) dump() ShardDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardDump{Shard: s.key, Jobs: len(s.jobs), State: s.core.State(s.owner.clock())}
}
