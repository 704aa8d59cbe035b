package rrestimate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

// answerUsual lets the searcher answer as usual for a while, reporting the slowdown.
func answerUsual(e *rrestimate.Estimator, now rrunit.Instant, reported float64) rrunit.Instant {
	for range 20 {
		now = now.Add(usual)
		e.RecordReport(now, rrestimate.Report{Slowdown: reported})
		answer(e, now, usual)
	}
	return now
}

// A reported slowdown counts at once, and not for long.
func TestReportedSlowdownCountsAtOnce(t *testing.T) {
	var e rrestimate.Estimator
	now := answerUsual(&e, at(time.Second), 1)
	before := e.Estimate(now, request(0))
	e.RecordReport(now, rrestimate.Report{Slowdown: 2.5})
	must.Greater(t, 2*before, e.Estimate(now, request(0)), must.Sprint("one report is enough"))
	must.Less(t, 3*before/2, e.Estimate(now.Add(3*time.Second), request(0)), must.Sprint("an old report decays"))
}

// Latency that the reported slowdown explains does not raise the searcher's own
// slowdown too: when the reported one returns to normal, so does the estimate.
func TestReportedSlowdownIsNotCountedTwice(t *testing.T) {
	var e rrestimate.Estimator
	now := answerUsual(&e, at(time.Second), 1)
	before := e.Estimate(now, request(0))
	for range 5 {
		now = now.Add(25 * time.Millisecond)
		e.RecordReport(now, rrestimate.Report{Slowdown: 2.5})
		service, ok := e.RecordAnswer(now, now.Add(-25*time.Millisecond), 25*time.Millisecond, usual)
		must.True(t, ok)
		must.Between(t, usual*8/10, service, usual*13/10, must.Sprint("the adjusted service time does not change"))
	}
	e.RecordReport(now, rrestimate.Report{Slowdown: 1})
	must.Less(t, 3*before/2, e.Estimate(now, request(0)))
}

// A wrong reported slowdown, too low or too high, is corrected by the latencies of
// requests.
func TestWrongReportIsCorrected(t *testing.T) {
	for reported, service := range map[float64]time.Duration{0.01: usual, 3: usual, 1: 3 * usual} {
		var right, wrong rrestimate.Estimator
		now := at(time.Second)
		for range 60 {
			now = now.Add(3 * usual)
			for _, e := range []*rrestimate.Estimator{&right, &wrong} {
				slowdown := float64(service) / float64(usual)
				if e == &wrong {
					slowdown = reported
				}
				e.RecordReport(now, rrestimate.Report{Slowdown: slowdown})
				answer(e, now, service)
			}
		}
		must.Between(t, right.Estimate(now, request(0))*7/10, wrong.Estimate(now, request(0)), right.Estimate(now, request(0))*14/10,
			must.Sprintf("reported slowdown %v, service time %s", reported, service))
	}
}
