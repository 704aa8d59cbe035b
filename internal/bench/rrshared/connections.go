package rrshared

import (
	"strconv"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrconnpool"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// idleConnections are a daemon's idle connections to one searcher.
type idleConnections struct {
	plan rrconnpool.Plan
	// expiries holds the instant at which each connection expires, the latest last.
	expiries []rrunit.Instant
	// opening is set while a connection is being opened ahead of need.
	opening bool
}

// noIdleTimeout is longer than any run.
const noIdleTimeout = time.Hour

// initialConnections returns the connections of a shard before the first request.
func (s *shard) initialConnections(shape Shape) map[rrunit.SearcherID]*idleConnections {
	d := s.daemon
	cfg := rrconnpool.Config{
		Self:        rrunit.InstanceID(strconv.Itoa(len(d.sim.daemons))),
		DaemonCount: shape.Regions * shape.DaemonsPerRegion, MaxSearcherConnections: shape.MaxConnections,
	}
	for region := range shape.Regions {
		cfg.Searchers = append(cfg.Searchers, rrconnpool.Searcher{ID: searcherID(s.index, region), SameRegion: region == d.region})
	}
	out := make(map[rrunit.SearcherID]*idleConnections)
	for id, plan := range rrconnpool.Plans(cfg) {
		l := &idleConnections{plan: plan}
		if plan.Preconnect {
			l.put(0)
		}
		out[id] = l
	}
	return out
}

func (l *idleConnections) expire(now rrunit.Instant) {
	for len(l.expiries) > 0 && l.expiries[0] <= now {
		l.expiries = l.expiries[1:]
	}
}

func (l *idleConnections) take(now rrunit.Instant) bool {
	l.expire(now)
	n := len(l.expiries)
	if n == 0 {
		return false
	}
	l.expiries = l.expiries[:n-1]
	return true
}

func (l *idleConnections) put(now rrunit.Instant) {
	keep := l.plan.IdleTimeout
	if keep == 0 {
		keep = noIdleTimeout
	}
	if len(l.expiries) < l.plan.MaxIdle {
		l.expiries = append(l.expiries, now.Add(keep))
	}
}

// idle returns the number of idle connections to the searcher.
func (s *shard) idle(id rrunit.SearcherID) int {
	l := s.connections[id]
	l.expire(s.daemon.sim.loop.Now())
	return len(l.expiries)
}

// release handles the connection of an ended attempt: it is kept after an answer or a
// refusal, and otherwise replaced if the plan preconnects to the searcher.
func (s *shard) release(now rrunit.Instant, w *searcher, o rrupstream.Outcome) {
	l := s.connections[w.id]
	if o == rrupstream.OutcomeAnswered || o == rrupstream.OutcomeShed {
		l.put(now)
		return
	}
	if !l.plan.Preconnect || l.opening || len(l.expiries) > 0 || w.fault.Down {
		return
	}
	l.opening = true
	s.daemon.sim.loop.After(s.daemon.roundTrip(w.region)+s.daemon.sim.Shape.HandshakeTime, func() {
		l.opening = false
		l.put(s.daemon.sim.loop.Now())
		s.core.SetIdleConnections(s.idle)
	})
}

// roundTrip returns the round trip to a region.
func (d *daemon) roundTrip(region int) time.Duration {
	if region == d.region {
		return d.sim.Shape.RoundTrip
	}
	return d.sim.Shape.CrossRegionRoundTrip
}
