package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Parameters of the case.
const (
	goneDaemons   = 4
	goneSearchers = 15
	// goneRemoved is how many searchers leave at once, 0.13 of them.
	goneRemoved = 2
	// goneDown is how long the killed daemons are down.
	goneDown = 500 * time.Millisecond
	// goneServes is how long a searcher that has left serves beyond drain-ms.
	goneServes = 3 * time.Second
	// drainBound is drain-ms.
	drainBound = 4 * time.Second
	// goneClients is how many clients each daemon has, and goneLoad the pause of a client
	// between two requests.
	goneClients = 8
	goneLoad    = 20 * time.Millisecond
)

// playGone checks that a searcher whose entry the store has removed gets no request of a
// running daemon later than drain-ms after that. With trouble, half of the daemons are
// killed just before, each pair once.
func playGone(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(ctx, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if err := f.startArchive(ctx); err != nil {
		return false, err
	}
	stopLoad := f.startLoad(ctx)
	defer stopLoad()
	sleep(ctx, 5*time.Second)
	late := 0
	for a := range goneDaemons {
		for b := a + 1; b < goneDaemons; b++ {
			n, err := f.playGoneRound(ctx, []*daemon{f.daemons[a], f.daemons[b]}, trouble)
			if err != nil {
				return false, err
			}
			late += n
		}
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	return late > 0, nil
}

// playGoneRound removes searchers, while the daemons are down, and returns how many requests
// of other daemons reached them later than drain-ms after that.
func (f *fleet) playGoneRound(ctx context.Context, down []*daemon, trouble bool) (int, error) {
	leaving := f.searchers[:goneRemoved]
	killed := make(map[string]bool)
	if !trouble {
		down = nil
	}
	for _, d := range down {
		killed[d.name] = true
		f.rec.printf("SIGKILL to %s", d.name)
		d.signal(syscall.SIGKILL)
	}
	sleep(ctx, goneDown/2)
	for _, s := range leaving {
		f.store.Delete(standin.ObjectSearchers, s.id)
		f.rec.printf("the store has removed the entry of %s, which is leaving", s.id)
	}
	bound := time.Now().Add(drainBound)
	sleep(ctx, goneDown/2)
	for _, d := range down {
		<-d.ended
		if err := f.start(d); err != nil {
			return 0, err
		}
	}
	sleep(ctx, time.Until(bound)+goneServes)
	late := 0
	for _, s := range leaving {
		late += f.countLate(s, bound, killed)
		s.close()
	}
	return late, f.replaceSearchers(ctx, leaving)
}

// countLate returns how many requests reached the searcher after the bound, without those of
// the daemons that were killed.
func (f *fleet) countLate(s *searcher, bound time.Time, killed map[string]bool) int {
	byDaemon := make(map[string]int)
	late := 0
	for _, r := range s.arrivalsAfter(bound) {
		if name, _, _ := strings.Cut(r.id, "/"); !killed[name] {
			byDaemon[name]++
			late++
		}
	}
	for name, n := range byDaemon {
		f.rec.printf("BROKEN: %d requests of %s, which was not killed, reached %s later than %s after its entry was removed", n, name, s.id, drainBound)
	}
	return late
}

// replaceSearchers starts new searchers in place of those that have left, which come first in
// the fleet's list.
func (f *fleet) replaceSearchers(ctx context.Context, left []*searcher) error {
	f.searchers = f.searchers[len(left):]
	for _, s := range left {
		if err := f.addSearcher(ctx, s.id+"n", "archive", "a", archiveWork); err != nil {
			return err
		}
	}
	return nil
}

// archiveWork is how long a request to the archive takes.
func archiveWork(string) time.Duration { return 120 * time.Millisecond }

// startArchive starts a service with searchers, and the daemons.
func (f *fleet) startArchive(ctx context.Context) error {
	zones := []string{"a", "b"}
	for i := range goneSearchers {
		if err := f.addSearcher(ctx, fmt.Sprintf("i-archive-%d", i), "archive", zones[i%2], archiveWork); err != nil {
			return err
		}
	}
	routing := standin.Routing{Host: host, Timeout: 6 * time.Second, TargetLatency: 1200 * time.Millisecond, Attempts: 2}
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"archive"}, routing.Route("archive", "archive", true)))
	for i := range goneDaemons {
		if err := f.addDaemon(ctx, fmt.Sprintf("front-%d", i), zones[i%2]); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startLoad sends requests to each daemon until the returned function is called.
func (f *fleet) startLoad(ctx context.Context) (stop func()) {
	loadCtx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, d := range f.daemons {
		for i := range goneClients {
			c := &client{rec: f.rec, name: fmt.Sprintf("%s/c%d", d.name, i), address: d.callers, budget: 6 * time.Second}
			clients.Go(func() {
				defer c.close()
				for loadCtx.Err() == nil {
					_ = c.send(loadCtx, http.MethodGet, fmt.Sprintf("/archive/history-%d-%d", i, c.sent), "")
					sleep(loadCtx, goneLoad)
				}
			})
		}
	}
	return func() {
		cancel()
		clients.Wait()
	}
}
