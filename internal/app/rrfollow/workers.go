package rrfollow

import (
	"context"
	"sync"
)

// workerSet runs named functions, each until it is no longer wanted.
type workerSet struct {
	ctx     context.Context
	group   *sync.WaitGroup
	cancels map[string]context.CancelFunc
}

func newWorkerSet(ctx context.Context, group *sync.WaitGroup) *workerSet {
	return &workerSet{ctx: ctx, group: group, cancels: make(map[string]context.CancelFunc)}
}

// reconcile starts the wanted functions that are not running, and stops the running
// ones that are no longer wanted.
func (w *workerSet) reconcile(wanted map[string]func(context.Context)) {
	for name, cancel := range w.cancels {
		if wanted[name] == nil {
			cancel()
			delete(w.cancels, name)
		}
	}
	for name, run := range wanted {
		if w.cancels[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.cancels[name] = cancel
		w.group.Go(func() {
			defer cancel()
			run(ctx)
		})
	}
}
