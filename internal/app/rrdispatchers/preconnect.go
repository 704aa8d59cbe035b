package rrdispatchers

import (
	"context"
	"math/rand/v2"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrconnpool"
	"rhubarbreel.example/rhubarbreel/internal/port/rrforward"
)

// Times of preconnecting, that is, opening connections before a request needs them.
const (
	// preconnectInterval is the time between two checks for closed connections.
	preconnectInterval = time.Second
	// preconnectSpread is the time over which a daemon spreads new connections, so
	// that the accept queues of searchers do not overflow.
	preconnectSpread = 500 * time.Millisecond
	// resetBackoff is how long no connection is opened in advance to a searcher that
	// reset a new one, which shows that it is at its connection limit.
	resetBackoff = 3 * time.Second
)

// target is a searcher's address and the connections to keep to it.
type target struct {
	rrforward.Target
	// preconnect is set if a connection is opened before a request needs it.
	preconnect bool
}

// targetsOf returns the targets of the service by process id.
func (p *Dispatchers) targetsOf(name rrunit.ServiceName, c *rrcatalog.Catalog) map[rrunit.SearcherID]target {
	cfg := rrconnpool.Config{Self: p.settings.Load().Instance, DaemonCount: c.Sharers}
	isShard := false
	if c.Table != nil {
		if s := c.Table.Service(name); s != nil {
			cfg.MaxSearcherConnections = s.Connections
		}
		isShard = c.Table.IsShard(name)
	}
	searchers := c.Searchers[name]
	for i := range searchers {
		cfg.Searchers = append(cfg.Searchers, rrconnpool.Searcher{ID: processID(&searchers[i]), SameRegion: p.isSameRegion(searchers[i].Zone)})
	}
	plans := rrconnpool.Plans(cfg)
	out := make(map[rrunit.SearcherID]target, len(searchers))
	for i := range searchers {
		searcher := &searchers[i]
		plan := plans[processID(searcher)]
		out[processID(searcher)] = target{
			Target:     rrforward.Target{ID: searcher.ID, Address: searcher.Address, Incarnation: searcher.Incarnation, MaxIdleConnections: plan.MaxIdle, IdleTimeout: plan.IdleTimeout},
			preconnect: plan.Preconnect && isShard && searcher.State == rrcatalog.SearcherReady,
		}
	}
	return out
}

// isSameRegion reports whether the zone is in this daemon's region.
func (p *Dispatchers) isSameRegion(zone rrunit.Zone) bool {
	settings := p.settings.Load()
	return zone == settings.Zone || settings.Zones[zone] == settings.Region
}

// KeepPreconnected keeps connections to searchers of shards open before requests need them,
// until ctx ends.
func (p *Dispatchers) KeepPreconnected(ctx context.Context) {
	tick := time.NewTicker(preconnectInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.forEach(func(d *dispatcher) { d.preconnectAll() })
		case <-ctx.Done():
			return
		}
	}
}

// preconnectAll schedules the missing connections, each after a random delay.
func (d *dispatcher) preconnectAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, t := range d.targets {
		if t.preconnect && d.needsConnection(id, t) {
			d.connecting[id] = true
			time.AfterFunc(rand.N(preconnectSpread), func() { d.preconnect(id, t) })
		}
	}
}

// needsConnection reports whether there is no connection to the searcher, idle or in
// use, none is being opened, and the searcher is not backed off. The caller holds mu.
func (d *dispatcher) needsConnection(id rrunit.SearcherID, t target) bool {
	if d.connecting[id] || d.isBackedOff(id) || d.parent.forwarder.IdleConnections(t.Target) > 0 {
		return false
	}
	for _, at := range d.attempts {
		if at.searcher == id {
			return false
		}
	}
	return true
}

// isBackedOff reports whether the searcher reset a new connection within
// resetBackoff. The caller holds mu.
func (d *dispatcher) isBackedOff(id rrunit.SearcherID) bool {
	return d.parent.clock() < d.backoffUntil[id]
}

// backOff records that the searcher reset a new connection. The caller holds mu.
func (d *dispatcher) backOff(now rrunit.Instant, id rrunit.SearcherID) {
	d.backoffUntil[id] = now.Add(resetBackoff)
}

// replaceConnection opens a new connection at once if the attempt that just ended
// closed its connection.
func (d *dispatcher) replaceConnection(id rrunit.SearcherID) {
	if t, ok := d.reserveConnection(id); ok {
		d.preconnect(id, t)
	}
}

// reserveConnection returns the searcher's target if a connection is to be opened to it now.
func (d *dispatcher) reserveConnection(id rrunit.SearcherID) (target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if !t.preconnect || !d.needsConnection(id, t) {
		return target{}, false
	}
	d.connecting[id] = true
	return t, true
}

// preconnect opens a connection to be kept idle, unless the daemon is stopping.
func (d *dispatcher) preconnect(id rrunit.SearcherID, t target) {
	if d.parent.ctx.Err() != nil {
		return
	}
	err := d.parent.forwarder.Connect(d.parent.ctx, t.Target)
	d.mu.Lock()
	delete(d.connecting, id)
	d.mu.Unlock()
	outcome := "opened"
	if err != nil {
		outcome = "failed"
		d.parent.log.Routine("could not open a connection in advance", "service", d.name, "searcher", id, "err", err)
	}
	d.parent.metrics.Count(rrmetrics.GroupPreconnects, outcome)
}
