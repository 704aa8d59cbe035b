package rrplatform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// writes counts the calls that wrote to the store.
func (f *fleet) countStoreWrites() int {
	n := 0
	for call, count := range f.store.Calls() {
		if !strings.HasPrefix(call, http.MethodGet) {
			n += count
		}
	}
	return n
}

// A daemon that starts again where it was writes nothing to the store, and asks it for
// the other daemons only as they were some seconds ago. Most of a large fleet may start
// at once.
func TestRestartReusesRegistration(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	f.eventually("it is among the instances", func() bool { return f.countStoreWrites() > 0 })
	d.stop()
	must.NoError(t, <-d.done)
	d.done <- nil // for the clean-up
	before := f.store.Calls()
	writesBefore := f.countStoreWrites()

	again := f.newDaemon("d1", "a")
	again.site = d.site
	f.run(again)
	f.eventually("it serves", func() bool { return again.get("/one/").status == http.StatusOK })
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, writesBefore, f.countStoreWrites())
	const cached = "GET rhubarbreel-daemons cached"
	must.Eq(t, before[cached]+1, f.store.Calls()[cached])
}

// A daemon that is new counts itself among the instances as soon as it has registered,
// since its part of the budget of second attempts depends on how many there are.
func TestNewDaemonCountsItself(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	f.eventually("it knows itself", func() bool { return f.store.Calls()["GET rhubarbreel-daemons"] > 0 })
	must.Less(t, 500*time.Millisecond, time.Since(d.started))
}

// A daemon that starts again at another address says so.
func TestRestartElsewhere(t *testing.T) {
	f := newFleet(t)
	f.start("d1", "a")
	f.eventually("it is among the instances", func() bool { return f.countStoreWrites() > 0 })
	writesBefore := f.countStoreWrites()
	f.start("d1", "a")
	f.eventually("its new address is written", func() bool { return f.countStoreWrites() > writesBefore })
}
