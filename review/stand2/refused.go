package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Parameters of the case.
const (
	exportSearchers = 15
	exportDaemons   = 3
	exportClients   = 12
	// stopRounds is how often a daemon is stopped and started again.
	stopRounds = 6
	// freezeFrom and freezeTo are when the daemon freezes and wakes after its SIGTERM. The
	// length is below the 4 s of the site file.
	freezeFrom = 2100 * time.Millisecond
	freezeTo   = 5600 * time.Millisecond
)

// exportWork returns how long an export takes: 120 to 720 ms.
func exportWork(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return 120*time.Millisecond + time.Duration(h.Sum32()%600)*time.Millisecond
}

// playRefused checks that no request of a route that is not idempotent is answered 503
// though it has run, around planned stops of daemons that freeze meanwhile.
func playRefused(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(ctx, rec)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if err := f.startExports(ctx); err != nil {
		return false, err
	}
	broken := 0
	for round := range stopRounds {
		d := f.daemons[round%len(f.daemons)]
		answers := f.stopUnderLoad(ctx, d, trouble)
		broken += f.countFalsePromises(answers)
		if !slices.ContainsFunc(answers, func(a answer) bool { return a.status == http.StatusOK }) {
			return false, fmt.Errorf("round %d: no request was served", round+1)
		}
		rec.printf("round %d: %d answers, %d false promises so far", round+1, len(answers), broken)
		if err := f.start(d); err != nil {
			return false, err
		}
		if err := d.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	return broken > 0, nil
}

// countFalsePromises returns how many answers say that a request has not run which has.
func (f *fleet) countFalsePromises(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			continue
		}
		if runs := f.runs(a.id); runs > 0 {
			n++
			f.rec.printf("BROKEN: %s was answered %d and has run %d times", a.id, a.status, runs)
		}
	}
	return n
}

func (f *fleet) startExports(ctx context.Context) error {
	zones := []string{"a", "b"}
	for i := range exportSearchers {
		if err := f.addSearcher(ctx, fmt.Sprintf("i-export-%d", i), "export", zones[i%len(zones)], exportWork); err != nil {
			return err
		}
	}
	routing := standin.Routing{Host: host, Timeout: 6 * time.Second, TargetLatency: 1200 * time.Millisecond, Attempts: 2}
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(7, []string{"export"}, routing.Route("export", "export", false)))
	for i := range exportDaemons {
		if err := f.addDaemon(ctx, fmt.Sprintf("front-%d", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runs returns how often all searchers together have run the request.
func (f *fleet) runs(id string) int {
	n := 0
	for _, s := range f.searchers {
		n += s.hasRun(id)
	}
	return n
}

// stopUnderLoad sends requests to the daemon, stops it by SIGTERM and, with trouble, freezes it
// meanwhile. It returns the answers once the process has ended.
func (f *fleet) stopUnderLoad(ctx context.Context, d *daemon, trouble bool) []answer {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for i := range exportClients {
		c := &client{rec: f.rec, name: fmt.Sprintf("%s-%d-c%d", d.name, time.Now().UnixMilli(), i), address: d.callers, budget: 6 * time.Second}
		clients.Go(func() {
			defer c.close()
			for loadCtx.Err() == nil {
				a := c.send(loadCtx, http.MethodPost, "/export/labels", "label history")
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.err != nil {
					sleep(loadCtx, 50*time.Millisecond)
				}
			}
		})
	}
	sleep(ctx, time.Second)
	f.rec.printf("SIGTERM to %s", d.name)
	d.signal(syscall.SIGTERM)
	started := time.Now()
	sleep(ctx, freezeFrom)
	if trouble {
		f.rec.printf("%s freezes", d.name)
		d.signal(syscall.SIGSTOP)
	}
	// The load balancer has taken the daemon out: no new connections or requests.
	stopLoad()
	sleep(ctx, freezeTo-time.Since(started))
	if trouble {
		f.rec.printf("%s wakes", d.name)
		d.signal(syscall.SIGCONT)
	}
	sleep(ctx, grace-time.Since(started))
	select {
	case <-d.ended:
	default:
		f.rec.printf("SIGKILL to %s", d.name)
	}
	d.kill()
	clients.Wait()
	return answers
}
