package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of a searcher, as in a small deployment.
const (
	searcherSlots = 3
	searcherQueue = 18
)

// runEvent says that a searcher began to run a request, or turned it away.
type runEvent struct {
	Searcher string    `json:"searcher"`
	ID       string    `json:"id"`
	URI      string    `json:"uri"`
	At       time.Time `json:"at"`
	Status   int       `json:"status"`
	Ran      bool      `json:"ran"`
}

// searcherConfig describes one process of a searcher.
type searcherConfig struct {
	id, address string
	// work is the time of a request by the first part of its path.
	work map[string]time.Duration
	// intercept, unless nil, may answer a request before it is queued, and returns true if
	// it did. The event is completed by it.
	intercept func(w http.ResponseWriter, r *http.Request, e *runEvent) bool
	// observe is called with each request.
	observe func(runEvent)
}

// searcher is a stand-in of a searcher that follows the platform's protocol.
type searcher struct {
	searcherConfig
	server *http.Server
	slots  chan struct{}

	// mu guards waiting.
	mu      sync.Mutex
	waiting int
}

func startSearcher(ctx context.Context, cfg searcherConfig) (*searcher, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", cfg.address)
	if err != nil {
		return nil, err
	}
	s := &searcher{searcherConfig: cfg, slots: make(chan struct{}, searcherSlots)}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *searcher) close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := runEvent{Searcher: s.id, ID: r.Header.Get("X-Attempt-Id"), URI: r.RequestURI, At: time.Now()}
	defer func() { s.observe(e) }()
	w.Header().Set("X-Attempt-Id", e.ID)
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		e.Status = http.StatusOK
		return
	}
	if r.Header.Get("X-Target-Instance") != s.id {
		e.Status = http.StatusMisdirectedRequest
		w.WriteHeader(e.Status)
		return
	}
	if s.intercept != nil && s.intercept(w, r, &e) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.acquire(r.Context()) {
		e.Status = http.StatusServiceUnavailable
		s.setLoad(w)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(e.Status)
		return
	}
	defer func() { <-s.slots }()
	e.Ran = true
	if !sleep(r.Context(), s.workTime(r.URL.Path)) {
		return
	}
	e.Status = http.StatusOK
	s.setLoad(w)
	writeAnswer(w, s.id, &e)
}

// writeAnswer writes a signed answer of three records.
func writeAnswer(w http.ResponseWriter, searcherID string, e *runEvent) {
	w.Header().Set("X-Server-Stamp", searcherID+"."+e.ID)
	body := records(searcherID, e.URI)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// records returns the records of a searcher's answer.
func records(searcherID, uri string) []byte {
	var out []byte
	for i := range 3 {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %s %d", searcherID, uri, i)
		out = binary.BigEndian.AppendUint64(out, h.Sum64())
		out = binary.BigEndian.AppendUint64(out, uint64(i))
	}
	return out
}

// acquire waits for a slot. It returns false if the queue is full or the caller leaves.
func (s *searcher) acquire(ctx context.Context) bool {
	s.mu.Lock()
	if s.waiting >= searcherQueue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *searcher) setLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting, searcherSlots))
}

func (s *searcher) workTime(path string) time.Duration {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return s.work[first]
}

// sleep waits and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runSearcher runs a searcher as a process of its own, which prints its events.
func runSearcher(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("searcher", flag.ContinueOnError)
	id := flags.String("id", "", "id of the searcher")
	address := flags.String("address", "", "address to listen on")
	work := flags.String("work", "", "work times as ROUTE=TIME,...")
	if err := flags.Parse(args); err != nil {
		return err
	}
	times, err := parseWork(*work)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	s, err := startSearcher(ctx, searcherConfig{id: *id, address: *address, work: times, observe: func(e runEvent) {
		mu.Lock()
		defer mu.Unlock()
		_ = out.Encode(e)
	}})
	if err != nil {
		return err
	}
	defer s.close()
	<-ctx.Done()
	return nil
}

// parseWork parses the work times by route.
func parseWork(text string) (map[string]time.Duration, error) {
	out := make(map[string]time.Duration)
	for part := range strings.SplitSeq(text, ",") {
		route, value, ok := strings.Cut(part, "=")
		d, err := time.ParseDuration(value)
		if !ok || err != nil {
			return nil, errors.Join(fmt.Errorf("work time %q is not ROUTE=TIME", part), err)
		}
		out[route] = d
	}
	return out, nil
}

// formatWork is the reverse of parseWork.
func formatWork(work map[string]time.Duration) string {
	parts := make([]string, 0, len(work))
	for route, d := range work {
		parts = append(parts, route+"="+d.String())
	}
	return strings.Join(parts, ",")
}
