package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const (
	// pauseTime is the Retry-After time of the searcher's refusal.
	pauseTime = 20 * time.Second
	// pauseSlack after a refusal, requests still count as sent before it arrived.
	pauseSlack = 500 * time.Millisecond
	// maxInPause is how many requests the rule lets a searcher get within a pause.
	maxInPause = 2
	// heartbeatInterval is how often a searcher writes its entry.
	heartbeatInterval = 1200 * time.Millisecond
	// silence is how long the searcher's heartbeats fail to reach the store.
	silence = 4 * heartbeatInterval
)

// pauseCase lets a searcher refuse one request with a pause, and then miss its heartbeats
// so that its entry expires and comes back within the pause.
type pauseCase struct {
	fleet *fleet

	// mu guards the fields below.
	mu sync.Mutex
	// refuseNext is set while the next request is refused; pausedAt is when one was.
	refuseNext bool
	pausedAt   time.Time
	// inPause counts the requests that reached the searcher within the pause.
	inPause int
}

func runPauseCase(ctx context.Context, f *fleet) error {
	c := &pauseCase{fleet: f}
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"painojono"}, singleRoute("batch", "painojono", 2, 6000, 1200)))
	work := map[string]time.Duration{"batch": 60 * time.Millisecond}
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	var needy *searcher
	for i := range 3 {
		cfg := searcherConfig{id: fmt.Sprintf("i-%d", i), work: work}
		if i == 0 {
			cfg.intercept = c.intercept
		}
		s, err := f.localSearcher(ctx, "painojono", "helsinki-a", cfg)
		if err != nil {
			return err
		}
		if i == 0 {
			needy = s
			continue
		}
		go f.beat(beats, s, "painojono")
	}
	d, err := f.startDaemon(ctx, "front-1")
	if err != nil {
		return err
	}
	load, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		f.newClient(d).sendSteadily(load, batchPerSecond, 6*time.Second, func(n int) string { return fmt.Sprintf("/batch/%x", n) }, func(answer) {})
	})
	c.play(ctx, needy)
	stopLoad()
	wg.Wait()
	return c.verdict()
}

// play lets the searcher refuse a request and, with the trouble, lose its entry.
func (c *pauseCase) play(ctx context.Context, needy *searcher) {
	beats, stopBeats := context.WithCancel(ctx)
	go c.fleet.beat(beats, needy, "painojono")
	sleep(ctx, 3*time.Second)
	c.mu.Lock()
	c.refuseNext = true
	c.mu.Unlock()
	sleep(ctx, 2*time.Second)
	if c.fleet.trouble {
		stopBeats()
		sleep(ctx, entryExpiry)
		c.fleet.dropEntry(needy.id)
		sleep(ctx, silence-entryExpiry)
		beats, stopBeats = context.WithCancel(ctx)
		go c.fleet.beat(beats, needy, "painojono")
	}
	sleep(ctx, pauseTime)
	stopBeats()
}

// intercept counts the requests that reach the searcher within its pause.
func (c *pauseCase) intercept(w http.ResponseWriter, _ *http.Request, e *runEvent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseNext {
		c.refuseNext, c.pausedAt = false, time.Now()
		e.Status = http.StatusServiceUnavailable
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(int(pauseTime.Seconds())))
		w.WriteHeader(e.Status)
		c.fleet.record("pause", "searcher", e.Searcher, "attempt", e.ID, "retry-after", pauseTime)
		return true
	}
	if since := time.Since(c.pausedAt); !c.pausedAt.IsZero() && since > pauseSlack && since < pauseTime {
		c.inPause++
		c.fleet.record("in pause", "searcher", e.Searcher, "attempt", e.ID, "after", since.Round(time.Millisecond))
	}
	return false
}

func (c *pauseCase) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pausedAt.IsZero() {
		return fmt.Errorf("the searcher got no request to refuse")
	}
	if c.inPause > maxInPause {
		return fmt.Errorf("%w: %d requests reached the searcher within its pause", errBroken, c.inPause)
	}
	return nil
}

// beat writes the searcher's entry at each heartbeat until the context ends.
func (f *fleet) beat(ctx context.Context, s *searcher, service string) {
	for sequence := 2; sleep(ctx, heartbeatInterval); sequence++ {
		f.putEntry(s.id, service, "helsinki-a", s.address, sequence)
	}
}
