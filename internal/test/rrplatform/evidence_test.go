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

// misses returns the share of requests that a daemon expects a searcher not to
// answer, by its dump.
func (d *daemon) failureRate(t *testing.T, service rrunit.ServiceName, id string) float64 {
	t.Helper()
	res, err := http.Get("http://" + d.site.Metrics.String() + "/dump")
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
	t.Fatalf("%s does not know %s", d.site.Instance, id)
	return 0
}

// What one daemon meets at a searcher that loses answers is known to the other
// daemons of the zone, which have sent nothing there. In another zone the
// searcher may well be sound.
func TestEvidenceWithinAZone(t *testing.T) {
	f := newFleet(t)
	observer, sameZone, otherZone := f.start("met", "a"), f.start("near", "a"), f.start("far", "b")
	time.Sleep(1500 * time.Millisecond) // the instances list is read again
	for _, d := range []*daemon{observer, sameZone, otherZone} {
		must.Eq(t, http.StatusOK, d.get("/one/").status)
	}
	failing := f.searchersOf("one")[0]
	failing.SetInterceptor(func(int, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	for range 40 {
		observer.get("/one/")
	}
	f.eventually("the other daemon of the zone knows", func() bool {
		observer.get("/one/")
		return sameZone.failureRate(t, "one", failing.ID) > 0.1
	})
	must.Eq(t, 0, otherZone.failureRate(t, "one", failing.ID))
}
