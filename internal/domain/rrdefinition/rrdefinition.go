// Package rrdefinition holds the numbered definition of a deployment: its ranks,
// limits, services, layouts, shards and searchers. A decoded Definition is
// immutable, and readers share it without locks.
package rrdefinition

import (
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Definition is the configuration that operators set, as one numbered object.
type Definition struct {
	// Number increases by one with every accepted change.
	Number rrunit.DefinitionNumber `json:"number"`
	// Changes are the most recently applied changes, oldest first, so that a
	// resent change is recognized. At most MaxChanges are kept.
	Changes []Change `json:"changes,omitempty"`
	// Ranks are ordered from most to least urgent.
	Ranks []Rank `json:"ranks"`
	// Limits are the bounds of one request and of one shard.
	Limits Limits `json:"limits"`
	// Services are the services that callers can query.
	Services []Service `json:"services"`

	index index
}

// MaxChanges is the number of applied changes that a definition keeps.
const MaxChanges = 256

// Change records one applied change.
type Change struct {
	ID     rrunit.ChangeID         `json:"id"`
	Number rrunit.DefinitionNumber `json:"number"`
	// ContentHash is the hash of the change's base and content, which
	// distinguishes a resent change from a different one with the same id.
	ContentHash rrunit.Fingerprint `json:"sum"`
}

// Rank is a priority class of work.
type Rank struct {
	Name rrunit.RankName `json:"name"`
	// LatencyTarget is the latency objective at the 99th percentile.
	LatencyTarget rrunit.Duration `json:"target"`
	// Floor is the share of each shard's slots that is guaranteed to the rank
	// when other ranks are overloaded. The floors of all ranks add up to at most 1.
	Floor rrunit.Share `json:"floor"`
	// DefaultDeadline is the default for queries without a deadline.
	DefaultDeadline rrunit.Duration `json:"deadline"`
	// MaxDeadline is the longest deadline that a query may set.
	MaxDeadline rrunit.Duration `json:"longest"`
}

// Limits are the bounds of one request and of one shard.
type Limits struct {
	// Body is the largest size of a query's body.
	Body rrunit.Bytes `json:"body"`
	// Hits is the largest number of hits that a query may request.
	Hits int `json:"hits"`
	// Queue is the largest number of subqueries of one rank in a shard's queue.
	Queue int `json:"queue"`
	// ExtraShare is the largest additional load by hedges and retries, as a share of
	// the shard's regular load.
	ExtraShare rrunit.Share `json:"extra"`
	// QuarantineDuration is how long a request that crashes searchers is refused.
	QuarantineDuration rrunit.Duration `json:"quarantine"`
	// ClaimRetention is how long a claim of non-idempotent work is kept; requests with
	// older ids are refused.
	ClaimRetention rrunit.Duration `json:"claims"`
}

// Service is a set of data that callers query as a whole.
type Service struct {
	Name rrunit.ServiceName `json:"name"`
	// Layouts are the partitionings that index versions were built for. There is
	// more than one only while the service is being repartitioned.
	Layouts []Layout `json:"layouts"`
}

// IsSingleShard reports whether every layout has exactly one shard.
func (s *Service) IsSingleShard() bool {
	for i := range s.Layouts {
		if len(s.Layouts[i].Shards) != 1 {
			return false
		}
	}
	return true
}

// Layout returns the layout with the name, or nil.
func (s *Service) Layout(name rrunit.LayoutName) *Layout {
	for i := range s.Layouts {
		if s.Layouts[i].Name == name {
			return &s.Layouts[i]
		}
	}
	return nil
}

// Layout is one partitioning of a service into shards.
type Layout struct {
	Name   rrunit.LayoutName `json:"name"`
	Shards []Shard           `json:"shards"`
}

// Shard is one partition of a layout, served by replicas.
type Shard struct {
	Name rrunit.ShardName `json:"name"`
	// Region is where the shard's owner should run.
	Region rrunit.Region `json:"region"`
	// Searchers are the replicas of the shard.
	Searchers []Searcher `json:"searchers"`
}

// Searcher is one upstream process that serves a shard.
type Searcher struct {
	ID rrunit.SearcherID `json:"id"`
	// Address is the host and port that the searcher listens on.
	Address string        `json:"address"`
	Zone    rrunit.Zone   `json:"zone"`
	Region  rrunit.Region `json:"region"`
	// Slots is the number of subqueries that the searcher runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the searcher accepts.
	Connections int `json:"connections"`
}

type index struct {
	services map[rrunit.ServiceName]*Service
	ranks    map[rrunit.RankName]int
	shards   map[rrunit.ShardKey]*Shard
}

// Decode reads a definition from JSON, uncompressed or compressed, and validates it.
// Errors name the field.
func Decode(b []byte) (*Definition, error) {
	b, err := Decompress(b)
	if err != nil {
		return nil, err
	}
	var d Definition
	if err := rrunit.DecodeStrict(b, &d); err != nil {
		return nil, err
	}
	if err := d.Prepare(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Prepare validates the definition and builds its lookup tables. It must have
// returned nil before any other method is called.
func (d *Definition) Prepare() error {
	if err := d.Check(); err != nil {
		return eris.Wrapf(err, "checking definition %d", d.Number)
	}
	d.index = index{
		services: make(map[rrunit.ServiceName]*Service, len(d.Services)),
		ranks:    make(map[rrunit.RankName]int, len(d.Ranks)),
		shards:   make(map[rrunit.ShardKey]*Shard),
	}
	for i := range d.Ranks {
		d.index.ranks[d.Ranks[i].Name] = i
	}
	for i := range d.Services {
		d.index.services[d.Services[i].Name] = &d.Services[i]
		d.indexShards(&d.Services[i])
	}
	return nil
}

func (d *Definition) indexShards(s *Service) {
	for i := range s.Layouts {
		l := &s.Layouts[i]
		for j := range l.Shards {
			key := rrunit.ShardKey{Service: s.Name, Layout: l.Name, Shard: l.Shards[j].Name}
			d.index.shards[key] = &l.Shards[j]
		}
	}
}

// Service returns the service with the name, or nil.
func (d *Definition) Service(name rrunit.ServiceName) *Service { return d.index.services[name] }

// Shard returns the shard with the key, or nil.
func (d *Definition) Shard(key rrunit.ShardKey) *Shard { return d.index.shards[key] }

// RankIndex returns the index of the rank, 0 for the most urgent, or -1 if there is
// no such rank.
func (d *Definition) RankIndex(name rrunit.RankName) int {
	i, ok := d.index.ranks[name]
	if !ok {
		return -1
	}
	return i
}
