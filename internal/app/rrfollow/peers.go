package rrfollow

import (
	"context"
	"maps"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfreshness"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// Times of following other daemons.
const (
	// backupWaits is how many times longer a request waits at the backup source. Its changes
	// arrive as soon, but its age is not needed while the first source answers, and each
	// reader of a large fleet serves as many requests as a backup source as it does as a
	// first source.
	backupWaits = 4
	// followRetryDelay is the time between a failed request and the next.
	followRetryDelay = 100 * time.Millisecond
)

// followPeer follows one source until ctx ends.
func (f *Follower) followPeer(ctx context.Context, source rrsource.Source) {
	for ctx.Err() == nil {
		if !f.followPeerOnce(ctx, source) {
			rrunit.Sleep(ctx, followRetryDelay)
		}
	}
}

func (f *Follower) followPeerOnce(ctx context.Context, source rrsource.Source) bool {
	request, changed := f.feedRequest()
	request.Wait = rrunit.Duration(f.currentTimes().PeerWait)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if source.Backup {
		request.Wait *= backupWaits
		request.Delay = rrunit.Duration(rrfreshness.BackupDelay)
		// Cancel when the first source has sent changes, so that the backup does not
		// send them again.
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-done:
			}
		}()
	}
	response, err := f.cfg.Feeds.Follow(callCtx, source.Address, request)
	if err == nil {
		f.addPeerFindings(response.Findings())
	}
	f.cfg.Metrics.Count(rrmetrics.GroupPeerCalls, outcomeLabel(err))
	now := f.clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil && callCtx.Err() != nil:
		return true
	case err != nil:
		f.core.RecordPeerFailure(now, source.Address)
		f.cfg.Log.Failure("peer not reached", "peer", source.Address, "err", err)
		return false
	}
	// What a source of an earlier era knows is out of date, however recently the store
	// confirmed it.
	isCurrent := response.Confirmed && response.Era >= f.era
	f.trackRenewal(now, func() { f.core.RecordPeerAnswer(now, source.Address, response.Age.Std(), isCurrent) })
	f.recordAnswer(now, source.Address, response.From)
	if response.Changes != nil {
		f.applyChanges(response.Changes)
	}
	return true
}

// feedRequest returns a request with the state of this daemon, and a channel that is
// closed when that state changes.
func (f *Follower) feedRequest() (*rrpeer.FeedRequest, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	request := &rrpeer.FeedRequest{
		From:      f.cfg.Self.ID,
		Tables:    f.tables.Revision(),
		Searchers: f.searchers.Revision(),
		Instances: f.instances.Revision(),
	}
	all := rrpeer.Limits{Quarantines: rrpeer.MaxQuarantines, Crashes: rrpeer.MaxCrashes}
	request.SetFindings(f.findings(all, &rrpeer.Findings{}))
	if f.appliedTable != nil {
		request.Table = f.appliedTable.Number
	}
	return request, f.changed
}

// Follow serves the request of another daemon.
func (f *Follower) Follow(ctx context.Context, request *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	f.recordHeard(request.From)
	f.addPeerFindings(request.Findings())
	timer := time.NewTimer(request.Wait.Std())
	defer timer.Stop()
	f.mu.Lock()
	renewals := f.renewals
	f.mu.Unlock()
	for delayed := false; ; {
		response, changed, urgent := f.feedResponse(request, renewals)
		if urgent && request.Delay > 0 && !delayed {
			delayed = true
			if !rrunit.Sleep(ctx, request.Delay.Std()) {
				return nil, ctx.Err()
			}
			continue
		}
		if urgent {
			return response, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			response, _, _ = f.feedResponse(request, renewals)
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// feedResponse returns what the requester lacks, a channel that is closed when this
// daemon's state changes, and whether the response is worth sending at once: it has changes, or
// this daemon's data have been renewed since the request began.
func (f *Follower) feedResponse(request *rrpeer.FeedRequest, renewals int) (*rrpeer.FeedResponse, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.core.DataAge(f.clock())
	response := &rrpeer.FeedResponse{From: f.cfg.Self.ID, Confirmed: known, Age: rrpeer.NewAge(age), Era: f.era, Changes: f.withNewerTable(f.changesSince(request), request)}
	has := request.Findings()
	findings := f.findings(request.Limits(), &has)
	response.Quarantines, response.Crashes = findings.Quarantines, findings.Crashes
	return response, f.changed, response.Changes != nil && response.Changes.HasEntries() || !findings.IsEmpty() || f.renewals > renewals
}

// withNewerTable returns the changes with this daemon's table if that has a greater number
// than the requester's. The revisions don't show it after the store was restored from a copy
// with an older table. The caller holds mu.
func (f *Follower) withNewerTable(c *rrpeer.FeedChanges, request *rrpeer.FeedRequest) *rrpeer.FeedChanges {
	if request.Table == 0 || f.appliedTable == nil || f.appliedTable.Number <= request.Table {
		return c
	}
	out := rrpeer.FeedChanges{}
	if c != nil {
		out = *c
	}
	if out.Tables != nil && out.Tables.Entries[f.appliedName].Value == f.appliedTable {
		return c
	}
	tables := rrcatalog.Delta[rrcatalog.TableName, rrroute.Table]{Revision: f.tables.Revision()}
	if out.Tables != nil {
		tables = *out.Tables
	}
	tables.Entries = maps.Clone(tables.Entries)
	if tables.Entries == nil {
		tables.Entries = make(map[rrcatalog.TableName]rrcatalog.Entry[rrroute.Table])
	}
	tables.Entries[f.appliedName] = rrcatalog.Entry[rrroute.Table]{Revision: tables.Revision, Value: f.appliedTable}
	out.Tables = &tables
	return &out
}

// revisions are those that a requester has.
type revisions struct{ tables, searchers, instances rrcatalog.Revision }

// maxCachedChanges bounds changesCache. Most requesters have the revisions that this
// daemon had before, or none.
const maxCachedChanges = 16

// changesSince returns the changes that the requester lacks, nil if there are none.
// Requesters with the same revisions get the same changes, which are thus encoded only
// once. The caller holds mu.
func (f *Follower) changesSince(request *rrpeer.FeedRequest) *rrpeer.FeedChanges {
	key := revisions{request.Tables, request.Searchers, request.Instances}
	if c, ok := f.changesCache[key]; ok {
		return c
	}
	c := &rrpeer.FeedChanges{}
	if d, ok := f.tables.Since(request.Tables); ok {
		c.Tables = &d
	}
	if d, ok := f.searchers.Since(request.Searchers); ok {
		c.Searchers = &d
	}
	if d, ok := f.instances.Since(request.Instances); ok {
		c.Instances = &d
	}
	if *c == (rrpeer.FeedChanges{}) {
		c = nil
	}
	if len(f.changesCache) < maxCachedChanges {
		f.changesCache[key] = c
	}
	return c
}
