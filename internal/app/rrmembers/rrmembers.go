// Package rrmembers runs the control plane of a daemon: the gossip with its peers, the
// copies of the definition and of the platform's list, and the reads of the platform.
// Packages rrmember and rrgossip make the decisions.
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

// Platform is the part of the platform that the control plane reads.
type Platform interface {
	rrstore.Store
	rrstore.Lister
}

// View is one immutable state of the membership.
type View struct {
	// List is the platform's list.
	List *rrstore.List
	// Workers are the daemons that can own shards, including this one.
	Workers []rrmember.Peer
}

// Config has the identity of the daemon and the access to its peers and the platform.
type Config struct {
	Self rrmember.Peer
	// DefinitionKey is the store key of the definition.
	DefinitionKey  rrstore.Key
	Platform       Platform
	ControlClients rrpeers.ControlClients
	// Seeds are addresses of peers, used to start while the platform is down.
	Seeds []string
	// ListInterval is the time between two readings of the platform's list.
	ListInterval time.Duration
	Log          *log.Logger
}

// ControlPlane is the control plane of a daemon. It is safe for concurrent use.
type ControlPlane struct {
	cfg            Config
	clock          rrunit.Clock
	onDefinition   func(*rrdefinition.Definition)
	onView         func(View)
	onQuarantine   func(rrpeer.Quarantine)
	ownQuarantines func() []rrpeer.Quarantine

	// running counts the goroutines.
	running sync.WaitGroup
	// changed has one element when the view may have changed.
	changed chan struct{}

	// applyMu is held while a definition or list is applied, so that they are applied
	// in order. It is locked before mu.
	applyMu sync.Mutex

	// mu guards the fields below.
	mu  sync.Mutex
	ctx context.Context
	// closed prevents new calls.
	closed            bool
	gossip            *rrgossip.Node
	definitionHistory history
	listHistory       history
	currentList       *rrstore.List
	// fetchFull is set for the documents to fetch in full, not as a difference, after
	// a fetch that failed.
	fetchFull map[rrpeer.Document]bool
}

// Option configures a ControlPlane.
type Option func(*ControlPlane)

// WithDefinitionHandler sets the callback for new definitions, whose numbers always increase.
func WithDefinitionHandler(f func(*rrdefinition.Definition)) Option {
	return func(m *ControlPlane) { m.onDefinition = f }
}

// WithViewHandler sets the callback for new views.
func WithViewHandler(f func(View)) Option { return func(m *ControlPlane) { m.onView = f } }

// WithQuarantines sets the function that returns this daemon's own quarantines, and the
// callback for those of other daemons.
func WithQuarantines(own func() []rrpeer.Quarantine, others func(rrpeer.Quarantine)) Option {
	return func(m *ControlPlane) {
		m.ownQuarantines = own
		m.onQuarantine = others
	}
}

// New returns the control plane of a daemon. It starts no goroutine before Run.
func New(cfg Config, opts ...Option) *ControlPlane {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &ControlPlane{
		cfg:            cfg,
		clock:          rrunit.SystemClock(),
		onDefinition:   func(*rrdefinition.Definition) {},
		onView:         func(View) {},
		onQuarantine:   func(rrpeer.Quarantine) {},
		ownQuarantines: func() []rrpeer.Quarantine { return nil },
		changed:        make(chan struct{}, 1),
		ctx:            context.Background(),
		gossip:         rrgossip.NewNode(rrmember.New(cfg.Self, rng)),
		fetchFull:      make(map[rrpeer.Document]bool),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run runs the control plane until ctx ends and all calls have returned.
func (m *ControlPlane) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.running.Go(func() { m.heartbeatLoop(ctx) })
	m.running.Go(func() { m.watchDefinition(ctx) })
	m.running.Go(func() { m.pollList(ctx) })
	m.running.Go(func() { m.bootstrap(ctx) })
	<-ctx.Done()
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.running.Wait()
}

// Leave announces to the peers that this daemon is leaving.
func (m *ControlPlane) Leave() {
	m.mu.Lock()
	m.gossip.Members().SetLeaving()
	actions := m.gossip.Tick(m.clock())
	m.mu.Unlock()
	m.perform(actions)
	m.signalChange()
}

// Status returns the status of the whole deployment, as far as this daemon has it.
func (m *ControlPlane) Status() rrmember.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gossip.Members().Status(m.clock())
}

// Exchange implements rrpeers.ControlClient for calls of peers.
func (m *ControlPlane) Exchange(_ context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	m.mu.Lock()
	reply, actions, fresh := m.gossip.Receive(m.clock(), d)
	m.mu.Unlock()
	m.handleReceived(actions, fresh)
	return &reply, nil
}

// Fetch implements rrpeers.ControlClient for calls of peers.
func (m *ControlPlane) Fetch(_ context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Document == rrpeer.DocumentDefinition {
		return m.definitionHistory.reply(a), nil
	}
	c := m.listHistory.reply(a)
	c.ListAge = rrpeer.NewAge(m.gossip.ListAge(m.clock()))
	return c, nil
}

// handleReceived carries out the actions that follow from a digest, and reports its
// new quarantines.
func (m *ControlPlane) handleReceived(actions []rrgossip.Action, fresh []rrpeer.Quarantine) {
	for _, q := range fresh {
		m.onQuarantine(q)
	}
	m.perform(actions)
	m.signalChange()
}

// signalChange makes heartbeatLoop compute the view again.
func (m *ControlPlane) signalChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// perform starts the actions.
func (m *ControlPlane) perform(actions []rrgossip.Action) {
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

func (m *ControlPlane) exchange(ctx context.Context, to rrmember.Peer, d *rrpeer.Digest) {
	reply, err := m.exchangeWith(ctx, to.Address, d)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	if err != nil {
		m.gossip.ExchangeFailed(m.clock(), to.ID)
		m.mu.Unlock()
		m.signalChange()
		m.cfg.Log.Debug("exchange with peer failed", "peer", to.ID, "err", err)
		return
	}
	actions, fresh := m.gossip.ReceiveReply(m.clock(), reply)
	m.mu.Unlock()
	m.handleReceived(actions, fresh)
}

func (m *ControlPlane) exchangeWith(ctx context.Context, address string, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	c, err := m.cfg.ControlClients.Control(address)
	if err != nil {
		return nil, err
	}
	return c.Exchange(ctx, d)
}

// fetch copies a document from a peer and applies it if it is newer.
func (m *ControlPlane) fetch(ctx context.Context, address string, what rrpeer.Document) {
	err := m.copyFrom(ctx, address, what)
	m.mu.Lock()
	m.gossip.FetchEnded(what)
	m.fetchFull[what] = err != nil
	m.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		m.cfg.Log.Debug("document not copied", "document", what, "peer", address, "err", err)
	}
}

func (m *ControlPlane) copyFrom(ctx context.Context, address string, what rrpeer.Document) error {
	c, err := m.cfg.ControlClients.Control(address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	h := m.history(what)
	request := &rrpeer.FetchRequest{Document: what, Base: h.newest().sum}
	if m.fetchFull[what] {
		request.Base = 0
	}
	m.mu.Unlock()
	sent := m.clock()
	got, err := c.Fetch(ctx, request)
	if err != nil {
		return err
	}
	if got.Document != what || got.Sum == 0 {
		return eris.Errorf("peer %s has no %s", address, what)
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	m.mu.Lock()
	value, err := h.reconstruct(got, request.Base)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	if what == rrpeer.DocumentList {
		return m.applyList(value, got.ListAge.Std()+m.clock().Sub(sent))
	}
	return m.applyDefinition(value)
}

// history returns the versions of a document. The caller must hold mu to use them.
func (m *ControlPlane) history(what rrpeer.Document) *history {
	if what == rrpeer.DocumentList {
		return &m.listHistory
	}
	return &m.definitionHistory
}

// applyDefinition applies a definition if it is newer. The caller holds applyMu.
func (m *ControlPlane) applyDefinition(value []byte) error {
	def, err := rrdefinition.Decode(value)
	if err != nil {
		return err
	}
	m.mu.Lock()
	newer := m.gossip.IsNewer(def.Number)
	m.mu.Unlock()
	if !newer {
		return nil
	}
	m.onDefinition(def)
	m.mu.Lock()
	m.definitionHistory.add(def.Number, value)
	actions := m.gossip.DefinitionApplied(m.clock(), def.Number)
	m.mu.Unlock()
	m.cfg.Log.Info("definition in use", "number", def.Number)
	m.perform(actions)
	return nil
}

// applyList applies a reading of the list if it is newer. The caller holds applyMu.
func (m *ControlPlane) applyList(value []byte, age time.Duration) error {
	list, peers, err := decodeList(value)
	if err != nil {
		return err
	}
	now := m.clock()
	m.mu.Lock()
	if !m.gossip.OfferList(now, peers.Sum(), age) {
		m.mu.Unlock()
		return nil
	}
	m.listHistory.add(0, value)
	m.currentList = list
	actions := m.gossip.SetList(now, peers)
	m.mu.Unlock()
	m.perform(actions)
	m.signalChange()
	return nil
}

// encodeList encodes a list as a document. Equal lists have equal documents.
func encodeList(l *rrstore.List) ([]byte, error) {
	b, err := json.Marshal(l)
	return b, eris.Wrap(err, "encoding the list")
}
