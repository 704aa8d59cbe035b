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

// Bounds of the delay between two attempts to reach the platform or a seed. It doubles
// with each failure, so that many waiting daemons do not overload the platform.
const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
)

// backoff is the current delay of an exponential backoff with jitter. The zero value
// is the state before the first failure.
type backoff time.Duration

// next returns the delay after one more failure. Half of it is random.
func (b *backoff) next() time.Duration {
	d := min(max(2*time.Duration(*b), minRetryDelay), maxRetryDelay)
	*b = backoff(d)
	return d/2 + rand.N(d/2)
}

// heartbeatLoop sends the heartbeats and publishes changed views.
func (m *ControlPlane) heartbeatLoop(ctx context.Context) {
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

func (m *ControlPlane) tick() {
	own := m.ownQuarantines()
	m.mu.Lock()
	now := m.clock()
	for _, q := range own {
		m.gossip.Members().AddQuarantine(now, q)
	}
	actions := m.gossip.Tick(now)
	m.mu.Unlock()
	m.perform(actions)
}

func (m *ControlPlane) view() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := m.gossip.Members().List().Peers()
	v := View{List: m.currentList, Workers: make([]rrmember.Peer, 0, len(peers))}
	for i := range peers {
		if m.gossip.Members().CanOwnShards(&peers[i]) {
			v.Workers = append(v.Workers, peers[i])
		}
	}
	return v
}

// readsPlatform reports whether this daemon reads the list and the definition from the
// platform itself.
func (m *ControlPlane) readsPlatform() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossip.ReadsPlatform()
}

// watchDefinition watches the definition in the store while this daemon is a watcher
// or lacks the list or the definition.
func (m *ControlPlane) watchDefinition(ctx context.Context) {
	var last rrstore.Version
	var retry backoff
	for ctx.Err() == nil {
		if !m.readsPlatform() {
			rrunit.Sleep(ctx, time.Second)
			continue
		}
		o, err := m.watchStore(ctx, last)
		switch {
		case errors.Is(err, context.Canceled):
			continue
		case err == nil:
			err = m.applyStoredDefinition(o.Value)
			last = o.Version
		}
		if err != nil {
			m.cfg.Log.Debug("definition not read", "err", err)
			rrunit.Sleep(ctx, retry.next())
			continue
		}
		retry = 0
	}
}

// applyStoredDefinition applies the store's definition. It is kept uncompressed, as
// daemons send each other differences, and those of compressed values are large.
func (m *ControlPlane) applyStoredDefinition(value []byte) error {
	value, err := rrdefinition.Decompress(value)
	if err != nil {
		return err
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return m.applyDefinition(value)
}

// watchStore waits for a newer definition in the store. It is cancelled when this
// daemon stops reading the platform, so that the store has few open watches.
func (m *ControlPlane) watchStore(ctx context.Context, last rrstore.Version) (rrstore.Object, error) {
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
	return m.cfg.Platform.Watch(ctx, m.cfg.DefinitionKey, last)
}

// A list of up to smallListBytes is read at every interval. Of a larger list a daemon
// reads about listBytesPerSecond, so that the readings are spread over the watchers of
// all zones.
const (
	smallListBytes     = 16 << 10
	listBytesPerSecond = 5_000
)

// nonWatcherReadIntervals is the average number of additional intervals between two
// readings of the list by a daemon that is not a watcher.
const nonWatcherReadIntervals = 10

// pollList reads the platform's list while this daemon is a watcher, or when no fresh
// reading arrives from other daemons.
func (m *ControlPlane) pollList(ctx context.Context) {
	var retry backoff
	for ctx.Err() == nil {
		m.mu.Lock()
		watches := m.gossip.ReadsPlatform()
		reads := watches || m.gossip.ReadsListOnce(m.clock())
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
			// The jitter prevents readers from synchronizing.
			sizeWait := time.Duration(max(0, size-smallListBytes)) * time.Second / listBytesPerSecond
			wait = max(wait, sizeWait/2+rand.N(sizeWait+1))
		}
		if reads && !watches {
			// Many daemons may lack a fresh reading at the same time, so their reads
			// are spread over time.
			wait += rand.N(2 * nonWatcherReadIntervals * m.cfg.ListInterval)
		}
		rrunit.Sleep(ctx, wait)
	}
}

// readList reads the list once and returns the size of its document.
func (m *ControlPlane) readList(ctx context.Context) (int, error) {
	started := m.clock()
	list, err := m.cfg.Platform.List(ctx)
	if err != nil {
		return 0, err
	}
	value, err := encodeList(&list)
	if err != nil {
		return 0, err
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	return len(value), m.applyList(value, m.clock().Sub(started))
}

// bootstrap fetches the list and the definition from the seeds until the daemon has
// both, so that it can start while the platform is down.
func (m *ControlPlane) bootstrap(ctx context.Context) {
	for ctx.Err() == nil && len(m.cfg.Seeds) > 0 {
		m.mu.Lock()
		noList, noDefinition := m.currentList == nil, m.gossip.Number() == 0
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
		rrunit.Sleep(ctx, minRetryDelay)
	}
}

// Number returns the number of the definition in use.
func (m *ControlPlane) Number() rrunit.DefinitionNumber {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossip.Number()
}
