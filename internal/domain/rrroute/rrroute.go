// Package rrroute holds the routing table: which requests are served, by which
// services, and within which bounds. It does not depend on wire formats or on how
// a request is executed.
package rrroute

import (
	"net"
	"slices"
	"strings"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// RouteName is the name of a route of a table.
type RouteName string

// Kind is how often a request may run.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindAtMostOnce requests are not idempotent and run at most once.
	KindAtMostOnce Kind = "once"
)

// WeightedService is one service of a route with its share of the route's requests.
type WeightedService struct {
	Service rrunit.ServiceName `json:"service"`
	// Weight is the relative share of the service; not negative.
	Weight float64 `json:"weight"`
}

// Route is how the requests of one host and path prefix are served.
type Route struct {
	Name RouteName `json:"name"`
	Host string    `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Rank is the urgency; 0 is the most urgent.
	Rank int `json:"rank"`
	// Timeout is the longest time until a request is answered.
	Timeout rrunit.Duration `json:"timeout"`
	// LatencyTarget is the latency that answers should not exceed; zero means unset.
	LatencyTarget rrunit.Duration `json:"target"`
	// Attempts is the largest number of searchers of one service that run one
	// request.
	Attempts int `json:"attempts"`
	// WeightedServices are set for a route that sends each request to one service. Exactly
	// one of WeightedServices and Shards is set.
	WeightedServices []WeightedService `json:"parts,omitempty"`
	// Shards are set for a route that sends each request to all of these
	// services; there are no duplicates.
	Shards []rrunit.ServiceName `json:"shards,omitempty"`
	// TopK is the largest number of records in the merged answer of the shards.
	TopK int `json:"top,omitempty"`
	// MinCoverage is the smallest share of the shards needed for an answer.
	MinCoverage rrunit.Share `json:"coverage,omitempty"`
}

// IsScatterGather reports whether the route sends each request to all its shards.
func (r *Route) IsScatterGather() bool { return len(r.Shards) > 0 }

// RequiredShards returns the number of shards needed for an answer; at least one.
func (r *Route) RequiredShards() int {
	n := 1
	for n < len(r.Shards) && float64(n) < float64(r.MinCoverage)*float64(len(r.Shards)) {
		n++
	}
	return n
}

// Service is a set of searchers that serve the same data.
type Service struct {
	Name rrunit.ServiceName `json:"name"`
	// Connections is the number of connections that one searcher accepts from all
	// its callers together.
	Connections int `json:"connections"`
}

// Limits bound the size of a caller's request and the time to receive it.
type Limits struct {
	Header        rrunit.Bytes    `json:"header"`
	Body          rrunit.Bytes    `json:"body"`
	HeaderTimeout rrunit.Duration `json:"headertime"`
	IdleTimeout   rrunit.Duration `json:"idletime"`
}

// Table is one numbered version of all routes and services. Build must be called
// before its other methods; after that the table is immutable.
type Table struct {
	Number   rrunit.DefinitionNumber `json:"number"`
	Routes   []Route                 `json:"routes"`
	Services []Service               `json:"services"`
	Limits   Limits                  `json:"limits"`

	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*Route
	services map[rrunit.ServiceName]*Service
	// shards holds the services that are shards of a route.
	shards map[rrunit.ServiceName]bool
}

// Build validates the table and builds its lookup tables.
func (t *Table) Build() error {
	if err := t.check(); err != nil {
		return err
	}
	t.compactRanks()
	t.byHost = make(map[string][]*Route)
	t.shards = make(map[rrunit.ServiceName]bool)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
		for _, name := range r.Shards {
			t.shards[name] = true
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.services = make(map[rrunit.ServiceName]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return nil
}

// Match returns the route of the host with the longest prefix that matches the
// path, or nil. It ignores a port in the host.
func (t *Table) Match(host, path string) *Route {
	routes, ok := t.byHost[host]
	if !ok {
		routes = t.byHost[strings.ToLower(stripPort(host))]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name rrunit.ServiceName) *Service { return t.services[name] }

// IsShard reports whether the service is a shard of any route.
func (t *Table) IsShard(name rrunit.ServiceName) bool { return t.shards[name] }

// ForEachShard calls f with each service that is a shard of any route.
func (t *Table) ForEachShard(f func(rrunit.ServiceName)) {
	for name := range t.shards {
		f(name)
	}
}

// RankCount returns the number of ranks that the table uses: one more than the least
// urgent rank.
func (t *Table) RankCount() int {
	n := 1
	for i := range t.Routes {
		n = max(n, t.Routes[i].Rank+1)
	}
	return n
}
