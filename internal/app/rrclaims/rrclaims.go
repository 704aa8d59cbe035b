// Package rrclaims keeps the claims of non-idempotent work in the platform's
// store. It runs one goroutine for each partition that has work, and takes no
// decisions of its own; rrclaim does.
package rrclaims

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"rhubarbreel.example/rhubarbreel/internal/app/rrowner"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// ClaimRate and ClaimBurst bound the calls that one daemon makes while claims
// wait, RecordRate and RecordBurst those for outcomes and releases alone.
const (
	ClaimRate   rate.Limit = 96
	ClaimBurst  int        = 32
	RecordRate  rate.Limit = 32
	RecordBurst int        = 16
)

// Times of the work at the store.
const (
	// callTimeout bounds one call.
	callTimeout = 400 * time.Millisecond
	// claimTimeout bounds the wait for a decision.
	claimTimeout = 800 * time.Millisecond
	// cooldown is the time between two claims that are let through to a store
	// that fails; all others are refused at once.
	cooldown = time.Second
	// recordDelay is how long outcomes and releases wait for a claim with
	// which they can be written.
	recordDelay = 250 * time.Millisecond
	// firstRetry and lastRetry bound the time between two tries to settle what
	// waits while the store fails. It doubles with each try, and a new claim
	// ends it.
	firstRetry = 250 * time.Millisecond
	lastRetry  = 4 * time.Second
	// unusedTime is how long the content of a partition without work is kept
	// in memory.
	unusedTime = 2 * rrclaim.Window
	// defaultKeep is taken before the first definition.
	defaultKeep = time.Hour
)

// Claims implements rrowner.Claimer. It is safe for concurrent use.
type Claims struct {
	ctx     context.Context
	store   rrstore.Store
	self    rrclaim.Incarnation
	wall    func() time.Time
	claims  *rate.Limiter
	records *rate.Limiter
	timeout time.Duration
	next    atomic.Uint64
	running sync.WaitGroup
	keep    atomic.Int64
	// counts has the verdicts, and the calls of the store by kind.
	counts expvar.Map

	// failed is when the store last failed or a claim was last let through to
	// it, in nanoseconds since start; zero says that the store works.
	failed atomic.Int64
	start  time.Time
	// flushing says that outcomes and releases wait for no claim.
	flushing atomic.Bool

	// mu guards parts. The locks of partitions are taken after it.
	mu    sync.Mutex
	parts map[rrclaim.Location]*partition
}

// Option changes how Claims are built.
type Option func(*Claims)

// WithWall sets the clock that the times of ids are compared with.
func WithWall(wall func() time.Time) Option { return func(c *Claims) { c.wall = wall } }

// WithRates bounds the calls at the store, those while claims wait and those
// for outcomes and releases alone.
func WithRates(claims, records rate.Limit) Option {
	return func(c *Claims) {
		c.claims.SetLimit(claims)
		c.records.SetLimit(records)
	}
}

// WithTimeout bounds the wait for a decision.
func WithTimeout(d time.Duration) Option { return func(c *Claims) { c.timeout = d } }

// New returns claims that are kept in the store. They end with ctx.
func New(ctx context.Context, store rrstore.Store, opts ...Option) *Claims {
	c := &Claims{
		ctx:     ctx,
		store:   store,
		self:    rrclaim.Incarnation(uuid.NewString()),
		wall:    time.Now,
		claims:  rate.NewLimiter(ClaimRate, ClaimBurst),
		records: rate.NewLimiter(RecordRate, RecordBurst),
		timeout: claimTimeout,
		start:   time.Now(),
		parts:   make(map[rrclaim.Location]*partition),
	}
	c.keep.Store(int64(defaultKeep))
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Define takes how long claims are kept from the definition.
func (c *Claims) Define(def *rrdefinition.Definition) {
	c.keep.Store(int64(def.Limits.ClaimRetention))
}

// partition returns the partition of the place. Partitions that had no work for
// a while are forgotten, with what is known of their content.
func (c *Claims) partition(place rrclaim.Location) *partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.parts[place]
	if p == nil {
		maps.DeleteFunc(c.parts, func(_ rrclaim.Location, p *partition) bool { return p.unused() })
		p = newPartition(c, place)
		c.parts[place] = p
	}
	return p
}

func (c *Claims) all() []*partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.parts))
}

// Wait returns when all goroutines have ended, which they do once the context
// of New has ended.
func (c *Claims) Wait() { c.running.Wait() }

// Flush waits until all outcomes and releases are written, or ctx ends. It
// returns the number that are not.
func (c *Claims) Flush(ctx context.Context) int {
	c.flushing.Store(true)
	for _, p := range c.all() {
		p.wakeUp()
	}
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		n := c.pending()
		if n == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return n
		case <-ticker.C:
		}
	}
}

// flushInterval is how often Flush looks.
const flushInterval = 5 * time.Millisecond

func (c *Claims) pending() int {
	n := 0
	for _, p := range c.all() {
		n += p.state().Pending
	}
	return n
}

// Counts returns how often each verdict was given and each call was made.
func (c *Claims) Counts() expvar.Var { return &c.counts }

// PartitionState is what a dump tells of one partition.
type PartitionState struct {
	Key rrstore.Key `json:"key"`
	// Waiting is the number of claims without decision, Pending that of
	// outcomes and releases that are not written.
	Waiting int `json:"waiting"`
	Pending int `json:"pending"`
}

// Dump returns the state of the partitions that have work.
func (c *Claims) Dump() []PartitionState {
	out := []PartitionState{}
	for _, p := range c.all() {
		if s := p.state(); s.Waiting+s.Pending > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Claim implements rrowner.Claimer.
func (c *Claims) Claim(ctx context.Context, task *rrpeer.Task, shard rrunit.ShardName) rrowner.Claim {
	r, err := request(task)
	if err != nil {
		return denied(shard, rrpeer.RunNever, rrquery.ReasonRejected, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ticket := rrclaim.Ticket(c.next.Add(1))
	d := c.partition(r.Location()).claim(ctx, ticket, r)
	c.counts.Add(string(d.Verdict), 1)
	if d.Verdict == rrclaim.VerdictGranted {
		return rrowner.Claim{Granted: true, Ticket: ticket}
	}
	return refusal(shard, &d)
}

func request(task *rrpeer.Task) (rrclaim.Request, error) {
	at, err := rrquery.IDTime(task.Request)
	return rrclaim.Request{
		Key:         rrclaim.Key{Caller: task.Caller, ID: task.Request},
		Fingerprint: task.Fingerprint,
		Time:        at,
	}, err
}

// Record implements rrowner.Claimer.
func (c *Claims) Record(task *rrpeer.Task, ticket rrclaim.Ticket, o rrclaim.Outcome) {
	key := rrclaim.Key{Caller: task.Caller, ID: task.Request}
	c.partition(key.Location()).change(func(core *rrclaim.Partition) { core.Record(key, ticket, o) })
}

// Release implements rrowner.Claimer.
func (c *Claims) Release(task *rrpeer.Task, ticket rrclaim.Ticket) {
	key := rrclaim.Key{Caller: task.Caller, ID: task.Request}
	c.partition(key.Location()).change(func(core *rrclaim.Partition) { core.Release(key, ticket) })
}

// refusal returns the result that tells a verdict other than granted.
func refusal(shard rrunit.ShardName, d *rrclaim.Decision) rrowner.Claim {
	switch d.Verdict {
	case rrclaim.VerdictDone:
		return recorded(shard, d.Outcome)
	case rrclaim.VerdictClaimed:
		return denied(shard, rrpeer.RunMaybe, rrquery.ReasonClaimed, d.RetryAfter)
	case rrclaim.VerdictMismatch:
		return denied(shard, rrpeer.RunNever, rrquery.ReasonDuplicate, 0)
	case rrclaim.VerdictExpired:
		return denied(shard, rrpeer.RunMaybe, rrquery.ReasonExpired, 0)
	case rrclaim.VerdictEarly:
		return denied(shard, rrpeer.RunNever, rrquery.ReasonExpired, d.RetryAfter)
	case rrclaim.VerdictFull:
		return denied(shard, rrpeer.RunNever, rrquery.ReasonOverload, d.RetryAfter)
	default:
		return denied(shard, rrpeer.RunNever, rrquery.ReasonStore, d.RetryAfter)
	}
}

func recorded(shard rrunit.ShardName, o *rrclaim.Outcome) rrowner.Claim {
	if o.HitsOmitted {
		return denied(shard, rrpeer.RunDone, rrquery.ReasonLarge, 0)
	}
	return rrowner.Claim{Result: rrpeer.Result{
		Shard:    shard,
		Run:      rrpeer.RunDone,
		Recorded: o.Shard,
		Snapshot: o.Snapshot,
		Hits:     o.Hits,
	}}
}

func denied(shard rrunit.ShardName, run rrpeer.RunState, reason rrquery.Reason, retry time.Duration) rrowner.Claim {
	return rrowner.Claim{Result: rrpeer.Result{Shard: shard, Run: run, Reason: reason, RetryAfter: rrunit.Duration(retry)}}
}

// fail takes that the store failed just now.
func (c *Claims) fail() { c.failed.Store(int64(time.Since(c.start))) }

// works takes that the store answered.
func (c *Claims) works() { c.failed.Store(0) }

// cooling reports whether a claim is to be refused without asking the store,
// since it fails. From time to time one claim is let through.
func (c *Claims) cooling() bool {
	at := c.failed.Load()
	if at == 0 {
		return false
	}
	now := int64(time.Since(c.start))
	return now-at < int64(cooldown) || !c.failed.CompareAndSwap(at, now)
}
