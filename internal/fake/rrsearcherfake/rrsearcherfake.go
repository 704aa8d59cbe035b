// Package rrsearcherfake is a small stand-in for a searcher: slots, a limit on
// connections, load reports, draining, index versions, cancellation and
// deadlines over a generated data set. Tests can inject faults.
package rrsearcherfake

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrsearch"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// CrashMarker in a request's body makes the searcher close all its connections.
const CrashMarker = "crash-the-searcher"

// Behaviour configures the searcher and its faults; tests change it at runtime.
type Behaviour struct {
	// Versions are the index versions that the searcher serves.
	Versions []rrunit.IndexVersion `json:"versions"`
	// AdvertisedVersions are listed in load reports in addition to Versions, but not
	// served.
	AdvertisedVersions []rrunit.IndexVersion `json:"claimversions"`
	// Latency is the median duration of a subquery.
	Latency time.Duration `json:"latency"`
	// ExtraLatency is added to one in ExtraLatencyOneIn subqueries at random.
	ExtraLatency      time.Duration `json:"slow"`
	ExtraLatencyOneIn int           `json:"slowonein"`
	// Draining refuses new work and is reported in load reports.
	Draining bool `json:"draining"`
	// HideDraining omits draining from load reports, and accepts new work.
	HideDraining bool `json:"hidedraining"`
	// HideDrainingInLoad omits draining from load reports only.
	HideDrainingInLoad bool `json:"staleload"`
	// WrongVersion is the wrong version that replies state; zero for the right one.
	WrongVersion rrunit.IndexVersion `json:"lieversion"`
	// AbortBeforeReply aborts the connection after the execution, before the reply.
	AbortBeforeReply bool `json:"cutafter"`
	// AbortBeforeExecution aborts the connection before the execution.
	AbortBeforeExecution bool `json:"cutbefore"`
}

// Execution is one completed execution of a subquery.
type Execution struct {
	ID     rrunit.RequestID `json:"id"`
	Caller rrunit.CallerID  `json:"caller"`
	Shard  rrunit.ShardName `json:"shard"`
	Body   string           `json:"body"`
	At     time.Time        `json:"at"`
}

// Searcher is the stand-in for one searcher. It is an http.Handler.
type Searcher struct {
	service  rrunit.ServiceName
	layout   *rrdefinition.Layout
	shard    rrunit.ShardName
	self     rrdefinition.Searcher
	listener net.Listener
	server   *http.Server

	// mu guards everything below.
	mu            sync.Mutex
	behaviour     Behaviour
	busy          int
	maxConcurrent int
	executions    []Execution
	received      int
	crashes       int
	rand          *rand.Rand
}

// New returns a searcher of the shard; Start makes it listen.
func New(service rrunit.ServiceName, layout *rrdefinition.Layout, shard rrunit.ShardName,
	self rrdefinition.Searcher, behave Behaviour,
) *Searcher {
	return &Searcher{
		service:   service,
		layout:    layout,
		shard:     shard,
		self:      self,
		behaviour: behave,
		rand:      rand.New(rand.NewPCG(uint64(self.Slots), uint64(len(self.ID)))),
	}
}

// Start listens at the searcher's address in the definition and serves until
// Close.
func (s *Searcher) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.self.Address)
	if err != nil {
		return eris.Wrapf(err, "listening for searcher %s", s.self.ID)
	}
	s.listener = netutil.LimitListener(l, s.self.Connections)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	s.server = &http.Server{Handler: s, Protocols: protocols, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(s.listener) }()
	return nil
}

// Close stops listening and closes all connections.
func (s *Searcher) Close() error { return s.server.Close() }

// UpdateBehaviour changes the behaviour.
func (s *Searcher) UpdateBehaviour(change func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behaviour)
}

// State is the record of the searcher's work, for tests.
type State struct {
	ID rrunit.SearcherID `json:"id"`
	// Executions are the executed subqueries, oldest first.
	Executions []Execution `json:"runs"`
	// Received counts all subqueries that arrived, including refused ones.
	Received int `json:"received"`
	// MaxConcurrent is the highest number of subqueries executed at once.
	MaxConcurrent int `json:"most"`
	// Crashes counts the subqueries that made the searcher close all connections.
	Crashes int `json:"crashes"`
}

// State returns the record of the searcher's work so far.
func (s *Searcher) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		ID:            s.self.ID,
		Executions:    append([]Execution(nil), s.executions...),
		Received:      s.received,
		MaxConcurrent: s.maxConcurrent,
		Crashes:       s.crashes,
	}
}

// ServeHTTP implements http.Handler.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		_ = json.NewEncoder(w).Encode(s.load())
	case "/search":
		s.search(w, r)
	case "/behaviour":
		s.putBehaviour(w, r)
	case "/state":
		_ = json.NewEncoder(w).Encode(s.State())
	default:
		http.NotFound(w, r)
	}
}

func (s *Searcher) putBehaviour(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b := s.behaviour
	s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.UpdateBehaviour(func(to *Behaviour) { *to = b })
}

func (s *Searcher) load() rrupstream.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := rrupstream.Load{
		Slots:     s.self.Slots,
		BusySlots: s.busy,
		Draining:  s.behaviour.Draining && !s.behaviour.HideDraining && !s.behaviour.HideDrainingInLoad,
	}
	for _, v := range slices.Concat(s.behaviour.Versions, s.behaviour.AdvertisedVersions) {
		l.Snapshots = append(l.Snapshots, rrunit.Snapshot{Version: v, Layout: s.layout.Name})
	}
	return l
}

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	var req rrupstream.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, rrupstream.OutcomeRejected)
		return
	}
	behave, ok := s.admit(w, &req)
	if !ok {
		return
	}
	defer s.release()
	if behave.AbortBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(req.Body), CrashMarker) {
		s.crash(&req)
		return
	}
	if !s.execute(r.Context(), &req, behave) {
		return
	}
	s.record(&req)
	if behave.AbortBeforeReply {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, &req, behave)
}

// admit occupies a slot, or answers with a refusal and returns false.
func (s *Searcher) admit(w http.ResponseWriter, req *rrupstream.Request) (Behaviour, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	switch {
	case s.behaviour.Draining && !s.behaviour.HideDraining:
		refuse(w, http.StatusServiceUnavailable, rrupstream.OutcomeDraining)
	case req.Shard != s.shard || !s.serves(req.Snapshot):
		refuse(w, http.StatusConflict, rrupstream.OutcomeWrongSnapshot)
	case s.busy >= s.self.Slots:
		refuse(w, http.StatusServiceUnavailable, rrupstream.OutcomeShed)
	default:
		s.busy++
		s.maxConcurrent = max(s.maxConcurrent, s.busy)
		return s.behaviour, true
	}
	return Behaviour{}, false
}

// serves reports whether the searcher serves the snapshot. The caller holds mu.
func (s *Searcher) serves(snap rrunit.Snapshot) bool {
	if snap.Layout != s.layout.Name {
		return false
	}
	for _, v := range s.behaviour.Versions {
		if v == snap.Version {
			return true
		}
	}
	return false
}

func (s *Searcher) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

// execute waits for the duration of the subquery. It returns false if the caller
// cancelled or the deadline passed.
func (s *Searcher) execute(ctx context.Context, req *rrupstream.Request, behave Behaviour) bool {
	s.mu.Lock()
	d := time.Duration(float64(behave.Latency) * (0.5 + s.rand.Float64()))
	if behave.ExtraLatencyOneIn > 0 && s.rand.IntN(behave.ExtraLatencyOneIn) == 0 {
		d += behave.ExtraLatency
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, req.TimeLeft.Std())
	defer cancel()
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) record(req *rrupstream.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, Execution{
		ID: req.ID, Caller: req.Caller, Shard: req.Shard, Body: string(req.Body), At: time.Now(),
	})
}

// crash closes every connection, like a crashing process, and listens again at
// once.
func (s *Searcher) crash(req *rrupstream.Request) {
	s.record(req)
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	_ = s.server.Close()
	_ = s.Start(context.Background())
	panic(http.ErrAbortHandler)
}

func (s *Searcher) reply(w http.ResponseWriter, req *rrupstream.Request, behave Behaviour) {
	load := s.load()
	reply := rrsearch.Reply{
		Snapshot: req.Snapshot,
		Shard:    s.shard,
		Hits:     ShardHits(s.layout, s.shard, s.service, req.Snapshot.Version, req.Body, req.Limit),
		Load:     &load,
	}
	if behave.WrongVersion != 0 {
		reply.Snapshot.Version = behave.WrongVersion
	}
	_ = json.NewEncoder(w).Encode(&reply)
}

func refuse(w http.ResponseWriter, status int, o rrupstream.Outcome) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(&rrsearch.Reply{Refusal: o})
}
