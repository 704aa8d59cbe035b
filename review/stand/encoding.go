package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

const (
	// spoiledOneIn is the share of a faulty searcher's answers that it spoils.
	spoiledOneIn = 50
	encodingTime = 40 * time.Second
)

// encodingCase has a faulty searcher that spoils some of its answers: they have a
// Content-Encoding, and so are not the searcher's body.
type encodingCase struct {
	fleet   *fleet
	answers atomic.Int64

	// mu guards wrong, the ids of the successes that are not the searcher's whole body.
	mu    sync.Mutex
	wrong []string
}

func runEncodingCase(ctx context.Context, f *fleet) error {
	c := &encodingCase{fleet: f}
	route := singleRoute("label", "painojono", 0, 1500, 150)
	route["kind"] = "non_idempotent"
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"painojono"}, route))
	for i := range 3 {
		cfg := searcherConfig{id: fmt.Sprintf("i-%d", i), work: map[string]time.Duration{"label": 5 * time.Millisecond}}
		if i == 0 && f.trouble {
			cfg.intercept = c.spoil
		}
		if _, err := f.localSearcher(ctx, "painojono", "helsinki-a", cfg); err != nil {
			return err
		}
	}
	d, err := f.startDaemon(ctx, "front-1")
	if err != nil {
		return err
	}
	load, stop := context.WithTimeout(ctx, encodingTime)
	defer stop()
	to := f.newClient(d)
	to.method = http.MethodPost
	to.sendSteadily(load, shelfPerSecond, 1500*time.Millisecond, func(n int) string { return fmt.Sprintf("/label/%x", n) }, c.check)
	return c.verdict()
}

// spoil runs the request and answers, signed, with a part of the body in another encoding.
func (c *encodingCase) spoil(w http.ResponseWriter, _ *http.Request, e *runEvent) bool {
	if c.answers.Add(1)%spoiledOneIn != 0 {
		return false
	}
	body := records(e.Searcher, e.URI)
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	_, err := z.Write(body[:len(body)/2])
	if err = errors.Join(err, z.Close()); err != nil {
		return false
	}
	e.Ran, e.Status = true, http.StatusOK
	w.Header().Set("X-Server-Stamp", e.Searcher+"."+e.ID)
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(out.Len()))
	_, _ = w.Write(out.Bytes())
	c.fleet.record("spoiled", "searcher", e.Searcher, "attempt", e.ID)
	return true
}

// check notes a success whose body is not the whole body of the searcher that signed it.
func (c *encodingCase) check(a answer) {
	if a.err != nil || a.status/100 != 2 {
		return
	}
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		if a.header.Get("X-Server-Stamp") == id+"."+a.id && a.header.Get("Content-Encoding") == "" && bytes.Equal(a.body, records(id, a.path)) {
			return
		}
	}
	c.fleet.record("wrong success", "attempt", a.id, "status", a.status, "encoding", a.header.Get("Content-Encoding"), "bytes", len(a.body))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrong = append(c.wrong, a.id)
}

func (c *encodingCase) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.wrong) > 0 {
		return fmt.Errorf("%w: %d successes are not the searcher's whole body", errBroken, len(c.wrong))
	}
	return nil
}
