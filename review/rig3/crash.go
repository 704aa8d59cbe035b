package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// deadlyPath is in the path of the request that crashes searchers.
const deadlyPath = "deadly"

// crashCounter counts the crashes of searchers. It is safe for concurrent use.
type crashCounter struct {
	// mu guards times.
	mu    sync.Mutex
	times []time.Time
}

func (c *crashCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// at returns when the nth crash was, and false if there were fewer.
func (c *crashCounter) at(n int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < n {
		return time.Time{}, false
	}
	return c.times[n-1], true
}

// startCrashable starts two daemons, and six searchers of one service, which end as they begin
// to run the deadly request and are back after crashTime, at their address and under their id.
func startCrashable(ctx context.Context, f *fleet) (*crashCounter, error) {
	crashes := &crashCounter{}
	for n, id := range []string{"i-one-1", "i-one-2", "i-one-3", "i-one-4", "i-one-5", "i-one-6"} {
		zone := twoZones()[n%len(twoZones())].zone
		s, err := f.addSearcher(id, "one", zone, processing)
		if err != nil {
			return nil, err
		}
		f.crashOnDeadly(ctx, s, zone, 1, crashes)
	}
	f.putTable(firstVersion, []string{"one"}, routing().Route("one", "one", true))
	if err := f.startDaemons(ctx, bounds{selkaDrain, selkaApply}, twoZones()...); err != nil {
		return nil, err
	}
	return crashes, pause(ctx, settle)
}

// crashOnDeadly makes the searcher, the incarnation of its id, end as it begins to run the
// deadly request.
func (f *fleet) crashOnDeadly(ctx context.Context, s *standin.Searcher, zone string, incarnation int, crashes *crashCounter) {
	var once sync.Once
	s.SetInterceptor(func(_ int, _ http.ResponseWriter, r *http.Request) bool {
		if !strings.Contains(r.URL.Path, deadlyPath) {
			return true
		}
		once.Do(func() {
			crashes.add()
			f.rec.note("searcher %s crashes", s.ID)
			s.Close()
			go f.restart(ctx, s, zone, incarnation+1, crashes)
		})
		panic(http.ErrAbortHandler)
	})
}

// restart starts the searcher again after crashTime.
func (f *fleet) restart(ctx context.Context, old *standin.Searcher, zone string, incarnation int, crashes *crashCounter) {
	if pause(ctx, crashTime) != nil {
		return
	}
	s, err := standin.NewSearcher(old.ID, old.Service, processing, slots, standin.WithObserver(f.observe), standin.WithAddress(old.Address()))
	if err != nil {
		f.rec.note("searcher %s does not start again: %v", old.ID, err)
		return
	}
	f.addCloser(s.Close)
	f.crashOnDeadly(ctx, s, zone, incarnation, crashes)
	f.store.Put(standin.ObjectSearchers, s.ID, standin.EntrySpec(s.Service, s.Address(), zone, standin.StateReady, slots, incarnation))
	f.rec.note("searcher %s is back", s.ID)
}
