package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// host is the host of all routes.
const host = "leno12.example"

// Times of a fleet.
const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 8 * time.Second
	// heartbeat is how often a searcher writes its entry.
	heartbeat = 1200 * time.Millisecond
	// slots is the number of requests that a searcher runs at the same time.
	slots = 3
)

// fleet is a small deployment on loopback: the store and the searchers are stand-ins, and the
// daemons are processes.
type fleet struct {
	rec    *recorder
	client *http.Client
	store  *standin.Store
	// address is the store's.
	address string
	dir     string
	binary  string
	ports   *rrfleet.Ports
	daemons []*daemon
	// oneCore is set if daemons see one core, as the machines of a deployment report it.
	oneCore bool

	// mu guards the fields below.
	mu sync.Mutex
	// events are the requests that reached searchers.
	events []standin.RequestEvent
	sent   int
	// closers end what the fleet has started, the last first.
	closers []func()
}

// daemon is one daemon process.
type daemon struct {
	name, zone                         string
	callers, readiness, peers, metrics string
	settingsPath                       string
	seeds                              []string
	reloads                            int
	cmd                                *exec.Cmd
	log                                *os.File
}

func newFleet(rec *recorder, binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, eris.Wrap(err, "creating a temporary folder")
	}
	f := &fleet{
		rec: rec, dir: dir, binary: binary, ports: rrfleet.NewPorts(), store: standin.NewStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	f.addCloser(func() { _ = os.RemoveAll(dir) })
	f.addCloser(func() { _ = f.ports.Close() })
	return f, f.serveStore()
}

// serveStore serves the store at a free address.
func (f *fleet) serveStore() error {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listening for the store")
	}
	srv := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() { _ = srv.Serve(l) }()
	f.address = l.Addr().String()
	f.addCloser(func() { _ = srv.Close() })
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	f.mu.Lock()
	closers := f.closers
	f.mu.Unlock()
	for _, end := range slices.Backward(closers) {
		end()
	}
}

// addCloser adds what close does.
func (f *fleet) addCloser(end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, end)
}

// addSearcher starts a searcher, whose runs are recorded, and writes its entry.
func (f *fleet) addSearcher(id, service, zone string, processing time.Duration) (*standin.Searcher, error) {
	s, err := standin.NewSearcher(id, service, processing, slots, standin.WithObserver(f.observe))
	if err != nil {
		return nil, eris.Wrapf(err, "starting searcher %s", id)
	}
	f.addCloser(s.Close)
	f.putEntry(s, zone, standin.StateReady)
	return s, nil
}

// putEntry writes the searcher's own entry, as its heartbeat does.
func (f *fleet) putEntry(s *standin.Searcher, zone, state string) {
	f.store.Put(standin.ObjectSearchers, s.ID, s.EntrySpec(zone, state))
	f.rec.note("store has acknowledged that searcher %s of %s is %s", s.ID, s.Service, state)
}

// putTable writes a version of the configuration and returns when the store acknowledged it.
func (f *fleet) putTable(version int, services []string, routes ...map[string]any) time.Time {
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(version, services, routes...))
	now := time.Now()
	f.rec.noteAt(now, "store has acknowledged version %d of the configuration", version)
	return now
}

func (f *fleet) observe(e standin.RequestEvent) {
	switch {
	case e.Completed:
		return
	case e.Ran:
		f.rec.noteAt(e.At, "searcher %s of %s gets and runs %s %s", e.Searcher, e.Service, e.ID, e.URI)
	default:
		f.rec.noteAt(e.At, "searcher %s of %s gets and refuses %s %s, pause %d s", e.Searcher, e.Service, e.ID, e.URI, e.PauseSeconds)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// arrivals returns the requests that reached searchers.
func (f *fleet) arrivals() []standin.RequestEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.events)
}

// nextID returns a new attempt id, which names the daemon.
func (f *fleet) nextID(d *daemon) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return attemptID(d, "all", f.sent)
}

// bounds are the bounds of the settings.
type bounds struct{ drain, apply time.Duration }

// startDaemons starts daemons and waits until all are ready.
func (f *fleet) startDaemons(ctx context.Context, b bounds, places ...place) error {
	var seeds []string
	for _, p := range places {
		d, err := f.newDaemon(ctx, p)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.peers)
		}
	}
	for _, d := range f.daemons {
		d.seeds = seeds
		if err := f.writeSettings(d, b, seeds, f.address); err != nil {
			return err
		}
		if err := f.start(ctx, d); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := f.awaitReady(ctx, d); err != nil {
			return err
		}
	}
	f.rec.note("all %d daemons are ready", len(f.daemons))
	return nil
}

// place is a machine's name and availability zone.
type place struct{ name, zone string }

func (f *fleet) newDaemon(ctx context.Context, p place) (*daemon, error) {
	d := &daemon{name: p.name, zone: p.zone, settingsPath: filepath.Join(f.dir, p.name+".toml")}
	for _, to := range []*string{&d.callers, &d.readiness, &d.peers, &d.metrics} {
		address, err := f.ports.FreeAddress(ctx)
		if err != nil {
			return nil, eris.Wrap(err, "finding a free port")
		}
		*to = address
	}
	return d, nil
}

// writeSettings writes the daemon's settings file as the platform does.
func (f *fleet) writeSettings(d *daemon, b bounds, seeds []string, store string) error {
	s := standin.Settings{
		Instance: d.name, Zone: d.zone, Seeds: seeds, Bootstrap: true, Callers: d.callers, Readiness: d.readiness, Peers: d.peers,
		Store: store, MemoryMB: 284, Drain: b.drain, Grace: 6 * time.Second, ConfigApply: b.apply,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 52,
	}
	text := strings.Replace(string(s.TOML()), "[zones]\n", "[zones]\nc = \"r-c\"\n", 1)
	return eris.Wrap(os.WriteFile(d.settingsPath, []byte(text), 0o600), "writing the settings")
}

// start starts the daemon with the command of the deploy file.
func (f *fleet) start(ctx context.Context, d *daemon) error {
	log, err := os.Create(d.settingsPath + ".log")
	if err != nil {
		return eris.Wrap(err, "creating a log file")
	}
	_, port, err := net.SplitHostPort(d.metrics)
	if err != nil {
		return eris.Wrap(err, "splitting the metrics address")
	}
	d.log = log
	d.cmd = exec.CommandContext(ctx, f.binary, "platform", "--metrics", port)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "RHUBARBREEL_BOOT=" + d.settingsPath}
	if f.oneCore {
		d.cmd.Env = append(d.cmd.Env, "GOMAXPROCS=1")
	}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return eris.Wrapf(d.cmd.Start(), "starting %s", d.name)
}

func (f *fleet) awaitReady(ctx context.Context, d *daemon) error {
	return await(ctx, readyTimeout, "daemon "+d.name+" is not ready", func() bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness+"/-/readiness", nil)
		if err != nil {
			return false
		}
		res, err := f.client.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil || d.cmd.ProcessState != nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	_ = d.cmd.Wait()
	_ = d.log.Close()
}

// await waits until ok returns true, and fails with the text after the time.
func await(ctx context.Context, limit time.Duration, failure string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); {
		if time.Now().After(end) {
			return eris.New(failure)
		}
		if err := pause(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// pause waits for the time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "waiting")
	}
}
