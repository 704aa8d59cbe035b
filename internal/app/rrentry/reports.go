package rrentry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// reportWaitDivisor sets the part of the deadline (1/2) that a query may wait for the
// first reports on its shards.
const reportWaitDivisor = 2

// awaitReports requests reports on the shards that no owner has reported on yet, and
// waits for them for at most maxWait.
func (e *Entry) awaitReports(ctx context.Context, s *rrdefinition.Service, maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	probed := false
	for {
		e.mu.Lock()
		reportArrived := e.reportArrived
		e.mu.Unlock()
		unreported := e.shardsToAwait(s)
		if len(unreported) == 0 {
			return
		}
		if !probed {
			e.probe(unreported)
			probed = true
		}
		select {
		case <-reportArrived:
		case <-ctx.Done():
			e.markSilent(unreported)
			return
		}
	}
}

// markSilent marks shards without a report as shards without replicas, so that later
// queries do not wait for them. refreshReports requests reports on them again.
func (e *Entry) markSilent(keys []rrunit.ShardKey) {
	now := e.clock()
	for _, key := range keys {
		if e.mustAwait(key, now) {
			e.reports.Store(key, &report{ShardReport: rrpeer.ShardReport{Shard: key}, receivedAt: now, silent: true})
		}
	}
}

// refreshInterval is the time between two rounds of requests for new reports on a
// service. Owners of queried shards send reports with their results, so this concerns
// the shards of other layouts.
const refreshInterval = 200 * time.Millisecond

// refreshReports requests new reports on the service's shards with old ones, at most
// once per refreshInterval.
func (e *Entry) refreshReports(s *rrdefinition.Service) {
	now := e.clock()
	v, _ := e.refreshed.LoadOrStore(s.Name, new(atomic.Int64))
	last, ok := v.(*atomic.Int64)
	if !ok {
		return
	}
	before := last.Load()
	if now.Sub(rrunit.Instant(before)) < refreshInterval || !last.CompareAndSwap(before, int64(now)) {
		return
	}
	var old []rrunit.ShardKey
	for _, key := range shardKeys(s) {
		if r := e.reportOn(key); r != nil && now.Sub(r.receivedAt) >= refreshInterval/2 {
			old = append(old, key)
		}
	}
	e.probe(old)
}

func shardKeys(s *rrdefinition.Service) []rrunit.ShardKey {
	var out []rrunit.ShardKey
	for i := range s.Layouts {
		l := &s.Layouts[i]
		for j := range l.Shards {
			out = append(out, rrunit.ShardKey{Service: s.Name, Layout: l.Name, Shard: l.Shards[j].Name})
		}
	}
	return out
}

// shardsToAwait returns the shards whose reports a query waits for.
func (e *Entry) shardsToAwait(s *rrdefinition.Service) []rrunit.ShardKey {
	var out []rrunit.ShardKey
	now := e.clock()
	for _, key := range shardKeys(s) {
		if e.mustAwait(key, now) {
			out = append(out, key)
		}
	}
	return out
}

// reportLifetime is how long a report is valid. After that the shard's replicas may
// have other versions or be unreachable.
const reportLifetime = 5 * time.Second

// mustAwait reports whether the shard has no valid report and was not marked silent.
func (e *Entry) mustAwait(key rrunit.ShardKey, now rrunit.Instant) bool {
	r := e.reportOn(key)
	return r == nil || !r.silent && now.Sub(r.receivedAt) >= reportLifetime
}

// reportOn returns the latest report on the shard, or nil.
func (e *Entry) reportOn(key rrunit.ShardKey) *report {
	v, ok := e.reports.Load(key)
	if !ok {
		return nil
	}
	r, ok := v.(*report)
	if !ok {
		return nil
	}
	return r
}

// versions returns the index versions that the shard's replicas serve, and false
// without a valid report.
func (e *Entry) versions(key rrunit.ShardKey) ([]rrunit.IndexVersion, bool) {
	r := e.reportOn(key)
	if r == nil || e.clock().Sub(r.receivedAt) >= reportLifetime {
		return nil, false
	}
	return r.Versions, true
}

// probe requests a report from the owner of each shard, or from a standby if the owner
// is silent or leaving.
func (e *Entry) probe(keys []rrunit.ShardKey) {
	table := e.members.Load()
	def := e.definition.Load()
	byOwner := make(map[rrunit.InstanceID][]rrunit.ShardKey)
	for _, key := range keys {
		shard := def.Shard(key)
		if shard == nil {
			continue
		}
		if owners := e.readyFirst(table.Owners(key, shard.Region)); len(owners) > 0 {
			byOwner[owners[0]] = append(byOwner[owners[0]], key)
		}
	}
	for id, keys := range byOwner {
		if w := e.directory.Worker(id); w != nil {
			w.Probe(keys)
		}
	}
}

// readyFirst returns the owners with those that are silent or leaving moved to the end.
func (e *Entry) readyFirst(owners []rrunit.InstanceID) []rrunit.InstanceID {
	out := slices.Clone(owners)
	slices.SortStableFunc(out, func(a, b rrunit.InstanceID) int { return e.readyOrder(a) - e.readyOrder(b) })
	return out
}

func (e *Entry) readyOrder(id rrunit.InstanceID) int {
	if e.directory.Ready(id) {
		return 0
	}
	return 1
}
