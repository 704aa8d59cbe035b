package rrsoak

import (
	"context"
	"encoding/json"
	"errors"
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

// Size is the size of a fleet.
type Size string

// The sizes of fleets.
const (
	SizeSmall Size = "small"
	SizeLarge Size = "large"
)

// The two layouts share two shards, and differ in the number of shards.
var (
	layouts  = [][]string{{"s0", "s1", "s2"}, {"s0", "s1", "s3", "s4"}} //nolint:gochecknoglobals // constant
	services = []string{"s0", "s1", "s2", "s3", "s4", "one"}            //nolint:gochecknoglobals // constant
	zones    = []string{"a", "b"}                                       //nolint:gochecknoglobals // constant
)

// processCounts are the numbers of processes and callers of a fleet.
type processCounts struct {
	daemons, searchersPerService, callersPerDaemon int
}

func processCountsOf(size Size) (processCounts, error) {
	switch size {
	case SizeSmall:
		// Two searchers per service in each of two zones.
		return processCounts{daemons: 4, searchersPerService: 4, callersPerDaemon: 4}, nil
	case SizeLarge:
		// A few hundred processes, the most that a run may have.
		return processCounts{daemons: 60, searchersPerService: 24, callersPerDaemon: 1}, nil
	}
	return processCounts{}, eris.Errorf("fleet: %q is neither small nor large", size)
}

// The bounds that are set in the daemons' settings and checked by the history.
// They are as large as at the users' sites, so that the bounds that apply there
// are the ones tested.
const (
	applyTime    = 4 * time.Second
	drainTime    = 3 * time.Second
	graceTime    = 6 * time.Second
	settleTime   = 3 * time.Second
	budgetWindow = 10 * time.Second
	budgetShare  = 0.2
	// budgetSlack allows each daemon of a small fleet 15 attempts beyond the first.
	budgetSlack = 60
	memoryMB    = 284
)

// Parameters of the routes and the searchers.
const (
	routeTimeout  = 2 * time.Second
	latencyTarget = 500 * time.Millisecond
	routeAttempts = 2
	// cancelTime bounds how long work continues after its caller disconnected:
	// shorter than the rest of a slow execution at that time, and much longer
	// than the network delay to the searcher.
	cancelTime = 150 * time.Millisecond
	// minCoverage allows an answer to lack one shard of three or four.
	minCoverage = 0.6
	// topK is fewer than the records of two shards, so that merging matters.
	topK = 4
	// requestLimit is the limit that searchers name, in requests a second: well below what
	// one usually gets.
	requestLimit = 5
	// slots is how many requests a searcher executes at once: more than the
	// callers of a small fleet usually send to it together.
	slots = 8
)

func bounds() rrhistory.Bounds {
	return rrhistory.Bounds{
		MaxAttempts: routeAttempts, ApplyTime: applyTime, DrainTime: drainTime, CancelTime: cancelTime, SettleTime: settleTime,
		ExtraShare: budgetShare, ExtraWindow: budgetWindow, ExtraSlack: budgetSlack, MinCoverage: minCoverage, TopK: topK, RecordsPerShard: 3,
		RequestLimit: requestLimit, LimitWindow: 4 * time.Second, LimitTolerance: 1.5, LimitSlack: 5,
		MaxCrashes: 3, MaxCrashRetries: 3, PauseNoticeTime: 500 * time.Millisecond, MaxPausedRequests: 2,
	}
}

// node is a daemon or a searcher with fixed addresses, whose process is replaced
// when it is stopped or killed.
type node struct {
	name, zone, service string
	// listenAddress is where the process listens, by link; others connect to
	// proxyAddress. For LinkStore, listenAddress is the store's.
	listenAddress    map[rrplan.Link]string
	proxies          map[rrplan.Link]*rrproxy.Proxy
	proxyAddress     map[rrplan.Link]string
	readinessAddress string
	metricsAddress   string

	// mu is held while the process is replaced.
	mu      sync.Mutex
	process *process
	// replacements counts the instances that were replaced for good by another one.
	replacements int
	// generation counts the processes so far; searcherID is the registered name of
	// a searcher's current process.
	generation int
	searcherID string

	// ordersMu guards ordered: the kinds of events for which the searcher has orders.
	ordersMu sync.Mutex
	ordered  map[rrplan.Kind]bool
}

// fleet is the set of processes of a run.
type fleet struct {
	ctx          context.Context
	cfg          *Config
	ports        *rrfleet.Ports
	history      *rrhistory.History
	storeControl *standin.StoreControl
	store        *process
	storeAddress string
	daemons      map[string]*node
	searchers    map[string]*node
	// storeFaultMu is held during a fault of the store: one at a time.
	storeFaultMu sync.Mutex
	// restarts are the replacements of searchers that a request ended, and errs the errors in
	// them and the unexpected end of the store.
	restarts sync.WaitGroup
	errs     errorList

	// mu guards the fields below.
	mu        sync.Mutex
	version   int
	processes []*process
}

// newFleet starts the store, the searchers and the daemons.
func newFleet(ctx context.Context, cfg *Config, counts processCounts) (*fleet, error) {
	f := &fleet{
		ctx: ctx, cfg: cfg, ports: rrfleet.NewPorts(), history: rrhistory.New(bounds()),
		daemons: make(map[string]*node), searchers: make(map[string]*node),
	}
	if err := f.startStore(); err != nil {
		return f, err
	}
	for _, service := range services {
		for i := range counts.searchersPerService {
			if err := f.addSearcher(fmt.Sprintf("%s-%d", service, i), zones[i%len(zones)], service); err != nil {
				return f, err
			}
		}
	}
	if err := f.putTable(); err != nil {
		return f, err
	}
	for i := range counts.daemons {
		if err := f.addDaemon(fmt.Sprintf("d%d", i), zones[i%len(zones)]); err != nil {
			return f, err
		}
	}
	// The first daemons had few others to name as seeds, or none.
	for _, n := range f.daemons {
		if err := f.writeSettings(n); err != nil {
			return f, err
		}
	}
	return f, nil
}

// errorList collects errors. It is safe for concurrent use.
type errorList struct {
	mu   sync.Mutex
	errs []error
}

func (l *errorList) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errs = append(l.errs, err)
}

// join returns all errors as one; nil if there is none.
func (l *errorList) join() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return errors.Join(l.errs...)
}

// targets returns the processes that a plan may hit. Searchers of service "one",
// which gets the requests that are not idempotent, are listed several times, to
// be hit as often as those of all shards together.
func (c processCounts) targets() rrplan.Targets {
	out := rrplan.Targets{Routes: []string{routeGather, routeIdempotent, routeOnce}}
	for _, a := range standin.OddAnswers() {
		out.Answers = append(out.Answers, a.Name)
	}
	for i := range c.daemons {
		out.Daemons = append(out.Daemons, fmt.Sprintf("d%d", i))
	}
	hitServices := slices.Concat(services, slices.Repeat([]string{"one"}, len(services)-2))
	for _, service := range hitServices {
		for i := range c.searchersPerService {
			out.Searchers = append(out.Searchers, fmt.Sprintf("%s-%d", service, i))
		}
	}
	return out
}

func (f *fleet) spawn(name, path string, args, env []string, onLine func(string), onUnexpectedExit func(*process)) (*process, error) {
	p, err := start(f.ctx, name, path, args, env, onLine, onUnexpectedExit)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// close kills all processes and closes the proxies.
func (f *fleet) close() {
	f.mu.Lock()
	processes := slices.Clone(f.processes)
	f.mu.Unlock()
	for _, p := range processes {
		if !p.hasExited() {
			p.stop(syscall.SIGKILL, time.Second)
		}
	}
	for _, nodes := range []map[string]*node{f.daemons, f.searchers} {
		for _, n := range nodes {
			for _, proxy := range n.proxies {
				proxy.Close()
			}
		}
	}
	_ = f.ports.Close()
}

func (f *fleet) startStore() error {
	controlAddress, err := f.ports.FreeAddress(f.ctx)
	if err != nil {
		return err
	}
	if f.storeAddress, err = f.ports.FreeAddress(f.ctx); err != nil {
		return err
	}
	f.storeControl = standin.NewStoreControl(controlAddress)
	f.store, err = f.spawn("store", f.cfg.StandinsPath, []string{"store", "--address", f.storeAddress, "--operator", controlAddress}, nil, func(string) {}, func(exited *process) {
		f.errs.add(eris.Errorf("the store ended by itself: %v, its last line: %q", exited.cmd.ProcessState, exited.lastLine()))
	})
	if err != nil {
		return err
	}
	return waitFor("the store to listen", func() bool { return f.storeControl.SetFault(f.ctx, standin.Fault{}) == nil })
}

// startTimeout bounds how long a process takes to listen.
const startTimeout = 20 * time.Second

func waitFor(what string, ok func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return eris.Errorf("timed out after %s waiting for: %s", startTimeout, what)
}

// addLink starts a proxy for a node's link to the target. If target is empty, the
// target is a new address for the node's process to listen on.
func (f *fleet) addLink(n *node, link rrplan.Link, target string) error {
	proxyAddress, err := f.ports.FreeAddress(f.ctx)
	if err != nil {
		return err
	}
	if target == "" {
		if target, err = f.ports.FreeAddress(f.ctx); err != nil {
			return err
		}
	}
	n.listenAddress[link], n.proxyAddress[link] = target, proxyAddress
	n.proxies[link], err = rrproxy.New(f.ctx, proxyAddress, target)
	return err
}

func newNode(name, zone, service string) *node {
	return &node{
		name: name, zone: zone, service: service, listenAddress: make(map[rrplan.Link]string),
		proxies: make(map[rrplan.Link]*rrproxy.Proxy), proxyAddress: make(map[rrplan.Link]string), ordered: make(map[rrplan.Kind]bool),
	}
}

func (f *fleet) addSearcher(name, zone, service string) error {
	n := newNode(name, zone, service)
	f.searchers[name] = n
	if err := f.addLink(n, rrplan.LinkSearcher, ""); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return f.startSearcher(n)
}

// startSearcher starts a new process of a searcher and registers it. The caller
// holds n.mu.
func (f *fleet) startSearcher(n *node) error {
	n.generation++
	n.searcherID = fmt.Sprintf("%sg%d", n.name, n.generation)
	args := []string{"searcher", "--id", n.searcherID, "--service", n.service, "--address", n.listenAddress[rrplan.LinkSearcher], "--slots", strconv.Itoa(slots)}
	var err error
	n.process, err = f.spawn(n.searcherID, f.cfg.StandinsPath, args, nil, func(line string) {
		var s standin.RequestEvent
		if json.Unmarshal([]byte(line), &s) == nil {
			f.history.RecordSearcherEvent(s)
		}
	}, func(exited *process) { f.replaceCrashed(n, exited) })
	if err != nil {
		return err
	}
	if err := waitFor(n.searcherID+" to listen", func() bool { return isListening(n.listenAddress[rrplan.LinkSearcher]) }); err != nil {
		return err
	}
	return f.storeControl.Put(f.ctx, standin.ObjectSearchers, n.searcherID, n.entrySpec(standin.StateReady))
}

// replaceCrashed replaces a searcher's process that has ended by itself.
func (f *fleet) replaceCrashed(n *node, exited *process) {
	if f.ctx.Err() != nil {
		return
	}
	f.history.RecordExit(exited.name)
	f.restarts.Go(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process != exited {
			return
		}
		err := f.storeControl.Delete(f.ctx, standin.ObjectSearchers, n.searcherID)
		if err == nil {
			err = f.startSearcher(n)
		}
		f.errs.add(eris.Wrapf(err, "replacing %s", exited.name))
	})
}

func (n *node) currentSearcherID() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.searcherID
}

// entrySpec returns the spec of the searcher's entry in the store.
func (n *node) entrySpec(state string) map[string]any {
	return standin.EntrySpec(n.service, n.proxyAddress[rrplan.LinkSearcher], n.zone, state, slots, n.generation)
}

func (f *fleet) addDaemon(name, zone string) error {
	n := newNode(name, zone, "")
	f.daemons[name] = n
	for link, target := range map[rrplan.Link]string{rrplan.LinkCallers: "", rrplan.LinkPeers: "", rrplan.LinkStore: f.storeAddress} {
		if err := f.addLink(n, link, target); err != nil {
			return err
		}
	}
	for _, a := range []*string{&n.readinessAddress, &n.metricsAddress} {
		var err error
		if *a, err = f.ports.FreeAddress(f.ctx); err != nil {
			return err
		}
	}
	aliases := map[string]string{n.listenAddress[rrplan.LinkPeers]: n.proxyAddress[rrplan.LinkPeers]}
	if err := f.storeControl.SetAliases(f.ctx, aliases); err != nil {
		return err
	}
	if err := f.writeSettings(n); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := f.startDaemon(n); err != nil {
		return err
	}
	return waitFor(name+" to become ready", n.isReady)
}

func (n *node) isReady() bool {
	res, err := http.Get("http://" + n.readinessAddress + platform.ReadinessPath) //nolint:noctx // ends with the process
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startDaemon starts a new process of a daemon. The caller holds n.mu.
func (f *fleet) startDaemon(n *node) error {
	n.generation++
	f.history.RecordDaemonStart(n.name)
	_, port, _ := strings.Cut(n.metricsAddress, ":")
	var err error
	n.process, err = f.spawn(fmt.Sprintf("%s.%d", n.name, n.generation), f.cfg.DaemonPath, []string{"platform", "--metrics", port},
		[]string{platform.SettingsPathEnv + "=" + f.settingsPath(n), "GOMAXPROCS=2"}, func(string) {}, func(exited *process) {
			f.history.AddViolation(rrhistory.PromiseNoCrash, nil, "%s ended by itself: %v", exited.name, exited.cmd.ProcessState)
		})
	return err
}

// instance returns the name under which a daemon registers.
func (n *node) instance() string {
	if n.replacements == 0 {
		return n.name
	}
	return fmt.Sprintf("%s-%d", n.name, n.replacements)
}

func (f *fleet) settingsPath(n *node) string { return filepath.Join(f.cfg.Dir, n.name+".toml") }

// writeSettings writes a daemon's settings file. The seeds are other daemons in
// the random order of map iteration, so that they change with each call.
func (f *fleet) writeSettings(n *node) error {
	var seeds []string
	for _, other := range f.daemons {
		if other != n {
			seeds = append(seeds, other.proxyAddress[rrplan.LinkPeers])
		}
	}
	const maxSeeds = 3
	settings := standin.Settings{
		Instance: n.instance(), Bootstrap: n.generation == 0, Zone: n.zone, Seeds: seeds[:min(len(seeds), maxSeeds)], Callers: n.listenAddress[rrplan.LinkCallers],
		Readiness: n.readinessAddress, Peers: n.listenAddress[rrplan.LinkPeers], Store: n.proxyAddress[rrplan.LinkStore], MemoryMB: memoryMB,
		Drain: drainTime, Grace: graceTime, ConfigApply: applyTime, RetryRatio: budgetShare, RetryWindow: budgetWindow, RetrySlack: budgetSlack,
	}
	return eris.Wrap(os.WriteFile(f.settingsPath(n), settings.TOML(), 0o600), "writing settings")
}

// rankStep is how much less urgent the own route of each version is than that of the one before.
const rankStep = 30

// putTable writes the next version of the table, with a route that only this
// version has, and the other of the two layouts.
func (f *fleet) putTable() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	shards := layouts[f.version%len(layouts)]
	routing := standin.Routing{Host: host, Timeout: routeTimeout, TargetLatency: latencyTarget, Attempts: routeAttempts}
	own := routing.Route(fmt.Sprintf("v%d", f.version), "one", true)
	own["priority"] = rankStep * f.version
	table := standin.Table(f.version, services,
		routing.Gather(routeGather, shards, topK, minCoverage), routing.Route(routeIdempotent, "one", true), routing.Route(routeOnce, "one", false), own)
	f.history.RecordVersionSubmitted(f.version, shards)
	if err := f.storeControl.Put(f.ctx, standin.ObjectTables, standin.TableName, table); err != nil {
		return err
	}
	f.history.RecordVersionAcknowledged()
	return nil
}

func (f *fleet) currentVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func isListening(address string) bool {
	res, err := http.Get("http://" + address + "/") //nolint:noctx // ends with the process
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return true
}
