package rrplaces

import (
	"context"
	"math/rand/v2"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrconnect"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// Times of connections that are opened before they are needed.
const (
	// readyInterval is how often a daemon looks for connections that have ended.
	readyInterval = time.Second
	// readySpread is the time over which a daemon opens the connections to searchers
	// that are new to it, so that the queues for new connections hold them.
	readySpread = 500 * time.Millisecond
	// fullTime is how long no connection is opened in advance to a searcher that has
	// reset a new one, since it takes no more for now.
	fullTime = 3 * time.Second
)

// target is where a searcher is and what to keep of it.
type target struct {
	rrforward.Target
	// ready says that a connection is to be open before it is needed.
	ready bool
}

// targets returns the searchers of the service, and the connections to keep to each.
func (p *Places) targets(name rrunit.ServiceName, c *rrcatalog.Catalog) map[rrunit.SearcherID]target {
	cfg := rrconnect.Config{Self: p.site.Load().Instance, DaemonCount: len(c.Instances)}
	isShard := false
	if c.Table != nil {
		if s := c.Table.Service(name); s != nil {
			cfg.MaxSearcherConnections = s.Connections
		}
		isShard = c.Table.IsShard(name)
	}
	searchers := c.Searchers[name]
	for i := range searchers {
		cfg.Searchers = append(cfg.Searchers, rrconnect.Searcher{ID: processID(&searchers[i]), SameRegion: p.isNear(searchers[i].Zone)})
	}
	plans := rrconnect.Plans(cfg)
	out := make(map[rrunit.SearcherID]target, len(searchers))
	for i := range searchers {
		w := &searchers[i]
		plan := plans[processID(w)]
		out[processID(w)] = target{
			Target: rrforward.Target{ID: w.ID, Address: w.Address, Born: w.Born, Keep: plan.MaxIdle, KeepTime: plan.IdleTimeout},
			ready:  plan.Preconnect && isShard && w.State == rrcatalog.SearcherReady,
		}
	}
	return out
}

// isNear reports whether the zone is in this daemon's region.
func (p *Places) isNear(zone rrunit.Zone) bool {
	site := p.site.Load()
	return zone == site.Zone || site.Zones[zone] == site.Region
}

// KeepReady opens connections to searchers of shards before they are needed, until
// ctx ends.
func (p *Places) KeepReady(ctx context.Context) {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.each(func(s *place) { s.openAll() })
		case <-ctx.Done():
			return
		}
	}
}

// openAll opens the connections that are to be ready and are not, some time soon.
func (s *place) openAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.targets {
		if t.ready && s.lacks(id, t) {
			s.opening[id] = true
			time.AfterFunc(rand.N(readySpread), func() { s.open(id, t) })
		}
	}
}

// lacks reports whether there is no connection to the searcher, and none is being
// opened. The caller holds mu.
func (s *place) lacks(id rrunit.SearcherID, t target) bool {
	if s.opening[id] || s.isFull(id) || s.places.forwarder.Idle(t.Target) > 0 {
		return false
	}
	for _, at := range s.attempts {
		if at.searcher == id {
			return false
		}
	}
	return true
}

// isFull reports whether the searcher has reset a new connection of late. The caller
// holds mu.
func (s *place) isFull(id rrunit.SearcherID) bool { return s.places.clock() < s.full[id] }

// noteFull takes that the searcher has reset a new connection. The caller holds mu.
func (s *place) noteFull(now rrunit.Instant, id rrunit.SearcherID) { s.full[id] = now.Add(fullTime) }

// reopen replaces the connection of an attempt that has ended with it.
func (s *place) reopen(id rrunit.SearcherID) {
	s.mu.Lock()
	t := s.targets[id]
	open := t.ready && s.lacks(id, t)
	if open {
		s.opening[id] = true
	}
	s.mu.Unlock()
	if open {
		s.open(id, t)
	}
}

// open opens a connection to be kept idle, unless work has ended meanwhile.
func (s *place) open(id rrunit.SearcherID, t target) {
	if s.places.ctx.Err() != nil {
		return
	}
	err := s.places.forwarder.Connect(s.places.ctx, t.Target)
	s.mu.Lock()
	delete(s.opening, id)
	s.mu.Unlock()
	outcome := "opened"
	if err != nil {
		outcome = "failed"
		s.places.log.Routine("connection not ready", "service", s.name, "searcher", id, "err", err)
	}
	s.places.metrics.Count(rrmetrics.GroupReady, outcome)
}
