package rrentry

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfanout"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmerge"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// run carries one query from its snapshot to its answer.
type run struct {
	entry       *Entry
	def         *rrdefinition.Definition
	service     *rrdefinition.Service
	query       *rrquery.Query
	fingerprint rrunit.Fingerprint
	// deadline is when the owners give up, which is somewhat before the entry
	// answers with what it has.
	deadline rrunit.Instant
}

// answer runs the fan-out, and once more on another snapshot if the first one
// is gone from some shard. It answers with whichever covers more; the two are
// never merged. Non-idempotent work is sent again only if it surely did not run.
func (r *run) answer(ctx context.Context) *rrquery.Answer {
	choice, ok := r.entry.choose(r.service)
	if !ok {
		return refuse(r.def, r.query, rrquery.ReasonNoSearcher)
	}
	first := r.fan(ctx, choice.Snapshot)
	if !first.core.SnapshotMissing() || ctx.Err() != nil || !r.maySendAgain(first) {
		return first.answer()
	}
	other, ok := r.entry.choose(r.service, choice.Snapshot)
	if !ok {
		return first.answer()
	}
	second := r.fan(ctx, other.Snapshot)
	second.mayHaveRun = !first.core.NotRun()
	if second.coverage() >= first.coverage() {
		return second.answer()
	}
	return first.answer()
}

func (r *run) maySendAgain(first *fanout) bool {
	return r.query.IsIdempotent() || first.core.NotRun()
}

// fanout is one query on one snapshot. Only one goroutine uses it; results
// reach it by a channel.
type fanout struct {
	run      *run
	snapshot rrunit.Snapshot
	shards   []rrdefinition.Shard
	core     *rrfanout.Fanout
	// mayHaveRun says that an earlier fan-out of the query may have run.
	mayHaveRun bool
	// arrived has room for the results of every owner that can be asked, so
	// that no sender blocks.
	arrived chan arrival
	cancels []rrpeers.CancelFunc
}

// arrival is a result for the shard at a place.
type arrival struct {
	place  int
	result rrpeer.Result
}

// fan runs one fan-out until every shard has its final result, ctx ends, or
// the snapshot turns out to be gone.
func (r *run) fan(ctx context.Context, snapshot rrunit.Snapshot) *fanout {
	f := &fanout{run: r, snapshot: snapshot}
	f.shards = pickShards(r.service.Layout(snapshot.Layout), r.query.Key)
	f.core = rrfanout.New(snapshot, f.owners())
	f.arrived = make(chan arrival, len(f.shards)*rrownership.MaxOwners)
	f.send(f.core.Start())
	f.collect(ctx)
	for _, cancel := range f.cancels {
		cancel()
	}
	return f
}

// pickShards returns all shards, or the one that the key falls on.
func pickShards(l *rrdefinition.Layout, key string) []rrdefinition.Shard {
	if key == "" {
		return l.Shards
	}
	i := xxhash.Sum64String(key) % uint64(len(l.Shards))
	return l.Shards[i : i+1]
}

func (f *fanout) owners() []rrfanout.Shard {
	table := f.run.entry.members.Load()
	out := make([]rrfanout.Shard, len(f.shards))
	for i := range f.shards {
		key := rrunit.ShardKey{Service: f.run.service.Name, Layout: f.snapshot.Layout, Shard: f.shards[i].Name}
		owners := table.Owners(key, f.shards[i].Region)
		out[i] = rrfanout.Shard{Name: key.Shard, Owners: f.run.entry.readyFirst(owners)}
	}
	return out
}

func (f *fanout) send(asks []rrfanout.Assignment) {
	for _, ask := range asks {
		f.sendTo(ask)
	}
}

func (f *fanout) sendTo(ask rrfanout.Assignment) {
	task := f.task(ask.ShardIndexes)
	places := make(map[rrunit.ShardName]int, len(ask.ShardIndexes))
	for _, place := range ask.ShardIndexes {
		places[f.shards[place].Name] = place
	}
	arrived := f.arrived
	take := func(r rrpeer.Result) {
		if place, ok := places[r.Shard]; ok {
			arrived <- arrival{place: place, result: r}
		}
	}
	w := f.run.entry.directory.Worker(ask.Owner)
	if w == nil {
		for _, name := range task.Shards {
			take(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunNot, Reason: rrquery.ReasonPeer})
		}
		return
	}
	f.cancels = append(f.cancels, w.Work(task, take))
}

func (f *fanout) task(places []int) *rrpeer.Task {
	e, q := f.run.entry, f.run.query
	names := make([]rrunit.ShardName, len(places))
	for i, place := range places {
		names[i] = f.shards[place].Name
	}
	return &rrpeer.Task{
		ID:          rrpeer.TaskID(e.next.Add(1)),
		Service:     q.Service,
		Snapshot:    f.snapshot,
		Shards:      names,
		Rank:        q.Rank,
		Caller:      q.Caller,
		Request:     q.ID,
		Fingerprint: f.run.fingerprint,
		Left:        rrunit.Duration(f.run.deadline.Sub(e.clock())),
		Limit:       q.Limit,
		Idempotent:  q.IsIdempotent(),
		Body:        q.Body,
	}
}

// collect takes results until every shard has its final one or ctx ends. A
// request that is found to crash searchers is given up everywhere.
func (f *fanout) collect(ctx context.Context) {
	for !f.core.Done() {
		select {
		case a := <-f.arrived:
			f.send(f.core.AddResult(a.place, &a.result))
			if a.result.Reason == rrquery.ReasonQuarantine {
				f.core.Abandon(rrquery.ReasonQuarantine)
				f.run.entry.Quarantine(rrpeer.Quarantine{Fingerprint: f.run.fingerprint, Left: a.result.Retry})
			}
		case <-ctx.Done():
			return
		}
	}
}

func (f *fanout) coverage() float64 { return float64(f.core.Covered()) / float64(len(f.shards)) }

// answer builds the answer from the results.
func (f *fanout) answer() *rrquery.Answer {
	a := refuse(f.run.def, f.run.query, rrquery.ReasonNone)
	a.Retry = 0
	a.Snapshot = f.snapshot
	results := f.core.Results()
	lists := make([][]rrquery.Hit, 0, len(results))
	for i := range results {
		r := &results[i]
		if r.OK() {
			a.Covered = append(a.Covered, r.Shard)
			a.NotRun = false
			if r.Recorded != "" {
				a.Covered[len(a.Covered)-1] = r.Recorded
				a.Snapshot = r.Snapshot
			}
			lists = append(lists, r.Hits)
			continue
		}
		addMissing(a, r)
	}
	a.Hits = rrmerge.Hits(lists, f.run.query.Limit)
	a.NotRun = a.NotRun && !f.mayHaveRun
	f.conclude(a)
	a.Message = claimMessage(f.run.query, a.Reason)
	return a
}

func addMissing(a *rrquery.Answer, r *rrpeer.Result) {
	a.Missing = append(a.Missing, rrquery.Missing{Shard: r.Shard, Reason: r.Reason})
	a.Reason = r.Reason
	a.Retry = max(a.Retry, r.Retry)
	if r.Run != rrpeer.RunNot {
		a.NotRun = false
	}
}

func (f *fanout) conclude(a *rrquery.Answer) {
	switch {
	case len(a.Missing) == 0:
		a.Outcome = rrquery.OutcomeComplete
	case len(a.Covered) > 0:
		a.Outcome = rrquery.OutcomePartial
	case a.NotRun:
		a.Outcome = rrquery.OutcomeRefused
		a.Retry = max(a.Retry, defaultRetry)
	case !f.run.query.IsIdempotent():
		a.Outcome = rrquery.OutcomeUnknown
	default:
		a.Outcome = rrquery.OutcomeFailed
	}
}
