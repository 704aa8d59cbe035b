package rrplatform_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const daemonsKind = "rhubarbreel-daemons"

// forgetTime is within how long a daemon that is gone is removed from the store, and the others
// use its share: it is silent, doubted, and what it used ends with a window.
const forgetTime = 45 * time.Second

// knownTime is within how long a daemon knows which ones are registered.
const knownTime = 2 * time.Second

// hasLogged reports whether the daemon has logged a line with the text.
func (d *daemon) hasLogged(text string) bool { return strings.Contains(d.logs.String(), text) }

// Guards against daemons that are gone for good and share limits for ever: the object of one
// that stops is removed, those of the others stay, and their shares grow. One that comes back is
// registered again.
func TestDaemonThatIsGoneIsForgotten(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 40 s")
	}
	f := newFleet(t)
	daemons := []*daemon{f.start("d1", "a"), f.start("d2", "b"), f.start("d3", "a")}
	registered := func() []string { return f.store.Names(daemonsKind) }
	f.eventually("all are registered", func() bool { return len(registered()) == 3 })
	gone := daemons[2]
	gone.stop()
	must.NoError(t, <-gone.done)
	gone.done <- nil // read by the cleanup
	f.eventuallyWithin(forgetTime, "the daemon is removed", func() bool { return slices.Equal([]string{"d1", "d2"}, registered()) })
	f.eventuallyWithin(forgetTime, "the others use its share", func() bool {
		return !slices.ContainsFunc(daemons[:2], func(d *daemon) bool { return !d.hasLogged("sharers=2 held=false") })
	})

	again := f.newDaemon("d3", "a")
	again.settings = gone.settings
	f.run(again)
	f.eventually("it is registered again", func() bool { return len(registered()) == 3 })
}

// Guards against a daemon that was removed while it was cut off, and works on unregistered.
func TestRemovedDaemonRegistersAgain(t *testing.T) {
	f := newFleet(t)
	f.start("d1", "a")
	d := f.start("d2", "b")
	registered := func() []string { return f.store.Names(daemonsKind) }
	f.eventually("both are registered", func() bool { return len(registered()) == 2 })
	time.Sleep(knownTime)
	f.store.Delete(daemonsKind, "d2")
	f.eventually("it registers again", func() bool { return len(registered()) == 2 })
	must.Eq(t, http.StatusOK, d.get("/one/").status)
}

// Guards against a doubt that outlives its reason: a daemon that learns that it is doubted takes
// the mark away.
func TestDoubtedDaemonObjects(t *testing.T) {
	f := newFleet(t)
	f.start("d1", "a")
	d := f.start("d2", "b")
	f.eventually("both are registered", func() bool { return len(f.store.Names(daemonsKind)) == 2 })
	time.Sleep(knownTime)
	f.store.Put(daemonsKind, "d2", map[string]any{"id": "d2", "zone": "b", "region": "r-b", "peers": d.settings.PeerAddress.String(), "doubted": true})
	writes := f.countStoreWrites()
	f.eventually("it objects", func() bool { return f.countStoreWrites() > writes })
}
