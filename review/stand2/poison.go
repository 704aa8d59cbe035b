package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Parameters of the case.
const (
	poisonSearchers = 15
	poisonDaemons   = 3
	poisonTime      = 60 * time.Second
	// poisonInterval is the time after which the crashing request comes again.
	poisonInterval = time.Second
	// poisonLeaves is when its caller leaves, and poisonCrash when the searcher that has begun
	// to run it ends.
	poisonLeaves = 25 * time.Millisecond
	poisonCrash  = 50 * time.Millisecond
	// expiry is how long the store keeps the entry of a searcher that is silent, and
	// searcherBack when it is back after a crash.
	expiry       = 3600 * time.Millisecond
	searcherBack = 4500 * time.Millisecond
	// stabilityWindow is stability-window-ms, and maxLateRetries what the rule allows.
	stabilityWindow = 5 * time.Second
	maxLateRetries  = 3
	poisonPath      = "/archive/crashing"
)

// poisonPlay is the state of the case.
type poisonPlay struct {
	*fleet
	ctx context.Context

	// mu guards the fields below.
	mu sync.Mutex
	// started counts the searchers that were started.
	started int
	// arrivals has the crashing request's arrivals, and crashes the searchers' ends.
	arrivals []arrival
	crashes  []time.Time
}

// playPoison checks that a request which crashes the searchers that run it reaches searchers
// in three retries at most, later than stability-window-ms after the third crash. With
// trouble, its caller leaves before the searcher has ended.
func playPoison(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(ctx, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	p := &poisonPlay{fleet: f, ctx: ctx}
	if err := p.startServices(); err != nil {
		return false, err
	}
	patience := 6 * time.Second
	if trouble {
		patience = poisonLeaves
	}
	stopLoad := f.startLoad(ctx)
	defer stopLoad()
	sleep(ctx, 2*time.Second)
	for n := 0; time.Since(rec.start) < poisonTime; n++ {
		p.sendCrashing(f.daemons[n%len(f.daemons)], n, patience)
		sleep(ctx, poisonInterval)
	}
	return p.isBroken(), ctx.Err()
}

// isBroken reports whether the crashing request reached searchers in more retries than allowed.
func (p *poisonPlay) isBroken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.printf("%d searchers crashed", len(p.crashes))
	if len(p.crashes) < 3 {
		return false
	}
	bound := p.crashes[2].Add(stabilityWindow)
	late := make(map[string]bool)
	for _, a := range p.arrivals {
		if a.at.After(bound) {
			late[a.id] = true
		}
	}
	p.rec.printf("%d retries reached searchers later than %s after the third crash, %d are allowed", len(late), stabilityWindow, maxLateRetries)
	return len(late) > maxLateRetries
}

// sendCrashing sends the crashing request on a connection of its own, and leaves after the
// time.
func (p *poisonPlay) sendCrashing(d *daemon, n int, patience time.Duration) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(p.ctx, "tcp4", d.callers)
	if err != nil {
		p.rec.printf("the crashing request's caller can't connect: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	id := fmt.Sprintf("crashing-%d", n)
	p.rec.printf("%s is sent to %s", id, d.name)
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: 6000\r\n\r\n", poisonPath, host, id)
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	b := make([]byte, 64)
	if got, err := conn.Read(b); err == nil {
		status, _, _ := strings.Cut(string(b[:got]), "\r\n")
		p.rec.printf("%s is answered: %s", id, status)
		return
	}
	p.rec.printf("the caller of %s leaves", id)
}

// startServices starts the searchers of one service, and the daemons.
func (p *poisonPlay) startServices() error {
	for range poisonSearchers {
		if err := p.startSearcher(); err != nil {
			return err
		}
	}
	routing := standin.Routing{Host: host, Timeout: 6 * time.Second, TargetLatency: 1200 * time.Millisecond, Attempts: 2}
	p.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"archive"}, routing.Route("archive", "archive", true)))
	for i := range poisonDaemons {
		if err := p.addDaemon(p.ctx, fmt.Sprintf("front-%d", i), []string{"a", "b"}[i%2]); err != nil {
			return err
		}
	}
	for _, d := range p.daemons {
		if err := d.awaitReady(p.ctx); err != nil {
			return err
		}
	}
	return nil
}

// startSearcher starts a searcher that ends when it has begun to run the crashing request. It
// is back with a new id.
func (p *poisonPlay) startSearcher() error {
	p.mu.Lock()
	p.started++
	n := p.started
	p.mu.Unlock()
	id := fmt.Sprintf("i-archive-%d", n)
	s, err := newSearcher(p.ctx, p.rec, id, "archive", searcherSlots, searcherQueue, archiveWork)
	if err != nil {
		return err
	}
	var once sync.Once
	crash := func() {
		s.close()
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		p.rec.printf("searcher %s has crashed", id)
		time.AfterFunc(expiry, func() { p.store.Delete(standin.ObjectSearchers, id) })
		time.AfterFunc(searcherBack, func() {
			if p.ctx.Err() == nil {
				_ = p.startSearcher()
			}
		})
	}
	s.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path != poisonPath {
			return false
		}
		p.mu.Lock()
		p.arrivals = append(p.arrivals, arrival{id: r.Header.Get("X-Attempt-Id"), at: time.Now()})
		p.mu.Unlock()
		p.rec.printf("searcher %s begins to run %s", id, r.Header.Get("X-Attempt-Id"))
		time.AfterFunc(poisonCrash, func() { once.Do(crash) })
		<-r.Context().Done()
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	}
	p.mu.Lock()
	p.closers = append(p.closers, s.close)
	p.mu.Unlock()
	p.store.Put(standin.ObjectSearchers, id, s.entry([]string{"a", "b"}[n%2], standin.StateReady))
	return nil
}
