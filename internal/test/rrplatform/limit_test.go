package rrplatform_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// callAt calls the daemon at the rate for the duration, and returns the number of answers
// by status.
func (d *daemon) callAt(path string, perSecond int, during time.Duration) map[int]int {
	var mu sync.Mutex
	var calls sync.WaitGroup
	statuses := make(map[int]int)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(during); time.Now().Before(end); <-ticker.C {
		calls.Go(func() {
			a := d.get(path)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
		})
	}
	calls.Wait()
	return statuses
}

// mostWithin returns the largest number of runs since the instant in any span of the
// length.
func mostWithin(runs []standin.Run, since time.Time, span time.Duration) int {
	most, first := 0, 0
	for i := range runs {
		for runs[first].At.Before(since) && first < i || runs[i].At.Sub(runs[first].At) > span {
			first++
		}
		if runs[i].At.After(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// A searcher that names a request limit gets more than it, as each daemon sends at its
// usual rate. The service's other searcher can serve what is beyond the limit.
func TestNamedLimitExceeded(t *testing.T) {
	const (
		limit  = 10 // requests a second of all daemons
		settle = 4 * time.Second
		window = 4 * time.Second
		most   = 1.5*limit*4 + 5
	)
	f := newFleet(t)
	daemons := []*daemon{f.start("d1", "a"), f.start("d2", "b")}
	limited := f.searchersOf("one")[0]
	limited.SetRequestLimit("10.0")
	began := time.Now()
	var all sync.WaitGroup
	for _, d := range daemons {
		all.Go(func() {
			for status, n := range d.callAt("/one/", 40, settle+window+time.Second) {
				if status != http.StatusOK {
					t.Errorf("%d answers of %s have status %d", n, d.settings.Instance, status)
				}
			}
		})
	}
	all.Wait()
	must.LessEq(t, most, float64(mostWithin(limited.Runs(), began.Add(settle), window)))
}

// If the limits of all searchers leave no room, requests are refused at once, as not run
// and with the time after which to try again; requests for too many such shards run at no
// other shard either. Once the limits end, all are answered.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	limited := append(f.searchersOf("one"), append(f.searchersOf("s0"), f.searchersOf("s1")...)...)
	for _, s := range limited {
		s.SetRequestLimit("1")
	}
	d.callAt("/one/", 40, 500*time.Millisecond)
	d.callAt("/all/", 40, 500*time.Millisecond)
	ran, start := f.received("s2"), time.Now()
	served := make(map[string]int)
	refused, refusing := 0, time.Duration(0)
	for range 100 {
		for _, path := range []string{"/one/", "/all/"} {
			began := time.Now()
			a := d.get(path)
			must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, a.status)
			if a.status == http.StatusOK {
				served[path]++
				continue
			}
			refused++
			refusing += time.Since(began)
			must.NotEq(t, "", a.header.Get("Retry-After"))
		}
	}
	// What two searchers of a service allow, for the time and the second before.
	allowed := int(2*(time.Since(start).Seconds()+1)) + 1
	must.LessEq(t, allowed, served["/one/"])
	must.LessEq(t, 2*allowed, served["/all/"], must.Sprint("two of three shards suffice, and one of them is not limited"))
	must.LessEq(t, 2*served["/all/"], f.received("s2")-ran, must.Sprint("refused requests ran at no shard"))
	must.Less(t, 50*time.Millisecond, refusing/time.Duration(max(1, refused)), must.Sprint("mean time of a refusal"))
	for _, s := range limited {
		s.SetRequestLimit("")
	}
	f.eventually("all requests are answered", func() bool {
		statuses := d.callAt("/one/", 40, time.Second)
		return statuses[http.StatusOK] >= 39 && len(statuses) == 1
	})
}
