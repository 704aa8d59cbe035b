// Package rrsoak runs built daemons and stand-ins of the users' platform as
// separate processes, injects a plan of faults from outside, and checks the
// documented promises from what callers and searchers observe.
package rrsoak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/app/rrnode"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
)

// Config configures one run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Size     Size
	// OnlyEvents and LastEvent restrict the plan, as in rrplan.Select.
	OnlyEvents []int
	LastEvent  int
	// DaemonPath and StandinsPath are the executables of the daemon and of the
	// soak, which also runs the stand-ins.
	DaemonPath, StandinsPath string
	// Dir is the directory for settings, and for the logs of runs with violations.
	Dir string
	// KeepLogs keeps the logs of runs without violations too.
	KeepLogs bool
	Out      io.Writer
}

// Requirements before and after the faults.
const (
	// minServedShare is the least share of the requests expected to succeed that
	// must succeed.
	minServedShare = 0.99
	// measureTime is how long that share is measured, at both ends of a run.
	measureTime = 4 * time.Second
	// maxGrowthFactor and maxGrowthSlack bound the goroutines and file descriptors
	// relative to those before the faults: connections to other searchers may be
	// open.
	maxGrowthFactor = 1.5
	maxGrowthSlack  = 50
	// maxShownLines bounds the log lines printed for a request.
	maxShownLines = 30
)

// Run executes a run and returns the violations found.
func Run(ctx context.Context, cfg Config) ([]rrhistory.Violation, error) {
	counts, err := processCountsOf(cfg.Size)
	if err != nil {
		return nil, err
	}
	if cfg.Duration < rrplan.InitialQuietTime+rrplan.FinalQuietTime {
		return nil, eris.Errorf("for: %s is shorter than the quiet time at both ends, %s", cfg.Duration, rrplan.InitialQuietTime+rrplan.FinalQuietTime)
	}
	plan := rrplan.New(cfg.Seed, cfg.Duration, counts.targets())
	for _, n := range cfg.OnlyEvents {
		if n < 1 || n > len(plan) {
			return nil, eris.Errorf("only: the plan has events 1 to %d, not %d", len(plan), n)
		}
	}
	plan = rrplan.Select(plan, cfg.OnlyEvents, cfg.LastEvent)
	for _, e := range plan {
		_, _ = fmt.Fprintln(cfg.Out, e)
	}
	f, err := newFleet(ctx, &cfg, counts)
	defer f.close()
	if err != nil {
		return nil, err
	}
	// Violations are reported also if the run was aborted by an error.
	err = errors.Join(f.play(ctx, cfg, plan, counts.callersPerDaemon), f.errs.join())
	violations := f.history.Check()
	f.report(cfg, violations)
	return violations, err
}

// play runs the callers, injects the events of the plan, and checks service and
// resources before and after them. It ends early if an event fails; f.errs has the errors.
func (f *fleet) play(ctx context.Context, cfg Config, plan []rrplan.Event, callersPerDaemon int) error {
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for _, d := range f.daemons {
		callers.Go(func() { f.sendInvalid(callersCtx, d) })
		for i := range callersPerDaemon {
			callers.Go(func() { newCaller(f, d, i).run(callersCtx) })
		}
	}
	start := time.Now()
	rrunit.Sleep(f.ctx, rrplan.InitialQuietTime-time.Second)
	f.checkServed(start.Add(time.Second), time.Now())
	before, err := f.resources()
	if err != nil {
		return err
	}
	var events sync.WaitGroup
	for _, e := range plan {
		rrunit.Sleep(f.ctx, time.Until(start.Add(e.Start)))
		events.Go(func() { f.errs.add(f.inject(e)) })
	}
	events.Wait()
	f.restarts.Wait()
	if f.errs.join() != nil {
		return nil
	}
	rrunit.Sleep(f.ctx, max(time.Until(start.Add(cfg.Duration)), recoveryTime+measureTime+routeTimeout+timeoutMargin))
	end := time.Now().Add(-routeTimeout - timeoutMargin)
	f.checkServed(end.Add(-measureTime), end)
	if err := f.checkResources(before); err != nil {
		return err
	}
	if err := f.checkPresence(); err != nil {
		return err
	}
	stop()
	callers.Wait()
	f.restarts.Wait()
	return ctx.Err()
}

// recoveryTime bounds how long after the faults requests must be served again.
const recoveryTime = 8 * time.Second

func (f *fleet) checkServed(from, to time.Time) {
	served, expected := f.history.CountServed(from, to)
	if float64(served) < minServedShare*float64(expected) || expected == 0 {
		f.history.AddViolation(rrhistory.PromiseRecovery, nil, "%d of %d requests served: %v", served, expected, f.history.CountByStatus(from, to))
	}
}

// resources is the resource usage of a daemon. It is printed with its field names.
type resources struct {
	goroutines, descriptors int
	links                   map[string]int // open connections between daemons, by who opened them
	memory                  int            // MB
}

func (f *fleet) resources() (map[string]resources, error) {
	out := make(map[string]resources)
	for name, n := range f.daemons {
		r, err := n.resources()
		if err != nil {
			return nil, eris.Wrapf(err, "reading the resource usage of %s", name)
		}
		out[name] = r
	}
	return out, nil
}

func (n *node) resources() (resources, error) {
	res, err := http.Get("http://" + n.metricsAddress + rrnode.MetricsPath) //nolint:noctx // ends with the process
	if err != nil {
		return resources{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var vars struct {
		Rhubarbreel struct {
			Goroutines int            `json:"goroutines"`
			PeerLinks  map[string]int `json:"peerlinks"`
		} `json:"rhubarbreel"`
	}
	if err := json.NewDecoder(res.Body).Decode(&vars); err != nil {
		return resources{}, err
	}
	proc := filepath.Join("/proc", strconv.Itoa(n.process.cmd.Process.Pid))
	fds, err := os.ReadDir(filepath.Join(proc, "fd"))
	if err != nil {
		return resources{}, err
	}
	statm, err := os.ReadFile(filepath.Join(proc, "statm"))
	if err != nil {
		return resources{}, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	return resources{vars.Rhubarbreel.Goroutines, len(fds), vars.Rhubarbreel.PeerLinks, pages * os.Getpagesize() >> 20}, err
}

func (f *fleet) checkResources(before map[string]resources) error {
	after, err := f.resources()
	if err != nil {
		return err
	}
	hasGrown := func(a, b int) bool { return float64(b) > maxGrowthFactor*float64(a)+maxGrowthSlack }
	most := slices.MaxFunc(slices.Collect(maps.Keys(after)), func(x, y string) int {
		return cmp.Compare(after[x].goroutines-before[x].goroutines, after[y].goroutines-before[y].goroutines)
	})
	_, _ = fmt.Fprintf(f.cfg.Out, "most grown=%s before=%+v after=%+v\n", most, before[most], after[most])
	for name, b := range after {
		a := before[name]
		if hasGrown(a.goroutines, b.goroutines) || hasGrown(a.descriptors, b.descriptors) || b.memory > memoryMB {
			f.history.AddViolation(rrhistory.PromiseResources, nil, "%s: before %+v, after %+v", name, a, b)
		}
	}
	return nil
}

// report prints the violations with the log lines of the requests involved.
func (f *fleet) report(cfg Config, violations []rrhistory.Violation) {
	served, expected := f.history.CountServed(time.Time{}, time.Now())
	_, _ = fmt.Fprintf(cfg.Out, "seed=%d for=%s fleet=%s owed=%d served=%d broken=%d\n", cfg.Seed, cfg.Duration, cfg.Size, expected, served, len(violations))
	for _, v := range violations {
		_, _ = fmt.Fprintf(cfg.Out, "seed=%d %s\n", cfg.Seed, v)
		for _, id := range v.IDs {
			f.printLogLines(cfg.Out, id)
		}
	}
	if len(violations) == 0 && !cfg.KeepLogs {
		return
	}
	for _, p := range f.processes {
		var log bytes.Buffer
		p.writeLines(&log)
		if err := os.WriteFile(filepath.Join(cfg.Dir, p.name+".log"), log.Bytes(), 0o600); err != nil {
			_, _ = fmt.Fprintln(cfg.Out, "log not kept:", err)
		}
	}
	_, _ = fmt.Fprintf(cfg.Out, "seed=%d logs=%s\n", cfg.Seed, cfg.Dir)
}

func (f *fleet) printLogLines(w io.Writer, id string) {
	var lines []string
	for _, p := range f.processes {
		for _, line := range p.grep(id) {
			lines = append(lines, p.name+": "+line)
		}
	}
	for _, line := range slices.Compact(lines[:min(len(lines), maxShownLines)]) {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
}
