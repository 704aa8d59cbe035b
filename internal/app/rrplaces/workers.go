package rrplaces

import (
	"context"
	"sync"
	"time"
)

// workerTime is how long a goroutine that has nothing to do is kept.
const workerTime = 10 * time.Second

// workers runs functions in goroutines that are used again, since the stack of a new
// one has to grow with each attempt.
type workers struct {
	ctx     context.Context
	tasks   chan func()
	running sync.WaitGroup
}

func newWorkers(ctx context.Context) *workers { return &workers{ctx: ctx, tasks: make(chan func())} }

// run runs f beside the caller, at once.
func (w *workers) run(f func()) {
	select {
	case w.tasks <- f:
	default:
		w.running.Go(func() { w.work(f) })
	}
}

func (w *workers) work(f func()) {
	timer := time.NewTimer(workerTime)
	defer timer.Stop()
	for {
		f()
		timer.Reset(workerTime)
		select {
		case f = <-w.tasks:
		case <-timer.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// wait returns when all functions have ended, once ctx has.
func (w *workers) wait() { w.running.Wait() }
