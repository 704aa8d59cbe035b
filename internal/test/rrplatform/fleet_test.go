// Package rrplatform_test runs daemons against stand-ins of the users' platform,
// most of them in the test's process, and checks what callers and searchers
// receive.
package rrplatform_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrnode"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/fake/rroutput"
	"rhubarbreel.example/rhubarbreel/platform"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// fleet is a deployment of a store, searchers and daemons.
type fleet struct {
	t            testing.TB
	store        *standin.Store
	address      netip.AddrPort
	searchers    map[string]*standin.Searcher
	daemons      []*daemon
	tableVersion int
	// isColdStart is set if the daemons start with the whole system, so that they have their
	// whole budgets at once.
	isColdStart bool
	// extraServices are services in the routing table beside the standard ones.
	extraServices []string
	// minCrashDelay and maxCrashDelay are how long searchers run a crashing request before
	// they end.
	minCrashDelay, maxCrashDelay time.Duration
}

// defaultRouting holds the parameters that all routes share.
var defaultRouting = standin.Routing{Host: "x.example", Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 2}

// daemon is one daemon of the fleet.
type daemon struct {
	settings *rrsettings.GatewaySettings
	stop     context.CancelFunc
	done     chan error
	logs     *rroutput.Output
	// started is the time at which it was run.
	started time.Time
}

const shardCount = 3

// newColdFleet returns a fleet whose daemons start with the whole system.
func newColdFleet(t testing.TB) *fleet {
	t.Helper()
	f := newFleet(t)
	f.isColdStart = true
	return f
}

// newFleet starts a store and searchers. The services s0 to s2 are the shards of
// the route /all/. The service one has the routes /one/ (idempotent) and /once/
// (non-idempotent).
func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, store: standin.NewStore(), searchers: make(map[string]*standin.Searcher)}
	srv := httptest.NewServer(f.store.Handler())
	t.Cleanup(srv.Close)
	f.address = netip.MustParseAddrPort(srv.Listener.Addr().String())
	for i := range shardCount {
		for _, zone := range []string{"a", "b"} {
			f.addSearcher(fmt.Sprintf("s%d", i), zone)
		}
	}
	for _, zone := range []string{"a", "b"} {
		f.addSearcher("one", zone)
	}
	f.putConfig(nil)
	return f
}

func (f *fleet) addSearcher(service, zone string) *standin.Searcher {
	f.t.Helper()
	id := fmt.Sprintf("i-%s-%s-%d", service, zone, len(f.searchers))
	s, err := standin.NewSearcher(id, service, 2*time.Millisecond, 8)
	must.NoError(f.t, err)
	f.t.Cleanup(s.Close)
	f.searchers[id] = s
	f.store.Put("servers", id, s.EntrySpec(zone, "ready"))
	return s
}

// searchersOf returns the searchers of a service.
func (f *fleet) searchersOf(service string) []*standin.Searcher {
	var out []*standin.Searcher
	for _, s := range f.searchers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// searcherIn returns a searcher of a service in a zone. The daemons there prefer it to those of
// other regions.
func (f *fleet) searcherIn(service, zone string) *standin.Searcher {
	f.t.Helper()
	searchers := f.searchersOf(service)
	i := slices.IndexFunc(searchers, func(s *standin.Searcher) bool { return strings.HasPrefix(s.ID, "i-"+service+"-"+zone+"-") })
	must.GreaterEq(f.t, 0, i)
	return searchers[i]
}

// received returns the number of requests that the searchers of a service
// received.
func (f *fleet) received(service string) int {
	n := 0
	for _, s := range f.searchersOf(service) {
		n += s.Received()
	}
	return n
}

// putConfig writes the next version of the routing table, with the routes modified
// by change unless it is nil.
func (f *fleet) putConfig(change func(routes map[string]map[string]any)) {
	f.tableVersion += 2
	routes := map[string]map[string]any{
		"all": defaultRouting.Gather("all", []string{"s0", "s1", "s2"}, 4, 0.6),
		"one": defaultRouting.Route("one", "one", true), "once": defaultRouting.Route("once", "one", false),
	}
	if change != nil {
		change(routes)
	}
	services := append([]string{"s0", "s1", "s2", "one", "other"}, f.extraServices...)
	f.store.Put(standin.ObjectTables, standin.TableName, standin.Table(f.tableVersion, services, slices.Collect(maps.Values(routes))...))
}

// ports allocates addresses that outgoing connections don't use as their local
// address before the daemons listen.
var ports = rrfleet.NewPorts()

func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	address, err := ports.FreeAddress(t.Context())
	must.NoError(t, err)
	return netip.MustParseAddrPort(address)
}

// start starts a daemon and waits until it is ready.
func (f *fleet) start(name, zone string, seeds ...netip.AddrPort) *daemon {
	f.t.Helper()
	d := f.startUnready(name, zone, seeds...)
	f.eventually("daemon is ready", func() bool { return d.ready() == http.StatusOK })
	return d
}

func (f *fleet) startUnready(name, zone string, seeds ...netip.AddrPort) *daemon {
	f.t.Helper()
	d := f.newDaemon(name, zone, seeds...)
	d.settings.ColdStart = f.isColdStart
	f.run(d)
	return d
}

// run runs a daemon until the test ends or the daemon is stopped. Only the first process of an
// instance may start with the whole system.
func (f *fleet) run(d *daemon) {
	f.t.Helper()
	if slices.ContainsFunc(f.daemons, func(other *daemon) bool { return other.settings.Instance == d.settings.Instance }) {
		settings := *d.settings
		settings.ColdStart = false
		d.settings = &settings
	}
	d.started = time.Now()
	n, closeAll := f.node(d)
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() {
		defer closeAll()
		d.done <- n.Run(ctx)
	}()
	f.daemons = append(f.daemons, d)
	f.t.Cleanup(func() {
		stop()
		select {
		case err := <-d.done:
			must.NoError(f.t, err)
		case <-time.After(10 * time.Second):
			f.t.Error("daemon did not stop within 10 s")
		}
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", d.settings.Instance, d.logs)
		}
	})
}

// newDaemon returns a daemon that is not yet started.
func (f *fleet) newDaemon(name, zone string, seeds ...netip.AddrPort) *daemon {
	f.t.Helper()
	return &daemon{
		settings: &rrsettings.GatewaySettings{
			Instance: rrunit.InstanceID(name), Zone: rrunit.Zone(zone), Region: rrunit.Region("r-" + zone),
			Zones:         map[rrunit.Zone]rrunit.Region{"a": "r-a", "b": "r-b", "c": "r-c"},
			CallerAddress: freeAddress(f.t), ReadinessAddress: freeAddress(f.t), PeerAddress: freeAddress(f.t), MetricsAddress: freeAddress(f.t),
			StoreAddress: f.address, Memory: 256 << 20, Seeds: seeds,
			Bounds: rrsettings.Bounds{
				MaxApplyTime: 4 * time.Second, MaxDrainTime: 4 * time.Second, GracePeriod: 3 * time.Second, ExtraShare: 0.2,
				ExtraWindow: 10 * time.Second, ExtraSlack: 50, HeartbeatInterval: 1200 * time.Millisecond,
			},
		},
		done: make(chan error, 1),
		logs: &rroutput.Output{},
	}
}

// node returns the node of a daemon and a function that closes the node's store and
// logger.
func (f *fleet) node(d *daemon) (*rrnode.Node, func()) {
	store := platform.NewStore(f.address)
	logger := rrlog.New(d.logs)
	n := rrnode.New(d.settings, rrnode.Platform{
		Store: store, HeaderNames: platform.Fields(), DecodeLimit: platform.DecodeLimit, DecodeNotice: platform.DecodeNotice, ReadinessPath: platform.ReadinessPath,
		Reload: func() (*rrsettings.GatewaySettings, error) { return d.settings, nil },
	}, logger)
	return n, func() {
		store.Close()
		logger.Close()
	}
}

// ready returns the status of the readiness check, or zero if the request fails.
func (d *daemon) ready() int {
	res, err := http.Get("http://" + d.settings.ReadinessAddress.String() + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	f.eventuallyWithin(8*time.Second, what, ok)
}

// eventuallyWithin is eventually for conditions that take longer.
func (f *fleet) eventuallyWithin(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("condition not met within %s: %s", limit, what)
}

// answer is the answer or error that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call is a request of a caller. A zero method, id or timeLeft is replaced by a
// default; the id "none" leaves out the header.
type call struct {
	method, path, id, body string
	timeLeft               time.Duration
	header                 http.Header
}

var ids = struct {
	sync.Mutex
	n int
}{}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("id-%d", ids.n)
}

func (d *daemon) get(path string) answer { return d.call(call{path: path}) }

func (d *daemon) call(c call) answer {
	return d.callWith(context.Background(), http.DefaultClient, c)
}

func (d *daemon) callWith(ctx context.Context, client *http.Client, c call) answer {
	if c.method == "" {
		c.method = http.MethodGet
	}
	if c.id == "" {
		c.id = newID()
	}
	if c.timeLeft == 0 {
		c.timeLeft = 2 * time.Second
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.settings.CallerAddress.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "x.example"
	req.Header = c.header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if c.id != "none" {
		req.Header.Set("X-Attempt-Id", c.id)
	}
	req.Header.Set("X-Time-Budget-Ms", fmt.Sprint(c.timeLeft.Milliseconds()))
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), err: err}
}
