package rrplatform_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// restoreStore makes the store unavailable for a moment, and then brings it back with the
// state of the copy.
func (f *fleet) restoreStore(c *standin.Store) {
	f.store.SetFault(standin.Fault{Status: http.StatusServiceUnavailable})
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(c)
	f.store.SetFault(standin.Fault{})
}

// addRoute writes the next version of the routing table, which has one more route.
func (f *fleet) addRoute(name string) {
	f.putConfig(func(routes map[string]map[string]any) { routes[name] = defaultRouting.Route(name, "one", true) })
}

// After the store was restored from a copy, its revisions are lower than those that the
// daemons know, and are given out again. Changes after that must be in force all the same.
func TestChangesAfterARestoreAreMissed(t *testing.T) {
	for name, lost := range map[string]int{"one lost change": 1, "many lost changes": 20} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			daemons := []*daemon{f.start("d1", "a"), f.start("d2", "b")}
			daemons = append(daemons, f.start("d3", "a", daemons[0].settings.PeerAddress))
			earlier := f.store.Copy()
			for range lost {
				f.addRoute("lost")
			}
			for _, d := range daemons {
				f.eventually("change before the restore is in force", func() bool { return d.get("/lost/").status == http.StatusOK })
			}
			f.restoreStore(earlier)
			time.Sleep(500 * time.Millisecond)
			for _, name := range []string{"first", "second"} {
				f.addRoute(name)
				for _, d := range daemons {
					f.eventually("change after the restore is in force", func() bool { return d.get("/"+name+"/").status == http.StatusOK })
				}
			}
		})
	}
}

// The copy holds an older routing table until the operator's change is written again.
func TestRestoreBringsOldRoutesBack(t *testing.T) {
	f := newFleet(t)
	d1, d2 := f.start("d1", "a"), f.start("d2", "b")
	earlier := f.store.Copy()
	f.addRoute("new")
	for _, d := range []*daemon{d1, d2} {
		f.eventually("change is in force", func() bool { return d.get("/new/").status == http.StatusOK })
	}
	f.restoreStore(earlier)
	time.Sleep(time.Second)
	d3 := f.start("d3", "a", d1.settings.PeerAddress, d2.settings.PeerAddress)
	for _, d := range []*daemon{d1, d2, d3} {
		f.eventually("change is still in force", func() bool { return d.get("/new/").status == http.StatusOK })
	}
}

// The daemons that registered after the copy was made are unknown to the restored store,
// and so to daemons that start later, and to the shares of what all daemons may do together.
func TestRestoreForgetsDaemons(t *testing.T) {
	f := newFleet(t)
	d1, d2 := f.start("d1", "a"), f.start("d2", "b")
	f.eventually("daemons are registered", func() bool { return len(f.store.Names("rhubarbreel-daemons")) == 2 })
	earlier := f.store.Copy()
	f.start("d3", "a", d1.settings.PeerAddress, d2.settings.PeerAddress)
	f.start("d4", "b", d1.settings.PeerAddress, d2.settings.PeerAddress)
	f.eventually("new daemons are registered", func() bool { return len(f.store.Names("rhubarbreel-daemons")) == 4 })
	f.restoreStore(earlier)
	f.eventually("new daemons are registered again", func() bool {
		return slices.Equal([]string{"d1", "d2", "d3", "d4"}, f.store.Names("rhubarbreel-daemons"))
	})
}

// A searcher that drained, or whose entry was removed, is ready again in the copy. It writes
// its state again only if it still runs.
func TestRestoreRevivesSearchersThatLeft(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, s *standin.Searcher){
		"draining": func(f *fleet, s *standin.Searcher) {
			f.store.Put("servers", s.ID, s.EntrySpec("a", standin.StateDraining))
		},
		"removed": func(f *fleet, s *standin.Searcher) { f.store.Delete("servers", s.ID) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			d := f.start("d1", "a")
			leaving := f.searchersOf("one")[0]
			earlier := f.store.Copy()
			leave(f, leaving)
			time.Sleep(time.Second)
			before := len(leaving.Runs())
			f.restoreStore(earlier)
			for range 100 {
				must.Eq(t, http.StatusOK, d.get("/one/").status)
				time.Sleep(10 * time.Millisecond)
			}
			must.Eq(t, before, len(leaving.Runs()))
		})
	}
}
