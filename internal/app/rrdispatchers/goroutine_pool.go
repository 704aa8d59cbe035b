package rrdispatchers

import (
	"context"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
)

// idleGoroutineTime is how long an idle goroutine is kept.
const idleGoroutineTime = 10 * time.Second

// goroutinePool runs functions in reused goroutines: in a new one, the stack would
// have to grow again for each attempt.
type goroutinePool struct {
	ctx     context.Context
	tasks   chan func()
	running sync.WaitGroup
	// onError is called with a panic of a function, which ends that function only.
	onError func(error)
}

func newGoroutinePool(ctx context.Context, onError func(error)) *goroutinePool {
	return &goroutinePool{ctx: ctx, tasks: make(chan func()), onError: onError}
}

// run runs f at once in an idle goroutine, or in a new one if none is idle.
func (p *goroutinePool) run(f func()) {
	select {
	case p.tasks <- f:
	default:
		p.running.Go(func() { p.work(f) })
	}
}

func (p *goroutinePool) work(f func()) {
	timer := time.NewTimer(idleGoroutineTime)
	defer timer.Stop()
	for {
		if err := rrpanic.Do(f); err != nil {
			p.onError(err)
		}
		timer.Reset(idleGoroutineTime)
		select {
		case f = <-p.tasks:
		case <-timer.C:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// wait returns once ctx has ended and all functions have returned.
func (p *goroutinePool) wait() { p.running.Wait() }
