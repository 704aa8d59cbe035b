package rrdefinition

import (
	"fmt"
	"net/netip"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Check returns an error that names the first invalid field.
func (d *Definition) Check() error {
	if err := d.checkRanks(); err != nil {
		return err
	}
	if err := d.Limits.check(); err != nil {
		return err
	}
	seen := searcherSet{}
	services := make(map[rrunit.ServiceName]bool, len(d.Services))
	for i := range d.Services {
		field := fmt.Sprintf("services[%d]", i)
		if err := d.Services[i].check(field, seen); err != nil {
			return err
		}
		if err := addUniqueName(services, field, d.Services[i].Name); err != nil {
			return err
		}
	}
	return nil
}

// addUniqueName adds a name to seen, or returns an error that names the field if it
// is a duplicate.
func addUniqueName[N ~string](seen map[N]bool, field string, name N) error {
	if seen[name] {
		return rrunit.Invalid(field+".name", "%q stands twice", name)
	}
	seen[name] = true
	return nil
}

func (d *Definition) checkRanks() error {
	if len(d.Ranks) == 0 {
		return rrunit.Invalid("ranks", "is empty")
	}
	var shareSum rrunit.Share
	seen := make(map[rrunit.RankName]bool, len(d.Ranks))
	for i := range d.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		if err := d.Ranks[i].check(field); err != nil {
			return err
		}
		if err := addUniqueName(seen, field, d.Ranks[i].Name); err != nil {
			return err
		}
		shareSum += d.Ranks[i].Floor
	}
	if shareSum > 1 {
		return rrunit.Invalid("ranks", "floors add up to %.3g, more than 1", float64(shareSum))
	}
	return nil
}

func (r *Rank) check(field string) error {
	if err := rrunit.CheckName(field+".name", r.Name); err != nil {
		return err
	}
	if r.Floor < 0 || r.Floor > 1 {
		return rrunit.Invalid(field+".floor", "%.3g is not between 0 and 1", float64(r.Floor))
	}
	if r.LatencyTarget <= 0 {
		return rrunit.Invalid(field+".target", "%s is not above 0s", r.LatencyTarget)
	}
	if r.DefaultDeadline <= 0 {
		return rrunit.Invalid(field+".deadline", "%s is not above 0s", r.DefaultDeadline)
	}
	if r.MaxDeadline < r.DefaultDeadline {
		return rrunit.Invalid(field+".longest", "%s is less than the deadline %s", r.MaxDeadline, r.DefaultDeadline)
	}
	return nil
}

func (l *Limits) check() error {
	switch {
	case l.Body <= 0:
		return rrunit.Invalid("limits.body", "%d is not above 0", l.Body)
	case l.Hits <= 0:
		return rrunit.Invalid("limits.hits", "%d is not above 0", l.Hits)
	case l.Queue <= 0:
		return rrunit.Invalid("limits.queue", "%d is not above 0", l.Queue)
	case l.ExtraShare < 0 || l.ExtraShare > 1:
		return rrunit.Invalid("limits.extra", "%.3g is not between 0 and 1", float64(l.ExtraShare))
	case l.QuarantineDuration <= 0:
		return rrunit.Invalid("limits.quarantine", "%s is not above 0s", l.QuarantineDuration)
	case l.ClaimRetention <= 0:
		return rrunit.Invalid("limits.claims", "%s is not above 0s", l.ClaimRetention)
	}
	return nil
}

// searcherSet maps each searcher seen so far to its field.
type searcherSet map[rrunit.SearcherID]string

func (s *Service) check(field string, seen searcherSet) error {
	if err := rrunit.CheckName(field+".name", s.Name); err != nil {
		return err
	}
	if len(s.Layouts) == 0 {
		return rrunit.Invalid(field+".layouts", "is empty")
	}
	layouts := make(map[rrunit.LayoutName]bool, len(s.Layouts))
	for i := range s.Layouts {
		at := fmt.Sprintf("%s.layouts[%d]", field, i)
		if err := s.Layouts[i].check(at, seen); err != nil {
			return err
		}
		if err := addUniqueName(layouts, at, s.Layouts[i].Name); err != nil {
			return err
		}
	}
	return nil
}

func (l *Layout) check(field string, seen searcherSet) error {
	if err := rrunit.CheckName(field+".name", l.Name); err != nil {
		return err
	}
	if len(l.Shards) == 0 {
		return rrunit.Invalid(field+".shards", "is empty")
	}
	shards := make(map[rrunit.ShardName]bool, len(l.Shards))
	for i := range l.Shards {
		at := fmt.Sprintf("%s.shards[%d]", field, i)
		if err := l.Shards[i].check(at, seen); err != nil {
			return err
		}
		if err := addUniqueName(shards, at, l.Shards[i].Name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard) check(field string, seen searcherSet) error {
	if err := rrunit.CheckName(field+".name", s.Name); err != nil {
		return err
	}
	if len(s.Searchers) == 0 {
		return rrunit.Invalid(field+".searchers", "is empty")
	}
	for i := range s.Searchers {
		at := fmt.Sprintf("%s.searchers[%d]", field, i)
		if err := s.Searchers[i].check(at); err != nil {
			return err
		}
		id := s.Searchers[i].ID
		if other, ok := seen[id]; ok {
			return rrunit.Invalid(at+".id", "%q stands at %s too", id, other)
		}
		seen[id] = at
	}
	return nil
}

func (s *Searcher) check(field string) error {
	if err := rrunit.CheckName(field+".id", s.ID); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return rrunit.Invalid(field+".address", "%q is not an IP number and a port", s.Address)
	}
	if s.Slots <= 0 {
		return rrunit.Invalid(field+".slots", "%d is not above 0", s.Slots)
	}
	if s.Connections <= 0 {
		return rrunit.Invalid(field+".connections", "%d is not above 0", s.Connections)
	}
	return nil
}
