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
func (d *daemon) misses(t *testing.T, service rrunit.ServiceName, id string) float64 {
	t.Helper()
	res, err := http.Get("http://" + d.site.MetricsAddress.String() + "/dump")
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
	met, near, far := f.start("met", "a"), f.start("near", "a"), f.start("far", "b")
	time.Sleep(1500 * time.Millisecond) // the instances list is read again
	for _, d := range []*daemon{met, near, far} {
		must.Eq(t, http.StatusOK, d.get("/one/").status)
	}
	bad := f.of("one")[0]
	bad.SetInterceptor(func(int, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
	for range 40 {
		met.get("/one/")
	}
	f.eventually("the other daemon of the zone knows", func() bool {
		met.get("/one/")
		return near.misses(t, "one", bad.ID) > 0.1
	})
	must.Eq(t, 0, far.misses(t, "one", bad.ID))
}
