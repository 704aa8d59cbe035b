package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// daemonPath is the daemon as the deploy file builds it.
const daemonPath = "target/rhubarbreeld"

// host is the host of all routes.
const host = "case.example"

// fleet is a small deployment: the store, searchers and daemons.
type fleet struct {
	rec          *record
	dir          string
	ports        *rrfleet.Ports
	store        *standin.Store
	storeAddress string
	searchers    []*searcher
	daemons      []*daemon
	closers      []func()
}

// daemon is one daemon, as a separate process.
type daemon struct {
	name, zone, settingsPath string
	callers, ready, peers    string
	metrics                  int
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

func newFleet(ctx context.Context, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, ports: rrfleet.NewPorts(), store: standin.NewStore()}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	srv := &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	f.closers = append(f.closers, func() { _ = srv.Close() })
	f.storeAddress = l.Addr().String()
	return f, nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.kill()
	}
	for _, s := range f.searchers {
		s.close()
	}
	for _, c := range f.closers {
		c()
	}
	_ = f.ports.Close()
	_ = os.RemoveAll(f.dir)
}

// Slots of a searcher, and how many more requests it queues, as the site files have them.
const (
	searcherSlots = 3
	searcherQueue = 12
)

// addSearcher starts a searcher and registers it in the store.
func (f *fleet) addSearcher(ctx context.Context, id, service, zone string, work func(string) time.Duration) error {
	s, err := newSearcher(ctx, f.rec, id, service, searcherSlots, searcherQueue, work)
	if err != nil {
		return err
	}
	f.searchers = append(f.searchers, s)
	f.store.Put(standin.ObjectSearchers, id, s.entry(zone, standin.StateReady))
	return nil
}

// addDaemon writes the settings of a daemon and starts it.
func (f *fleet) addDaemon(ctx context.Context, name, zone string) error {
	addresses := make([]string, 4)
	for i := range addresses {
		var err error
		if addresses[i], err = f.ports.FreeAddress(ctx); err != nil {
			return err
		}
	}
	_, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return err
	}
	d := &daemon{name: name, zone: zone, callers: addresses[0], ready: addresses[1], peers: addresses[2], settingsPath: filepath.Join(f.dir, name+".toml")}
	if d.metrics, err = strconv.Atoi(port); err != nil {
		return err
	}
	settings := standin.Settings{
		Instance: name, Zone: zone, Callers: d.callers, Readiness: d.ready, Peers: d.peers, Store: f.storeAddress,
		MemoryMB: 284, Drain: 4 * time.Second, Grace: grace, ConfigApply: 4 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 52,
	}
	if err := os.WriteFile(d.settingsPath, settings.TOML(), 0o600); err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	return f.start(d)
}

// grace is the time from SIGTERM to SIGKILL, as the site files have it.
const grace = 6 * time.Second

// start starts the daemon's process with the command of the deploy file. Its log goes to
// a file.
func (f *fleet) start(d *daemon) error {
	logs, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	// The process has to outlive a cancelled context until the fleet ends it.
	d.cmd = exec.CommandContext(context.Background(), daemonPath, "platform", "--metrics", strconv.Itoa(d.metrics))
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "RHUBARBREEL_BOOT=" + d.settingsPath}
	d.cmd.Stdout, d.cmd.Stderr = logs, logs
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	f.rec.printf("daemon %s started, process %d", d.name, d.cmd.Process.Pid)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// kill ends the process if it still runs.
func (d *daemon) kill() {
	if d.cmd == nil || d.ended == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.ended
}

// awaitReady waits until the daemon's readiness check succeeds.
func (d *daemon) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if d.isReady(ctx) {
			return nil
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return fmt.Errorf("daemon %s is not ready after 10 s", d.name)
}

func (d *daemon) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// sleep waits, or returns early if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
