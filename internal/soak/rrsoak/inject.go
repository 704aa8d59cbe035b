package rrsoak

import (
	"context"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrproxy"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const (
	// stopSlack is how much longer than the grace a stop may take: the daemon's
	// own grace starts when the signal arrives.
	stopSlack = time.Second
	// lapseTime is how long entries that lapsed are missing once the store is
	// back; the platform promises two seconds.
	lapseTime = time.Second
	// changeGap is the time between versions in quick succession.
	changeGap = 150 * time.Millisecond
	linkDelay = 120 * time.Millisecond
)

// inject plays one event; it returns when the event has ended. An event whose
// target is in the middle of another such event is left out: the plan goes by
// the clock.
func (f *fleet) inject(e rrplan.Event) error {
	switch e.Kind {
	case rrplan.DaemonStop, rrplan.DaemonKill, rrplan.DaemonPause, rrplan.DaemonReload:
		return f.injectDaemon(e, f.daemons[e.Target])
	case rrplan.SearcherKill, rrplan.SearcherPause, rrplan.SearcherLeave:
		return f.injectSearcher(e, f.searchers[e.Target])
	case rrplan.Table:
		return f.putTable()
	case rrplan.Tables:
		for range 3 {
			if err := f.putTable(); err != nil {
				return err
			}
			rrunit.Sleep(f.ctx, changeGap)
		}
		return nil
	case rrplan.LinkDelay, rrplan.LinkReset, rrplan.LinkMuteTo, rrplan.LinkMuteFrom, rrplan.LinkSilent:
		f.injectLink(e)
		return nil
	}
	return f.injectStore(e)
}

// pause freezes a process for the event's time.
func (f *fleet) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	rrunit.Sleep(f.ctx, d)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) injectDaemon(e rrplan.Event, p *place) error {
	if !p.mu.TryLock() {
		return nil
	}
	switch e.Kind {
	case rrplan.DaemonPause:
		proc := p.process
		p.mu.Unlock()
		defer f.history.Disturb(p.name, false)()
		f.pause(proc, e.For)
		return nil
	case rrplan.DaemonReload:
		defer p.mu.Unlock()
		if err := f.writeSettings(p); err != nil {
			return err
		}
		// Before its first line a process runs no code that could take a signal.
		if p.process.hasBegun() {
			p.process.signal(syscall.SIGHUP)
		}
		return nil
	}
	defer p.mu.Unlock()
	defer f.history.Disturb(p.name, e.Kind == rrplan.DaemonStop)()
	sent := time.Now()
	if e.Kind == rrplan.DaemonKill {
		p.process.end(syscall.SIGKILL, graceTime)
		rrunit.Sleep(f.ctx, e.For)
	} else if !p.process.end(syscall.SIGTERM, graceTime+stopSlack) && f.history.Calm(p.name, sent) {
		f.history.Break(rrhistory.PromiseStop, nil, "%s did not end within its grace of %s", p.process.name, graceTime)
	}
	return f.startDaemon(p)
}

func (f *fleet) injectSearcher(e rrplan.Event, p *place) error {
	if !p.mu.TryLock() {
		return nil
	}
	if e.Kind == rrplan.SearcherPause {
		proc, id := p.process, p.id
		p.mu.Unlock()
		defer f.history.Disturb(id, false)()
		f.pause(proc, e.For)
		return nil
	}
	defer p.mu.Unlock()
	if e.Kind == rrplan.SearcherLeave {
		if err := f.operator.Put(f.ctx, standin.ObjectSearchers, p.id, p.entry(standin.StateDraining)); err != nil {
			return err
		}
		f.history.Left(p.id)
		// Whoever still runs there has its route's time to end.
		rrunit.Sleep(f.ctx, drainTime+routeTime)
	}
	defer f.history.Disturb(p.id, false)()
	p.process.end(syscall.SIGKILL, graceTime)
	if e.Kind == rrplan.SearcherKill {
		rrunit.Sleep(f.ctx, e.For)
	}
	if err := f.operator.Delete(f.ctx, standin.ObjectSearchers, p.id); err != nil {
		return err
	}
	return f.startSearcher(p)
}

func (f *fleet) injectLink(e rrplan.Event) {
	harms := map[rrplan.Kind]rrproxy.Harm{
		rrplan.LinkDelay: {Delay: linkDelay}, rrplan.LinkReset: {Refuse: true}, rrplan.LinkMuteTo: {HoldTo: true},
		rrplan.LinkMuteFrom: {HoldFrom: true}, rrplan.LinkSilent: {HoldTo: true, HoldFrom: true},
	}
	p, subject := f.daemons[e.Target], e.Target
	if e.Link == rrplan.LinkSearcher {
		p = f.searchers[e.Target]
		subject = p.currentID()
	}
	defer f.history.Disturb(subject, false)()
	p.proxies[e.Link].Harm(harms[e.Kind])
	rrunit.Sleep(f.ctx, e.For)
	p.proxies[e.Link].Harm(rrproxy.Harm{})
}

func (f *fleet) injectStore(e rrplan.Event) error {
	if !f.storeBusy.TryLock() {
		return nil
	}
	defer f.storeBusy.Unlock()
	defer f.history.Disturb(rrhistory.StoreSubject, false)()
	faults := map[rrplan.Kind]standin.Fault{
		rrplan.StoreRefuse: {Status: 503}, rrplan.StoreSilent: {Silent: true}, rrplan.StoreLose: {LoseAnswers: true},
		rrplan.StoreOld: {Old: true}, rrplan.StoreLapse: {Status: 503},
	}
	switch e.Kind {
	case rrplan.StorePause:
		f.pause(f.store, e.For)
		return nil
	case rrplan.StoreForget:
		return f.operator.DropHistory(f.ctx)
	}
	if err := f.operator.SetFault(f.ctx, faults[e.Kind]); err != nil {
		return err
	}
	rrunit.Sleep(f.ctx, e.For)
	if e.Kind == rrplan.StoreLapse {
		return f.lapse(f.searchers[e.Target].service)
	}
	return f.operator.SetFault(f.ctx, standin.Fault{})
}

// lapse ends the store's fault with the entries of a service missing, which
// their searchers write again soon after.
func (f *fleet) lapse(service string) error {
	var missing []*place
	for _, p := range f.searchers {
		// One that is being replaced is registered anew in any case.
		if p.service != service || !p.mu.TryLock() {
			continue
		}
		defer p.mu.Unlock()
		missing = append(missing, p)
		if err := f.operator.Delete(f.ctx, standin.ObjectSearchers, p.id); err != nil {
			return err
		}
	}
	if err := f.operator.SetFault(f.ctx, standin.Fault{}); err != nil {
		return err
	}
	rrunit.Sleep(f.ctx, lapseTime)
	for _, p := range missing {
		if err := f.operator.Put(context.WithoutCancel(f.ctx), standin.ObjectSearchers, p.id, p.entry(standin.StateReady)); err != nil {
			return err
		}
	}
	return nil
}
