package rrsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrhistory"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrplan"
	"rhubarbreel.example/rhubarbreel/internal/soak/rrproxy"
	"rhubarbreel.example/rhubarbreel/platform"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Size is how large a fleet is.
type Size string

// The sizes of fleets.
const (
	SizeSmall Size = "small"
	SizeLarge Size = "large"
)

// Services: two layouts share two shards, and have not as many.
var (
	layouts  = [][]string{{"s0", "s1", "s2"}, {"s0", "s1", "s3", "s4"}} //nolint:gochecknoglobals // constant
	services = []string{"s0", "s1", "s2", "s3", "s4", "one"}            //nolint:gochecknoglobals // constant
	zones    = []string{"a", "b"}                                       //nolint:gochecknoglobals // constant
)

// shape is how many processes a fleet has.
type shape struct {
	daemons, searchers, callers int
}

func shapeOf(size Size) (shape, error) {
	switch size {
	case SizeSmall:
		// Two searchers a service in each of two zones.
		return shape{daemons: 4, searchers: 4, callers: 4}, nil
	case SizeLarge:
		// A few hundred processes, the most that a run may have.
		return shape{daemons: 60, searchers: 24, callers: 1}, nil
	}
	return shape{}, eris.Errorf("fleet: %q is neither small nor large", size)
}

// What the daemons are told of the bounds, and the history checks: of the size
// that the users' sites have, so that their bounds are the ones that hold.
const (
	applyTime     = 4 * time.Second
	drainTime     = 3 * time.Second
	graceTime     = 6 * time.Second
	stabilityTime = 3 * time.Second
	budgetWindow  = 10 * time.Second
	budgetShare   = 0.2
	// budgetSlack leaves each of a small fleet 15 attempts beyond the first.
	budgetSlack = 60
	memoryMB    = 284
)

// What the routes and the searchers are like.
const (
	routeTime     = 2 * time.Second
	routeTarget   = 500 * time.Millisecond
	routeAttempts = 2
	// goneTime is within which work ends whose caller left: less than is left of a
	// slow run by then, and far more than the way there.
	goneTime = 150 * time.Millisecond
	// leastCoverage lets an answer lack one shard of three or four.
	leastCoverage = 0.6
	// topK is fewer than the records of two shards, so that merging matters.
	topK = 4
	// slots are the requests that a searcher runs at once: more than all callers
	// of a small fleet send to it as a rule.
	slots = 8
)

func bounds() rrhistory.Bounds {
	return rrhistory.Bounds{
		Attempts: routeAttempts, Apply: applyTime, Drain: drainTime, Gone: goneTime, Stability: stabilityTime,
		Extra: budgetShare, Window: budgetWindow, Slack: budgetSlack, Coverage: leastCoverage, TopK: topK, Records: 3,
	}
}

// place is where a daemon or a searcher runs; its process may change.
type place struct {
	name, zone, service string
	// address is where the process itself listens, by link; proxies are in
	// front of them.
	address map[rrplan.Link]string
	proxies map[rrplan.Link]*rrproxy.Proxy
	through map[rrplan.Link]string
	ready   string
	metrics string

	// mu is held while the process is replaced.
	mu      sync.Mutex
	process *process
	// number counts its processes; id is the searcher's name.
	number int
	id     string
}

// fleet is all processes of a run.
type fleet struct {
	ctx       context.Context
	cfg       *Config
	ports     *rrfleet.Ports
	history   *rrhistory.History
	operator  *standin.StoreControl
	store     *process
	storeAt   string
	daemons   map[string]*place
	searchers map[string]*place
	// storeBusy is held while the store is disturbed: one way at a time.
	storeBusy sync.Mutex

	// mu guards the fields below.
	mu        sync.Mutex
	version   int
	processes []*process
}

// newFleet starts the store, the searchers and the daemons.
func newFleet(ctx context.Context, cfg *Config, s shape) (*fleet, error) {
	f := &fleet{
		ctx: ctx, cfg: cfg, ports: rrfleet.NewPorts(), history: rrhistory.New(bounds()),
		daemons: make(map[string]*place), searchers: make(map[string]*place),
	}
	if err := f.startStore(); err != nil {
		return f, err
	}
	for _, service := range services {
		for i := range s.searchers {
			if err := f.addSearcher(fmt.Sprintf("%s-%d", service, i), zones[i%len(zones)], service); err != nil {
				return f, err
			}
		}
	}
	if err := f.putTable(); err != nil {
		return f, err
	}
	for i := range s.daemons {
		if err := f.addDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)]); err != nil {
			return f, err
		}
	}
	return f, nil
}

// names returns what a plan may be about. The service of requests that are not
// idempotent is hit as often as all shards together.
func (s shape) names() rrplan.Fleet {
	var out rrplan.Fleet
	for i := range s.daemons {
		out.Daemons = append(out.Daemons, fmt.Sprintf("d%d", i))
	}
	often := slices.Concat(services, slices.Repeat([]string{"one"}, len(services)-2))
	for _, service := range often {
		for i := range s.searchers {
			out.Searchers = append(out.Searchers, fmt.Sprintf("%s-%d", service, i))
		}
	}
	return out
}

func (f *fleet) spawn(name, path string, args, env []string, line func(string), ended func(*process)) (*process, error) {
	p, err := start(f.ctx, name, path, args, env, line, ended)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	processes := slices.Clone(f.processes)
	f.mu.Unlock()
	for _, p := range processes {
		if !p.isEnded() {
			p.end(syscall.SIGKILL, time.Second)
		}
	}
	for _, places := range []map[string]*place{f.daemons, f.searchers} {
		for _, pl := range places {
			for _, proxy := range pl.proxies {
				proxy.Close()
			}
		}
	}
	_ = f.ports.Close()
}

func (f *fleet) startStore() error {
	operator, err := f.ports.FreeAddress(f.ctx)
	if err != nil {
		return err
	}
	if f.storeAt, err = f.ports.FreeAddress(f.ctx); err != nil {
		return err
	}
	f.operator = standin.NewStoreControl(operator)
	f.store, err = f.spawn("store", f.cfg.Standins, []string{"store", "--address", f.storeAt, "--operator", operator}, nil, func(string) {}, func(*process) {})
	if err != nil {
		return err
	}
	return eventually("the store listens", func() bool { return f.operator.SetFault(f.ctx, standin.Fault{}) == nil })
}

// startTime bounds how long a process takes to listen.
const startTime = 20 * time.Second

func eventually(what string, ok func() bool) error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return eris.Errorf("not within %s: %s", startTime, what)
}

// addLink gives a place an address for its process and a proxy in front of it.
func (f *fleet) addLink(p *place, link rrplan.Link, target string) error {
	through, err := f.ports.FreeAddress(f.ctx)
	if err != nil {
		return err
	}
	if target == "" {
		if target, err = f.ports.FreeAddress(f.ctx); err != nil {
			return err
		}
	}
	p.address[link], p.through[link] = target, through
	p.proxies[link], err = rrproxy.New(f.ctx, through, target)
	return err
}

func newPlace(name, zone, service string) *place {
	return &place{
		name: name, zone: zone, service: service, address: make(map[rrplan.Link]string),
		proxies: make(map[rrplan.Link]*rrproxy.Proxy), through: make(map[rrplan.Link]string),
	}
}

func (f *fleet) addSearcher(name, zone, service string) error {
	p := newPlace(name, zone, service)
	f.searchers[name] = p
	if err := f.addLink(p, rrplan.LinkSearcher, ""); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.startSearcher(p)
}

// startSearcher starts a new process at a searcher's place and registers it. The
// caller holds the place's mu.
func (f *fleet) startSearcher(p *place) error {
	p.number++
	p.id = fmt.Sprintf("%sg%d", p.name, p.number)
	args := []string{"searcher", "--id", p.id, "--service", p.service, "--address", p.address[rrplan.LinkSearcher], "--slots", strconv.Itoa(slots)}
	var err error
	p.process, err = f.spawn(p.id, f.cfg.Standins, args, nil, func(line string) {
		var s standin.RequestEvent
		if json.Unmarshal([]byte(line), &s) == nil {
			f.history.Saw(s)
		}
	}, func(*process) {})
	if err != nil {
		return err
	}
	if err := eventually(p.id+" listens", func() bool { return listens(p.address[rrplan.LinkSearcher]) }); err != nil {
		return err
	}
	return f.operator.Put(f.ctx, standin.ObjectSearchers, p.id, p.entry(standin.StateReady))
}

func (p *place) currentID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// entry is what a searcher registers of itself.
func (p *place) entry(state string) map[string]any {
	return standin.EntrySpec(p.service, p.through[rrplan.LinkSearcher], p.zone, state, slots, p.number)
}

func (f *fleet) addDaemon(name, zone string) error {
	p := newPlace(name, zone, "")
	f.daemons[name] = p
	for link, target := range map[rrplan.Link]string{rrplan.LinkCallers: "", rrplan.LinkPeers: "", rrplan.LinkStore: f.storeAt} {
		if err := f.addLink(p, link, target); err != nil {
			return err
		}
	}
	for _, a := range []*string{&p.ready, &p.metrics} {
		var err error
		if *a, err = f.ports.FreeAddress(f.ctx); err != nil {
			return err
		}
	}
	aliases := map[string]string{p.address[rrplan.LinkPeers]: p.through[rrplan.LinkPeers]}
	if err := f.operator.SetAliases(f.ctx, aliases); err != nil {
		return err
	}
	if err := f.writeSettings(p); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := f.startDaemon(p); err != nil {
		return err
	}
	return eventually(name+" is ready", p.isReady)
}

func (p *place) isReady() bool {
	res, err := http.Get("http://" + p.ready + platform.ReadinessPath) //nolint:noctx // ends with the process
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startDaemon starts a new process at a daemon's place. The caller holds the
// place's mu.
func (f *fleet) startDaemon(p *place) error {
	p.number++
	f.history.Started(p.name)
	_, port, _ := strings.Cut(p.metrics, ":")
	var err error
	p.process, err = f.spawn(fmt.Sprintf("%s.%d", p.name, p.number), f.cfg.Daemon, []string{"platform", "--metrics", port},
		[]string{platform.SettingsPathEnv + "=" + f.settingsPath(p), "GOMAXPROCS=2"}, func(string) {}, func(ended *process) {
			f.history.Break(rrhistory.PromiseAlive, nil, "%s ended by itself: %v", ended.name, ended.cmd.ProcessState)
		})
	return err
}

func (f *fleet) settingsPath(p *place) string { return filepath.Join(f.cfg.Dir, p.name+".toml") }

// writeSettings writes a daemon's settings; its seeds are some of the others, in
// no order, so that they change with each call.
func (f *fleet) writeSettings(p *place) error {
	var seeds []string
	for _, other := range f.daemons {
		if other != p {
			seeds = append(seeds, other.through[rrplan.LinkPeers])
		}
	}
	const maxSeeds = 3
	settings := standin.Settings{
		Instance: p.name, Zone: p.zone, Seeds: seeds[:min(len(seeds), maxSeeds)], Callers: p.address[rrplan.LinkCallers],
		Readiness: p.ready, Peers: p.address[rrplan.LinkPeers], Store: p.through[rrplan.LinkStore], MemoryMB: memoryMB,
		Drain: drainTime, Grace: graceTime, ConfigApply: applyTime, RetryRatio: budgetShare, RetryWindow: budgetWindow, RetrySlack: budgetSlack,
	}
	return eris.Wrap(os.WriteFile(f.settingsPath(p), settings.TOML(), 0o600), "writing settings")
}

// putTable writes the next version of the table: its own route, and the other
// layout of shards.
func (f *fleet) putTable() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	shards := layouts[f.version%len(layouts)]
	routing := standin.Routing{Host: host, Timeout: routeTime, TargetLatency: routeTarget, Attempts: routeAttempts}
	table := standin.Table(f.version, services,
		routing.Gather("all", shards, topK, leastCoverage), routing.Route("one", "one", true), routing.Route("once", "one", false),
		routing.Route(fmt.Sprintf("v%d", f.version), "one", true))
	f.history.Written(f.version, shards)
	if err := f.operator.Put(f.ctx, standin.ObjectTables, standin.TableName, table); err != nil {
		return err
	}
	f.history.Acked()
	return nil
}

func (f *fleet) currentVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func listens(address string) bool {
	res, err := http.Get("http://" + address + "/") //nolint:noctx // ends with the process
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return true
}
