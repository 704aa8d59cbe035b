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

// Times kept free at the end of a deadline, as in the daemon's entry.
const (
	marginShare = 20
	maxMargin   = 10 * time.Millisecond
)

// entry is the entry role of a daemon.
type entry struct {
	daemon *daemon
	sim    *sim
	gate   *rradmission.Controller
	links  map[*daemon]*link
	next   rrpeer.TaskID
}

func newEntry(d *daemon, seed uint64) *entry {
	e := &entry{daemon: d, sim: d.sim, links: make(map[*daemon]*link)}
	cfg := rradmission.Config{WaitShare: d.sim.opts.Share}
	for _, r := range d.sim.shape.Definition.Ranks {
		cfg.Ranks = append(cfg.Ranks, rradmission.Rank{Name: r.Name, Deadline: r.DefaultDeadline})
	}
	e.gate = rradmission.New(cfg, rand.NewPCG(d.sim.opts.Seed, 1000+seed))
	return e
}

// admits reports whether whole queries are admitted or refused in this run.
func (e *entry) admits() bool { return e.sim.opts.Column == ColumnAdmission }

func (e *entry) report(r *rrpeer.ShardReport) {
	if r == nil || !e.admits() {
		return
	}
	e.sim.loop.After(e.sim.opts.Delay, func() { e.gate.AddReport(e.sim.loop.Now(), r) })
}

// query is one query of a caller.
type query struct {
	rank   int
	caller rrunit.CallerID
	// asked is when the caller first asked.
	asked rrunit.Instant
	// patience is until when a refused caller comes back at once.
	patience rrunit.Instant
}

// fanout is a query under way at an entry.
type fanout struct {
	entry  *entry
	query  *query
	shards []*shard
	core   *rrfanout.Fanout
	// deadline is when the owners give up.
	deadline rrunit.Instant
	cancels  []func()
	ended    bool
}

// serve takes a query from a caller.
func (e *entry) serve(q *query) {
	now := e.sim.loop.Now()
	if e.admits() && !e.gate.Admit(now, q.rank, q.caller).Admitted {
		e.sim.refused(q)
		return
	}
	allowed := e.sim.shape.Definition.Ranks[q.rank].DefaultDeadline.Std()
	margin := min(allowed/marginShare, maxMargin)
	f := &fanout{entry: e, query: q, shards: e.sim.layouts[e.sim.layout], deadline: now.Add(allowed - 2*margin)}
	f.core = rrfanout.New(f.snapshot(), f.owners())
	e.sim.loop.At(now.Add(allowed-margin), func() { e.daemon.deliver(f.finish) })
	f.send(f.core.Start())
}

func (f *fanout) snapshot() rrunit.Snapshot {
	return rrunit.Snapshot{Version: indexVersion, Layout: f.shards[0].key.Layout}
}

// owners returns whom to ask for each shard: without owners, the entry itself.
// Silent owners stand behind the others, as in the daemon.
func (f *fanout) owners() []rrfanout.Shard {
	e := f.entry
	out := make([]rrfanout.Shard, len(f.shards))
	for i, sh := range f.shards {
		out[i].Name = sh.key.Shard
		if c := e.sim.opts.Column; c == ColumnChoices || c == ColumnShare {
			out[i].Owners = []rrunit.InstanceID{e.daemon.id}
			continue
		}
		for _, d := range sh.owners {
			out[i].Owners = append(out[i].Owners, d.id)
		}
		slices.SortStableFunc(out[i].Owners, func(a, b rrunit.InstanceID) int { return f.unready(a) - f.unready(b) })
	}
	return out
}

func (f *fanout) unready(id rrunit.InstanceID) int {
	if f.entry.link(f.entry.sim.byID[id]).judge.Silent() {
		return 1
	}
	return 0
}

func (f *fanout) send(asks []rrfanout.Assignment) {
	for _, ask := range asks {
		f.sendTo(ask)
	}
	if f.core.Done() {
		f.finish()
	}
}

// sendTo brings the shards of one owner to it as one task.
func (f *fanout) sendTo(ask rrfanout.Assignment) {
	e := f.entry
	e.next++
	t := &task{id: e.next, fanout: f, open: make(map[int]bool, len(ask.ShardIndexes))}
	for _, place := range ask.ShardIndexes {
		t.open[place] = true
		t.places = append(t.places, place)
	}
	f.cancels = append(f.cancels, e.link(e.sim.byID[ask.Owner]).work(t))
}

func (f *fanout) job() rrdispatch.Job {
	return rrdispatch.Job{
		Rank:        f.query.rank,
		Caller:      f.query.caller,
		Version:     indexVersion,
		Fingerprint: rrunit.Fingerprint(f.entry.next),
		Idempotent:  true,
	}
}

func (f *fanout) take(place int, r *rrpeer.Result) {
	if !f.ended {
		f.send(f.core.AddResult(place, r))
	}
}

// finish answers the caller and gives up what is still open.
func (f *fanout) finish() {
	if f.ended {
		return
	}
	f.ended = true
	for _, cancel := range f.cancels {
		cancel()
	}
	e := f.entry
	if e.admits() {
		e.gate.Done(e.sim.loop.Now(), f.query.rank, f.query.caller, f.outcome())
	}
	e.sim.stats.answered(f)
}

// outcome tells admission how the query ended.
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
