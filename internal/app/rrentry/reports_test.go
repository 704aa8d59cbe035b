package rrentry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrentry"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// TestSilentShardsAreAwaitedOnce checks that only the first query waits for reports that
// never arrive, as when an entry starts while another region is unreachable.
func TestSilentShardsAreAwaitedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := rrentry.New(noPeers{})
		def, err := rrexample.Selkamerkki()
		must.NoError(t, err)
		e.SetDefinition(def)
		q, err := rrquery.Decode([]byte(`{"service":"luettelo","deadline":"400ms","body":1}`), def)
		must.NoError(t, err)
		for _, want := range []time.Duration{200 * time.Millisecond, 0, 0} {
			start := time.Now()
			must.Eq(t, rrquery.ReasonNoSearcher, e.Serve(t.Context(), q).Reason)
			must.Eq(t, want, time.Since(start))
		}
	})
}

// TestExpiredReportsAreIgnored checks that no snapshot is chosen by expired reports, as
// when the shards' region has become unreachable.
func TestExpiredReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := rrentry.New(noPeers{})
		def, err := rrexample.Selkamerkki()
		must.NoError(t, err)
		e.SetDefinition(def)
		for i := range def.Service("luettelo").Layouts[0].Shards {
			key := rrunit.ShardKey{Service: "luettelo", Layout: "base", Shard: def.Service("luettelo").Layouts[0].Shards[i].Name}
			e.Report(rrpeer.ShardReport{Shard: key, Versions: []rrunit.IndexVersion{1}})
		}
		q, err := rrquery.Decode([]byte(`{"service":"luettelo","body":1}`), def)
		must.NoError(t, err)
		must.Eq(t, rrunit.Snapshot{Version: 1, Layout: "base"}, e.Serve(t.Context(), q).Snapshot)
		time.Sleep(time.Minute)
		must.Eq(t, rrunit.Snapshot{}, e.Serve(t.Context(), q).Snapshot)
	})
}
