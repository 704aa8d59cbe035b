package rrplaces

import (
	"context"
	"sync"
	"time"
)

// idleGoroutineTime is how long an idle goroutine is kept.
const idleGoroutineTime = 10 * time.Second

// goroutinePool runs functions in reused goroutines: in a new one, the stack would
// have to grow again for each attempt.
type goroutinePool struct {
	ctx     context.Context
	tasks   chan func()
	running sync.WaitGroup
}

func newGoroutinePool(ctx context.Context) *goroutinePool {
	return &goroutinePool{ctx: ctx, tasks: make(chan func())}
}

// run runs f at once in an idle goroutine, or in a new one if none is idle.
func (w *goroutinePool) run(f func()) {
	select {
	case w.tasks <- f:
	default:
		w.running.Go(func() { w.work(f) })
	}
}

func (w *goroutinePool) work(f func()) {
	timer := time.NewTimer(idleGoroutineTime)
	defer timer.Stop()
	for {
		f()
		timer.Reset(idleGoroutineTime)
		select {
		case f = <-w.tasks:
		case <-timer.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// wait returns once ctx has ended and all functions have returned.
func (w *goroutinePool) wait() { w.running.Wait() }
