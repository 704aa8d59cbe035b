package rrpeer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// A request with more findings than earlier versions take has the rest in fields that they
// ignore.
func TestEarlierVersionsTakeRequestsWithManyFindings(t *testing.T) {
	var f rrpeer.Findings
	for i := range rrunit.Fingerprint(100) {
		f.Quarantines = append(f.Quarantines, rrpeer.Quarantine{Fingerprint: i, TimeLeft: rrunit.Duration(time.Second)})
		f.Crashes = append(f.Crashes, rrpeer.Crash{CrashedRun: rrpeer.CrashedRun{Fingerprint: i, Service: "one", Searcher: "i-1"}})
	}
	var r rrpeer.FeedRequest
	r.SetFindings(f)
	must.Len(t, 32, r.Quarantines)
	must.Len(t, 16, r.Crashes)
	must.NoError(t, r.Check())
	must.Eq(t, f, r.Findings())
}

// A requester is not told of more than it keeps: it would be told again at once.
func TestRequestersAreToldWhatTheyKeep(t *testing.T) {
	var earlier, now rrpeer.FeedRequest
	now.SetFindings(rrpeer.Findings{})
	must.Eq(t, rrpeer.Limits{Quarantines: 32, Crashes: 16}, earlier.Limits())
	must.Eq(t, rrpeer.Limits{Quarantines: rrpeer.MaxQuarantines, Crashes: rrpeer.MaxCrashes}, now.Limits())
}
