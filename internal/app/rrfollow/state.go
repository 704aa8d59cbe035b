package rrfollow

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// State is a follower's state for dumps.
type State struct {
	// Table is the number of the applied routing table; zero is none.
	Table rrunit.DefinitionNumber `json:"table"`
	// Tables, Searchers and Instances are the store's revisions of each set.
	Tables    rrcatalog.Revision `json:"tables"`
	Searchers rrcatalog.Revision `json:"searchers"`
	Instances rrcatalog.Revision `json:"instances"`
	// Age is how long ago the store last confirmed them; negative if it never did.
	Age rrunit.Duration `json:"age"`
	// Stale is the age from which this daemon turns to the store.
	Stale rrunit.Duration `json:"stale"`
	// Sharers is how many daemons share limits, and Held is set while this one leaves its share
	// to others.
	Sharers int  `json:"sharers"`
	Held    bool `json:"held"`
	// ReadsStore is set if this daemon reads the store. Sources are the daemons that it
	// follows.
	ReadsStore bool              `json:"reads"`
	Sources    []rrsource.Source `json:"sources"`
}

// State returns the follower's state.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		Tables:    f.tables.Revision(),
		Searchers: f.searchers.Revision(),
		Instances: f.instances.Revision(),
		Age:       -1,
		Stale:     rrunit.Duration(f.times.StaleAfter),
	}
	if f.appliedTable != nil {
		s.Table = f.appliedTable.Number
	}
	now := f.clock()
	own := f.share(now)
	s.Sharers, s.Held = own.sharers, own.isHeldBack
	if age, known := f.core.DataAge(now); known {
		s.Age = rrunit.Duration(age)
	}
	plan := f.core.Plan(now)
	s.ReadsStore, s.Sources = plan.ReadStore, plan.Sources
	return s
}
