package rrplatform_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A searcher that says in its answers that it leaves gets requests all the same, as long as
// the store lists it as ready.
func TestLeavingSearcherIsUsed(t *testing.T) {
	f := newFleet(t)
	daemons := []*daemon{f.start("d1", "a"), f.start("d2", "a"), f.start("d3", "b")}
	leaving := f.searchersOf("one")[0]
	leaving.SetLeaving(true)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		for i, d := range daemons {
			must.Eq(t, http.StatusOK, d.get(fmt.Sprintf("/one/%d", i)).status)
		}
	}
	before := leaving.Received()
	f.putConfig(nil)
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		for _, d := range daemons {
			must.Eq(t, http.StatusOK, d.get("/one/").status)
		}
	}
	must.Eq(t, before, leaving.Received())
	must.Less(t, 10, before)

	// With nobody else left, requests are refused at once.
	for _, s := range f.searchersOf("one") {
		s.SetLeaving(true)
	}
	d := daemons[0]
	f.eventually("requests are refused", func() bool { return d.get("/one/").status == http.StatusServiceUnavailable })
	start := time.Now()
	a := d.get("/one/")
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.NotEq(t, "", a.header.Get("Retry-After"))
	must.Less(t, 200*time.Millisecond, time.Since(start))
}
