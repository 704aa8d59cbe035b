// Package rrclaims keeps claims, the idempotency records of non-idempotent requests,
// in the platform's store. It runs one goroutine for each partition that has work.
// Package rrclaim makes all decisions.
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

// Rates per second and bursts of one daemon's store calls: ClaimRate and ClaimBurst
// apply while claims wait, RecordRate and RecordBurst to calls with outcomes and
// releases only.
const (
	ClaimRate   rate.Limit = 96
	ClaimBurst  int        = 32
	RecordRate  rate.Limit = 32
	RecordBurst int        = 16
)

// Timeouts and delays of store calls.
const (
	// callTimeout bounds one call.
	callTimeout = 400 * time.Millisecond
	// claimTimeout bounds the wait for a decision.
	claimTimeout = 800 * time.Millisecond
	// storeProbeInterval is the time between two claims that are sent to a failing
	// store. All others are refused at once.
	storeProbeInterval = time.Second
	// recordBatchDelay is how long outcomes and releases wait for a claim that they
	// can be written with. The rate limit may delay them longer.
	recordBatchDelay = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between two calls to a failing
	// store. It doubles with each call, and a new claim ends it.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// partitionIdleTimeout is how long a partition without work is kept in memory.
	partitionIdleTimeout = 2 * rrclaim.Window
	// defaultRetention is how long claims are kept before the first definition.
	defaultRetention = time.Hour
)

// Claimer implements rrowner.Claimer. It is safe for concurrent use.
type Claimer struct {
	ctx           context.Context
	store         rrstore.Store
	incarnation   rrclaim.Incarnation
	wallClock     func() time.Time
	claimLimiter  *rate.Limiter
	recordLimiter *rate.Limiter
	timeout       time.Duration
	lastTicket    atomic.Uint64
	running       sync.WaitGroup
	// retention is how long claims are kept, in nanoseconds.
	retention atomic.Int64
	// counts has the number of decisions by verdict and of store calls by kind.
	counts expvar.Map

	// storeFailedAt is when the store last failed, or a claim was last sent to it
	// while failing, in nanoseconds since start. It is zero while the store works.
	storeFailedAt atomic.Int64
	start         time.Time
	// flushing disables recordBatchDelay.
	flushing atomic.Bool

	// mu guards partitions. It is locked before the mutex of a partition.
	mu         sync.Mutex
	partitions map[rrclaim.Location]*partition
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithWallClock sets the clock that the times in request ids are compared with.
func WithWallClock(clock func() time.Time) Option { return func(c *Claimer) { c.wallClock = clock } }

// WithRates sets the limits of store calls per second, while claims wait and for
// calls with outcomes and releases only.
func WithRates(claims, records rate.Limit) Option {
	return func(c *Claimer) {
		c.claimLimiter.SetLimit(claims)
		c.recordLimiter.SetLimit(records)
	}
}

// WithTimeout sets the maximum wait for a decision.
func WithTimeout(d time.Duration) Option { return func(c *Claimer) { c.timeout = d } }

// New returns a Claimer backed by the store. Its goroutines stop when ctx ends.
func New(ctx context.Context, store rrstore.Store, opts ...Option) *Claimer {
	c := &Claimer{
		ctx:           ctx,
		store:         store,
		incarnation:   rrclaim.Incarnation(uuid.NewString()),
		wallClock:     time.Now,
		claimLimiter:  rate.NewLimiter(ClaimRate, ClaimBurst),
		recordLimiter: rate.NewLimiter(RecordRate, RecordBurst),
		timeout:       claimTimeout,
		start:         time.Now(),
		partitions:    make(map[rrclaim.Location]*partition),
	}
	c.retention.Store(int64(defaultRetention))
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// SetDefinition sets the retention of claims from the definition.
func (c *Claimer) SetDefinition(def *rrdefinition.Definition) {
	c.retention.Store(int64(def.Limits.ClaimRetention))
}

// partition returns the partition at the location, and creates it if need be. Idle
// partitions are then dropped, with the cached content of their objects.
func (c *Claimer) partition(location rrclaim.Location) *partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.partitions[location]
	if p == nil {
		maps.DeleteFunc(c.partitions, func(_ rrclaim.Location, p *partition) bool { return p.isIdle() })
		p = newPartition(c, location)
		c.partitions[location] = p
	}
	return p
}

func (c *Claimer) all() []*partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.partitions))
}

// Wait returns when all goroutines have ended. They end after the context of New.
func (c *Claimer) Wait() { c.running.Wait() }

// Flush waits until all outcomes and releases are written, or ctx ends. It returns
// the number of those not written.
func (c *Claimer) Flush(ctx context.Context) int {
	c.flushing.Store(true)
	for _, p := range c.all() {
		p.wakeUp()
	}
	ticker := time.NewTicker(flushPollInterval)
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

// flushPollInterval is the time between two checks of Flush.
const flushPollInterval = 5 * time.Millisecond

func (c *Claimer) pending() int {
	n := 0
	for _, p := range c.all() {
		n += p.state().Pending
	}
	return n
}

// Counts returns the number of decisions by verdict and of store calls by kind.
func (c *Claimer) Counts() expvar.Var { return &c.counts }

// PartitionState is the state of one partition in a dump.
type PartitionState struct {
	Key rrstore.Key `json:"key"`
	// Waiting is the number of claims without a decision, Pending the number of
	// outcomes and releases not written yet.
	Waiting int `json:"waiting"`
	Pending int `json:"pending"`
}

// Dump returns the state of the partitions that have work.
func (c *Claimer) Dump() []PartitionState {
	out := []PartitionState{}
	for _, p := range c.all() {
		if s := p.state(); s.Waiting+s.Pending > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Claim implements rrowner.Claimer.
func (c *Claimer) Claim(ctx context.Context, task *rrpeer.Task, shard rrunit.ShardName) rrowner.Claim {
	r, err := newRequest(task)
	if err != nil {
		return deniedClaim(shard, rrpeer.RunNever, rrquery.ReasonRejected, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ticket := rrclaim.Ticket(c.lastTicket.Add(1))
	d := c.partition(r.Location()).claim(ctx, ticket, r)
	c.counts.Add(string(d.Verdict), 1)
	if d.Verdict == rrclaim.VerdictGranted {
		return rrowner.Claim{Granted: true, Ticket: ticket}
	}
	return refusedClaim(shard, &d)
}

func newRequest(task *rrpeer.Task) (rrclaim.Request, error) {
	at, err := rrquery.IDTime(task.Request)
	return rrclaim.Request{
		Key:         rrclaim.Key{Caller: task.Caller, ID: task.Request},
		Fingerprint: task.Fingerprint,
		Time:        at,
	}, err
}

// Record implements rrowner.Claimer.
func (c *Claimer) Record(task *rrpeer.Task, ticket rrclaim.Ticket, o rrclaim.Outcome) {
	key := rrclaim.Key{Caller: task.Caller, ID: task.Request}
	c.partition(key.Location()).update(func(core *rrclaim.Partition) { core.Record(key, ticket, o) })
}

// Release implements rrowner.Claimer.
func (c *Claimer) Release(task *rrpeer.Task, ticket rrclaim.Ticket) {
	key := rrclaim.Key{Caller: task.Caller, ID: task.Request}
	c.partition(key.Location()).update(func(core *rrclaim.Partition) { core.Release(key, ticket) })
}

// refusedClaim returns the claim for a verdict other than granted.
func refusedClaim(shard rrunit.ShardName, d *rrclaim.Decision) rrowner.Claim {
	switch d.Verdict {
	case rrclaim.VerdictDone:
		return recordedClaim(shard, d.Outcome)
	case rrclaim.VerdictClaimed:
		return deniedClaim(shard, rrpeer.RunMaybe, rrquery.ReasonClaimed, d.RetryAfter)
	case rrclaim.VerdictMismatch:
		return deniedClaim(shard, rrpeer.RunNever, rrquery.ReasonDuplicate, 0)
	case rrclaim.VerdictExpired:
		return deniedClaim(shard, rrpeer.RunMaybe, rrquery.ReasonExpired, 0)
	case rrclaim.VerdictEarly:
		return deniedClaim(shard, rrpeer.RunNever, rrquery.ReasonExpired, d.RetryAfter)
	case rrclaim.VerdictFull:
		return deniedClaim(shard, rrpeer.RunNever, rrquery.ReasonOverload, d.RetryAfter)
	default:
		return deniedClaim(shard, rrpeer.RunNever, rrquery.ReasonStore, d.RetryAfter)
	}
}

func recordedClaim(shard rrunit.ShardName, o *rrclaim.Outcome) rrowner.Claim {
	if o.HitsOmitted {
		return deniedClaim(shard, rrpeer.RunDone, rrquery.ReasonLarge, 0)
	}
	return rrowner.Claim{Result: rrpeer.Result{
		Shard:    shard,
		Run:      rrpeer.RunDone,
		Recorded: o.Shard,
		Snapshot: o.Snapshot,
		Hits:     o.Hits,
	}}
}

func deniedClaim(shard rrunit.ShardName, run rrpeer.RunState, reason rrquery.Reason, retry time.Duration) rrowner.Claim {
	return rrowner.Claim{Result: rrpeer.Result{Shard: shard, Run: run, Reason: reason, RetryAfter: rrunit.Duration(retry)}}
}

// recordStoreFailure records that the store failed now.
func (c *Claimer) recordStoreFailure() { c.storeFailedAt.Store(int64(time.Since(c.start))) }

// recordStoreSuccess records that the store answered.
func (c *Claimer) recordStoreSuccess() { c.storeFailedAt.Store(0) }

// isCircuitOpen reports whether a claim must be refused without a store call because
// the store is failing. It lets one claim through per storeProbeInterval.
func (c *Claimer) isCircuitOpen() bool {
	at := c.storeFailedAt.Load()
	if at == 0 {
		return false
	}
	now := int64(time.Since(c.start))
	return now-at < int64(storeProbeInterval) || !c.storeFailedAt.CompareAndSwap(at, now)
}
