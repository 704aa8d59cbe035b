package rrbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rradmission"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrfanout"
)

// The margin kept free at the end of a deadline, as in the daemon's entry: the
// deadline divided by marginDivisor, at most maxMargin.
const (
	marginDivisor = 20
	maxMargin     = 10 * time.Millisecond
)

// entry is the entry role of a daemon.
type entry struct {
	daemon    *daemon
	sim       *sim
	admission *rradmission.Controller
	links     map[*daemon]*link
	lastTask  rrpeer.TaskID
}

func newEntry(d *daemon, seed uint64) *entry {
	e := &entry{daemon: d, sim: d.sim, links: make(map[*daemon]*link)}
	cfg := rradmission.Config{WaitShare: d.sim.opts.WaitShare}
	for _, r := range d.sim.shape.Definition.Ranks {
		cfg.Ranks = append(cfg.Ranks, rradmission.Rank{Name: r.Name, Deadline: r.DefaultDeadline})
	}
	e.admission = rradmission.New(cfg, rand.NewPCG(d.sim.opts.Seed, 1000+seed))
	return e
}

// usesAdmission reports whether the run uses admission control of whole queries.
func (e *entry) usesAdmission() bool { return e.sim.opts.Strategy == StrategyAdmission }

func (e *entry) receiveReport(r *rrpeer.ShardReport) {
	if r == nil || !e.usesAdmission() {
		return
	}
	e.sim.loop.After(e.sim.opts.ReportDelay, func() { e.admission.AddReport(e.sim.loop.Now(), r) })
}

// query is one query of a caller.
type query struct {
	rank   int
	caller rrunit.CallerID
	// issuedAt is when the caller first sent the query.
	issuedAt rrunit.Instant
	// retryUntil is until when a refused caller retries without backoff.
	retryUntil rrunit.Instant
}

// fanout is a query in progress at an entry.
type fanout struct {
	entry  *entry
	query  *query
	shards []*shard
	core   *rrfanout.Fanout
	// deadline is the deadline for the owners, which leaves the margin twice.
	deadline rrunit.Instant
	cancels  []func()
	ended    bool
}

// serve admits and runs a query of a caller.
func (e *entry) serve(q *query) {
	now := e.sim.loop.Now()
	if e.usesAdmission() && !e.admission.Admit(now, q.rank, q.caller).Admitted {
		e.sim.handleRefusal(q)
		return
	}
	allowed := e.sim.shape.Definition.Ranks[q.rank].DefaultDeadline.Std()
	margin := min(allowed/marginDivisor, maxMargin)
	f := &fanout{entry: e, query: q, shards: e.sim.layouts[e.sim.layout], deadline: now.Add(allowed - 2*margin)}
	f.core = rrfanout.New(f.snapshot(), f.owners())
	e.sim.loop.At(now.Add(allowed-margin), func() { e.daemon.deliver(f.finish) })
	f.send(f.core.Start())
}

func (f *fanout) snapshot() rrunit.Snapshot {
	return rrunit.Snapshot{Version: indexVersion, Layout: f.shards[0].key.Layout}
}

// owners returns the owners of each shard in order of preference; strategies without
// owners use the entry's own daemon. Silent owners come last, as in the daemon.
func (f *fanout) owners() []rrfanout.Shard {
	e := f.entry
	out := make([]rrfanout.Shard, len(f.shards))
	for i, sh := range f.shards {
		out[i].Name = sh.key.Shard
		if c := e.sim.opts.Strategy; c == StrategyChoices || c == StrategyShare {
			out[i].Owners = []rrunit.InstanceID{e.daemon.id}
			continue
		}
		for _, d := range sh.owners {
			out[i].Owners = append(out[i].Owners, d.id)
		}
		slices.SortStableFunc(out[i].Owners, func(a, b rrunit.InstanceID) int { return f.silentOrder(a) - f.silentOrder(b) })
	}
	return out
}

func (f *fanout) silentOrder(id rrunit.InstanceID) int {
	if f.entry.link(f.entry.sim.byID[id]).monitor.Silent() {
		return 1
	}
	return 0
}

func (f *fanout) send(assignments []rrfanout.Assignment) {
	for _, assignment := range assignments {
		f.sendTask(assignment)
	}
	if f.core.Done() {
		f.finish()
	}
}

// sendTask sends the shards assigned to one owner as one task.
func (f *fanout) sendTask(assignment rrfanout.Assignment) {
	e := f.entry
	e.lastTask++
	t := &task{id: e.lastTask, fanout: f, pending: make(map[int]bool, len(assignment.ShardIndexes))}
	for _, index := range assignment.ShardIndexes {
		t.pending[index] = true
		t.shardIndexes = append(t.shardIndexes, index)
	}
	f.cancels = append(f.cancels, e.link(e.sim.byID[assignment.Owner]).submit(t))
}

func (f *fanout) job() rrdispatch.Job {
	return rrdispatch.Job{
		Rank:        f.query.rank,
		Caller:      f.query.caller,
		Version:     indexVersion,
		Fingerprint: rrunit.Fingerprint(f.entry.lastTask),
		Idempotent:  true,
	}
}

func (f *fanout) addResult(index int, r *rrpeer.Result) {
	if !f.ended {
		f.send(f.core.AddResult(index, r))
	}
}

// finish answers the caller and cancels what is still pending.
func (f *fanout) finish() {
	if f.ended {
		return
	}
	f.ended = true
	for _, cancel := range f.cancels {
		cancel()
	}
	e := f.entry
	if e.usesAdmission() {
		e.admission.Done(e.sim.loop.Now(), f.query.rank, f.query.caller, f.outcome())
	}
	e.sim.stats.countAnswered(f)
}

// outcome returns the result of the query for admission control.
func (f *fanout) outcome() rradmission.Result {
	if f.core.Covered() == len(f.shards) {
		return rradmission.ResultComplete
	}
	for _, r := range f.core.Results() {
		if r.Reason == rrquery.ReasonOverload || r.Reason == rrquery.ReasonDeadline {
			return rradmission.ResultOverload
		}
	}
	return rradmission.ResultOther
}
