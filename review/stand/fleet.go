package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// hostName is the host of all routes.
const hostName = "leno12.example"

// fleet is a small deployment: the platform's store in this process, and daemons and
// searchers as processes.
type fleet struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	start   time.Time
	ports   *rrfleet.Ports
	store   *standin.Store
	address string
	// temp holds the settings files and the daemons' logs.
	temp string

	// mu guards the fields below.
	mu        sync.Mutex
	file      *bufio.Writer
	processes []*process
	closers   []func()
	lastID    int
	// ranAt has the searchers that began to run each attempt.
	ranAt map[string][]string
}

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}

	// mu guards stopping, which is set before a signal that ends the process.
	mu       sync.Mutex
	stopping bool
}

// daemon is one daemon of the fleet.
type daemon struct {
	*process
	callers, readiness string
	settings, binary   string
	args               []string
}

func newFleet(ctx context.Context, dir string, trouble bool) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, start: time.Now(), ports: rrfleet.NewPorts(), store: standin.NewStore(), temp: temp, file: bufio.NewWriter(out), ranAt: make(map[string][]string)}
	f.closers = append(f.closers, func() { _ = f.ports.Close() }, func() { _ = os.RemoveAll(temp) })
	if f.address, err = f.ports.FreeAddress(ctx); err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", f.address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, func() { _ = srv.Close() })
	f.record("start", "trouble", trouble)
	return f, nil
}

// close ends all processes and flushes the record.
func (f *fleet) close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, c := range f.closers {
		c()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.file.Flush()
}

// record writes a line with pairs of names and values.
func (f *fleet) record(what string, pairs ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.file, "%8.3f %s", time.Since(f.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(f.file, " %v=%v", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(f.file)
}

// observe records what a searcher did.
func (f *fleet) observe(e runEvent) {
	if e.Ran {
		f.mu.Lock()
		f.ranAt[e.ID] = append(f.ranAt[e.ID], e.Searcher)
		f.mu.Unlock()
	}
	f.record("searcher", "id", e.Searcher, "attempt", e.ID, "uri", e.URI, "at", e.At.Sub(f.start).Round(time.Millisecond), "status", e.Status, "ran", e.Ran)
}

// ranAtSurvivor reports whether one of the searchers began to run the attempt.
func (f *fleet) ranAtSurvivor(id string, survivors []*process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(survivors, func(p *process) bool { return slices.Contains(f.ranAt[id], p.name) })
}

// newID returns a new id of a client attempt.
func (f *fleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("%016x", f.lastID)
}

func (f *fleet) freeAddress(ctx context.Context) (string, error) { return f.ports.FreeAddress(ctx) }

// spawn starts a process. Its lines of output go to onLine.
func (f *fleet) spawn(ctx context.Context, name, path string, args, env []string, onLine func(string)) (*process, error) {
	p := &process{name: name, cmd: exec.CommandContext(context.WithoutCancel(ctx), path, args...), exited: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.temp}, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	_ = w.Close()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_ = p.cmd.Wait()
		f.record("process ended", "name", name, "state", p.cmd.ProcessState, "asked", p.isStopping())
		close(p.exited)
	}()
	return p, nil
}

func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// hasEndedItself reports whether the process has ended without a signal of the case.
func (p *process) hasEndedItself() bool {
	select {
	case <-p.exited:
		return !p.isStopping()
	default:
		return false
	}
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// spawnSearcher starts a searcher as a process, and enters it in the store.
func (f *fleet) spawnSearcher(ctx context.Context, id, service, zone string, work map[string]time.Duration) (*process, error) {
	address, err := f.freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := f.spawn(ctx, id, self, []string{"searcher", "--id", id, "--address", address, "--work", formatWork(work)}, nil, func(line string) {
		var e runEvent
		if json.Unmarshal([]byte(line), &e) == nil {
			f.observe(e)
		}
	})
	if err != nil {
		return nil, err
	}
	for ctx.Err() == nil && !accepts(ctx, address) {
		sleep(ctx, 10*time.Millisecond)
	}
	f.putEntry(id, service, zone, address, 1)
	return p, nil
}

// localSearcher starts a searcher in this process, and enters it in the store.
func (f *fleet) localSearcher(ctx context.Context, service, zone string, cfg searcherConfig) (*searcher, error) {
	var err error
	if cfg.address, err = f.freeAddress(ctx); err != nil {
		return nil, err
	}
	cfg.observe = f.observe
	s, err := startSearcher(ctx, cfg)
	if err != nil {
		return nil, err
	}
	f.closers = append(f.closers, s.close)
	f.putEntry(cfg.id, service, zone, cfg.address, 1)
	return s, nil
}

// putEntry writes the searcher's entry. sequence rises with each heartbeat.
func (f *fleet) putEntry(id, service, zone, address string, sequence int) {
	f.record("entry written", "id", id, "sequence", sequence)
	f.store.Put(standin.ObjectSearchers, id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "concurrency-limit": searcherSlots, "state": standin.StateReady,
		"warmup-left-ms": 0, "sequence": sequence, "born": f.start.UnixMilli(),
	})
}

// dropEntry removes the searcher's entry, as the store does after three missed heartbeats.
func (f *fleet) dropEntry(id string) {
	f.record("entry removed", "id", id)
	f.store.Delete(standin.ObjectSearchers, id)
}

func accepts(ctx context.Context, address string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// settingsText has the fields of the platform's settings file, with the bounds of a small
// deployment.
const settingsText = `node = %q
role = "front"
machine-class = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = %q
region = %q
seeds = [%q]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
helsinki-a = "uusimaa"
tampere-a = "pirkanmaa"
oulu-a = "pohjois-pohjanmaa"
[listen]
front = %q
readiness-addr = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 5000
ack-ms = 6000
catch-up-s = 4
drain-ms = 4000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 4000
back-ms = 250
max-stretch-ms = 15000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 52
recovery-s = 12
[platform]
address = %q
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
min-ttl-ms = 1000
`

// startDaemon starts a daemon with the command of the deploy file, and waits until it is
// ready.
func (f *fleet) startDaemon(ctx context.Context, name string) (*daemon, error) {
	var at [4]string
	for i := range at {
		var err error
		if at[i], err = f.freeAddress(ctx); err != nil {
			return nil, err
		}
	}
	_, metrics, err := net.SplitHostPort(at[3])
	if err != nil {
		return nil, err
	}
	d := &daemon{
		callers: at[0], readiness: at[1], binary: filepath.Join("target", "rhubarbreeld"),
		settings: filepath.Join(f.temp, name+".toml"), args: []string{"platform", "--metrics", metrics},
	}
	text := fmt.Sprintf(settingsText, name, "helsinki-a", "uusimaa", at[2], at[0], at[1], at[2], f.address)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, f.run(ctx, name, d)
}

// run starts the daemon's process, and waits until it is ready.
func (f *fleet) run(ctx context.Context, name string, d *daemon) error {
	var err error
	if d.process, err = f.spawn(ctx, name, d.binary, d.args, []string{"RHUBARBREEL_BOOT=" + d.settings}, f.daemonLine(name)); err != nil {
		return err
	}
	for !isReady(ctx, d.readiness) {
		if d.hasEndedItself() || !sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("daemon %s did not become ready", name)
		}
	}
	f.record("daemon ready", "name", name)
	return nil
}

// maxDaemonLines bounds the lines of a daemon's output in the record.
const maxDaemonLines = 400

// daemonLine returns a function that records the first lines of a daemon's output, and all
// of a panic.
func (f *fleet) daemonLine(name string) func(string) {
	n, isPanic := 0, false
	return func(line string) {
		isPanic = isPanic || len(line) > 6 && line[:6] == "panic:"
		if n++; n <= maxDaemonLines || isPanic {
			f.record("log", "daemon", name, "line", strconv.Quote(line))
		}
	}
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/readiness", http.NoBody)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
