package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const (
	twiceTime = 95 * time.Second
	// shedShare is the share of requests that a failing searcher turns away.
	shedShare = 0.22
	// extraShare is the share of answers of a faulty searcher that it sends a second time.
	extraShare = 0.04
	// twiceServices have twiceCopies searchers each. All of them turn requests away, and
	// faultyCopies send second answers.
	twiceServices  = 3
	twiceCopies    = 2
	faultyCopies   = 1
	printPerSecond = 100
)

// twiceCase has searchers that turn part of the requests away and send some answers a second
// time, late. It counts the runs of each request of a non_idempotent route.
type twiceCase struct {
	fleet *fleet

	// mu guards the fields below.
	mu sync.Mutex
	// runs has the searchers that began to run each attempt, and refused the attempts that
	// were answered 503, which promises that they have not run.
	runs    map[string][]string
	refused []string
}

func runTwiceCase(ctx context.Context, f *fleet) error {
	c := &twiceCase{fleet: f, runs: make(map[string][]string)}
	var services []string
	var routes []map[string]any
	for n := range twiceServices {
		service := fmt.Sprintf("painojono~%d", n)
		route := singleRoute(fmt.Sprintf("print%d", n), service, 1, 2000, 200)
		route["kind"] = "non_idempotent"
		services, routes = append(services, service), append(routes, route)
		if err := c.startCopies(ctx, service); err != nil {
			return err
		}
	}
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, services, routes...))
	d, err := f.startDaemon(ctx, "front-1")
	if err != nil {
		return err
	}
	load, stop := context.WithTimeout(ctx, twiceTime)
	defer stop()
	var wg sync.WaitGroup
	for n := range twiceServices {
		to := f.newClient(d)
		to.method = http.MethodPost
		wg.Go(func() {
			to.sendSteadily(load, printPerSecond, 2*time.Second, func(i int) string { return fmt.Sprintf("/print%d/%x", n, i) }, c.recordAnswer)
		})
	}
	wg.Wait()
	return c.verdict()
}

// startCopies starts the searchers of a service.
func (c *twiceCase) startCopies(ctx context.Context, service string) error {
	for i := range twiceCopies {
		s := &rawSearcher{id: fmt.Sprintf("%s-%d", service, i), work: 15 * time.Millisecond, slots: make(chan struct{}, searcherSlots), observe: c.observe}
		if c.fleet.trouble {
			s.shedShare = shedShare
			if i < faultyCopies {
				s.extraShare = extraShare
			}
		}
		if err := c.fleet.startRaw(ctx, s, service); err != nil {
			return err
		}
	}
	return nil
}

func (c *twiceCase) observe(e runEvent) {
	c.fleet.observe(e)
	if !e.Ran {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[e.ID] = append(c.runs[e.ID], e.Searcher)
}

func (c *twiceCase) recordAnswer(a answer) {
	if a.err != nil || a.status != http.StatusServiceUnavailable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, a.id)
}

func (c *twiceCase) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refused {
		if len(c.runs[id]) > 0 {
			c.fleet.record("refused and ran", "attempt", id, "searchers", c.runs[id])
		}
	}
	n := 0
	for id, by := range c.runs {
		if len(by) > 1 {
			n++
			c.fleet.record("ran twice", "attempt", id, "searchers", by)
		}
	}
	if n > 0 {
		return fmt.Errorf("%w: %d of %d non_idempotent requests ran more than once", errBroken, n, len(c.runs))
	}
	return nil
}

// rawSearcher is a searcher that may send an answer a second time, at the point where the
// next answer on the connection is expected.
type rawSearcher struct {
	id                    string
	work                  time.Duration
	shedShare, extraShare float64
	slots                 chan struct{}
	observe               func(runEvent)
}

// startRaw serves the searcher until the fleet closes, and enters it in the store.
func (f *fleet) startRaw(ctx context.Context, s *rawSearcher, service string) error {
	address, err := f.freeAddress(ctx)
	if err != nil {
		return err
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	f.putEntry(s.id, service, "helsinki-a", address, 1)
	return nil
}

// serve answers the requests on a connection, one at a time.
func (s *rawSearcher) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	var extra []byte
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := conn.Write(extra); err != nil {
			return
		}
		extra = nil
		out := s.answer(req)
		if _, err := conn.Write(out); err != nil {
			return
		}
		if rand.Float64() < s.extraShare {
			extra = out
		}
	}
}

// answer runs the request or turns it away, and returns the bytes of the answer.
func (s *rawSearcher) answer(req *http.Request) []byte {
	e := runEvent{Searcher: s.id, ID: req.Header.Get("X-Attempt-Id"), URI: req.RequestURI, At: time.Now(), Status: http.StatusServiceUnavailable}
	if req.Header.Get("X-Target-Instance") != s.id {
		e.Status = http.StatusMisdirectedRequest
		s.observe(e)
		return s.encode(&e, nil)
	}
	if rand.Float64() < s.shedShare {
		s.observe(e)
		return s.encode(&e, nil)
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	e.Ran, e.Status = true, http.StatusOK
	s.observe(e)
	time.Sleep(s.work)
	return s.encode(&e, records(s.id, e.URI))
}

func (s *rawSearcher) encode(e *runEvent, body []byte) []byte {
	var b bytes.Buffer
	line := func(name, value string) { b.WriteString(name + ": " + value + "\r\n") }
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", e.Status, http.StatusText(e.Status))
	line("X-Attempt-Id", e.ID)
	line("X-Instance-Id", s.id)
	line("X-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), searcherSlots))
	line("Keep-Alive", "timeout=10")
	line("Content-Length", strconv.Itoa(len(body)))
	switch e.Status {
	case http.StatusServiceUnavailable:
		line("X-Not-Executed", "1")
	case http.StatusOK:
		line("X-Server-Stamp", s.id+"."+e.ID)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
