package rrshared

import (
	"strconv"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrconnpool"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// links are a daemon's idle connections to one searcher.
type links struct {
	plan rrconnpool.Plan
	// until has the instants from which each is not used any more, the newest last.
	until []rrunit.Instant
	// opening says that one is being opened before it is needed.
	opening bool
}

// neverIdle is longer than any run.
const neverIdle = time.Hour

// newLinks returns the connections of a shard before the first request.
func (s *shard) newLinks(shape Shape) map[rrunit.SearcherID]*links {
	d := s.daemon
	cfg := rrconnpool.Config{
		Self:        rrunit.InstanceID(strconv.Itoa(len(d.sim.daemons))),
		DaemonCount: shape.Regions * shape.Daemons, MaxSearcherConnections: shape.Connections,
	}
	for region := range shape.Regions {
		cfg.Searchers = append(cfg.Searchers, rrconnpool.Searcher{ID: searcherID(s.place, region), SameRegion: region == d.region})
	}
	out := make(map[rrunit.SearcherID]*links)
	for id, plan := range rrconnpool.Plans(cfg) {
		l := &links{plan: plan}
		if plan.Preconnect {
			l.put(0)
		}
		out[id] = l
	}
	return out
}

func (l *links) expire(now rrunit.Instant) {
	for len(l.until) > 0 && l.until[0] <= now {
		l.until = l.until[1:]
	}
}

func (l *links) take(now rrunit.Instant) bool {
	l.expire(now)
	n := len(l.until)
	if n == 0 {
		return false
	}
	l.until = l.until[:n-1]
	return true
}

func (l *links) put(now rrunit.Instant) {
	keep := l.plan.IdleTimeout
	if keep == 0 {
		keep = neverIdle
	}
	if len(l.until) < l.plan.MaxIdle {
		l.until = append(l.until, now.Add(keep))
	}
}

// idle returns how many connections to the searcher are idle.
func (s *shard) idle(id rrunit.SearcherID) int {
	l := s.links[id]
	l.expire(s.daemon.sim.loop.Now())
	return len(l.until)
}

// release takes the end of an attempt: its connection is kept after an answer or a
// refusal, and replaced otherwise where one is to be ready.
func (s *shard) release(now rrunit.Instant, w *searcher, o rrupstream.Outcome) {
	l := s.links[w.id]
	if o == rrupstream.OutcomeAnswered || o == rrupstream.OutcomeShed {
		l.put(now)
		return
	}
	if !l.plan.Preconnect || l.opening || len(l.until) > 0 || w.trouble.Down {
		return
	}
	l.opening = true
	s.daemon.sim.loop.After(s.daemon.trip(w.region)+s.daemon.sim.Shape.Handshake, func() {
		l.opening = false
		l.put(s.daemon.sim.loop.Now())
		s.core.SetIdleConnections(s.idle)
	})
}

// trip returns the round trip to a region.
func (d *daemon) trip(region int) time.Duration {
	if region == d.region {
		return d.sim.Shape.Near
	}
	return d.sim.Shape.Far
}
