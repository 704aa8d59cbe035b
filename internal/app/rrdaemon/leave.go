package rrdaemon

import (
	"context"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
)

// checkInterval is how often a stopping daemon looks whether its work has
// ended.
const checkInterval = 10 * time.Millisecond

// leave takes the daemon out of service without cutting a request: it tells the
// balancer and the peers, goes on serving until they have turned away, and then
// waits for the work in flight, in that order.
func (d *Daemon) leave(ctx context.Context) {
	d.leaving.Store(true)
	d.peers.Leave()
	d.pool.Leave()
	d.control.Leave()
	if view := d.view.Load(); view != nil {
		d.entry.SetMembers(rrownership.NewTable(d.members(view)))
	}
	d.log.Info("leaving", "for", d.settings.Times.Leave)
	rrunit.Sleep(ctx, d.settings.Times.Leave.Std())

	ctx, cancel := context.WithTimeout(ctx, d.settings.Times.Stop.Std())
	defer cancel()
	if err := d.callers.Drain(ctx); err != nil {
		d.log.Warn("callers cut", "err", err)
	}
	for d.peers.Open() > 0 && ctx.Err() == nil {
		rrunit.Sleep(ctx, checkInterval)
	}
	if n := d.peers.Open(); n > 0 {
		d.log.Warn("tasks cut", "tasks", n)
	}
}
