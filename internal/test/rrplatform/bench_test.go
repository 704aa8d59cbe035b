package rrplatform_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// benchShardCount is the number of shards that a query of a large deployment
// searches.
const benchShardCount = 36

// BenchmarkGather measures the time of one query to many shards, including the
// searcher stand-ins and the caller.
func BenchmarkGather(b *testing.B) {
	f := newFleet(b)
	for i := range benchShardCount {
		name := fmt.Sprintf("m%d", i)
		f.extraServices = append(f.extraServices, name)
		f.addSearcher(name, "a")
		f.addSearcher(name, "b")
	}
	f.putConfig(func(routes map[string]map[string]any) {
		routes["many"] = defaultRouting.Gather("many", f.extraServices, 10, 0.9)
	})
	d := f.start("d1", "a")
	f.eventually("all shards answer", func() bool {
		a := d.get("/many/warm")
		return a.status == http.StatusOK && a.header.Get("X-Missing-Parts") == "0"
	})
	b.ReportAllocs()
	for b.Loop() {
		a := d.get("/many/1")
		must.NoError(b, a.err)
		must.Eq(b, http.StatusOK, a.status)
	}
}
