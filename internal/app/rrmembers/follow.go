package rrmembers

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Times between two tries to reach the platform or a seed. They double with each
// failure, so that a fleet that waits for the platform does not flood it.
const (
	retryInterval = 250 * time.Millisecond
	maxRetry      = 4 * time.Second
)

// backoff is the time until the next try. The zero value is that after the first
// failure.
type backoff time.Duration

// next returns the time to wait after one more failure; half of it is random.
func (b *backoff) next() time.Duration {
	d := min(max(2*time.Duration(*b), retryInterval), maxRetry)
	*b = backoff(d)
	return d/2 + rand.N(d/2)
}

// beat sends the heartbeats and publishes the views.
func (m *Members) beat(ctx context.Context) {
	ticker := time.NewTicker(rrmember.HeartbeatInterval)
	defer ticker.Stop()
	var last []rrmember.Peer
	var list *rrstore.List
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-ticker.C:
			m.tick()
		}
		view := m.view()
		if view.List == nil || (view.List == list && slices.Equal(view.Workers, last)) {
			continue
		}
		last, list = view.Workers, view.List
		m.onView(view)
	}
}

func (m *Members) tick() {
	own := m.quarantines()
	m.mu.Lock()
	now := m.clock()
	for _, q := range own {
		m.node.Members().AddQuarantine(now, q)
	}
	actions := m.node.Tick(now)
	m.mu.Unlock()
	m.perform(actions)
}

func (m *Members) view() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := m.node.Members().List().Peers()
	v := View{List: m.current, Workers: make([]rrmember.Peer, 0, len(peers))}
	for i := range peers {
		if m.node.Members().CanOwnShards(&peers[i]) {
			v.Workers = append(v.Workers, peers[i])
		}
	}
	return v
}

// readsPlatform reports whether this daemon reads the platform itself.
func (m *Members) readsPlatform() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.ReadsPlatform()
}

// followDefinition watches the store while this daemon is a watcher or knows no
// definition yet.
func (m *Members) followDefinition(ctx context.Context) {
	var seen rrstore.Version
	var retry backoff
	for ctx.Err() == nil {
		if !m.readsPlatform() {
			rrunit.Sleep(ctx, time.Second)
			continue
		}
		o, err := m.watch(ctx, seen)
		switch {
		case errors.Is(err, context.Canceled):
			continue
		case err == nil:
			err = m.storedDefinition(o.Value)
			seen = o.Version
		}
		if err != nil {
			m.cfg.Log.Debug("definition not read", "err", err)
			rrunit.Sleep(ctx, retry.next())
			continue
		}
		retry = 0
	}
}

// storedDefinition puts the store's definition in use. Daemons copy it from each
// other uncompressed, since differences of compressed values are large.
func (m *Members) storedDefinition(value []byte) error {
	value, err := rrdefinition.Decompress(value)
	if err != nil {
		return err
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	return m.useDefinition(value)
}

// watch waits for a newer definition in the store. It ends early when this
// daemon is no watcher any more, so that few watches wait at the store.
func (m *Members) watch(ctx context.Context, seen rrstore.Version) (rrstore.Object, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for m.readsPlatform() {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
		}
		cancel()
	}()
	return m.cfg.Platform.Watch(ctx, m.cfg.Key, seen)
}

// A list of up to smallList bytes is read at every interval. Of a larger one a
// daemon reads listBudget bytes a second; the watchers of all zones then take turns.
const (
	smallList  = 16 << 10
	listBudget = 5_000
)

// listTurns is the middle number of intervals between two readings of the list
// by a daemon that is no watcher.
const listTurns = 10

// followList reads the platform's list while this daemon is a watcher, or when
// nobody else seems to read it.
func (m *Members) followList(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		m.mu.Lock()
		watches := m.node.ReadsPlatform()
		reads := watches || m.node.ReadsListOnce(m.clock())
		m.mu.Unlock()
		wait := m.cfg.ListInterval
		if reads {
			size, err := m.readList(ctx)
			if err == nil {
				retry = 0
			} else if ctx.Err() == nil {
				m.cfg.Log.Debug("list not read", "err", err)
				wait = max(wait, retry.next())
			}
			// Half of the wait is random, so that readers do not stay in step.
			full := time.Duration(max(0, size-smallList)) * time.Second / listBudget
			wait = max(wait, full/2+rand.N(full+1))
		}
		if reads && !watches {
			// Many daemons may be without a reader; they take turns.
			wait += rand.N(2 * listTurns * m.cfg.ListInterval)
		}
		rrunit.Sleep(ctx, wait)
	}
}

// readList reads the list once and returns the size of its document.
func (m *Members) readList(ctx context.Context) (int, error) {
	started := m.clock()
	list, err := m.cfg.Platform.List(ctx)
	if err != nil {
		return 0, err
	}
	value, err := encodeList(&list)
	if err != nil {
		return 0, err
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	return len(value), m.useList(value, m.clock().Sub(started))
}

// join learns list and definition from the seeds while nothing is known, for a
// start without the platform.
func (m *Members) join(ctx context.Context) {
	for ctx.Err() == nil && len(m.cfg.Seeds) > 0 {
		m.mu.Lock()
		noList, noDefinition := m.current == nil, m.node.Number() == 0
		m.mu.Unlock()
		if !noList && !noDefinition {
			return
		}
		seed := m.cfg.Seeds[rand.IntN(len(m.cfg.Seeds))]
		if noList {
			m.fetch(ctx, seed, rrpeer.DocumentList)
		}
		if noDefinition {
			m.fetch(ctx, seed, rrpeer.DocumentDefinition)
		}
		rrunit.Sleep(ctx, retryInterval)
	}
}

// Number returns the number of the definition in use.
func (m *Members) Number() rrunit.DefinitionNumber {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Number()
}
