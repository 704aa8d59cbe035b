package rrplatform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countStoreWrites returns the number of store calls other than reads.
func (f *fleet) countStoreWrites() int {
	n := 0
	for call, count := range f.store.Calls() {
		if !strings.HasPrefix(call, http.MethodGet) {
			n += count
		}
	}
	return n
}

// A daemon that restarts at its registered address writes nothing to the store, and
// reads the instance list only once and from the store's cache, which may be some
// seconds old. This limits the load on the store when most of a large fleet restarts
// at once.
func TestRestartReusesRegistration(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	f.eventually("daemon is registered", func() bool { return f.countStoreWrites() > 0 })
	d.stop()
	must.NoError(t, <-d.done)
	d.done <- nil // read by the cleanup
	before := f.store.Calls()
	writesBefore := f.countStoreWrites()

	again := f.newDaemon("d1", "a")
	again.settings = d.settings
	f.run(again)
	f.eventually("daemon serves", func() bool { return again.get("/one/").status == http.StatusOK })
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, writesBefore, f.countStoreWrites())
	const cached = "GET rhubarbreel-daemons cached"
	must.Eq(t, before[cached]+1, f.store.Calls()[cached])
}

// A new daemon reads the instance list with its own entry as soon as it has registered,
// since its share of the budget of second attempts depends on the number of instances.
func TestNewDaemonCountsItself(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	f.eventually("daemon reads the instance list after its registration", func() bool { return f.store.Calls()["GET rhubarbreel-daemons"] > 0 })
	must.Less(t, 500*time.Millisecond, time.Since(d.started))
}

// A daemon that restarts at another address updates its entry in the store.
func TestRestartElsewhere(t *testing.T) {
	f := newFleet(t)
	f.start("d1", "a")
	f.eventually("daemon is registered", func() bool { return f.countStoreWrites() > 0 })
	writesBefore := f.countStoreWrites()
	f.start("d1", "a")
	f.eventually("new address is written", func() bool { return f.countStoreWrites() > writesBefore })
}
