package rrbench

import (
	"fmt"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// callerCount is the number of callers other than the one that floods.
const callerCount = 20

// retryDelay is the time before a caller retries without backoff, in addition to
// the round trip to the entry.
const retryDelay = 10 * time.Millisecond

// floodCaller is the caller that floods.
const floodCaller rrunit.CallerID = "flood"

// startLoad starts the arrivals of every rank.
func (s *sim) startLoad() {
	c := &s.opts.Case
	capacity := s.shape.CapacityPerSecond(c.MeanTime())
	for rank, share := range c.Load {
		if share > 0 {
			s.startArrivals(rank, float64(share)*capacity, 0, c.End, false)
		}
	}
	for i := range c.Floods {
		f := &c.Floods[i]
		s.startArrivals(f.Rank, float64(f.Load)*capacity, f.From, f.To, true)
	}
}

// startArrivals starts Poisson arrivals of queries at the rate per second, between
// the two times.
func (s *sim) startArrivals(rank int, rate float64, from, to time.Duration, flood bool) {
	var arrive func()
	arrive = func() {
		if s.loop.Now() >= rrunit.Instant(to) {
			return
		}
		s.issueQuery(rank, flood)
		s.loop.After(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.loop.At(rrunit.Instant(from), arrive)
}

func (s *sim) issueQuery(rank int, flood bool) {
	q := &query{rank: rank, issuedAt: s.loop.Now(), caller: floodCaller}
	if !flood {
		q.caller = rrunit.CallerID(fmt.Sprintf("caller-%d", s.rand.IntN(callerCount)))
	}
	q.retryUntil = s.loop.Now().Add(s.opts.Case.RetryPeriod)
	s.stats.countOffered(q)
	s.sendToEntry(q)
}

// sendToEntry sends the query to an entry picked by the load balancer. The
// balancer's health checks keep callers away from a suspended daemon.
func (s *sim) sendToEntry(q *query) {
	d := s.daemons[s.rand.IntN(len(s.daemons))]
	for s.loop.Now() < d.frozenUntil {
		d = s.daemons[s.rand.IntN(len(s.daemons))]
	}
	d.deliver(func() { d.entry.serve(q) })
}

// handleRefusal has the caller retry, or counts the query as refused once its retry
// period is over.
func (s *sim) handleRefusal(q *query) {
	if s.loop.Now() >= q.retryUntil {
		s.stats.countRefused(q)
		return
	}
	s.loop.After(s.shape.clientRoundTrip+retryDelay, func() { s.sendToEntry(q) })
}
