//go:build !race

// The race detector ends the process in these tests: it counts their synchronizations in too few
// bits, and fails in timers of a synctest bubble.
package rrfollow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrfollow"
	"rhubarbreel.example/rhubarbreel/internal/app/rrlog"
	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrobject"
)

// simStore is a store in the test's process. It is safe for concurrent use.
type simStore struct {
	// delay is the time of one way.
	delay time.Duration

	mu       sync.Mutex
	revision rrcatalog.Revision
	// changed is closed and replaced with every change.
	changed   chan struct{}
	tables    map[rrcatalog.TableName]rrcatalog.Entry[rrroute.Table]
	searchers map[rrunit.SearcherID]rrcatalog.Entry[rrcatalog.Searcher]
	instances map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]
	records   map[rrcatalog.QuarantineName]rrcatalog.Entry[rrcatalog.Quarantine]
	calls     []time.Time
}

func newSimStore() *simStore {
	return &simStore{
		delay: 2 * time.Millisecond, revision: 1, changed: make(chan struct{}),
		tables:    make(map[rrcatalog.TableName]rrcatalog.Entry[rrroute.Table]),
		searchers: make(map[rrunit.SearcherID]rrcatalog.Entry[rrcatalog.Searcher]),
		instances: make(map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]),
		records:   make(map[rrcatalog.QuarantineName]rrcatalog.Entry[rrcatalog.Quarantine]),
	}
}

// callsSince returns how many calls began at the time or later.
func (s *simStore) callsSince(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		if !c.Before(at) {
			n++
		}
	}
	return n
}

// simKind implements rrobject.Collection.
type simKind[K ~string, V any] struct {
	store   *simStore
	client  *simDaemon
	entries map[K]rrcatalog.Entry[V]
}

func (k simKind[K, V]) List(ctx context.Context) (rrobject.Changes[K, V], error) {
	return k.read(ctx, 0, 0)
}

func (k simKind[K, V]) ListCached(ctx context.Context) (rrobject.Changes[K, V], error) {
	return k.read(ctx, 0, 0)
}

func (k simKind[K, V]) Watch(ctx context.Context, since rrcatalog.Revision, wait time.Duration) (rrobject.Changes[K, V], error) {
	return k.read(ctx, since, wait)
}

// read returns the changes after the revision, or all objects after the zero revision.
func (k simKind[K, V]) read(ctx context.Context, since rrcatalog.Revision, wait time.Duration) (rrobject.Changes[K, V], error) {
	s := k.store
	if err := s.begin(ctx, k.client); err != nil {
		return rrobject.Changes[K, V]{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isLast := since == 0; ; {
		delta, changed := k.changes(since)
		if isLast || len(delta.Entries) > 0 {
			rrunit.Sleep(ctx, s.delay)
			if k.client.isCutOff() {
				<-ctx.Done()
			}
			return rrobject.Changes[K, V]{Delta: delta}, ctx.Err()
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-ctx.Done():
			return rrobject.Changes[K, V]{}, ctx.Err()
		}
	}
}

func (k simKind[K, V]) changes(since rrcatalog.Revision) (rrcatalog.Delta[K, V], <-chan struct{}) {
	s := k.store
	s.mu.Lock()
	defer s.mu.Unlock()
	d := rrcatalog.Delta[K, V]{Revision: s.revision, Full: since == 0, Entries: make(map[K]rrcatalog.Entry[V])}
	for name, e := range k.entries {
		if e.Revision > since && (!d.Full || !e.Removed) {
			d.Entries[name] = e
		}
	}
	return d, s.changed
}

// begin waits until a call has reached the store and records it, unless its client is cut off.
func (s *simStore) begin(ctx context.Context, client *simDaemon) error {
	rrunit.Sleep(ctx, s.delay)
	if client.isCutOff() {
		rrunit.Sleep(ctx, storeTimeout)
		return errors.New("the store did not answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	return ctx.Err()
}

// storeTimeout is how long a client of the store waits for an answer.
const storeTimeout = 700 * time.Millisecond

// change applies a change and returns its revision.
func (s *simStore) change(apply func(rrcatalog.Revision)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	apply(s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStore) putTable(number rrunit.DefinitionNumber) {
	s.change(func(r rrcatalog.Revision) {
		s.tables["main"] = rrcatalog.Entry[rrroute.Table]{Revision: r, Value: &rrroute.Table{Number: number}}
	})
}

func (s *simStore) putSearcher(state rrcatalog.SearcherState) {
	s.change(func(r rrcatalog.Revision) {
		s.searchers["s"] = rrcatalog.Entry[rrcatalog.Searcher]{Revision: r, Value: &rrcatalog.Searcher{ID: "s", Service: "one", State: state}}
	})
}

// simClient is the store as one daemon sees it.
type simClient struct {
	*simStore
	client *simDaemon
}

func (s simClient) Tables() rrobject.Collection[rrcatalog.TableName, rrroute.Table] {
	return simKind[rrcatalog.TableName, rrroute.Table]{s.simStore, s.client, s.tables}
}

func (s simClient) Searchers() rrobject.Collection[rrunit.SearcherID, rrcatalog.Searcher] {
	return simKind[rrunit.SearcherID, rrcatalog.Searcher]{s.simStore, s.client, s.searchers}
}

func (s simClient) Instances() rrobject.Collection[rrunit.InstanceID, rrcatalog.Instance] {
	return simKind[rrunit.InstanceID, rrcatalog.Instance]{s.simStore, s.client, s.instances}
}

func (s simClient) Quarantines() rrobject.Collection[rrcatalog.QuarantineName, rrcatalog.Quarantine] {
	return simKind[rrcatalog.QuarantineName, rrcatalog.Quarantine]{s.simStore, s.client, s.records}
}

func (s simClient) Register(ctx context.Context, i rrcatalog.Instance) (rrcatalog.Era, error) {
	if err := s.begin(ctx, s.client); err != nil {
		return 0, err
	}
	s.change(func(r rrcatalog.Revision) {
		s.instances[i.ID] = rrcatalog.Entry[rrcatalog.Instance]{Revision: r, Value: &i}
	})
	return 0, nil
}

func (s simClient) ReplaceInstance(ctx context.Context, i rrcatalog.Instance, at rrcatalog.Revision) error {
	return s.write(ctx, i.ID, at, rrcatalog.Entry[rrcatalog.Instance]{Value: &i})
}

func (s simClient) RemoveInstance(ctx context.Context, id rrunit.InstanceID, at rrcatalog.Revision) error {
	return s.write(ctx, id, at, rrcatalog.Entry[rrcatalog.Instance]{Removed: true})
}

func (s simClient) write(ctx context.Context, id rrunit.InstanceID, at rrcatalog.Revision, e rrcatalog.Entry[rrcatalog.Instance]) error {
	if err := s.begin(ctx, s.client); err != nil {
		return err
	}
	isCurrent := false
	s.change(func(r rrcatalog.Revision) {
		if isCurrent = s.instances[id].Revision == at; isCurrent {
			e.Revision = r
			s.instances[id] = e
		}
	})
	if !isCurrent {
		return rrobject.ErrConflict
	}
	return nil
}

func (simClient) PutQuarantine(context.Context, rrcatalog.QuarantineName, rrcatalog.Quarantine) (rrcatalog.Era, error) {
	return 0, nil
}

func (simClient) DeleteQuarantine(context.Context, rrcatalog.QuarantineName) error { return nil }

// loss is how a daemon is lost.
type loss string

const (
	lossNone loss = ""
	// lossKilled has calls refused.
	lossKilled loss = "killed"
	// lossSilent leaves calls without an answer.
	lossSilent loss = "silent"
	// lossCutOff leaves the daemon's own calls to the store without an answer.
	lossCutOff loss = "cut-off"
)

// simDaemon is a follower in a simFleet.
type simDaemon struct {
	fleet    *simFleet
	instance rrcatalog.Instance
	follower *rrfollow.Follower
	stop     context.CancelFunc
	done     chan struct{}
	lost     chan struct{}

	// mu guards the fields below.
	mu   sync.Mutex
	loss loss
	// cutOff is set while the store does not answer this daemon.
	cutOff bool
	// tables and leaving have when this daemon first had the routing table of that number, and
	// when it learned that the searcher leaves; zero before.
	tables  map[rrunit.DefinitionNumber]time.Time
	leaving time.Time
}

func (d *simDaemon) isCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

func (d *simDaemon) setCutOff(cutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutOff = cutOff
}

func (d *simDaemon) currentLoss() loss {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loss
}

func (d *simDaemon) update(c *rrcatalog.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Table != nil && d.tables[c.Table.Number].IsZero() {
		d.tables[c.Table.Number] = time.Now()
	}
	for _, s := range c.Searchers["one"] {
		if s.State == rrcatalog.SearcherDraining && d.leaving.IsZero() {
			d.leaving = time.Now()
		}
	}
}

// lose ends the daemon, or cuts it off from the store.
func (d *simDaemon) lose(how loss) {
	if how == lossCutOff {
		d.setCutOff(true)
		return
	}
	d.mu.Lock()
	d.loss = how
	d.mu.Unlock()
	close(d.lost)
	d.stop()
}

// Follow implements rrpeers.FeedClient for the calls of this daemon.
func (d *simDaemon) Follow(ctx context.Context, peer netip.AddrPort, ask *rrpeer.FeedRequest) (*rrpeer.FeedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ask.Wait.Std()+peerTimeoutMargin)
	defer cancel()
	to := d.fleet.byAddress[peer]
	way := d.fleet.way(d, to)
	rrunit.Sleep(ctx, way)
	if to.currentLoss() != lossNone {
		return nil, to.failCall(ctx)
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-to.lost:
			stop()
		case <-callCtx.Done():
		}
	}()
	response, err := to.follower.Follow(callCtx, ask)
	if to.currentLoss() != lossNone {
		return nil, to.failCall(ctx)
	}
	if err == nil && !rrunit.Sleep(ctx, way) {
		err = ctx.Err()
	}
	return response, err
}

// failCall ends a call to a daemon that is lost.
func (d *simDaemon) failCall(ctx context.Context) error {
	if d.currentLoss() == lossSilent {
		<-ctx.Done()
	}
	return errors.New("daemon is lost")
}

func (d *simDaemon) SendEvidence(context.Context, netip.AddrPort, *rrpeer.Evidence, time.Duration) (*rrpeer.EvidenceReply, error) {
	return &rrpeer.EvidenceReply{}, nil
}

// peerTimeoutMargin is how much longer than the requested wait a call to another daemon takes
// at most.
const peerTimeoutMargin = 700 * time.Millisecond

// simFleet is a fleet of followers in the test's process, in its virtual time.
type simFleet struct {
	store     *simStore
	log       *rrlog.Log
	daemons   []*simDaemon
	byAddress map[netip.AddrPort]*simDaemon
}

// simRegions is how many regions the daemons are in, by turns.
const simRegions = 3

// newSimFleet starts a fleet and waits until it is settled. It must be closed.
func newSimFleet(t *testing.T, n int, bound time.Duration) *simFleet {
	t.Helper()
	f := &simFleet{store: newSimStore(), log: rrlog.New(io.Discard), byAddress: make(map[netip.AddrPort]*simDaemon)}
	f.store.putTable(1)
	f.store.putSearcher(rrcatalog.SearcherReady)
	metrics := rrmetrics.NewGatewayMetrics()
	for i := range n {
		d := &simDaemon{fleet: f, done: make(chan struct{}), lost: make(chan struct{}), tables: make(map[rrunit.DefinitionNumber]time.Time)}
		d.instance = rrcatalog.Instance{
			ID: rrunit.InstanceID(fmt.Sprintf("d%d", i)), Region: rrunit.Region(fmt.Sprintf("r%d", i%simRegions)),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 7000),
		}
		d.follower = rrfollow.New(rrfollow.Config{
			Self: d.instance, ColdStart: true, LimitWindow: 10 * time.Second, Store: simClient{f.store, d}, Feeds: d, Log: f.log, Metrics: metrics,
			ApplyBound: bound,
			Update:     d.update, Quarantine: func(rrpeer.Quarantine) {}, TakeCrashes: func() []rrpeer.CrashedRun { return nil },
			AddPeerCrash: func(rrpeer.CrashedRun) {}, TakeEvidence: func() []rrpeer.SearcherEvidence { return nil }, MergeEvidence: func([]rrpeer.SearcherEvidence) {},
		})
		f.daemons = append(f.daemons, d)
		f.byAddress[d.instance.PeerAddress] = d
	}
	for _, d := range f.daemons {
		ctx, stop := context.WithCancel(t.Context())
		d.stop = stop
		go func() {
			defer close(d.done)
			d.follower.Run(ctx)
		}()
	}
	time.Sleep(settleTime)
	return f
}

// settleTime is how long a new fleet is left alone.
const settleTime = 30 * time.Second

func (f *simFleet) close() {
	for _, d := range f.daemons {
		d.stop()
	}
	for _, d := range f.daemons {
		<-d.done
	}
	f.log.Close()
}

// way returns the time of one way between two daemons.
func (f *simFleet) way(a, b *simDaemon) time.Duration {
	if a.instance.Region == b.instance.Region {
		return 500 * time.Microsecond
	}
	return 20 * time.Millisecond
}

// readers returns the daemons that read the store.
func (f *simFleet) readers() []*simDaemon {
	var out []*simDaemon
	for _, d := range f.daemons {
		if d.currentLoss() == lossNone && d.follower.State().ReadsStore {
			out = append(out, d)
		}
	}
	return out
}

// others returns the daemons that are not among those given.
func (f *simFleet) others(daemons []*simDaemon) []*simDaemon {
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return slices.Contains(daemons, d) })
}
