// Package rrmembers runs the control plane of a daemon: heartbeats with peers,
// the copies of the definition and of the platform's list, and the watches of
// the store. Its decisions are those of rrmember and rrgossip.
package rrmembers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgossip"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Platform is what the control plane reads.
type Platform interface {
	rrstore.Store
	rrstore.Lister
}

// View is one state of the membership. It is immutable.
type View struct {
	// List is the platform's list.
	List *rrstore.List
	// Workers are the peers, and this daemon, that can own shards.
	Workers []rrmember.Peer
}

// Config says who the daemon is and where its peers and platform are.
type Config struct {
	Self     rrmember.Peer
	Key      rrstore.Key
	Platform Platform
	Controls rrpeers.ControlClients
	// Seeds are addresses of peers, for a start without the platform.
	Seeds []string
	// ListInterval is the time between two readings of the platform's list.
	ListInterval time.Duration
	Log          *log.Logger
}

// Members is the control plane. It is safe for concurrent use.
type Members struct {
	cfg          Config
	clock        rrunit.Clock
	onDefinition func(*rrdefinition.Definition)
	onView       func(View)
	onQuarantine func(rrpeer.Quarantine)
	quarantines  func() []rrpeer.Quarantine

	// running counts the calls under way.
	running sync.WaitGroup
	// changed has one element when a view may have changed.
	changed chan struct{}

	// applying is held while a definition or list is put in use, so that they
	// come in order. It is taken before mu.
	applying sync.Mutex

	// mu guards everything below.
	mu  sync.Mutex
	ctx context.Context
	// closed says that no call may start any more.
	closed     bool
	node       *rrgossip.Node
	definition history
	list       history
	current    *rrstore.List
	// bare has the documents to fetch whole next time, after a copy that did
	// not fit.
	bare map[rrpeer.Document]bool
}

// Option changes how Members is built.
type Option func(*Members)

// WithDefinition sets who gets each new definition. Numbers only rise.
func WithDefinition(f func(*rrdefinition.Definition)) Option {
	return func(m *Members) { m.onDefinition = f }
}

// WithView sets who gets each new view.
func WithView(f func(View)) Option { return func(m *Members) { m.onView = f } }

// WithQuarantines sets who is asked for the daemon's own quarantines, and who
// gets those of others.
func WithQuarantines(own func() []rrpeer.Quarantine, others func(rrpeer.Quarantine)) Option {
	return func(m *Members) {
		m.quarantines = own
		m.onQuarantine = others
	}
}

// New returns the control plane of a daemon. Nothing happens before Run.
func New(cfg Config, opts ...Option) *Members {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &Members{
		cfg:          cfg,
		clock:        rrunit.SystemClock(),
		onDefinition: func(*rrdefinition.Definition) {},
		onView:       func(View) {},
		onQuarantine: func(rrpeer.Quarantine) {},
		quarantines:  func() []rrpeer.Quarantine { return nil },
		changed:      make(chan struct{}, 1),
		ctx:          context.Background(),
		node:         rrgossip.NewNode(rrmember.New(cfg.Self, rng)),
		bare:         make(map[rrpeer.Document]bool),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run works until ctx ends and all calls have returned.
func (m *Members) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.running.Go(func() { m.beat(ctx) })
	m.running.Go(func() { m.followDefinition(ctx) })
	m.running.Go(func() { m.followList(ctx) })
	m.running.Go(func() { m.join(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.running.Wait()
}

// Leave tells the peers that this daemon leaves.
func (m *Members) Leave() {
	m.mu.Lock()
	m.node.Members().SetLeaving()
	actions := m.node.Tick(m.clock())
	m.mu.Unlock()
	m.perform(actions)
	m.notify()
}

// Status returns what is known of the whole deployment.
func (m *Members) Status() rrmember.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Members().Status(m.clock())
}

// Exchange implements rrpeers.Control for the peers that call.
func (m *Members) Exchange(_ context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	m.mu.Lock()
	reply, actions, fresh := m.node.Receive(m.clock(), d)
	m.mu.Unlock()
	m.take(actions, fresh)
	return &reply, nil
}

// Fetch implements rrpeers.Control for the peers that call.
func (m *Members) Fetch(_ context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Document == rrpeer.DocumentDefinition {
		return m.definition.answer(a), nil
	}
	c := m.list.answer(a)
	c.ListAge = rrpeer.NewAge(m.node.ListAge(m.clock()))
	return c, nil
}

// take carries out what a digest led to.
func (m *Members) take(actions []rrgossip.Action, fresh []rrpeer.Quarantine) {
	for _, q := range fresh {
		m.onQuarantine(q)
	}
	m.perform(actions)
	m.notify()
}

// notify has the view worked out again.
func (m *Members) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// perform starts the actions.
func (m *Members) perform(actions []rrgossip.Action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx := m.ctx
	if m.closed {
		return
	}
	for _, a := range actions {
		switch a.Kind {
		case rrgossip.ActionExchange:
			m.running.Go(func() { m.exchange(ctx, a.Peer, &a.Digest) })
		case rrgossip.ActionFetch:
			m.running.Go(func() { m.fetch(ctx, a.Peer.Address, a.Document) })
		}
	}
}

func (m *Members) exchange(ctx context.Context, to rrmember.Peer, d *rrpeer.Digest) {
	reply, err := m.call(ctx, to.Address, d)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	if err != nil {
		m.node.ExchangeFailed(m.clock(), to.ID)
		m.mu.Unlock()
		m.notify()
		m.cfg.Log.Debug("peer silent", "peer", to.ID, "err", err)
		return
	}
	actions, fresh := m.node.ReceiveReply(m.clock(), reply)
	m.mu.Unlock()
	m.take(actions, fresh)
}

func (m *Members) call(ctx context.Context, address string, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	c, err := m.cfg.Controls.Control(address)
	if err != nil {
		return nil, err
	}
	return c.Exchange(ctx, d)
}

// fetch copies a document from a peer and puts it in use if it is newer.
func (m *Members) fetch(ctx context.Context, address string, what rrpeer.Document) {
	err := m.copyFrom(ctx, address, what)
	m.mu.Lock()
	m.node.FetchEnded(what)
	m.bare[what] = err != nil
	m.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		m.cfg.Log.Debug("document not copied", "document", what, "peer", address, "err", err)
	}
}

func (m *Members) copyFrom(ctx context.Context, address string, what rrpeer.Document) error {
	c, err := m.cfg.Controls.Control(address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	h := m.history(what)
	ask := &rrpeer.FetchRequest{Document: what, Base: h.newest().sum}
	if m.bare[what] {
		ask.Base = 0
	}
	m.mu.Unlock()
	sent := m.clock()
	got, err := c.Fetch(ctx, ask)
	if err != nil {
		return err
	}
	if got.Document != what || got.Sum == 0 {
		return eris.Errorf("peer %s has no %s", address, what)
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	m.mu.Lock()
	value, err := h.whole(got, ask.Base)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if what == rrpeer.DocumentList {
		return m.useList(value, got.ListAge.Std()+m.clock().Sub(sent))
	}
	return m.useDefinition(value)
}

// history returns the versions of a document. The caller holds mu to use them.
func (m *Members) history(what rrpeer.Document) *history {
	if what == rrpeer.DocumentList {
		return &m.list
	}
	return &m.definition
}

// useDefinition puts a definition in use if it is newer. The caller holds
// applying.
func (m *Members) useDefinition(value []byte) error {
	def, err := rrdefinition.Decode(value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	newer := m.node.IsNewer(def.Number)
	m.mu.Unlock()
	if !newer {
		return nil
	}
	m.onDefinition(def)
	m.mu.Lock()
	m.definition.add(def.Number, value)
	actions := m.node.DefinitionApplied(m.clock(), def.Number)
	m.mu.Unlock()
	m.cfg.Log.Info("definition in use", "number", def.Number)
	m.perform(actions)
	return nil
}

// useList puts a reading of the list in use if it is newer. The caller holds
// applying.
func (m *Members) useList(value []byte, age time.Duration) error {
	list, peers, err := decodeList(value)
	if err != nil {
		return err
	}
	now := m.clock()
	m.mu.Lock()
	if !m.node.OfferList(now, peers.Sum(), age) {
		m.mu.Unlock()
		return nil
	}
	m.list.add(0, value)
	m.current = list
	actions := m.node.SetList(now, peers)
	m.mu.Unlock()
	m.perform(actions)
	m.notify()
	return nil
}

// encodeList returns the document of a list. Equal lists have equal documents.
func encodeList(l *rrstore.List) ([]byte, error) {
	b, err := json.Marshal(l)
	return b, eris.Wrap(err, "encoding the list")
}
