package rrowner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// claimer grants every claim after a delay, or denies it, and counts calls.
type claimer struct {
	after              time.Duration
	deny               rrquery.Reason
	recorded, released int
}

func (c *claimer) Claim(context.Context, *rrpeer.Task, rrunit.ShardName) Claim {
	time.Sleep(c.after)
	if c.deny != "" {
		return Claim{Result: rrpeer.Result{Run: rrpeer.RunNever, Reason: c.deny}}
	}
	return Claim{Granted: true, Ticket: 1}
}

func (c *claimer) Record(*rrpeer.Task, rrclaim.Ticket, rrclaim.Outcome) { c.recorded++ }

func (c *claimer) Release(*rrpeer.Task, rrclaim.Ticket) { c.released++ }

// upstream answers every subquery with the same reply and counts the subqueries.
type upstream struct {
	reply rrupstream.Reply
	took  time.Duration
	mu    sync.Mutex
	sent  int
}

func (u *upstream) Search(ctx context.Context, _ rrupstream.Target, req *rrupstream.Request) rrupstream.Reply {
	u.mu.Lock()
	u.sent++
	u.mu.Unlock()
	select {
	case <-time.After(u.took):
	case <-ctx.Done():
		return rrupstream.Reply{Outcome: rrupstream.OutcomeCancelled}
	}
	reply := u.reply
	reply.Snapshot = req.Snapshot
	return reply
}

func (*upstream) Load(context.Context, rrupstream.Target) (rrupstream.Load, error) {
	return rrupstream.Load{Slots: 3, Snapshots: []rrunit.Snapshot{{Version: 1, Layout: "base"}}}, nil
}

// TestClaimOutcomes checks, for each way in which non-idempotent work can end, whether
// it was sent, its run state, and whether its claim is recorded or released.
func TestClaimOutcomes(t *testing.T) {
	const second = time.Second
	answered := rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered}
	for name, tt := range map[string]struct {
		claimer                  claimer
		reply                    rrupstream.Reply
		took                     time.Duration
		cancelAfter              time.Duration
		run                      rrpeer.RunState
		sent, recorded, released int
	}{
		"answered":                {reply: answered, run: rrpeer.RunDone, sent: 1, recorded: 1},
		"denied":                  {claimer: claimer{deny: rrquery.ReasonStore}, run: rrpeer.RunNever},
		"lost":                    {reply: rrupstream.Reply{Outcome: rrupstream.OutcomeConnectionLost}, run: rrpeer.RunMaybe, sent: 1},
		"refused":                 {reply: rrupstream.Reply{Outcome: rrupstream.OutcomeWrongSnapshot, Refused: true}, run: rrpeer.RunNever, sent: 1, released: 1},
		"rejected":                {reply: rrupstream.Reply{Outcome: rrupstream.OutcomeRejected}, run: rrpeer.RunNever, sent: 1, released: 1},
		"deadline in the claim":   {claimer: claimer{after: 3 * second}, run: rrpeer.RunNever, released: 1},
		"deadline at a searcher":  {took: 3 * second, run: rrpeer.RunMaybe, sent: 1},
		"cancelled in the claim":  {claimer: claimer{after: second}, cancelAfter: second / 2, released: 1},
		"cancelled at a searcher": {reply: answered, took: second, cancelAfter: second / 2, sent: 1, recorded: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{reply: tt.reply, took: tt.took}
				o, w, task, stop := startOwner(t, u, &tt.claimer)
				result := rrpeer.Result{}
				cancel := w.Work(&task, func(r rrpeer.Result) { result = r })
				if tt.cancelAfter > 0 {
					time.Sleep(tt.cancelAfter)
					cancel()
				}
				time.Sleep(5 * second)
				stop()
				o.Wait()
				synctest.Wait()
				must.Eq(t, tt.run, result.Run)
				must.Eq(t, tt.sent, u.sent)
				must.Eq(t, tt.recorded, tt.claimer.recorded)
				must.Eq(t, tt.released, tt.claimer.released)
			})
		})
	}
}

// startOwner returns an owner, its worker after it has polled the searchers of a shard,
// and a non-idempotent task on that shard.
func startOwner(t *testing.T, u rrupstream.Client, c Claimer) (*Owner, rrpeers.Worker, rrpeer.Task, func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	def, err := rrexample.Selkamerkki()
	must.NoError(t, err)
	o := New(ctx, u, WithClaimer(c))
	o.SetDefinition(def)
	service := &def.Services[0]
	layout := &service.Layouts[0]
	key := rrunit.ShardKey{Service: service.Name, Layout: layout.Name, Shard: layout.Shards[0].Name}
	w := o.Worker(func(rrpeer.ShardReport) {})
	w.Probe([]rrunit.ShardKey{key})
	synctest.Wait()
	return o, w, rrpeer.Task{
		ID: 1, Service: key.Service, Snapshot: rrunit.Snapshot{Version: 1, Layout: key.Layout},
		Shards: []rrunit.ShardName{key.Shard}, Rank: def.Ranks[0].Name, TimeLeft: rrunit.Duration(2 * time.Second),
	}, stop
}

// TestClaimsHoldNoSlots checks that claims waiting for a slow store occupy no slots of
// searchers: idempotent work at the same searchers continues.
func TestClaimsHoldNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{reply: rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered}, took: 10 * time.Millisecond}
		o, w, task, stop := startOwner(t, u, &claimer{after: time.Second})
		for id := range 100 {
			waiting := task
			waiting.ID = rrpeer.TaskID(id)
			w.Work(&waiting, func(rrpeer.Result) {})
		}
		task.ID, task.Idempotent = 1000, true
		var run rrpeer.RunState
		w.Work(&task, func(r rrpeer.Result) { run = r.Run })
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, rrpeer.RunDone, run)
		stop()
		o.Wait()
	})
}

// failingClaimer panics when it records an outcome.
type failingClaimer struct{ claimer }

func (*failingClaimer) Record(*rrpeer.Task, rrclaim.Ticket, rrclaim.Outcome) { panic("no store") }

// Guards against one unexpected error that ends the daemon with the work of all shards: it
// ends the work of its shard, which goes on with the next.
func TestUnexpectedErrorEndsTheWorkOfItsShardOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{reply: rrupstream.Reply{Outcome: rrupstream.OutcomeAnswered}, took: 10 * time.Millisecond}
		o, w, task, stop := startOwner(t, u, &failingClaimer{})
		defer o.Wait()
		defer stop()
		errs := 0
		o.onError = func(_ rrunit.ShardKey, err error) {
			must.ErrorContains(t, err, "no store")
			errs++
		}
		var failed, slow, next rrpeer.Result
		w.Work(&task, func(r rrpeer.Result) { failed = r })
		time.Sleep(5 * time.Millisecond)
		second := task
		second.ID, second.Idempotent = 2, true
		w.Work(&second, func(r rrpeer.Result) { slow = r })
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, rrpeer.Result{ID: 1, Shard: task.Shards[0], Run: rrpeer.RunMaybe, Reason: rrquery.ReasonInternal}, failed)
		must.Eq(t, rrpeer.Result{ID: 2, Shard: task.Shards[0], Run: rrpeer.RunMaybe, Reason: rrquery.ReasonInternal}, slow)
		must.One(t, errs)
		third := second
		third.ID = 3
		w.Work(&third, func(r rrpeer.Result) { next = r })
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		must.Eq(t, rrpeer.RunDone, next.Run)
	})
}
