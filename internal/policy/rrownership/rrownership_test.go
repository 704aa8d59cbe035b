package rrownership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
)

const (
	shardCount  = 2000
	zoneCount   = 3
	regionCount = 2
)

func members(n int) []rrownership.Member {
	out := make([]rrownership.Member, 0, n)
	for i := range n {
		region := i % regionCount
		out = append(out, rrownership.Member{
			ID:     rrunit.InstanceID(fmt.Sprintf("d%d", i)),
			Zone:   rrunit.Zone(fmt.Sprintf("r%d-z%d", region, i/regionCount%zoneCount)),
			Region: rrunit.Region(fmt.Sprintf("r%d", region)),
		})
	}
	return out
}

func shard(i int) rrunit.ShardKey {
	return rrunit.ShardKey{Service: "s", Layout: "base", Shard: rrunit.ShardName(fmt.Sprint(i))}
}

func TestOwnersStayInTheRegionAndSpreadOverZones(t *testing.T) {
	all := members(60)
	byID := make(map[rrunit.InstanceID]rrownership.Member)
	for _, m := range all {
		byID[m.ID] = m
	}
	table := rrownership.NewTable(all)
	counts := make(map[rrunit.InstanceID]int)
	standBys := make(map[rrunit.InstanceID]int)
	for i := range shardCount {
		owners := table.Owners(shard(i), "r1")
		must.Len(t, rrownership.MaxOwners, owners)
		must.Eq(t, "r1", byID[owners[0]].Region)
		must.Eq(t, "r1", byID[owners[1]].Region)
		must.NotEq(t, byID[owners[0]].Zone, byID[owners[1]].Zone)
		counts[owners[0]]++
		if byID[owners[0]].Zone == "r1-z0" {
			standBys[owners[1]]++
		}
	}
	must.MapLen(t, 30, counts)
	for id, n := range counts {
		must.Between(t, shardCount/30/2, n, shardCount/30*2, must.Sprint(id))
	}
	must.MapLen(t, 20, standBys, must.Sprint("the shards of a lost zone are spread over all instances of the other zones"))
}

func TestOnlyShardsOfLostMemberMove(t *testing.T) {
	all := members(60)
	before := rrownership.NewTable(all)
	after := rrownership.NewTable(slices.Concat(all[:1], all[2:]))
	for i := range shardCount {
		was, is := before.Owners(shard(i), "r1")[0], after.Owners(shard(i), "r1")[0]
		must.True(t, was == is || was == all[1].ID)
	}
}

func TestFewMembers(t *testing.T) {
	must.SliceEmpty(t, rrownership.NewTable(nil).Owners(shard(1), "r1"))
	one := rrownership.NewTable(members(1))
	must.Eq(t, []rrunit.InstanceID{"d0"}, one.Owners(shard(1), "r1"), must.Sprint("an instance of another region is used if its own region has none"))
	two := rrownership.NewTable(members(2))
	must.Eq(t, []rrunit.InstanceID{"d1", "d0"}, two.Owners(shard(1), "r1"))
}

func BenchmarkOwners(b *testing.B) {
	all := members(2300)
	table := rrownership.NewTable(all)
	b.Run("first", func(b *testing.B) {
		for i := range b.N {
			table.Owners(shard(i), "r1")
		}
	})
	b.Run("again", func(b *testing.B) {
		key := shard(1)
		b.ReportAllocs()
		for range b.N {
			table.Owners(key, "r1")
		}
	})
}
