package rrsoak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrproxy"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const (
	// stopSlack is how much longer than the grace period a stop may take: the
	// daemon's own grace period starts when the signal arrives.
	stopSlack = time.Second
	// expiredTime is how long expired entries are missing once the store has
	// recovered; the platform promises at most two seconds.
	expiredTime = time.Second
	// burstInterval is the time between the versions of a TableBurst.
	burstInterval = 150 * time.Millisecond
	injectedDelay = 120 * time.Millisecond
	// crashInterval is the time between a crashing request and the next attempt of its caller.
	crashInterval = 150 * time.Millisecond
	// forgottenTime is how long a searcher that was removed from the store serves after the
	// time in which daemons may still use it.
	forgottenTime = 6 * time.Second
)

// inject executes one event and returns when it has ended. An event is skipped if
// its target is still in another such event, because the start times of a plan
// are fixed.
func (f *fleet) inject(e rrplan.Event) error {
	switch e.Kind {
	case rrplan.DaemonStop, rrplan.DaemonKill, rrplan.DaemonPause, rrplan.DaemonReload, rrplan.DaemonReplace:
		return f.injectDaemon(e, f.daemons[e.Target])
	case rrplan.ReadersKill:
		return f.injectReadersKill(e, f.searchers[e.Target])
	case rrplan.SearcherKill, rrplan.SearcherPause, rrplan.SearcherDrain, rrplan.SearcherEntry:
		return f.injectSearcher(e, f.searchers[e.Target])
	case rrplan.SearcherLimit, rrplan.SearcherAnswer, rrplan.SearcherAsksPause:
		f.injectOrder(e, f.searchers[e.Target])
		return nil
	case rrplan.SearcherLeaves:
		return f.injectLeaving(e, f.searchers[e.Target])
	case rrplan.RequestCrash:
		f.injectCrashes(e)
		return nil
	case rrplan.TableChange:
		return f.putTable()
	case rrplan.TableBurst:
		for range 3 {
			if err := f.putTable(); err != nil {
				return err
			}
			rrunit.Sleep(f.ctx, burstInterval)
		}
		return nil
	case rrplan.LinkDelay, rrplan.LinkReset, rrplan.LinkBlockTo, rrplan.LinkBlockFrom, rrplan.LinkBlockBoth, rrplan.LinkBlockOpen:
		f.injectLink(e)
		return nil
	}
	return f.injectStore(e)
}

// pause suspends a process for d.
func (f *fleet) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	rrunit.Sleep(f.ctx, d)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) injectDaemon(e rrplan.Event, n *node) error {
	if !n.mu.TryLock() {
		return nil
	}
	switch e.Kind {
	case rrplan.DaemonPause:
		proc := n.process
		n.mu.Unlock()
		defer f.history.BeginDisturbance(n.name, false)()
		f.history.RecordFreeze(n.name)
		f.pause(proc, e.Duration)
		return nil
	case rrplan.DaemonReload:
		defer n.mu.Unlock()
		if err := f.writeSettings(n); err != nil {
			return err
		}
		// Before its first line of output a process does not handle signals yet.
		if n.process.hasOutput() {
			n.process.signal(syscall.SIGHUP)
		}
		return nil
	}
	defer n.mu.Unlock()
	defer f.history.BeginDisturbance(n.name, e.Kind == rrplan.DaemonStop)()
	signalled := time.Now()
	if e.Kind != rrplan.DaemonStop {
		n.process.stop(syscall.SIGKILL, graceTime)
		rrunit.Sleep(f.ctx, e.Duration)
	} else if !n.process.stop(syscall.SIGTERM, graceTime+stopSlack) && f.history.IsUndisturbed(n.name, signalled) {
		f.history.AddViolation(rrhistory.PromiseGracefulStop, nil, "%s did not end within its grace of %s", n.process.name, graceTime)
	}
	if e.Kind == rrplan.DaemonReplace {
		n.replacements++
		if err := f.writeSettings(n); err != nil {
			return err
		}
	}
	return f.startDaemon(n)
}

// readsStore reports whether the daemon reads the store for others, by its last line on that.
func (n *node) readsStore() bool {
	lines := n.process.grep(`msg="source of knowledge"`)
	return len(lines) > 0 && strings.Contains(lines[len(lines)-1], "cause=reader")
}

// injectReadersKill kills the daemons that read the store, removes a searcher from it, starts
// the daemons again after the event's duration, and replaces the searcher long after no daemon
// may use it any more.
func (f *fleet) injectReadersKill(e rrplan.Event, searcher *node) error {
	if !searcher.mu.TryLock() {
		return nil
	}
	defer searcher.mu.Unlock()
	var killed []*node
	for _, n := range f.daemons {
		if !n.mu.TryLock() {
			continue
		}
		if !n.readsStore() {
			n.mu.Unlock()
			continue
		}
		killed = append(killed, n)
		endDisturbance := f.history.BeginDisturbance(n.name, false)
		defer func() {
			endDisturbance()
			n.mu.Unlock()
		}()
		n.process.stop(syscall.SIGKILL, graceTime)
	}
	if err := f.putTable(); err != nil {
		return err
	}
	if err := f.storeControl.Delete(f.ctx, standin.ObjectSearchers, searcher.searcherID); err != nil {
		return err
	}
	f.history.RecordDrainStart(searcher.searcherID)
	rrunit.Sleep(f.ctx, e.Duration)
	for _, n := range killed {
		if err := f.startDaemon(n); err != nil {
			return err
		}
	}
	rrunit.Sleep(f.ctx, drainTime+forgottenTime)
	defer f.history.BeginDisturbance(searcher.searcherID, false)()
	searcher.process.stop(syscall.SIGKILL, graceTime)
	return f.startSearcher(searcher)
}

func (f *fleet) injectSearcher(e rrplan.Event, n *node) error {
	if !n.mu.TryLock() {
		return nil
	}
	if e.Kind == rrplan.SearcherPause {
		proc, id := n.process, n.searcherID
		n.mu.Unlock()
		defer f.history.BeginDisturbance(id, false)()
		f.pause(proc, e.Duration)
		return nil
	}
	defer n.mu.Unlock()
	if e.Kind == rrplan.SearcherDrain {
		if err := f.storeControl.Put(f.ctx, standin.ObjectSearchers, n.searcherID, n.entrySpec(standin.StateDraining)); err != nil {
			return err
		}
		f.history.RecordDrainStart(n.searcherID)
		// Requests in progress there may take up to their route's timeout.
		rrunit.Sleep(f.ctx, drainTime+routeTimeout)
	}
	switch e.Kind {
	case rrplan.SearcherEntry:
		return f.overwriteEntry(e, n)
	case rrplan.SearcherKill:
		return f.replaceSearcher(n, e.Duration)
	}
	return f.replaceSearcher(n, 0)
}

// replaceSearcher kills a searcher and starts another one in its place after the time given.
// The caller holds n.mu.
func (f *fleet) replaceSearcher(n *node, after time.Duration) error {
	defer f.history.BeginDisturbance(n.searcherID, false)()
	n.process.stop(syscall.SIGKILL, graceTime)
	rrunit.Sleep(f.ctx, after)
	if err := f.storeControl.Delete(f.ctx, standin.ObjectSearchers, n.searcherID); err != nil {
		return err
	}
	return f.startSearcher(n)
}

// searcherOrders returns the orders with which an event at a searcher begins and ends.
func searcherOrders(e rrplan.Event) (begin, end searcherOrder) {
	none, limit := "", strconv.Itoa(requestLimit)
	switch e.Kind {
	case rrplan.SearcherLimit:
		return searcherOrder{Limit: &limit}, searcherOrder{Limit: &none}
	case rrplan.SearcherAsksPause:
		return searcherOrder{Pause: e.Duration}, searcherOrder{}
	}
	return searcherOrder{Answer: &e.Answer, Share: e.Share}, searcherOrder{Answer: &none}
}

// injectOrder gives a searcher's process orders. If the process is replaced meanwhile, the new
// one has none.
func (f *fleet) injectOrder(e rrplan.Event, n *node) {
	if !n.beginOrder(e.Kind) {
		return
	}
	defer n.endOrder(e.Kind)
	n.mu.Lock()
	proc, id := n.process, n.searcherID
	n.mu.Unlock()
	switch e.Kind {
	case rrplan.SearcherLimit:
		defer f.history.BeginLimit(id)()
	case rrplan.SearcherAnswer:
		defer f.history.BeginDisturbance(id, false)()
	}
	begin, end := searcherOrders(e)
	proc.order(begin)
	rrunit.Sleep(f.ctx, e.Duration)
	proc.order(end)
}

// injectLeaving makes a searcher say that it leaves, and replaces it at the end.
func (f *fleet) injectLeaving(e rrplan.Event, n *node) error {
	n.mu.Lock()
	proc := n.process
	n.mu.Unlock()
	isLeaving := true
	proc.order(searcherOrder{Leaving: &isLeaving})
	rrunit.Sleep(f.ctx, e.Duration)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != proc {
		return nil
	}
	return f.replaceSearcher(n, 0)
}

// overwriteEntry puts another writer's entry over a searcher's for the event's duration. The
// caller holds n.mu.
func (f *fleet) overwriteEntry(e rrplan.Event, n *node) error {
	foreign := n.entrySpec(standin.StateReady)
	foreign["service"] = services[(slices.Index(services, n.service)+1)%len(services)]
	delete(foreign, "version")
	delete(foreign, "sequence")
	if err := f.storeControl.Put(f.ctx, standin.ObjectSearchers, n.searcherID, foreign); err != nil {
		return err
	}
	rrunit.Sleep(f.ctx, e.Duration)
	return f.storeControl.Put(f.ctx, standin.ObjectSearchers, n.searcherID, n.entrySpec(standin.StateReady))
}

// beginOrder returns false if the searcher already has orders of the kind.
func (n *node) beginOrder(kind rrplan.Kind) bool {
	n.ordersMu.Lock()
	defer n.ordersMu.Unlock()
	if n.ordered[kind] {
		return false
	}
	n.ordered[kind] = true
	return true
}

func (n *node) endOrder(kind rrplan.Kind) {
	n.ordersMu.Lock()
	defer n.ordersMu.Unlock()
	delete(n.ordered, kind)
}

// injectCrashes sends the same crashing request to random daemons until the event ends.
func (f *fleet) injectCrashes(e rrplan.Event) {
	ctx, cancel := context.WithTimeout(f.ctx, e.Duration)
	defer cancel()
	daemons := slices.Collect(maps.Values(f.daemons))
	for n := 1; ctx.Err() == nil; n++ {
		c := newCaller(f, daemons[rand.IntN(len(daemons))], n)
		c.sendCrashing(ctx, e)
		rrunit.Sleep(ctx, crashInterval)
	}
}

func (f *fleet) injectLink(e rrplan.Event) {
	faults := map[rrplan.Kind]rrproxy.Fault{
		rrplan.LinkDelay: {Delay: injectedDelay}, rrplan.LinkReset: {Reset: true}, rrplan.LinkBlockTo: {BlockTo: true},
		rrplan.LinkBlockFrom: {BlockFrom: true}, rrplan.LinkBlockBoth: {BlockTo: true, BlockFrom: true},
		rrplan.LinkBlockOpen: {BlockOpen: true},
	}
	n, subject := f.daemons[e.Target], e.Target
	if e.Link == rrplan.LinkSearcher {
		n = f.searchers[e.Target]
		subject = n.currentSearcherID()
	}
	endDisturbance := f.history.BeginDisturbance(subject, false)
	n.proxies[e.Link].SetFault(faults[e.Kind])
	if e.Kind == rrplan.LinkBlockOpen {
		// New connections work at once, and nothing else is disturbed.
		endDisturbance()
		endDisturbance = func() {}
	}
	rrunit.Sleep(f.ctx, e.Duration)
	endDisturbance()
	n.proxies[e.Link].SetFault(rrproxy.Fault{})
}

func (f *fleet) injectStore(e rrplan.Event) error {
	if !f.storeFaultMu.TryLock() {
		return nil
	}
	defer f.storeFaultMu.Unlock()
	defer f.history.BeginDisturbance(rrhistory.StoreSubject, false)()
	faults := map[rrplan.Kind]standin.Fault{
		rrplan.StoreRefuse: {Status: 503}, rrplan.StoreHang: {Silent: true}, rrplan.StoreLoseAnswers: {LoseAnswers: true},
		rrplan.StoreStaleReads: {Old: true}, rrplan.StoreExpireEntries: {Status: 503},
	}
	switch e.Kind {
	case rrplan.StorePause:
		f.pause(f.store, e.Duration)
		return nil
	case rrplan.StoreDropHistory:
		return f.storeControl.DropHistory(f.ctx)
	}
	if err := f.storeControl.SetFault(f.ctx, faults[e.Kind]); err != nil {
		return err
	}
	rrunit.Sleep(f.ctx, e.Duration)
	if e.Kind == rrplan.StoreExpireEntries {
		return f.expireEntries(f.searchers[e.Target].service)
	}
	return f.storeControl.SetFault(f.ctx, standin.Fault{})
}

// expireEntries ends the store's fault with the entries of a service deleted, and
// registers them again after expiredTime.
func (f *fleet) expireEntries(service string) error {
	var missing []*node
	for _, n := range f.searchers {
		// A searcher that is being replaced registers again in any case.
		if n.service != service || !n.mu.TryLock() {
			continue
		}
		defer n.mu.Unlock()
		missing = append(missing, n)
		if err := f.storeControl.Delete(f.ctx, standin.ObjectSearchers, n.searcherID); err != nil {
			return err
		}
	}
	if err := f.storeControl.SetFault(f.ctx, standin.Fault{}); err != nil {
		return err
	}
	rrunit.Sleep(f.ctx, expiredTime)
	for _, n := range missing {
		if err := f.storeControl.Put(context.WithoutCancel(f.ctx), standin.ObjectSearchers, n.searcherID, n.entrySpec(standin.StateReady)); err != nil {
			return err
		}
	}
	return nil
}
