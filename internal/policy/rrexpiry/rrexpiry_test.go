package rrexpiry_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrexpiry"
)

func searchers(r rrcatalog.Revision, e rrcatalog.Entry[rrcatalog.Searcher]) *rrcatalog.Searchers {
	e.Revision = r
	d := rrcatalog.Delta[rrunit.SearcherID, rrcatalog.Searcher]{
		Revision: r,
		Entries:  map[rrunit.SearcherID]rrcatalog.Entry[rrcatalog.Searcher]{"w": e},
	}
	return new(rrcatalog.Searchers).With(d)
}

func searcher(state rrcatalog.SearcherState) *rrcatalog.Searcher {
	return &rrcatalog.Searcher{
		ID: "w", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Zone: "z", Slots: 3, State: state,
	}
}

func TestUsable(t *testing.T) {
	type entry = rrcatalog.Entry[rrcatalog.Searcher]
	ready, draining := searcher(rrcatalog.SearcherReady), searcher(rrcatalog.SearcherDraining)
	const soon, later = rrunit.Instant(2 * time.Second), rrunit.Instant(3 * time.Second)
	for name, c := range map[string]struct {
		entry       entry
		soon, later bool
	}{
		"live":                       {entry{Value: ready}, true, true},
		"removed":                    {entry{Value: ready, Removed: true}, false, false},
		"expired while ready":        {entry{Value: ready, Removed: true, RemovalUncertain: true}, true, false},
		"expired while draining":     {entry{Value: draining, Removed: true, RemovalUncertain: true}, false, false},
		"expired and never readable": {entry{Removed: true, RemovalUncertain: true}, false, false},
	} {
		core := rrexpiry.New()
		all := searchers(7, c.entry)
		core.Usable(0, all)
		got, next := core.Usable(soon, all)
		must.Eq(t, c.soon, len(got["s"]) == 1, must.Sprint(name))
		if c.soon && c.entry.Removed {
			must.Between(t, soon, next, later, must.Sprint(name))
		}
		got, _ = core.Usable(later, all)
		must.Eq(t, c.later, len(got["s"]) == 1, must.Sprint(name))
	}
}

// TestExpiredAgain checks that an entry that was restored and expires again gets a new
// grace period.
func TestExpiredAgain(t *testing.T) {
	type entry = rrcatalog.Entry[rrcatalog.Searcher]
	core := rrexpiry.New()
	lapsed := entry{Value: searcher(rrcatalog.SearcherReady), Removed: true, RemovalUncertain: true}
	core.Usable(0, searchers(7, lapsed))
	core.Usable(rrunit.Instant(time.Second), searchers(8, entry{Value: lapsed.Value}))
	got, _ := core.Usable(rrunit.Instant(10*time.Second), searchers(9, lapsed))
	must.Len(t, 1, got["s"])
}
