package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Figures of the reloads at the moment of a scale-in.
const (
	shards = 25
	// leavingShards is how many shards have a searcher that leaves in one round.
	leavingShards = 11
	reloadRounds  = 18
	// firstPause is the time between the first searcher that leaves and the others.
	firstPause = 60 * time.Millisecond
	// watchPause is when the change is expected at the daemons, after the first one.
	watchPause = 150 * time.Millisecond
	// reloaded is how many of the nine machines get SIGHUP in one round.
	reloaded = 5
	// reloadDelay and sweep place their reloads in the milliseconds in which the
	// daemons learn of the change.
	reloadDelay = 900 * time.Microsecond
	sweep       = 400 * time.Microsecond
	// askedBefore and askedAfter are the times of the requests, before and after drain-ms.
	askedBefore = 200 * time.Millisecond
	askedAfter  = 900 * time.Millisecond
	// askPause is the time between them.
	askPause = 60 * time.Millisecond
	// askedInTurn is how many requests each machine gets one after the other before the change.
	askedInTurn = 6
)

// reloadCase is the state of the case.
type reloadCase struct {
	fleet *fleet
	// searchers has the searchers of each shard, by zone.
	searchers [shards][]*standin.Searcher
	services  []string
	// leftAt has when the store acknowledged that the searcher leaves, by its id.
	leftAt map[string]time.Time
	next   int
}

// playReloadAtDrain changes the settings of five machines, with SIGHUP, in the moment in
// which searchers of some shards begin to leave.
func playReloadAtDrain(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	c := &reloadCase{fleet: f, leftAt: make(map[string]time.Time)}
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	for round := range reloadRounds {
		if ctx.Err() != nil {
			break
		}
		if err := c.play(ctx, round, trouble); err != nil {
			return nil, err
		}
	}
	return c.late(), nil
}

func (c *reloadCase) start(ctx context.Context) error {
	for shard := range shards {
		c.services = append(c.services, fmt.Sprintf("s%d", shard))
		for _, zone := range []string{"a", "b", "c"} {
			s, err := c.add(shard, zone)
			if err != nil {
				return err
			}
			c.searchers[shard] = append(c.searchers[shard], s)
		}
	}
	c.fleet.putTable(firstVersion, c.services, routing().Gather("all", c.services, 10, 0.8))
	if err := c.fleet.startDaemons(ctx, bounds{paddleDrain, paddleApply}, nineMachines()...); err != nil {
		return err
	}
	return pause(ctx, settle)
}

func (c *reloadCase) add(shard int, zone string) (*standin.Searcher, error) {
	c.next++
	return c.fleet.addSearcher(fmt.Sprintf("i-s%d-%d", shard, c.next), c.services[shard], zone, processing)
}

// play replaces a searcher in some shards.
func (c *reloadCase) play(ctx context.Context, round int, trouble bool) error {
	zone := round % len(c.searchers[0])
	var left []*standin.Searcher
	for n := range leavingShards {
		shard := (round*leavingShards + n) % shards
		s, err := c.add(shard, []string{"a", "b", "c"}[zone])
		if err != nil {
			return err
		}
		left = append(left, c.searchers[shard][zone])
		c.searchers[shard][zone] = s
	}
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	c.askAll(ctx, askedInTurn)
	zoneName := []string{"a", "b", "c"}[zone]
	first := time.Now()
	c.leave(left[0], zoneName)
	if err := pause(ctx, firstPause); err != nil {
		return err
	}
	for _, s := range left[1:] {
		c.leave(s, zoneName)
	}
	if trouble {
		c.reload(first.Add(watchPause), round)
	}
	if err := pause(ctx, paddleDrain-askedBefore); err != nil {
		return err
	}
	for end := time.Now().Add(askedBefore + askedAfter); time.Now().Before(end); {
		c.askAll(ctx, 1)
		if err := pause(ctx, askPause); err != nil {
			return err
		}
	}
	for _, s := range left {
		c.fleet.store.Delete(standin.ObjectSearchers, s.ID)
		s.Close()
	}
	c.fleet.rec.note("round %d ends, the searchers that left are gone", round)
	return nil
}

func (c *reloadCase) leave(s *standin.Searcher, zone string) {
	c.fleet.putEntry(s, zone, standin.StateDraining)
	c.leftAt[s.ID] = time.Now()
}

// reload changes the settings of five machines and sends them SIGHUP, each a little
// later than the one before.
func (c *reloadCase) reload(at time.Time, round int) {
	for n := range reloaded {
		d := c.fleet.daemons[(round*reloaded+n)%len(c.fleet.daemons)]
		seeds := d.seeds[:1+d.reloads%2]
		d.reloads++
		if c.fleet.writeSettings(d, bounds{paddleDrain, paddleApply}, seeds, c.fleet.address) != nil {
			continue
		}
		offset := reloadDelay + time.Duration(n)*sweep
		time.Sleep(time.Until(at.Add(offset)))
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
		c.fleet.rec.note("SIGHUP to %s, whose settings file has changed", d.name)
	}
}

// askAll sends n requests over all shards to each machine.
func (c *reloadCase) askAll(ctx context.Context, n int) {
	var calls sync.WaitGroup
	for _, d := range c.fleet.daemons {
		calls.Go(func() {
			for range n {
				c.fleet.send(ctx, d, &call{id: c.fleet.nextID(d), method: http.MethodGet, path: "/all/x", budget: 2 * time.Second})
			}
		})
	}
	calls.Wait()
}

// late returns the requests that reached searchers later than drain-ms after the store had
// acknowledged that they leave.
func (c *reloadCase) late() []string {
	var out []string
	for _, e := range c.fleet.arrivals() {
		left, ok := c.leftAt[e.Searcher]
		if after := e.At.Sub(left); ok && after > paddleDrain {
			out = append(out, fmt.Sprintf("DRAIN: %s gets %s %s after the store acknowledged that it is draining, from %s",
				e.Searcher, e.ID, after.Round(time.Millisecond), strings.SplitN(e.ID, ".", 2)[0]))
		}
	}
	return out
}
