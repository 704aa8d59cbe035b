// Package rrshared measures in virtual time how daemons distribute requests to all
// shards of a service over searchers that the daemons share. The decision cores are
// the daemons' own; network, searchers and callers are simulated. The same seed gives
// the same figures on every machine.
package rrshared

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrloop"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Class is one kind of request.
type Class struct {
	Name string
	Rank int
	// PerSecond is the arrival rate at all daemons together.
	PerSecond float64
	// ServiceTime is the base service time of one shard, without slowdown.
	ServiceTime             time.Duration
	LatencyTarget, Deadline time.Duration
	// MinCoverage is the minimum share of the shards for an answer.
	MinCoverage float64
	// TargetCredit is the credit of a complete answer within the latency target,
	// LateCredit that of a later one.
	TargetCredit, LateCredit float64
}

// Shape is a deployment.
type Shape struct {
	Regions int
	// DaemonsPerRegion is the number of daemons in each region.
	DaemonsPerRegion int
	Shards           int
	// Slots and QueueLimit are those of one searcher. Each shard has one searcher in
	// each region.
	Slots, QueueLimit int
	// MaxConnections is how many connections a searcher accepts.
	MaxConnections int
	// TimeFactors multiply service times; searchers take them in turn.
	TimeFactors []float64
	// RoundTrip is the round trip within a region, CrossRegionRoundTrip between two.
	RoundTrip, CrossRegionRoundTrip time.Duration
	// HandshakeTime is how long a searcher takes to accept a connection.
	HandshakeTime time.Duration
	// A searcher pauses for PauseDuration once every PauseInterval.
	PauseDuration, PauseInterval time.Duration
	// Interference is the effect of other load on the searchers' machines.
	Interference Interference
	Classes      []Class
	// ExtraShare and ExtraSlack bound the attempts beyond the first of each job.
	ExtraShare rrunit.Share
	ExtraSlack int
}

// Interference slows each searcher by the factor Slowdown, in a Share of the intervals
// of length Interval. With Reported, searchers report their slowdown.
type Interference struct {
	Share, Slowdown float64
	Interval        time.Duration
	Reported        bool
	// MisreportShare is the share of all searchers that report twice their actual
	// slowdown.
	MisreportShare float64
}

// Selka is a deployment of the first user's size.
func Selka() Shape {
	return Shape{
		Regions: 3, DaemonsPerRegion: 2, Shards: 10, Slots: 3, QueueLimit: 18, TimeFactors: []float64{0.8, 1, 1.3},
		RoundTrip: 400 * time.Microsecond, CrossRegionRoundTrip: 40 * time.Millisecond, HandshakeTime: 6 * time.Millisecond, MaxConnections: 30,
		PauseDuration: 250 * time.Millisecond, PauseInterval: 6 * time.Second,
		ExtraShare: 0.2, ExtraSlack: 52,
		Classes: []Class{
			{
				Name: "title", Rank: 1, PerSecond: 135, ServiceTime: 15 * time.Millisecond, LatencyTarget: 200 * time.Millisecond,
				Deadline: 2 * time.Second, MinCoverage: 0.89, TargetCredit: 1.9, LateCredit: 0.095,
			},
			{
				Name: "shelf", Rank: 0, PerSecond: 45, ServiceTime: 5 * time.Millisecond, LatencyTarget: 150 * time.Millisecond,
				Deadline: 1500 * time.Millisecond, MinCoverage: 0.75, TargetCredit: 1.8, LateCredit: 0.072,
			},
		},
	}
}

// Paddle is a deployment of the second user's size.
func Paddle() Shape {
	s := Selka()
	s.DaemonsPerRegion, s.Slots, s.QueueLimit, s.CrossRegionRoundTrip, s.MaxConnections = 3, 2, 12, 16*time.Millisecond, 26
	s.PauseDuration, s.PauseInterval, s.ExtraSlack = 150*time.Millisecond, 3600*time.Millisecond, 58
	s.Classes = []Class{
		{
			Name: "fleet", Rank: 1, PerSecond: 135, ServiceTime: 11 * time.Millisecond, LatencyTarget: 120 * time.Millisecond,
			Deadline: 2 * time.Second, MinCoverage: 0.89, TargetCredit: 1.9, LateCredit: 0.095,
		},
		{
			Name: "glance", Rank: 0, PerSecond: 45, ServiceTime: 3800 * time.Microsecond, LatencyTarget: 80 * time.Millisecond,
			Deadline: 1200 * time.Millisecond, MinCoverage: 0.75, TargetCredit: 1.8, LateCredit: 0.072,
		},
	}
	return s
}

// GrownPaddle is a deployment of the second user's size after it has grown.
func GrownPaddle() Shape {
	s := Paddle()
	s.DaemonsPerRegion, s.Shards, s.Slots, s.ExtraSlack, s.MaxConnections = 21, 36, 4, 168, 64
	for i := range s.Classes {
		s.Classes[i].PerSecond /= 1.6
	}
	s.Classes[0].MinCoverage, s.Classes[1].MinCoverage = 0.95, 0.85
	return s
}

// Grown is a deployment of the first user's size after it has grown.
func Grown() Shape {
	s := Selka()
	s.DaemonsPerRegion, s.Shards, s.Slots, s.MaxConnections = 24, 36, 4, 68
	s.PauseDuration, s.PauseInterval, s.ExtraSlack = 250*time.Millisecond, 6*time.Second, 186
	for i := range s.Classes {
		s.Classes[i].PerSecond /= 1.96
	}
	s.Classes[0].MinCoverage, s.Classes[1].MinCoverage = 0.95, 0.85
	return s
}

// Whistle is a deployment of the third user's size: longer service times at searchers
// whose machines have other load.
func Whistle() Shape {
	s := Selka()
	s.Slots, s.QueueLimit, s.CrossRegionRoundTrip, s.MaxConnections, s.TimeFactors = 5, 30, 16*time.Millisecond, 40, []float64{1}
	s.Interference = Interference{Share: 0.15, Slowdown: 2.5, Interval: 600 * time.Millisecond, Reported: true}
	s.Classes = []Class{
		{
			Name: "trace", Rank: 0, PerSecond: 119, ServiceTime: 28 * time.Millisecond, LatencyTarget: 200 * time.Millisecond,
			Deadline: 1200 * time.Millisecond, MinCoverage: 0.89, TargetCredit: 2, LateCredit: 0.1,
		},
		{
			Name: "handover", Rank: 1, PerSecond: 40, ServiceTime: 9200 * time.Microsecond, LatencyTarget: 120 * time.Millisecond,
			Deadline: 600 * time.Millisecond, MinCoverage: 0.75, TargetCredit: 1, LateCredit: 0.1,
		},
	}
	return s
}

// GrownWhistle is a deployment of the third user's size after it has grown.
func GrownWhistle() Shape {
	s := Whistle()
	s.DaemonsPerRegion, s.Shards, s.Slots, s.QueueLimit, s.MaxConnections, s.ExtraSlack = 26, 36, 4, 24, 71, 196
	s.Classes[0].PerSecond, s.Classes[1].PerSecond = 86.6, 28.9
	s.Classes[0].MinCoverage, s.Classes[1].MinCoverage = 0.95, 0.85
	return s
}

// Fault changes the behaviour of searchers, or the arrivals, for a time.
type Fault struct {
	From, Until time.Duration
	// Share is the share of all searchers that are affected.
	Share float64
	// Slowdown multiplies their service times; ShedShare is the share of requests
	// that they refuse; LossShare is the share of answers lost; with Down they refuse
	// connections.
	Slowdown  float64
	ShedShare float64
	LossShare float64
	Down      bool
	// LimitShare is the request limit that they name in their answers, as a share of the
	// usual rate of one searcher; zero is none.
	LimitShare float64
	// ArrivalFactor multiplies the arrival rates of all classes; the other fields are
	// then ignored.
	ArrivalFactor float64
}

// Options configure one run.
type Options struct {
	Shape    Shape
	Faults   []Fault
	Duration time.Duration
	Seed     uint64
	// NoTarget omits latency targets from the dispatchers' jobs.
	NoTarget bool
	// NoEvidence turns off the exchange of observations of searchers between daemons.
	NoEvidence bool
}

// ClassResult holds the figures of one class.
type ClassResult struct {
	Requests, InTarget, Late, Failed int
	// Credit is the earned share of the possible credit.
	Credit float64
	// Complete counts the answers that cover all shards.
	Complete int
}

// Result holds the figures of one run.
type Result struct {
	Classes []ClassResult
	// Credit is the earned share of the possible credit.
	Credit float64
	// Windows holds the share of the possible credit in each two seconds.
	Windows []float64
	// Attempts counts all attempts sent to searchers, Extra those beyond the first of
	// a job, and CrossRegion those sent to another region.
	Attempts, Extra, CrossRegion int
	// NewConnections counts the attempts that had to open a connection.
	NewConnections int
	// MaxExtra is the number of extra attempts at one shard in the ten seconds that
	// come closest to the bound or exceed it most; ExtraLimit is the bound there.
	MaxExtra, ExtraLimit float64
	// MaxLimited is the number of requests at one searcher that named a limit, in the
	// four seconds that come closest to what it allows or exceed it most; LimitAllowed is
	// what it allows. Both are zero if none named a limit.
	MaxLimited, LimitAllowed float64
}

func (r *Result) String() string {
	out := fmt.Sprintf("credit %.4f extra %.3f far %.3f opened %.3f", r.Credit, float64(r.Extra)/float64(r.Attempts), float64(r.CrossRegion)/float64(r.Attempts), float64(r.NewConnections)/float64(r.Attempts))
	for _, c := range r.Classes {
		out += fmt.Sprintf(" [credit %.4f of %d: whole %d late %d failed %d]", c.Credit, c.Requests, c.Complete, c.Late, c.Failed)
	}
	out += " windows"
	for _, w := range r.Windows {
		out += fmt.Sprintf(" %.2f", w)
	}
	return out
}

// Run simulates one run.
func Run(o Options) *Result {
	s := newSim(o)
	s.start()
	s.loop.RunUntil(rrunit.Instant(o.Duration + drainDuration))
	return s.result()
}

// drainDuration is the time for answers after the last arrival.
const drainDuration = 3 * time.Second

// sim is the state of one run.
type sim struct {
	Options
	loop           *rrloop.Loop
	rng            *rand.Rand
	daemons        []*daemon
	searchers      [][]*searcher
	classes        []ClassResult
	possible       float64
	earned         float64
	windows        []window
	attempts       int
	extra          int
	crossRegion    int
	newConnections int
	// arrivals holds the requests and the extra attempts of each shard by second.
	arrivals [][]arrivals
}

// arrivals counts the requests of callers and the extra attempts at searchers.
type arrivals struct{ requests, extra int }

type window struct{ possible, earned float64 }

const windowLength = 2 * time.Second

func newSim(o Options) *sim {
	s := &sim{
		Options: o,
		loop:    &rrloop.Loop{},
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		classes: make([]ClassResult, len(o.Shape.Classes)),
		windows: make([]window, o.Duration/windowLength+1),
	}
	for shard := range o.Shape.Shards {
		s.arrivals = append(s.arrivals, make([]arrivals, (o.Duration+drainDuration)/time.Second+1))
		var all []*searcher
		for region := range o.Shape.Regions {
			all = append(all, newSearcher(s, shard, region))
		}
		s.searchers = append(s.searchers, all)
	}
	for region := range o.Shape.Regions {
		for range o.Shape.DaemonsPerRegion {
			s.daemons = append(s.daemons, newDaemon(s, region))
		}
	}
	return s
}

func (s *sim) start() {
	for _, t := range s.Faults {
		s.scheduleFault(t)
	}
	for i := range s.Shape.Classes {
		s.scheduleArrival(i)
	}
	if s.NoEvidence {
		return
	}
	for i, d := range s.daemons {
		d.exchangeEvidence(i)
	}
}

func (s *sim) scheduleFault(t Fault) {
	if t.ArrivalFactor > 0 {
		return
	}
	var affected []*searcher
	for _, shard := range s.searchers {
		for _, w := range shard {
			if s.rng.Float64() < t.Share {
				affected = append(affected, w)
			}
		}
	}
	s.loop.At(rrunit.Instant(t.From), func() {
		for _, w := range affected {
			w.applyFault(t)
		}
	})
	s.loop.At(rrunit.Instant(t.Until), func() {
		for _, w := range affected {
			w.clearFault()
		}
	})
}

// scheduleArrival schedules the next request of the class, if it falls within the
// run's duration.
func (s *sim) scheduleArrival(class int) {
	c := &s.Shape.Classes[class]
	rate := c.PerSecond
	for _, t := range s.Faults {
		if t.ArrivalFactor > 0 && s.loop.Now() >= rrunit.Instant(t.From) && s.loop.Now() < rrunit.Instant(t.Until) {
			rate *= t.ArrivalFactor
		}
	}
	wait := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if s.loop.Now().Add(wait) >= rrunit.Instant(s.Duration) {
		return
	}
	s.loop.After(wait, func() {
		d := s.daemons[s.rng.IntN(len(s.daemons))]
		d.serve(class)
		s.scheduleArrival(class)
	})
}

// recordResult records the end of a request with the number of shards that succeeded;
// zero is a failure.
func (s *sim) recordResult(class int, arrived rrunit.Instant, succeeded int) {
	c, r := &s.Shape.Classes[class], &s.classes[class]
	share := float64(succeeded) / float64(s.Shape.Shards)
	credit := 0.0
	switch {
	case succeeded == 0:
		r.Failed++
	case s.loop.Now().Sub(arrived) <= c.LatencyTarget-clientRoundTrip:
		r.InTarget++
		credit = c.TargetCredit * share * share
	default:
		r.Late++
		credit = c.LateCredit * share * share
	}
	if succeeded == s.Shape.Shards {
		r.Complete++
	}
	r.Requests++
	r.Credit += credit
	s.possible += c.TargetCredit
	s.earned += credit
	w := &s.windows[int(time.Duration(arrived)/windowLength)]
	w.possible += c.TargetCredit
	w.earned += credit
}

// clientRoundTrip is the round trip between a caller and a daemon.
const clientRoundTrip = 4 * time.Millisecond

func (s *sim) result() *Result {
	r := &Result{Classes: s.classes, Credit: s.earned / s.possible, Attempts: s.attempts, Extra: s.extra, CrossRegion: s.crossRegion, NewConnections: s.newConnections}
	for i := range r.Classes {
		c := &r.Classes[i]
		c.Credit /= float64(c.Requests) * s.Shape.Classes[i].TargetCredit
	}
	s.findMaxExtra(r)
	s.findMaxLimited(r)
	for _, w := range s.windows {
		if w.possible > 0 {
			r.Windows = append(r.Windows, w.earned/w.possible)
		}
	}
	return r
}

// extraWindowSeconds is the length of the window for the bound on extra attempts.
const extraWindowSeconds = 10

// findMaxExtra finds the shard and window with the most extra attempts relative to
// the bound.
func (s *sim) findMaxExtra(r *Result) {
	worst := -1e9
	for _, seconds := range s.arrivals {
		for from := 0; from+extraWindowSeconds <= len(seconds); from++ {
			var sum arrivals
			for _, a := range seconds[from : from+extraWindowSeconds] {
				sum.requests += a.requests
				sum.extra += a.extra
			}
			allowed := float64(s.Shape.ExtraShare)*float64(sum.requests) + float64(s.Shape.ExtraSlack)
			if over := float64(sum.extra) - allowed; over > worst {
				worst, r.MaxExtra, r.ExtraLimit = over, float64(sum.extra), allowed
			}
		}
	}
}

func (s *sim) second() int { return int(time.Duration(s.loop.Now()) / time.Second) }
