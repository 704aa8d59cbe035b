// Package rrowner runs the owner role of a daemon: it runs a dispatcher for each
// shard that entries send work for, and carries out the dispatchers' decisions at the
// searchers. It does not depend on how tasks arrive.
package rrowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Owner holds the dispatchers of shards. It is safe for concurrent use.
type Owner struct {
	clock    rrunit.Clock
	upstream rrupstream.Client
	claimer  Claimer
	// onQuarantine is called with each quarantine that an own shard decided on; nil is
	// not called.
	onQuarantine func(rrpeer.Quarantine)
	// onError is called with each unexpected error that ended the work of a shard.
	onError      func(rrunit.ShardKey, error)
	pollInterval time.Duration
	ctx          context.Context
	goroutines   sync.WaitGroup

	definition atomic.Pointer[rrdefinition.Definition]
	leaving    atomic.Pointer[map[rrunit.SearcherID]bool]

	// mu guards shards and quarantined. Dispatchers have their own locks, which
	// are taken after mu.
	mu     sync.RWMutex
	shards map[rrunit.ShardKey]*shard
	// quarantined has the end of each known quarantine.
	quarantined map[rrunit.Fingerprint]rrunit.Instant
}

// Option configures an Owner.
type Option func(*Owner)

// WithClaimer sets the claimer, which decides on non-idempotent work. Without one, all
// such work is refused.
func WithClaimer(c Claimer) Option { return func(o *Owner) { o.claimer = c } }

// WithPollInterval sets how often searchers are polled for their load.
func WithPollInterval(d time.Duration) Option { return func(o *Owner) { o.pollInterval = d } }

// WithClock sets the clock.
func WithClock(c rrunit.Clock) Option { return func(o *Owner) { o.clock = c } }

// WithErrorHandler sets the function that is called with each unexpected error that ended
// the work of a shard. It must not block.
func WithErrorHandler(handle func(rrunit.ShardKey, error)) Option {
	return func(o *Owner) { o.onError = handle }
}

// defaultPollInterval is how often searchers are polled for their load.
const defaultPollInterval = 500 * time.Millisecond

// New returns an owner without shards, which works until ctx ends.
func New(ctx context.Context, upstream rrupstream.Client, opts ...Option) *Owner {
	o := &Owner{
		ctx:          ctx,
		clock:        rrunit.SystemClock(),
		upstream:     upstream,
		pollInterval: defaultPollInterval,
		onError:      func(rrunit.ShardKey, error) {},
		shards:       make(map[rrunit.ShardKey]*shard),

		quarantined: make(map[rrunit.Fingerprint]rrunit.Instant),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Wait returns once the context passed to New has ended and all work is finished.
func (o *Owner) Wait() { o.goroutines.Wait() }

// SetDefinition applies a new definition.
func (o *Owner) SetDefinition(def *rrdefinition.Definition) {
	o.definition.Store(def)
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, s := range o.shards {
		if def.Shard(key) == nil {
			delete(o.shards, key)
			s.removed.Store(true)
			continue
		}
		s.configure(def)
	}
}

// SetLeaving sets the searchers that are leaving according to the platform's list.
// They get no new work.
func (o *Owner) SetLeaving(leaving map[rrunit.SearcherID]bool) {
	o.leaving.Store(&leaving)
	o.mu.RLock()
	defer o.mu.RUnlock()
	for _, s := range o.shards {
		s.setLeaving(leaving)
	}
}

// Worker returns a worker that passes its reports to report.
func (o *Owner) Worker(report func(rrpeer.ShardReport)) rrpeers.Worker {
	return &worker{owner: o, report: report, lastReports: make(map[rrunit.ShardKey]rrunit.Instant)}
}

// shard returns the dispatcher of the shard, starting it if needed, or nil if the
// definition does not contain the shard.
func (o *Owner) shard(key rrunit.ShardKey) *shard {
	o.mu.RLock()
	s := o.shards[key]
	o.mu.RUnlock()
	if s != nil {
		return s
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.shards[key]; s != nil {
		return s
	}
	def := o.definition.Load()
	if def == nil || def.Shard(key) == nil || o.ctx.Err() != nil {
		return nil
	}
	s = newShard(o, key, def)
	o.applyKnownQuarantines(s)
	if leaving := o.leaving.Load(); leaving != nil {
		s.setLeaving(*leaving)
	}
	o.shards[key] = s
	return s
}

// stopIfIdle stops the shard if it has had no work for shardIdleTime, and reports
// whether it did. The next work on the shard starts it again.
func (o *Owner) stopIfIdle(s *shard) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shards[s.key] != s || o.clock().Sub(rrunit.Instant(s.lastUsed.Load())) < shardIdleTime || s.hasJobs() {
		return false
	}
	delete(o.shards, s.key)
	s.stop()
	return true
}

type worker struct {
	owner  *Owner
	report func(rrpeer.ShardReport)

	// mu guards lastReports, the instant of each shard's last report.
	mu          sync.Mutex
	lastReports map[rrunit.ShardKey]rrunit.Instant
}

// reportInterval is the minimum time between two reports on one shard to one entry.
const reportInterval = 20 * time.Millisecond

// Work implements rrpeers.Worker.
func (w *worker) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	cancels := make([]func(), 0, len(task.Shards))
	deadline := w.owner.clock().Add(task.TimeLeft.Std())
	for _, name := range task.Shards {
		key := rrunit.ShardKey{Service: task.Service, Layout: task.Snapshot.Layout, Shard: name}
		s := w.owner.shard(key)
		if s == nil {
			result(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonNotOwner})
			continue
		}
		cancels = append(cancels, s.offer(task, deadline, func(r rrpeer.Result) {
			w.sendReport(s, r.Reason == rrquery.ReasonSnapshot)
			result(r)
		}))
	}
	return func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}

// sendReport sends a report on the shard unless one was sent within reportInterval.
// With force, as when the entry needs it to choose another snapshot, it always sends.
func (w *worker) sendReport(s *shard, force bool) {
	now := w.owner.clock()
	w.mu.Lock()
	last, ok := w.lastReports[s.key]
	due := force || !ok || now.Sub(last) >= reportInterval
	if due {
		w.lastReports[s.key] = now
	}
	w.mu.Unlock()
	if due {
		w.report(s.currentReport())
	}
}

// Probe implements rrpeers.Worker. The reports are sent once the searchers have been
// polled for their load.
func (w *worker) Probe(keys []rrunit.ShardKey) {
	for _, key := range keys {
		s := w.owner.shard(key)
		if s == nil {
			continue
		}
		w.owner.goroutines.Go(func() {
			select {
			case <-s.polled:
				w.report(s.currentReport())
			case <-s.ctx.Done():
			}
		})
	}
}
