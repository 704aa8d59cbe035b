package rrclaims

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// partition runs the core of one partition.
type partition struct {
	claims *Claims
	key    rrstore.Key
	// wake ends a wait before the next call.
	wake chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	core    *rrclaim.Partition
	waiters map[rrclaim.Ticket]chan rrclaim.Decision
	// used is when work last came.
	used time.Time
	// running says that a goroutine works on the partition.
	running bool
}

func newPartition(c *Claims, place rrclaim.Location) *partition {
	return &partition{
		claims:  c,
		key:     place.ObjectKey(),
		wake:    make(chan struct{}, 1),
		core:    rrclaim.New(c.self, time.Duration(c.keep.Load())),
		waiters: make(map[rrclaim.Ticket]chan rrclaim.Decision),
	}
}

// unused reports whether the partition has had no work for a while.
func (p *partition) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.running && p.core.Idle() && time.Since(p.used) > unusedTime
}

func (p *partition) state() PartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PartitionState{Key: p.key, Waiting: p.core.Waiting(), Pending: p.core.Pending()}
}

// claim waits for the decision on a request until ctx ends.
func (p *partition) claim(ctx context.Context, ticket rrclaim.Ticket, r rrclaim.Request) rrclaim.Decision {
	waiter, d := p.add(ticket, r)
	if waiter == nil {
		return d
	}
	select {
	case d := <-waiter:
		return d
	case <-ctx.Done():
	case <-p.claims.ctx.Done():
	}
	return p.abandon(ticket, r, waiter)
}

// add queues the request, or returns the decision on it.
func (p *partition) add(ticket rrclaim.Ticket, r rrclaim.Request) (chan rrclaim.Decision, rrclaim.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claims.cooling() || !p.core.Claim(ticket, r) {
		return nil, p.withoutStore(r)
	}
	waiter := make(chan rrclaim.Decision, 1)
	p.waiters[ticket] = waiter
	p.wakeUp()
	p.ensureRunning()
	return waiter, rrclaim.Decision{}
}

// withoutStore decides for want of the store. The caller holds mu.
func (p *partition) withoutStore(r rrclaim.Request) rrclaim.Decision {
	if d, ok := p.core.Peek(r); ok {
		return d
	}
	return rrclaim.Decision{Verdict: rrclaim.VerdictStoreUnavailable, RetryAfter: time.Second}
}

// abandon gives up the request, unless it was decided meanwhile.
func (p *partition) abandon(ticket rrclaim.Ticket, r rrclaim.Request, waiter chan rrclaim.Decision) rrclaim.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, ticket)
	if !p.core.Cancel(ticket) {
		return <-waiter
	}
	p.ensureRunning()
	return p.withoutStore(r)
}

// change queues a record or a release.
func (p *partition) change(add func(*rrclaim.Partition)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(p.core)
	p.ensureRunning()
}

// ensureRunning starts the goroutine if there is work. The caller holds mu.
func (p *partition) ensureRunning() {
	p.used = time.Now()
	if p.running || p.core.Idle() || p.claims.ctx.Err() != nil {
		return
	}
	p.running = true
	p.claims.running.Go(p.run)
}

// run makes calls until nothing is left to do or the context ends. What comes
// while a call is under way is written by the next one.
func (p *partition) run() {
	retry := firstRetry
	for !p.stopIfIdle() && p.turn() {
		call := p.take()
		if call.Kind == rrclaim.CallNone {
			continue
		}
		r := p.perform(&call)
		p.finish(&r)
		if p.judge(r.Err) {
			retry = firstRetry
			continue
		}
		p.rest(retry)
		retry = min(2*retry, lastRetry)
	}
}

// judge tells what the end of a call says of the store and returns whether the
// next call may follow at once. After a lost answer a read tells more.
func (p *partition) judge(err error) bool {
	switch {
	case err == nil, errors.Is(err, rrstore.ErrConflict):
		p.claims.works()
		return true
	case errors.Is(err, rrstore.ErrUncertain):
		return true
	default:
		p.claims.fail()
		return false
	}
}

// stopIfIdle reports whether nothing is left to do or the context has ended;
// the goroutine is then taken as ended.
func (p *partition) stopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = !p.core.Idle() && p.claims.ctx.Err() == nil
	return !p.running
}

// rest waits after a failure of the store, unless a claim came meanwhile.
func (p *partition) rest(d time.Duration) {
	select {
	case <-p.wake:
	default:
	}
	if !p.claimsWait() {
		p.pause(d)
	}
}

// turn waits until the next call may be made, and returns false if the context
// ends first. Claims go first; outcomes and releases wait for a claim with which
// they can be written.
func (p *partition) turn() bool {
	for !p.claimsWait() {
		r := p.claims.records.Reserve()
		delay := r.Delay()
		if !p.claims.flushing.Load() {
			delay = max(delay, recordDelay)
		}
		if !p.pause(delay) {
			return p.claims.ctx.Err() == nil
		}
		r.Cancel()
	}
	return p.claims.claims.Wait(p.claims.ctx) == nil
}

func (p *partition) claimsWait() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Waiting() > 0
}

// wakeUp ends the pause under way, or the next one.
func (p *partition) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// pause waits for a time. It returns true if it was woken before.
func (p *partition) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.wake:
		return true
	case <-timer.C:
	case <-p.claims.ctx.Done():
	}
	return false
}

// take returns the next call and delivers the decisions that need none.
func (p *partition) take() rrclaim.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.SetRetention(time.Duration(p.claims.keep.Load()))
	call, decisions := p.core.Next(p.claims.wall())
	p.deliver(decisions)
	return call
}

func (p *partition) finish(r *rrclaim.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.core.Finish(*r))
}

// deliver gives decisions to those who wait. The caller holds mu.
func (p *partition) deliver(decisions []rrclaim.Decision) {
	for _, d := range decisions {
		if waiter, ok := p.waiters[d.Ticket]; ok {
			delete(p.waiters, d.Ticket)
			waiter <- d
		}
	}
}

func (p *partition) perform(call *rrclaim.Call) rrclaim.Result {
	p.claims.counts.Add(string(call.Kind), 1)
	ctx, cancel := context.WithTimeout(p.claims.ctx, callTimeout)
	defer cancel()
	if call.Kind == rrclaim.CallWrite {
		version, err := p.claims.store.Put(ctx, p.key, call.Value, call.Base)
		return rrclaim.Result{Version: version, Err: err}
	}
	o, err := p.claims.store.Get(ctx, p.key)
	if errors.Is(err, rrstore.ErrNotFound) {
		return rrclaim.Result{}
	}
	return rrclaim.Result{Version: o.Version, Value: o.Value, Err: err}
}
