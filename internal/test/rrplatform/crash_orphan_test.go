package rrplatform_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crashing request that is retried without end: its caller leaves before the
// searcher ends, so that no attempt is left whose connection shows it.
func TestCrashAfterTheCallerHasLeft(t *testing.T) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		for _, path := range []string{"/one/", "/once/", "/all/"} {
			if testing.Short() && delay != 50*time.Millisecond {
				continue
			}
			t.Run(fmt.Sprint(delay, strings.TrimSuffix(path, "/")), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(t)
				f.minCrashDelay, f.maxCrashDelay = delay, delay
				log := f.addCrashing(4, crashCloses, 500*time.Millisecond, "s0", "s1", "s2", "one")
				daemons := f.startDaemons("a", "b", "a")
				stopLoad := f.load(daemons, path)
				time.Sleep(time.Second)
				for n := range 10 {
					ctx, leave := context.WithTimeout(t.Context(), delay/2)
					daemons[n%len(daemons)].callWith(ctx, http.DefaultClient, call{path: path + crashPath})
					leave()
					time.Sleep(time.Second)
				}
				stopLoad()
				log.checkRetries(t)
				for _, d := range daemons {
					must.LessEq(t, 1, strings.Count(d.logs.String(), `msg="request quarantined"`), must.Sprint("innocent requests are quarantined"))
				}
			})
		}
	}
}

// Requests that are slow, and whose callers all leave before the answer, are suspected with one
// that crashes searchers beside them, but not quarantined in its place.
func TestImpatientCallersAreNotQuarantined(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t)
	f.minCrashDelay, f.maxCrashDelay = 50*time.Millisecond, 50*time.Millisecond
	log := &crashLog{}
	for range 6 {
		f.addSearcher("one", "a")
	}
	for _, s := range f.searchersOf("one") {
		f.crashing(s, "a", crashCloses, 500*time.Millisecond, 1, log)
	}
	daemons := f.startDaemons("a", "b", "a")
	get := func(d *daemon, path string, patience time.Duration) answer {
		ctx, leave := context.WithTimeout(t.Context(), patience)
		defer leave()
		return d.callWith(ctx, http.DefaultClient, call{path: path})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for _, d := range daemons {
		callers.Go(func() {
			for ctx.Err() == nil {
				get(d, "/one/"+slowPath, 100*time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for n := range 8 {
		get(daemons[n%len(daemons)], "/one/"+crashPath, 25*time.Millisecond)
		time.Sleep(time.Second)
	}
	cancel()
	callers.Wait()
	t.Logf("%d crashes", len(log.all()))
	must.Positive(t, len(log.all()))
	for _, d := range daemons {
		must.Eq(t, http.StatusServiceUnavailable, d.get("/one/"+crashPath).status)
		must.Eq(t, http.StatusOK, d.get("/one/"+slowPath).status)
	}
}
