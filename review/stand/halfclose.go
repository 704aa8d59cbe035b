package main

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// halfCloseTime is how long the clients send.
const halfCloseTime = 15 * time.Second

// halfCloseCase has clients that open a connection for each request and, as it is their last
// one there, shut down their side of the connection before they read the answer.
type halfCloseCase struct {
	fleet *fleet

	// mu guards the fields below.
	mu sync.Mutex
	// good counts the successes that are the searcher's whole body, and wrong has the ids of
	// the others.
	good  int
	wrong []string
}

func runHalfCloseCase(ctx context.Context, f *fleet) error {
	c := &halfCloseCase{fleet: f}
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"painojono"}, singleRoute("batch", "painojono", 2, 6000, 1200)))
	for i := range 3 {
		cfg := searcherConfig{id: fmt.Sprintf("i-%d", i), work: map[string]time.Duration{"batch": 60 * time.Millisecond}}
		if _, err := f.localSearcher(ctx, "painojono", "helsinki-a", cfg); err != nil {
			return err
		}
	}
	d, err := f.startDaemon(ctx, "front-1")
	if err != nil {
		return err
	}
	load, stop := context.WithTimeout(ctx, halfCloseTime)
	defer stop()
	to := f.newClient(d)
	to.single, to.halfClose = true, f.trouble
	to.sendSteadily(load, batchPerSecond, 6*time.Second, func(n int) string { return fmt.Sprintf("/batch/%x", n) }, c.check)
	return c.verdict()
}

// check notes a success without the stamp and the whole body of a searcher.
func (c *halfCloseCase) check(a answer) {
	if a.err != nil || a.status/100 != 2 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		if a.header.Get("X-Server-Stamp") == id+"."+a.id && bytes.Equal(a.body, records(id, a.path)) {
			c.good++
			return
		}
	}
	c.fleet.record("wrong success", "attempt", a.id, "status", a.status, "stamp", a.header.Get("X-Server-Stamp"), "bytes", len(a.body))
	c.wrong = append(c.wrong, a.id)
}

func (c *halfCloseCase) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.wrong) > 0:
		return fmt.Errorf("%w: %d successes without a searcher's stamp, %d good ones", errBroken, len(c.wrong), c.good)
	case c.good == 0:
		return fmt.Errorf("no request was served")
	default:
		return nil
	}
}
