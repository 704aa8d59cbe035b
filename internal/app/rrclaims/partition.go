package rrclaims

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// partition makes the store calls that the core of one partition decides on.
type partition struct {
	claimer *Claimer
	key     rrstore.Key
	// wake ends the current sleep, or the next one.
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	core    *rrclaim.Partition
	waiters map[rrclaim.Ticket]chan rrclaim.Decision
	// lastUsed is when a claim, record or release was last added.
	lastUsed time.Time
	// running is set while a goroutine executes run.
	running bool
}

func newPartition(c *Claimer, location rrclaim.Location) *partition {
	return &partition{
		claimer: c,
		key:     location.ObjectKey(),
		wake:    make(chan struct{}, 1),
		core:    rrclaim.New(c.incarnation, time.Duration(c.retention.Load())),
		waiters: make(map[rrclaim.Ticket]chan rrclaim.Decision),
	}
}

// isIdle reports whether the partition has been without work for the idle timeout.
func (p *partition) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.running && p.core.Idle() && time.Since(p.lastUsed) > partitionIdleTimeout
}

func (p *partition) state() PartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PartitionState{Key: p.key, Waiting: p.core.Waiting(), Pending: p.core.Pending()}
}

// claim waits for the decision on a request. When ctx ends first, it cancels the
// request.
func (p *partition) claim(ctx context.Context, ticket rrclaim.Ticket, r rrclaim.Request) rrclaim.Decision {
	waiter, d := p.enqueue(ticket, r)
	if waiter == nil {
		return d
	}
	select {
	case d := <-waiter:
		return d
	case <-ctx.Done():
	case <-p.claimer.ctx.Done():
	}
	return p.cancel(ticket, r, waiter)
}

// enqueue queues the request and returns the channel of its decision. If the store
// is failing or the queue is full, it returns a decision instead.
func (p *partition) enqueue(ticket rrclaim.Ticket, r rrclaim.Request) (chan rrclaim.Decision, rrclaim.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimer.isCircuitOpen() || !p.core.Claim(ticket, r) {
		return nil, p.decideWithoutStore(r)
	}
	waiter := make(chan rrclaim.Decision, 1)
	p.waiters[ticket] = waiter
	p.wakeUp()
	p.ensureRunning()
	return waiter, rrclaim.Decision{}
}

// decideWithoutStore decides from the data in memory, because the store cannot be
// called. The caller holds mu.
func (p *partition) decideWithoutStore(r rrclaim.Request) rrclaim.Decision {
	if d, ok := p.core.Peek(r); ok {
		return d
	}
	return rrclaim.Decision{Verdict: rrclaim.VerdictStoreUnavailable, RetryAfter: time.Second}
}

// cancel cancels the request, unless it has been decided meanwhile.
func (p *partition) cancel(ticket rrclaim.Ticket, r rrclaim.Request, waiter chan rrclaim.Decision) rrclaim.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, ticket)
	if !p.core.Cancel(ticket) {
		return <-waiter
	}
	p.ensureRunning()
	return p.decideWithoutStore(r)
}

// update queues a record or a release.
func (p *partition) update(add func(*rrclaim.Partition)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(p.core)
	p.ensureRunning()
}

// ensureRunning starts the goroutine if there is work. The caller holds mu.
func (p *partition) ensureRunning() {
	p.lastUsed = time.Now()
	if p.running || p.core.Idle() || p.claimer.ctx.Err() != nil {
		return
	}
	p.running = true
	p.claimer.running.Go(p.run)
}

// run makes calls until no work is left or the context ends. Work that arrives
// during a call is written by the next one.
func (p *partition) run() {
	retry := minRetryDelay
	for !p.stopIfIdle() && p.waitForCall() {
		call := p.nextCall()
		if call.Kind == rrclaim.CallNone {
			continue
		}
		r := p.perform(&call)
		p.finish(&r)
		if p.recordResult(r.Err) {
			retry = minRetryDelay
			continue
		}
		p.backOff(retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

// recordResult updates the circuit breaker with the result of a call. It reports
// whether the next call may follow at once. After a lost answer it may, since the
// next call reads whether the write took effect.
func (p *partition) recordResult(err error) bool {
	switch {
	case err == nil, errors.Is(err, rrstore.ErrConflict):
		p.claimer.recordStoreSuccess()
		return true
	case errors.Is(err, rrstore.ErrUncertain):
		return true
	default:
		p.claimer.recordStoreFailure()
		return false
	}
}

// stopIfIdle reports whether no work is left or the context has ended. It then marks
// the goroutine as stopped.
func (p *partition) stopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = !p.core.Idle() && p.claimer.ctx.Err() == nil
	return !p.running
}

// backOff waits after a failure of the store, unless a claim is waiting.
func (p *partition) backOff(d time.Duration) {
	select {
	case <-p.wake:
	default:
	}
	if !p.hasWaitingClaims() {
		p.sleep(d)
	}
}

// waitForCall waits until the rate limits allow the next call. It returns false if
// the context ends first. Claims have priority; outcomes and releases are delayed so
// that they can be written together with a claim.
func (p *partition) waitForCall() bool {
	for !p.hasWaitingClaims() {
		r := p.claimer.recordLimiter.Reserve()
		delay := r.Delay()
		if !p.claimer.flushing.Load() {
			delay = max(delay, recordBatchDelay)
		}
		if !p.sleep(delay) {
			return p.claimer.ctx.Err() == nil
		}
		r.Cancel()
	}
	return p.claimer.claimLimiter.Wait(p.claimer.ctx) == nil
}

func (p *partition) hasWaitingClaims() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Waiting() > 0
}

// wakeUp ends the current sleep, or the next one.
func (p *partition) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sleep waits for the duration. It returns true if wakeUp ended it early.
func (p *partition) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.wake:
		return true
	case <-timer.C:
	case <-p.claimer.ctx.Done():
	}
	return false
}

// nextCall returns the next call, and delivers the decisions that need no call.
func (p *partition) nextCall() rrclaim.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetRetention(time.Duration(p.claimer.retention.Load()))
	call, decisions := p.core.Next(p.claimer.wallClock())
	p.deliver(decisions)
	return call
}

func (p *partition) finish(r *rrclaim.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.core.Finish(*r))
}

// deliver sends decisions to their waiters. The caller holds mu.
func (p *partition) deliver(decisions []rrclaim.Decision) {
	for _, d := range decisions {
		if waiter, ok := p.waiters[d.Ticket]; ok {
			delete(p.waiters, d.Ticket)
			waiter <- d
		}
	}
}

func (p *partition) perform(call *rrclaim.Call) rrclaim.Result {
	p.claimer.counts.Add(string(call.Kind), 1)
	ctx, cancel := context.WithTimeout(p.claimer.ctx, callTimeout)
	defer cancel()
	if call.Kind == rrclaim.CallWrite {
		version, err := p.claimer.store.Put(ctx, p.key, call.Value, call.Base)
		return rrclaim.Result{Version: version, Err: err}
	}
	o, err := p.claimer.store.Get(ctx, p.key)
	if errors.Is(err, rrstore.ErrNotFound) {
		return rrclaim.Result{}
	}
	return rrclaim.Result{Version: o.Version, Value: o.Value, Err: err}
}
