// Package rrownership chooses the owner of every shard among the live instances
// by rendezvous hashing within the shard's region, with an ordered list of
// standbys. Instances with the same member list choose the same owners without
// coordination.
package rrownership

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Member is an instance that can own shards.
type Member struct {
	ID     rrunit.InstanceID
	Zone   rrunit.Zone
	Region rrunit.Region
}

// MaxOwners is the most instances in an owner list: the owner and its standbys.
const MaxOwners = 3

// Table is an immutable set of members with a cache of shard owners. It is safe
// for concurrent use.
type Table struct {
	members []hashedMember
	regions map[rrunit.Region][]hashedMember

	// owners caches the []rrunit.InstanceID of each ownersKey, so that a request
	// costs one map lookup. It is filled as shards are looked up.
	owners sync.Map
}

// hashedMember is a member with the hash of its id.
type hashedMember struct {
	Member
	hash uint64
}

// ownersKey holds what the owners depend on besides the members. It leaves out the
// layout, so that a shard keeps its owner while its service is repartitioned.
type ownersKey struct {
	service rrunit.ServiceName
	shard   rrunit.ShardName
	region  rrunit.Region
}

// NewTable returns a table of a copy of the members.
func NewTable(members []Member) *Table {
	t := &Table{
		members: make([]hashedMember, 0, len(members)),
		regions: make(map[rrunit.Region][]hashedMember),
	}
	for _, m := range members {
		t.members = append(t.members, hashedMember{Member: m, hash: xxhash.Sum64String(string(m.ID))})
	}
	slices.SortFunc(t.members, func(a, b hashedMember) int { return cmp.Compare(a.ID, b.ID) })
	for i := range t.members {
		r := t.members[i].Region
		t.regions[r] = append(t.regions[r], t.members[i])
	}
	return t
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// Owners returns the owner and then the standbys of the shard, at most MaxOwners
// instances. The first standby is in another zone than the owner if the region has
// several zones, so that the shards of a lost zone are spread over the others.
// Instances of other regions come last, and only if the region has too few. The
// caller must not modify the result.
func (t *Table) Owners(key rrunit.ShardKey, region rrunit.Region) []rrunit.InstanceID {
	lookup := ownersKey{service: key.Service, shard: key.Shard, region: region}
	if cached, ok := t.owners.Load(lookup); ok {
		if owners, ok := cached.([]rrunit.InstanceID); ok {
			return owners
		}
	}
	owners := t.chooseOwners(lookup)
	t.owners.Store(lookup, owners)
	return owners
}

func (t *Table) chooseOwners(lookup ownersKey) []rrunit.InstanceID {
	shardHash := hashShard(lookup)
	local := t.regions[lookup.region]
	if len(local) == 0 {
		local = t.members
	}
	chosen := make([]*hashedMember, 0, MaxOwners)
	if first := highestScore(local, shardHash, func(*hashedMember) bool { return true }); first != nil {
		chosen = append(chosen, first)
		otherZone := highestScore(local, shardHash, func(m *hashedMember) bool { return m.Zone != first.Zone })
		if otherZone != nil {
			chosen = append(chosen, otherZone)
		}
	}
	for _, pool := range [][]hashedMember{local, t.members} {
		for len(chosen) < MaxOwners {
			next := highestScore(pool, shardHash, func(m *hashedMember) bool { return !contains(chosen, m.ID) })
			if next == nil {
				break
			}
			chosen = append(chosen, next)
		}
	}
	out := make([]rrunit.InstanceID, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, m.ID)
	}
	return out
}

func contains(chosen []*hashedMember, id rrunit.InstanceID) bool {
	return slices.ContainsFunc(chosen, func(m *hashedMember) bool { return m.ID == id })
}

// highestScore returns the eligible member with the highest score, or nil.
func highestScore(members []hashedMember, shardHash uint64, eligible func(*hashedMember) bool) *hashedMember {
	var out *hashedMember
	var highest uint64
	for i := range members {
		m := &members[i]
		s := score(shardHash, m.hash)
		if (out == nil || s > highest) && eligible(m) {
			out, highest = m, s
		}
	}
	return out
}

func hashShard(lookup ownersKey) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(lookup.service))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(lookup.shard))
	return h.Sum64()
}

// score mixes the two hashes, so that each shard has its own order of the members.
func score(shard, member uint64) uint64 {
	const odd1, odd2 = 0x9e3779b97f4a7c15, 0xd6e8feb86659fd93
	high, low := bits.Mul64(shard^odd1, member^odd2)
	mixed := (high ^ low) * odd2
	return mixed ^ mixed>>32
}
