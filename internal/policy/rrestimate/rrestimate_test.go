package rrestimate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
)

const usual = 10 * time.Millisecond

func at(d time.Duration) rrunit.Instant { return rrunit.Instant(d) }

func request(roundTrip time.Duration) rrestimate.Request {
	return rrestimate.Request{RoundTrip: roundTrip, ServiceTime: usual, Slots: 2, FailureCost: 150 * time.Millisecond}
}

// answer records an answer with a service time.
func answer(e *rrestimate.Estimator, now rrunit.Instant, service time.Duration) {
	e.RecordAnswer(now, now.Add(-service), service, usual)
}

func TestSlowSearcherLosesToDistantOne(t *testing.T) {
	var near, far rrestimate.Estimator
	now := at(time.Second)
	for range 4 {
		now = now.Add(usual)
		answer(&near, now, usual)
		answer(&far, now, usual)
	}
	must.Less(t, far.Estimate(now, request(40*time.Millisecond)), near.Estimate(now, request(0)))
	for range 3 {
		now = now.Add(8 * usual)
		answer(&near, now, 8*usual)
	}
	must.Less(t, near.Estimate(now, request(0)), far.Estimate(now, request(40*time.Millisecond)))
	later := now.Add(8 * time.Second)
	must.Less(t, far.Estimate(later, request(40*time.Millisecond)), near.Estimate(later, request(0)),
		must.Sprint("it is tried again after a while"))
}

// A pause of a searcher delays all its requests and does not count as slowdown.
func TestPauseIsNotSlowdown(t *testing.T) {
	var e rrestimate.Estimator
	now := at(time.Second)
	for range 5 {
		now = now.Add(usual)
		answer(&e, now, usual)
	}
	before := e.Estimate(now, request(0))
	sent := now.Add(time.Millisecond)
	e.RecordOverdue(sent)
	must.True(t, e.IsStalled())
	now = now.Add(100 * time.Millisecond)
	must.Greater(t, 10*before, e.Estimate(now, request(0)), must.Sprint("others are preferred while it is stalled"))
	now = now.Add(150 * time.Millisecond)
	for range 3 {
		_, ok := e.RecordAnswer(now, sent, 250*time.Millisecond, usual)
		must.False(t, ok)
	}
	must.False(t, e.IsStalled())
	must.Less(t, 8*before, e.Estimate(now, request(0)))
	for range 8 {
		now = now.Add(usual)
		answer(&e, now, usual)
	}
	must.Less(t, 3*before, e.Estimate(now, request(0)))
}

func TestFailuresRaiseTheEstimate(t *testing.T) {
	var e rrestimate.Estimator
	now := at(time.Second)
	answer(&e, now, usual)
	before := e.Estimate(now, request(0))
	for range 3 {
		e.RecordFailure(now)
	}
	must.Greater(t, before+40*time.Millisecond, e.Estimate(now, request(0)),
		must.Sprint("a searcher of another region is preferred"))
	must.Less(t, before+10*time.Millisecond, e.Estimate(now.Add(4*time.Second), request(0)))
}

func TestLoad(t *testing.T) {
	var e rrestimate.Estimator
	now := at(time.Second)
	answer(&e, now, usual)
	r := request(0)
	e.RecordReport(now, rrestimate.Report{Load: 8})
	must.Eq(t, 8, e.Load(now, r))
	below := e.LoadBelowAt(r, 4)
	must.Between(t, now, below, now.Add(time.Second))
	must.Less(t, 4, e.Load(below.Add(time.Microsecond), r))
	r.InFlight = 6
	must.Eq(t, 6, e.Load(now.Add(time.Second), r))
	r.InFlight, r.OldestSentAt = 1, now
	must.GreaterEq(t, 4, e.Load(now.Add(5*usual), r), must.Sprint("a request that waits that long has others ahead of it"))
}

func TestRoundTripIsTheMinimum(t *testing.T) {
	d := rrestimate.NewRoundTrips()
	_, ok := d.RoundTrip("z")
	must.False(t, ok)
	for _, ms := range []int{50, 41, 60} {
		d.Record(at(time.Second), "z", time.Duration(ms)*time.Millisecond, false)
	}
	got, ok := d.RoundTrip("z")
	must.True(t, ok)
	must.Eq(t, 41*time.Millisecond, got)
	for s := range 30 {
		d.Record(at(time.Duration(20+s)*time.Second), "z", 70*time.Millisecond, false)
	}
	got, _ = d.RoundTrip("z")
	must.Eq(t, 70*time.Millisecond, got, must.Sprint("an old minimum does not count"))
}

func TestServiceTimeQuantiles(t *testing.T) {
	w := rrestimate.NewServiceTimes()
	first := w.Median(1)
	for i := range 200 {
		w.Record(at(time.Duration(i)*time.Millisecond), 1, time.Duration(1+i%20)*time.Millisecond)
	}
	must.NotEq(t, first, w.Median(1))
	must.Between(t, 9*time.Millisecond, w.Median(1), 12*time.Millisecond)
	must.Between(t, 18*time.Millisecond, w.Tail(1), 21*time.Millisecond)
	must.Eq(t, first, w.Median(0))
}

// The time to open a connection is measured apart from the round trip.
func TestConnectTime(t *testing.T) {
	d := rrestimate.NewRoundTrips()
	d.Record(at(time.Second), "z", 60*time.Millisecond, true)
	got, ok := d.RoundTrip("z")
	must.True(t, ok)
	must.Eq(t, 60*time.Millisecond, got, must.Sprint("there is no other sample"))
	_, ok = d.ConnectTime("z")
	must.False(t, ok)
	d.Record(at(2*time.Second), "z", 38*time.Millisecond, false)
	got, _ = d.RoundTrip("z")
	must.Eq(t, 38*time.Millisecond, got)
	cost, ok := d.ConnectTime("z")
	must.True(t, ok)
	must.Eq(t, 22*time.Millisecond, cost)
}
