package rrsearch_test

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrsearch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// maxHeapBytes bounds the heap while searchers send without end. It is half of what a daemon
// may use for control.
const maxHeapBytes = 64 << 20

// Guards against a daemon that runs out of memory, which ends the requests of all callers:
// each reply that did not end was kept up to its own limit, whatever the others held.
func TestEndlessRepliesHoldLittleMemory(t *testing.T) {
	oldPercent := debug.SetGCPercent(50)
	t.Cleanup(func() { debug.SetGCPercent(oldPercent) })
	part := []byte(strings.Repeat(`"`, 4<<10))
	to := serve(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	c := rrsearch.New()
	t.Cleanup(c.Close)
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() { peak <- watchHeap(stop) }()
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if out := c.Search(t.Context(), to, request()).Outcome; out != rrupstream.OutcomeFailed {
				t.Errorf("outcome %q", out)
			}
			if _, err := c.Load(t.Context(), to); err == nil {
				t.Error("a load without end was decoded")
			}
		})
	}
	wg.Wait()
	close(stop)
	must.Less(t, maxHeapBytes, <-peak)
	// The memory has been released.
	sound := startSearcher(t, tenHits())
	must.Eq(t, rrupstream.OutcomeAnswered, c.Search(t.Context(), sound, request()).Outcome)
}

// watchHeap returns the peak heap size until stop is closed.
func watchHeap(stop <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-stop:
			return peak
		case <-time.After(time.Millisecond):
		}
	}
}
