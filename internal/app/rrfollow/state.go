package rrfollow

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// State is what a follower knows, for dumps.
type State struct {
	// Table is the number of the routing table in force; zero is none.
	Table rrunit.DefinitionNumber `json:"table"`
	// Tables, Searchers and Instances are the revisions as of which each kind
	// is known.
	Tables    rrcatalog.Revision `json:"tables"`
	Searchers rrcatalog.Revision `json:"searchers"`
	Instances rrcatalog.Revision `json:"instances"`
	// Age is how long ago the store confirmed that; less than zero is never.
	Age rrunit.Duration `json:"age"`
	// Reads says that this daemon reads the store, and Sources whom it asks.
	Reads   bool              `json:"reads"`
	Sources []rrsource.Source `json:"sources"`
}

// State returns what the follower knows.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		Tables:    f.tables.Revision(),
		Searchers: f.searchers.Revision(),
		Instances: f.instances.Revision(),
		Age:       -1,
	}
	if f.table != nil {
		s.Table = f.table.Number
	}
	now := f.clock()
	if age, known := f.core.DataAge(now); known {
		s.Age = rrunit.Duration(age)
	}
	plan := f.core.Plan(now)
	s.Reads, s.Sources = plan.ReadStore, plan.Sources
	return s
}
