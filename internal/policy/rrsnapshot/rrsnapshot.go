// Package rrsnapshot chooses the one snapshot that a query is pinned to, from the
// reports of the shards' owners. It is independent of how they are received.
package rrsnapshot

import (
	"cmp"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Versions returns the index versions that the live replicas of a shard serve, with
// each version once per replica, and whether the shard is known.
type Versions func(key rrunit.ShardKey) ([]rrunit.IndexVersion, bool)

// Choice is a snapshot and its coverage of the layout.
type Choice struct {
	Snapshot rrunit.Snapshot
	// Covered is the number of shards that serve the snapshot, and Shards the number
	// of shards of the layout.
	Covered int
	Shards  int
	// Replicas is the smallest number of replicas of any covered shard.
	Replicas int
}

// compareCoverage compares the covered shares of two choices, as fractions.
func compareCoverage(a, b Choice) int { return cmp.Compare(a.Covered*b.Shards, b.Covered*a.Shards) }

// A newer snapshot is used once it has two thirds of the replicas of the snapshot
// that has most, so that a roll-out neither overloads the first replicas with the
// new version nor waits for the last one.
const (
	minReplicasNumerator   = 2
	minReplicasDenominator = 3
)

// Choose returns the newest snapshot with enough replicas among those with the
// highest coverage, without the excluded ones. If two layouts serve the same
// version, it prefers the one with more replicas. It returns false if no shard
// serves a snapshot that is not excluded.
func Choose(s *rrdefinition.Service, versions Versions, exclude ...rrunit.Snapshot) (Choice, bool) {
	var choices []Choice
	for i := range s.Layouts {
		choices = append(choices, layoutChoices(s.Name, &s.Layouts[i], versions)...)
	}
	choices = slices.DeleteFunc(choices, func(c Choice) bool { return slices.Contains(exclude, c.Snapshot) })
	if len(choices) == 0 {
		return Choice{}, false
	}
	most := slices.MaxFunc(choices, compareCoverage)
	choices = slices.DeleteFunc(choices, func(c Choice) bool { return compareCoverage(c, most) < 0 })
	mostReplicas := 0
	for _, c := range choices {
		mostReplicas = max(mostReplicas, c.Replicas)
	}
	choices = slices.DeleteFunc(choices, func(c Choice) bool {
		return minReplicasDenominator*c.Replicas < minReplicasNumerator*mostReplicas
	})
	return slices.MaxFunc(choices, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.Snapshot.Version, b.Snapshot.Version), cmp.Compare(a.Replicas, b.Replicas))
	}), true
}

func layoutChoices(service rrunit.ServiceName, l *rrdefinition.Layout, versions Versions) []Choice {
	choices := make(map[rrunit.IndexVersion]*Choice)
	replicas := make(map[rrunit.IndexVersion]int)
	for i := range l.Shards {
		served, _ := versions(rrunit.ShardKey{Service: service, Layout: l.Name, Shard: l.Shards[i].Name})
		clear(replicas)
		for _, v := range served {
			replicas[v]++
		}
		for v, n := range replicas {
			c := choices[v]
			if c == nil {
				c = &Choice{Snapshot: rrunit.Snapshot{Version: v, Layout: l.Name}, Shards: len(l.Shards), Replicas: n}
				choices[v] = c
			}
			c.Covered++
			c.Replicas = min(c.Replicas, n)
		}
	}
	out := make([]Choice, 0, len(choices))
	for _, c := range choices {
		out = append(out, *c)
	}
	return out
}
