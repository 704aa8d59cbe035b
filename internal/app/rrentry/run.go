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

// queryRun is the execution of one query.
type queryRun struct {
	entry       *Entry
	def         *rrdefinition.Definition
	service     *rrdefinition.Service
	query       *rrquery.Query
	fingerprint rrunit.Fingerprint
	// deadline is the owners' deadline, a margin before the entry answers with the
	// results that it has.
	deadline rrunit.Instant
}

// answer runs the fan-out, and a second one on another snapshot if some shard no
// longer has the first. It returns the answer that covers more shards; the two are
// never merged. Non-idempotent work is sent again only if it certainly did not run.
func (r *queryRun) answer(ctx context.Context) *rrquery.Answer {
	choice, ok := r.entry.choose(r.service)
	if !ok {
		return refuse(r.def, r.query, rrquery.ReasonNoSearcher)
	}
	first := r.runFanout(ctx, choice.Snapshot)
	if !first.core.SnapshotMissing() || ctx.Err() != nil || !r.mayRetry(first) {
		return first.answer()
	}
	other, ok := r.entry.choose(r.service, choice.Snapshot)
	if !ok {
		return first.answer()
	}
	second := r.runFanout(ctx, other.Snapshot)
	second.mayHaveRun = !first.core.NotRun()
	if second.coverage() >= first.coverage() {
		return second.answer()
	}
	return first.answer()
}

// mayRetry reports whether the query may be sent again after the previous fan-out.
func (r *queryRun) mayRetry(previous *fanout) bool {
	return r.query.IsIdempotent() || previous.core.NotRun()
}

// fanout is the fan-out of one query on one snapshot. It is used by one goroutine,
// which gets results from a channel.
type fanout struct {
	run      *queryRun
	snapshot rrunit.Snapshot
	shards   []rrdefinition.Shard
	core     *rrfanout.Fanout
	// mayHaveRun is set if an earlier fan-out of the query may have run.
	mayHaveRun bool
	// results has capacity for the results of every owner that can be asked, so that
	// no sender blocks.
	results chan shardResult
	cancels []rrpeers.CancelFunc
}

// shardResult is an owner's result for the shard at an index of the fan-out.
type shardResult struct {
	index  int
	result rrpeer.Result
}

// runFanout runs one fan-out until every shard has its final result or ctx ends, and
// cancels the tasks that are left.
func (r *queryRun) runFanout(ctx context.Context, snapshot rrunit.Snapshot) *fanout {
	f := &fanout{run: r, snapshot: snapshot}
	f.shards = selectShards(r.service.Layout(snapshot.Layout), r.query.Key)
	f.core = rrfanout.New(snapshot, f.owners())
	f.results = make(chan shardResult, len(f.shards)*rrownership.MaxOwners)
	f.send(f.core.Start())
	f.collect(ctx)
	for _, cancel := range f.cancels {
		cancel()
	}
	return f
}

// selectShards returns all shards or, with a key, the one that the key hashes to.
func selectShards(l *rrdefinition.Layout, key string) []rrdefinition.Shard {
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

// send sends the work to the owners that the core chose.
func (f *fanout) send(requests []rrfanout.Assignment) {
	for _, request := range requests {
		f.sendTo(request)
	}
}

func (f *fanout) sendTo(request rrfanout.Assignment) {
	task := f.task(request.ShardIndexes)
	indexes := make(map[rrunit.ShardName]int, len(request.ShardIndexes))
	for _, index := range request.ShardIndexes {
		indexes[f.shards[index].Name] = index
	}
	results := f.results
	deliver := func(r rrpeer.Result) {
		if index, ok := indexes[r.Shard]; ok {
			results <- shardResult{index: index, result: r}
		}
	}
	w := f.run.entry.directory.Worker(request.Owner)
	if w == nil {
		for _, name := range task.Shards {
			deliver(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonPeer})
		}
		return
	}
	f.cancels = append(f.cancels, w.Work(task, deliver))
}

func (f *fanout) task(indexes []int) *rrpeer.Task {
	e, q := f.run.entry, f.run.query
	names := make([]rrunit.ShardName, len(indexes))
	for i, index := range indexes {
		names[i] = f.shards[index].Name
	}
	return &rrpeer.Task{
		ID:          rrpeer.TaskID(e.lastTask.Add(1)),
		Service:     q.Service,
		Snapshot:    f.snapshot,
		Shards:      names,
		Rank:        q.Rank,
		Caller:      q.Caller,
		Request:     q.ID,
		Fingerprint: f.run.fingerprint,
		TimeLeft:    rrunit.Duration(f.run.deadline.Sub(e.clock())),
		Limit:       q.Limit,
		Idempotent:  q.IsIdempotent(),
		Body:        q.Body,
	}
}

// collect receives results until every shard has its final one or ctx ends. A request
// that was found to crash searchers is abandoned at all shards.
func (f *fanout) collect(ctx context.Context) {
	for !f.core.Done() {
		select {
		case res := <-f.results:
			f.send(f.addResult(&res))
		case <-ctx.Done():
			// Results that have arrived by the end count. No standby is asked any more.
			rrunit.Drain(f.results, func(res shardResult) { f.addResult(&res) })
			return
		}
	}
}

// addResult adds an owner's result and returns the standbys to ask next.
func (f *fanout) addResult(res *shardResult) []rrfanout.Assignment {
	next := f.core.AddResult(res.index, &res.result)
	if res.result.Reason == rrquery.ReasonQuarantine {
		f.core.Abandon(rrquery.ReasonQuarantine)
		f.run.entry.Quarantine(rrpeer.Quarantine{Fingerprint: f.run.fingerprint, TimeLeft: res.result.RetryAfter})
	}
	return next
}

func (f *fanout) coverage() float64 { return float64(f.core.Covered()) / float64(len(f.shards)) }

// answer builds the answer from the results.
func (f *fanout) answer() *rrquery.Answer {
	a := refuse(f.run.def, f.run.query, rrquery.ReasonNone)
	a.RetryAfter = 0
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
	f.setOutcome(a)
	a.Message = claimMessage(f.run.query, a.Reason)
	return a
}

func addMissing(a *rrquery.Answer, r *rrpeer.Result) {
	a.Missing = append(a.Missing, rrquery.Missing{Shard: r.Shard, Reason: r.Reason})
	a.Reason = r.Reason
	a.RetryAfter = max(a.RetryAfter, r.RetryAfter)
	if r.Run != rrpeer.RunNever {
		a.NotRun = false
	}
}

func (f *fanout) setOutcome(a *rrquery.Answer) {
	switch {
	case len(a.Missing) == 0:
		a.Outcome = rrquery.OutcomeComplete
	case len(a.Covered) > 0:
		a.Outcome = rrquery.OutcomePartial
	case a.NotRun:
		a.Outcome = rrquery.OutcomeRefused
		a.RetryAfter = max(a.RetryAfter, defaultRetryAfter)
	case !f.run.query.IsIdempotent():
		a.Outcome = rrquery.OutcomeUnknown
	default:
		a.Outcome = rrquery.OutcomeFailed
	}
}
