package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Bounds of the two deployments whose settings the cases use.
const (
	selkaDrain, selkaApply   = 4 * time.Second, 4 * time.Second
	paddleDrain, paddleApply = 3 * time.Second, 3 * time.Second
	// settle is longer than stability-window-ms, after which undisturbed machines are in touch.
	settle = 6 * time.Second
	// processing is how long a searcher runs a request.
	processing = 3 * time.Millisecond
	// exportTime is the same for a batch export.
	exportTime = 120 * time.Millisecond
)

// Versions of the configuration.
const (
	firstVersion  = 3
	secondVersion = 8
	thirdVersion  = 40
)

func routing() standin.Routing {
	return standin.Routing{Host: host, Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond, Attempts: 2}
}

// twoZones are machines of two availability zones.
func twoZones() []place { return []place{{"front-a-1", "a"}, {"front-b-1", "b"}} }

// startSmall starts two daemons with a searcher in each zone for each service.
func startSmall(ctx context.Context, f *fleet, work time.Duration, services ...string) (map[string]*standin.Searcher, error) {
	out := make(map[string]*standin.Searcher)
	for _, service := range services {
		for _, zone := range []string{"a", "b"} {
			id := "i-" + service + "-" + zone
			s, err := f.addSearcher(id, service, zone, work)
			if err != nil {
				return nil, err
			}
			out[id] = s
		}
	}
	var routes []map[string]any
	for _, service := range services {
		routes = append(routes, routing().Route(service, service, true))
	}
	f.putTable(firstVersion, services, routes...)
	if err := f.startDaemons(ctx, bounds{selkaDrain, selkaApply}, twoZones()...); err != nil {
		return nil, err
	}
	return out, pause(ctx, settle)
}

// load is a steady load of one path on all daemons.
type load struct {
	path     string
	interval time.Duration
	length   time.Duration
}

// attemptID returns the id of an attempt, which names the daemon.
func attemptID(d *daemon, label string, n int) string {
	return fmt.Sprintf("%s.%s.%d", d.name, label, n)
}

// run sends the load to the daemons, and returns the answers by attempt id once all are in.
func (l load) run(ctx context.Context, f *fleet, daemons []*daemon) map[string]*answer {
	var mu sync.Mutex
	out := make(map[string]*answer)
	var calls sync.WaitGroup
	for n := 0; time.Duration(n)*l.interval < l.length && ctx.Err() == nil; n++ {
		for _, d := range daemons {
			c := &call{id: attemptID(d, strings.Trim(l.path, "/"), n), method: http.MethodGet, path: l.path + "x", budget: 2 * time.Second}
			calls.Go(func() {
				a := f.send(ctx, d, c)
				mu.Lock()
				defer mu.Unlock()
				out[c.id] = a
			})
		}
		if pause(ctx, l.interval) != nil {
			break
		}
	}
	calls.Wait()
	return out
}

// playIncompleteEntry has another writer put an entry with missing fields over that of a
// searcher of another service. It names no searcher to use, until the searcher's next
// heartbeat writes the right one.
func playIncompleteEntry(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	searchers, err := startSmall(ctx, f, exportTime, "one", "other")
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load{path: "/one/", interval: 60 * time.Millisecond, length: 6 * time.Second}.run(ctx, f, f.daemons)
	}()
	if err := pause(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	victim := searchers["i-other-a"]
	if trouble {
		f.store.Put(standin.ObjectSearchers, victim.ID, map[string]any{
			"service": "one", "address": victim.Address(), "zone": "a", "concurrency-limit": 8, "state": standin.StateReady,
		})
		f.rec.note("another writer has put an entry without version, warmup-left-ms, sequence and born under %s", victim.ID)
	}
	if err := pause(ctx, heartbeat); err != nil {
		return nil, err
	}
	f.putEntry(victim, "a", standin.StateReady)
	<-done
	var broken []string
	for _, e := range f.arrivals() {
		if e.Ran && e.Service == "other" && strings.HasPrefix(e.URI, "/one/") {
			broken = append(broken, fmt.Sprintf("ROUTE: %s of service other runs %s %s", e.Searcher, e.ID, e.URI))
		}
	}
	return broken, nil
}

// playLowRank has the operator add a route of a very low rank.
func playLowRank(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	if _, err := startSmall(ctx, f, processing, "one"); err != nil {
		return nil, err
	}
	added := routing().Route("added", "one", true)
	added["priority"] = 2
	if trouble {
		added["priority"] = 100
	}
	acked := f.putTable(secondVersion, []string{"one"}, routing().Route("one", "one", true), added)
	if err := pause(ctx, selkaApply+time.Until(acked)+100*time.Millisecond); err != nil {
		return nil, err
	}
	answers := load{path: "/added/", interval: 50 * time.Millisecond, length: 2 * time.Second}.run(ctx, f, f.daemons)
	return refusedAsUnknown(answers, acked, selkaApply), nil
}

// refusedAsUnknown returns the answers with status 404 to requests that were sent later than
// the bound after the version with their route was acknowledged.
func refusedAsUnknown(answers map[string]*answer, acked time.Time, bound time.Duration) []string {
	var broken []string
	for id, a := range answers {
		if after := a.sentAt.Sub(acked); a.status == http.StatusNotFound && after > bound {
			broken = append(broken, fmt.Sprintf("CONFIG: %s gets 404 %s after the acknowledgement of its route", id, after.Round(time.Millisecond)))
		}
	}
	return broken
}

// nineMachines are the machines of the paddle deployment, with short names of its zones.
func nineMachines() []place {
	var out []place
	for _, p := range []place{{"sun-moon-a", "a"}, {"cheng-ching-a", "b"}, {"dongshan-a", "c"}} {
		for n := 1; n <= 3; n++ {
			out = append(out, place{fmt.Sprintf("front-%s-%d", p.name, n), p.zone})
		}
	}
	return out
}

// isLost reports whether the machine is one of those that are lost, one in each region. They
// are the ones that read the store for the others.
func isLost(name string) bool {
	return name == "front-sun-moon-a-1" || name == "front-cheng-ching-a-2" || name == "front-dongshan-a-1"
}

// The configurations in quick succession before the loss.
const (
	storm    = 12
	stormGap = 80 * time.Millisecond
)

// playReadersLost kills three of nine machines between two versions of the configuration.
func playReadersLost(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := f.addSearcher("i-one-"+zone, "one", zone, processing); err != nil {
			return nil, err
		}
	}
	services := []string{"one"}
	routes := []map[string]any{routing().Route("one", "one", true)}
	f.putTable(firstVersion, services, routes...)
	if err := f.startDaemons(ctx, bounds{paddleDrain, paddleApply}, nineMachines()...); err != nil {
		return nil, err
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	for n := range storm {
		routes = append(routes, routing().Route(fmt.Sprintf("storm%d", n), "one", true))
		f.putTable(secondVersion+n, services, routes...)
		if err := pause(ctx, stormGap); err != nil {
			return nil, err
		}
	}
	var survivors []*daemon
	for _, d := range f.daemons {
		if !isLost(d.name) {
			survivors = append(survivors, d)
			continue
		}
		if trouble {
			d.kill()
			f.rec.note("machine %s is lost", d.name)
		}
	}
	routes = append(routes, routing().Route("added", "one", true))
	acked := f.putTable(thirdVersion, services, routes...)
	if err := pause(ctx, paddleApply+time.Until(acked)); err != nil {
		return nil, err
	}
	answers := load{path: "/added/", interval: 10 * time.Millisecond, length: 1500 * time.Millisecond}.run(ctx, f, survivors)
	return refusedAsUnknown(answers, acked, paddleApply), nil
}

// Figures of the request that crashes the searchers that run it.
const (
	// crashTime is how long a searcher is away after a crash.
	crashTime = 3 * time.Second
	// deadlyRetries is how often the request comes again, each time after deadlyGap.
	deadlyRetries = 30
	deadlyGap     = time.Second
	// knownCrashes is the number of crashes after which the request must be known, once
	// stability-window-ms have passed.
	knownCrashes = 3
	// allowedRetries is how many retries may reach a searcher after that.
	allowedRetries = 3
	stability      = 5 * time.Second
)

// playDeadlyQuery sends a request that crashes each searcher that runs it, again and again
// with the same path and body. Its query differs, as it has the number of the try.
func playDeadlyQuery(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	crashes, err := startCrashable(ctx, f)
	if err != nil {
		return nil, err
	}
	for n := range deadlyRetries {
		d := f.daemons[n%len(f.daemons)]
		path := fmt.Sprintf("/one/report?try=%d", n)
		if trouble {
			path = fmt.Sprintf("/one/%s?try=%d", deadlyPath, n)
		}
		f.send(ctx, d, &call{id: attemptID(d, "report", n), method: http.MethodPost, path: path, body: "the same body", budget: 2 * time.Second})
		if err := pause(ctx, deadlyGap); err != nil {
			return nil, err
		}
	}
	known, ok := crashes.at(knownCrashes)
	if !ok {
		return nil, nil
	}
	reached := make(map[string]bool)
	for _, e := range f.arrivals() {
		if strings.HasPrefix(e.URI, "/one/"+deadlyPath) && e.At.Sub(known) > stability {
			reached[e.ID] = true
		}
	}
	if len(reached) <= allowedRetries {
		return nil, nil
	}
	return []string{fmt.Sprintf("BUDGET: %d retries of the request reach searchers later than %s after it has crashed the third", len(reached), stability)}, nil
}
