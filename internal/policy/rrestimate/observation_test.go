package rrestimate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// An observation of another daemon counts like this daemon's own requests and is not
// passed on: two daemons that pass it back and forth would never forget it.
func TestRecordRemote(t *testing.T) {
	const second = rrunit.Instant(time.Second)
	var own, remote rrestimate.Estimator
	must.False(t, hasNotable(&own))
	for range 3 {
		own.RecordFailure(second)
	}
	own.RecordAnswer(second, second, time.Millisecond, time.Millisecond)
	observed := own.TakeObservation(2)
	must.Eq(t, rrestimate.Observation{Answered: 1, Failed: 3}, observed)
	must.False(t, hasNotable(&own), must.Sprint("an observation is returned once"))

	remote.RecordRemote(second, observed)
	must.Between(t, 0.3, remote.FailureRate(second), 0.45)
	must.False(t, hasNotable(&remote))
	must.Less(t, 0.01, remote.FailureRate(second.Add(5*time.Second)), must.Sprint("the failure rate decays"))

	// Only a few requests of one observation are counted, however many it reports.
	var flooded rrestimate.Estimator
	flooded.RecordRemote(second, rrestimate.Observation{Failed: 1 << 40})
	must.Less(t, 0.7, flooded.FailureRate(second))
}

// A load report that shows a slow searcher is passed to other daemons with its time,
// and counts there like a report of their own, unless they have a newer one.
func TestRemoteReportOfSlowSearcher(t *testing.T) {
	now := at(time.Second)
	for name, c := range map[string]struct {
		report rrestimate.Report
		want   bool
	}{
		"usual pace":      {rrestimate.Report{Load: 1, Slowdown: 1}, false},
		"a little slower": {rrestimate.Report{Load: 2, Slowdown: 2.5}, false},
		"much slower":     {rrestimate.Report{Load: 1, Slowdown: 7}, true},
		"slow and queued": {rrestimate.Report{Load: 3, Slowdown: 2.5}, true},
		"a long queue":    {rrestimate.Report{Load: 7}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var own, remote rrestimate.Estimator
			own.RecordReport(now, c.report)
			observed := own.TakeObservation(2)
			must.Eq(t, c.want, observed.IsNotable())
			must.False(t, hasNotable(&own), must.Sprint("an observation is returned once"))
			if !c.want {
				return
			}
			must.Eq(t, now, observed.ReportedAt)
			var fresh rrestimate.Estimator
			later := now.Add(5 * time.Millisecond)
			remote.RecordRemote(later, observed)
			must.Greater(t, 2*fresh.Estimate(later, request(0)), remote.Estimate(later, request(0)))
			must.False(t, hasNotable(&remote))

			var newer rrestimate.Estimator
			newer.RecordReport(later, rrestimate.Report{Slowdown: 1})
			before := newer.Estimate(later, request(0))
			newer.RecordRemote(later, observed)
			must.Eq(t, before, newer.Estimate(later, request(0)), must.Sprint("its own report is newer"))
		})
	}
}

func hasNotable(e *rrestimate.Estimator) bool {
	o := e.TakeObservation(2)
	return o.IsNotable()
}
