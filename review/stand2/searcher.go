package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// searcher is a stand-in for a searcher that follows PROTOCOL.md: it runs as many requests
// as it has slots, queues some, refuses the others, and stops work when a connection closes.
type searcher struct {
	id, service string
	slots       chan struct{}
	queue       chan struct{}
	// work returns how long the request with the id is processed.
	work func(id string) time.Duration
	// intercept, if set, is called for each request that would be run, and reports whether it
	// has dealt with it.
	intercept func(http.ResponseWriter, *http.Request) bool
	rec       *record
	server    *http.Server
	address   string

	// mu guards the fields below.
	mu sync.Mutex
	// runs is the number of runs by request id.
	runs map[string]int
	// received has the requests that were meant for this searcher.
	received []arrival
}

// arrival is a request that has reached a searcher.
type arrival struct {
	id string
	at time.Time
}

// arrivalsAfter returns the requests that arrived after t.
func (s *searcher) arrivalsAfter(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.received {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// newSearcher starts a searcher on a free loopback port.
func newSearcher(ctx context.Context, rec *record, id, service string, slots, queue int, work func(string) time.Duration) (*searcher, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		id: id, service: service, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue), work: work, rec: rec,
		address: l.Addr().String(), runs: make(map[string]int),
	}
	s.server = &http.Server{Handler: s, IdleTimeout: 15 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := s.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			rec.printf("searcher %s stopped: %v", id, err)
		}
	}()
	return s, nil
}

func (s *searcher) close() { _ = s.server.Close() }

// entry is the searcher's entry in the store.
func (s *searcher) entry(zone, state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "v1", "concurrency-limit": cap(s.slots),
		"state": state, "warmup-left-ms": 0, "sequence": 1, "born": 1_700_000_000_000,
	}
}

// hasRun returns how often the request was run.
func (s *searcher) hasRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=15")
	if to := r.Header.Get("X-Target-Instance"); to != "" && to != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.received = append(s.received, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		s.refuse(w)
		return
	}
	budget := s.budget(r)
	timer := time.NewTimer(budget)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-timer.C:
		s.refuse(w)
		return
	case <-r.Context().Done():
		return
	}
	if s.intercept != nil && s.intercept(w, r) {
		return
	}
	s.run(w, r, id, len(body), timer)
}

func (s *searcher) budget(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.Header.Get("X-Time-Budget-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(n) * time.Millisecond
}

// refuse answers that the request was not run and will not be.
func (s *searcher) refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", s.load())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *searcher) load() string {
	running, all := len(s.slots), len(s.queue)
	return fmt.Sprintf("%d,%d,%d", running, max(0, all-running), cap(s.slots))
}

// run processes a request that has a slot.
func (s *searcher) run(w http.ResponseWriter, r *http.Request, id string, bodyBytes int, deadline *time.Timer) {
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.printf("searcher %s begins to run %s (%s, body of %d B)", s.id, id, r.RequestURI, bodyBytes)
	work := time.NewTimer(s.work(id))
	defer work.Stop()
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	w.Header().Set("X-Server-Load", s.load())
	select {
	case <-work.C:
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.rec.printf("searcher %s stops work on %s: its connection was closed", s.id, id)
		return
	}
	answer := "answer of " + s.id + " to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
	s.rec.printf("searcher %s has answered %s", s.id, id)
}
