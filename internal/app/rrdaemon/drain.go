package rrdaemon

import (
	"context"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// drainPollInterval is how often a stopping daemon checks whether its tasks have
// ended.
const drainPollInterval = 10 * time.Millisecond

// drain takes the daemon out of service without aborting a request: it notifies
// the load balancer and the peers, serves until they send no more work, and then
// waits for the work in flight, in that order.
func (d *Daemon) drain(ctx context.Context) {
	d.leaving.Store(true)
	d.peers.AnnounceLeaving()
	d.pool.SetLeaving()
	d.control.Leave()
	d.view.Reapply()
	d.log.Info("leaving", "for", d.settings.Times.DrainDelay)
	rrunit.Sleep(ctx, d.settings.Times.DrainDelay.Std())

	ctx, cancel := context.WithTimeout(ctx, d.settings.Times.StopTimeout.Std())
	defer cancel()
	if err := d.callers.Drain(ctx); err != nil {
		d.log.Warn("drain of callers' connections not finished", "err", err)
	}
	for d.peers.OpenTasks() > 0 && ctx.Err() == nil {
		rrunit.Sleep(ctx, drainPollInterval)
	}
	if n := d.peers.OpenTasks(); n > 0 {
		d.log.Warn("peers' tasks aborted at the stop timeout", "tasks", n)
	}
}
