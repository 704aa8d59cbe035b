package rrslopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdelta"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgossip"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmerge"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
)

// Sizes of the measured definitions and results.
const (
	replicas         = 3
	shardsPerService = 430
	hitsPerShard     = 20
)

// Definition returns a definition with about the given number of searchers, in services
// of 430 shards with three replicas each.
func Definition(searchers int) (*rrdefinition.Definition, error) {
	d := rrunit.Duration(time.Second)
	def := &rrdefinition.Definition{
		Number: initialNumber,
		Ranks:  []rrdefinition.Rank{{Name: "urgent", LatencyTarget: d, DefaultDeadline: d, MaxDeadline: d}},
		Limits: rrdefinition.Limits{Body: 1 << 16, Hits: 100, Queue: 256, QuarantineDuration: d, ClaimRetention: d},
	}
	for i := range rrdefinition.MaxChanges {
		def.Changes = append(def.Changes, rrdefinition.Change{
			ID: rrunit.ChangeID(fmt.Sprintf("0193a0c4-7000-7000-8000-%012d", i)), Number: initialNumber,
		})
	}
	peers := Peers(zonesPerFleet)
	for i := range searchers / replicas {
		if i%shardsPerService == 0 {
			name := rrunit.ServiceName(fmt.Sprintf("service-%d", i/shardsPerService))
			def.Services = append(def.Services, rrdefinition.Service{Name: name, Layouts: []rrdefinition.Layout{{Name: "base"}}})
		}
		layout := &def.Services[len(def.Services)-1].Layouts[0]
		layout.Shards = append(layout.Shards, newShard(i, peers))
	}
	return def, def.Prepare()
}

func newShard(i int, peers []rrmember.Peer) rrdefinition.Shard {
	s := rrdefinition.Shard{
		Name:   rrunit.ShardName(fmt.Sprintf("%04d", i%shardsPerService)),
		Region: peers[i%len(peers)].Region,
	}
	for j := range replicas {
		p := peers[(i+j*regionsPerFleet)%len(peers)]
		s.Searchers = append(s.Searchers, rrdefinition.Searcher{
			ID:      rrunit.SearcherID(fmt.Sprintf("i-%016x", xxhash.Sum64String(fmt.Sprint(i, j)))),
			Address: randomAddress(i, j),
			Zone:    p.Zone, Region: p.Region, Slots: 3, Connections: 30,
		})
	}
	return s
}

// randomAddress returns an address that does not compress well.
func randomAddress(i, j int) string {
	h := xxhash.Sum64String(fmt.Sprint(j, i))
	return fmt.Sprintf("10.%d.%d.%d:8080", h>>8&0xff, h>>16&0xff, h>>24&0xff)
}

// goroutineExitDelay lets goroutines of closed connections end before the heap is
// measured.
const goroutineExitDelay = 100 * time.Millisecond

// heapBytes returns the live bytes of the heap.
func heapBytes() float64 {
	runtime.GC()
	time.Sleep(goroutineExitDelay)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTimeOf returns the processor time that this process uses during f.
func processorTimeOf(f func() error) (time.Duration, error) {
	runtime.GC()
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processorTime()
	return after - before, err
}

// heapOf returns the heap bytes that remain in use for the result of build.
func heapOf[T any](build func() (T, error)) (float64, error) {
	before := heapBytes()
	v, err := build()
	if err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(v)
	return after - before, nil
}

// definitionSlopes measures definitions against the number of searchers.
func definitionSlopes() ([]Slope, error) {
	slope := func(name, unit string) Slope {
		return Slope{Name: name, Unit: unit, Per: "searcher", Target: targetSearchers}
	}
	plain, packed := slope("definition as JSON", "B"), slope("definition as stored, where compressed", "B")
	delta, decode := slope("difference of one changed searcher", "B"), slope("decoding and checking a definition", "ms")
	memory := slope("memory of a decoded definition and its JSON", "B")
	for _, searchers := range []int{165, 1500, 4500, 6000, 9000, targetSearchers} {
		x := float64(searchers)
		def, err := Definition(searchers)
		if err != nil {
			return nil, err
		}
		stored, err := def.Encode()
		if err != nil {
			return nil, err
		}
		base, err := rrdefinition.Decompress(stored)
		if err != nil {
			return nil, err
		}
		changed, err := changeOne(def)
		if err != nil {
			return nil, err
		}
		bytes, err := heapOf(func() (*rrdefinition.Definition, error) { return rrdefinition.Decode(base) })
		if err != nil {
			return nil, err
		}
		spent, err := processorTimeOf(func() error {
			_, err := rrdefinition.Decode(base)
			return err
		})
		if err != nil {
			return nil, err
		}
		decode.Points = append(decode.Points, Point{x, spent.Seconds() * 1e3})
		plain.Points = append(plain.Points, Point{x, float64(len(base))})
		if len(stored) < len(base) {
			packed.Points = append(packed.Points, Point{x, float64(len(stored))})
		}
		delta.Points = append(delta.Points, Point{x, float64(len(rrdelta.NewBase(base).Diff(changed)))})
		memory.Points = append(memory.Points, Point{x, bytes + float64(len(base))})
	}
	return []Slope{plain, packed, delta, decode, memory}, nil
}

// changeOne returns the JSON of the definition after one change.
func changeOne(def *rrdefinition.Definition) ([]byte, error) {
	def.Number++
	change := rrdefinition.Change{ID: "0193a0c4-7000-7000-8000-changed00000", Number: def.Number}
	def.Changes = append(def.Changes[1:], change)
	shards := def.Services[0].Layouts[0].Shards
	shards[len(shards)/2].Searchers[0].Connections = 40
	b, err := json.Marshal(def)
	return b, eris.Wrap(err, "encoding a changed definition")
}

// memberSlopes measures a daemon's memory and its digest against the number of members.
func memberSlopes() ([]Slope, error) {
	slope := func(name string) Slope {
		return Slope{Name: name, Unit: "B", Per: "member", Target: targetMembers}
	}
	core, clients := slope("memory of membership with its list"), slope("memory of unused connections to peers for work on shards")
	digest := slope("one digest, encoded")
	codec, err := rrlink.NewCodec()
	if err != nil {
		return nil, err
	}
	for _, members := range []int{9, 100, 500, 1000, targetMembers} {
		x := float64(members)
		var d rrpeer.Digest
		bytes, err := heapOf(func() (*rrgossip.Node, error) {
			peers := Peers(members)
			n := rrgossip.NewNode(rrmember.New(peers[0], rand.New(rand.NewPCG(1, 1))))
			n.OfferList(0, 1, 0)
			n.SetList(0, rrmember.NewList(1, peers))
			n.DefinitionApplied(0, initialNumber)
			d = n.Members().Digest(0)
			return n, nil
		})
		if err != nil {
			return nil, err
		}
		core.Points = append(core.Points, Point{x, bytes})
		encoded, err := codec.Marshal(&d)
		if err != nil {
			return nil, eris.Wrap(err, "encoding a digest")
		}
		digest.Points = append(digest.Points, Point{x, float64(len(encoded))})
		if bytes, err = clientMemory(codec, members); err != nil {
			return nil, err
		}
		clients.Points = append(clients.Points, Point{x, bytes})
	}
	return []Slope{core, digest, clients}, nil
}

// clientMemory returns the bytes of a pool without connections.
func clientMemory(codec *rrlink.Codec, members int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool := rrlink.NewPool(ctx, codec, "self", nil, func(rrpeer.ShardReport) {})
	defer pool.Close()
	return heapOf(func() (*rrlink.Pool, error) {
		addresses := make(map[rrunit.InstanceID]string, members)
		for _, p := range Peers(members) {
			addresses[p.ID] = p.Address
		}
		return pool, pool.SetPeers(addresses)
	})
}

// ownerSlopes measures the assignment of owners against members and shards.
func ownerSlopes() ([]Slope, error) {
	reassignment := Slope{Name: "owners of 3,700 shards after a change of the members", Unit: "ms", Per: "member", Target: targetMembers}
	for _, members := range []int{9, 100, 500, 1000, targetMembers} {
		spent, err := processorTimeOf(func() error {
			newOwnerTable(members, targetShards)
			return nil
		})
		if err != nil {
			return nil, err
		}
		reassignment.Points = append(reassignment.Points, Point{float64(members), spent.Seconds() * 1e3})
	}
	memory := Slope{Name: "memory of the owners", Unit: "B", Per: "shard", Target: targetShards}
	for _, shards := range []int{100, 1000, 2000, targetShards} {
		bytes, err := heapOf(func() (*rrownership.Table, error) { return newOwnerTable(targetMembers, shards), nil })
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(shards), bytes})
	}
	fanout := Slope{Name: "owners that a query of 430 shards meets", Unit: "owners", Per: "member", Target: targetMembers}
	busiest := Slope{Name: "shards of the busiest owner, of 3,700", Unit: "shards", Per: "member", Target: targetMembers}
	for _, members := range []int{9, 100, 500, 1000, targetMembers} {
		x := float64(members)
		one, _ := countOwners(members, targetFanout)
		_, most := countOwners(members, targetShards)
		fanout.Points = append(fanout.Points, Point{x, one})
		busiest.Points = append(busiest.Points, Point{x, most})
	}
	return []Slope{reassignment, memory, fanout, busiest}, nil
}

// countOwners returns how many members own any of the shards, and the maximum number
// of shards of one member.
func countOwners(members, shards int) (owners, most float64) {
	counts := make(map[rrunit.InstanceID]float64)
	t := newOwnerTable(members, 0)
	for i := range shards {
		id := t.Owners(shardKey(i), Peers(zonesPerFleet)[i%zonesPerFleet].Region)[0]
		counts[id]++
		most = max(most, counts[id])
	}
	return float64(len(counts)), most
}

func shardKey(i int) rrunit.ShardKey {
	return rrunit.ShardKey{Service: "service", Shard: rrunit.ShardName(fmt.Sprint(i))}
}

func newOwnerTable(members, shards int) *rrownership.Table {
	peers := Peers(members)
	all := make([]rrownership.Member, 0, members)
	for _, p := range peers {
		all = append(all, rrownership.Member{ID: p.ID, Zone: p.Zone, Region: p.Region})
	}
	t := rrownership.NewTable(all)
	for i := range shards {
		t.Owners(shardKey(i), peers[i%len(peers)].Region)
	}
	return t
}

// mergeSlopes measures merging results against the number of shards of a query.
func mergeSlopes() ([]Slope, error) {
	s := Slope{Name: "merging 20 hits a shard", Unit: "us", Per: "shard", Target: targetFanout}
	rng := rand.New(rand.NewPCG(5, 5))
	for _, shards := range []int{10, 50, 100, 200, targetFanout} {
		lists := make([][]rrquery.Hit, shards)
		for i := range lists {
			for j := range hitsPerShard {
				lists[i] = append(lists[i], rrquery.Hit{ID: fmt.Sprintf("%d-%d", i, j), Score: rng.Float64()})
			}
		}
		const rounds = 200
		spent, err := processorTimeOf(func() error {
			for range rounds {
				rrmerge.Hits(lists, hitsPerShard)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(shards), float64(spent.Microseconds()) / rounds})
	}
	return []Slope{s}, nil
}
