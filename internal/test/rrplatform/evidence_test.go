package rrplatform_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// failureRate returns the share of failed requests that a daemon expects of a
// searcher, read from the daemon's dump.
func (d *daemon) failureRate(t *testing.T, service rrunit.ServiceName, id string) float64 {
	t.Helper()
	res, err := http.Get("http://" + d.settings.MetricsAddress.String() + "/dump")
	must.NoError(t, err)
	defer func() { must.NoError(t, res.Body.Close()) }()
	var dump struct {
		Services map[rrunit.ServiceName]rrdispatch.State `json:"services"`
	}
	must.NoError(t, json.NewDecoder(res.Body).Decode(&dump))
	for _, s := range dump.Services[service].Searchers {
		if strings.HasPrefix(string(s.ID), id+"@") {
			return float64(s.FailureRate)
		}
	}
	t.Fatalf("dump of %s has no searcher %s", d.settings.Instance, id)
	return 0
}

// A daemon that observes lost answers of a searcher shares this evidence with the
// other daemons of its zone, though they sent the searcher no failing requests. It
// does not share it with other zones, where the searcher may be healthy.
func TestEvidenceWithinAZone(t *testing.T) {
	f := newColdFleet(t)
	observer, sameZone, otherZone := f.start("met", "a"), f.start("near", "a"), f.start("far", "b")
	time.Sleep(1500 * time.Millisecond) // until the instance list is read again
	for _, d := range []*daemon{observer, sameZone, otherZone} {
		must.Eq(t, http.StatusOK, d.get("/one/").status)
	}
	// One of another zone might get nothing from the observer.
	failing := f.searcherIn("one", "a")
	before := failing.Received()
	failing.SetInterceptor(func(int, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	for range 40 {
		observer.get("/one/")
	}
	must.Positive(t, failing.Received()-before)
	f.eventually("other daemon of the zone has the evidence", func() bool {
		observer.get("/one/")
		return sameZone.failureRate(t, "one", failing.ID) > 0.1
	})
	must.Eq(t, 0, otherZone.failureRate(t, "one", failing.ID))
}
