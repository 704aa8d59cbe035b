// Package rrcatalog holds a daemon's view of the platform at one moment: the
// routing table, the searchers and the other daemons. A view is immutable and is
// replaced by a newer one. The package does not depend on how the state is read.
package rrcatalog

import (
	"net/netip"
	"strings"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// SearcherState is whether a searcher accepts new requests.
type SearcherState string

// The states of a searcher.
const (
	// SearcherReady accepts requests.
	SearcherReady SearcherState = "ready"
	// SearcherDraining is shutting down and accepts no new requests.
	SearcherDraining SearcherState = "draining"
)

// Searcher is a process that serves a service.
type Searcher struct {
	ID      rrunit.SearcherID  `json:"id"`
	Service rrunit.ServiceName `json:"service"`
	Address netip.AddrPort     `json:"address"`
	Zone    rrunit.Zone        `json:"zone"`
	// Slots is the number of requests that it runs concurrently, from 1 to maxSlots.
	Slots int           `json:"slots"`
	State SearcherState `json:"state"`
	// WarmupLeft is the remaining time of its warm-up, during which it is slow.
	WarmupLeft rrunit.Duration `json:"cold,omitempty"`
	// Incarnation distinguishes successive processes with the same id.
	Incarnation int64 `json:"born"`
}

// maxSlots bounds the slots that a searcher may name, so that sums of them don't overflow.
const maxSlots = 1 << 20

func checkSearcherID(id rrunit.SearcherID) error {
	if id == "" {
		return rrunit.Invalid("id", "is missing")
	}
	if strings.ContainsFunc(string(id), isNotHeaderText) {
		return rrunit.Invalid("id", "%q has characters that a header field can't hold", id)
	}
	return nil
}

// isNotHeaderText reports whether a header field's value can't hold the character between
// others.
func isNotHeaderText(r rune) bool { return r <= ' ' || r > '~' }

// Check returns an error that names the first invalid field.
func (s *Searcher) Check() error {
	if err := checkSearcherID(s.ID); err != nil {
		return err
	}
	switch {
	case s.Service == "":
		return rrunit.Invalid("service", "is missing")
	case !s.Address.IsValid() || s.Address.Port() == 0 || s.Address.Addr().IsUnspecified():
		return rrunit.Invalid("address", "%q is not an IP number and a port", s.Address)
	case s.Zone == "":
		return rrunit.Invalid("zone", "is missing")
	case s.Slots <= 0 || s.Slots > maxSlots:
		return rrunit.Invalid("slots", "%d is not between 1 and %d", s.Slots, maxSlots)
	case s.State != SearcherReady && s.State != SearcherDraining:
		return rrunit.Invalid("state", "%q is not a state", s.State)
	case s.WarmupLeft < 0:
		return rrunit.Invalid("cold", "%s is below 0s", s.WarmupLeft)
	}
	return nil
}

// Instance is a daemon that other daemons can query.
type Instance struct {
	ID     rrunit.InstanceID `json:"id"`
	Zone   rrunit.Zone       `json:"zone"`
	Region rrunit.Region     `json:"region"`
	// PeerAddress is the address that other daemons connect to.
	PeerAddress netip.AddrPort `json:"peers"`
	// Doubted is set by another daemon that takes this one for gone. Who hears the daemon
	// takes the mark away.
	Doubted bool `json:"doubted,omitempty"`
}

// Check returns an error that names the first invalid field.
func (i *Instance) Check() error {
	switch {
	case i.ID == "":
		return rrunit.Invalid("id", "is missing")
	case !i.PeerAddress.IsValid() || i.PeerAddress.Port() == 0:
		return rrunit.Invalid("peers", "%q is not an IP number and a port", i.PeerAddress)
	}
	return nil
}

// TableName is the name of an object that holds a routing table. The platform has
// one such object.
type TableName string

// The sets of objects that daemons watch.
type (
	// Tables holds the routing table.
	Tables = Set[TableName, rrroute.Table]
	// Searchers holds the searchers.
	Searchers = Set[rrunit.SearcherID, Searcher]
	// Instances holds the daemons.
	Instances = Set[rrunit.InstanceID, Instance]
)

// Catalog is the state that a daemon uses for its decisions at one moment.
type Catalog struct {
	// Table is nil until the first one was received.
	Table *rrroute.Table
	// Searchers are the usable searchers and those that have just started to
	// drain, by service, in no particular order.
	Searchers map[rrunit.ServiceName][]Searcher
	// Instances are the daemons that are registered, including this one.
	Instances []Instance
	// Sharers is how many daemons share limits; zero while that is unknown.
	Sharers int
	// IsHeldBack is set while this daemon must leave limits to others: they may use its share,
	// or a process before it has used it.
	IsHeldBack bool
}
