// Package rrplatformfake is a small stand-in for the platform: an object store
// with versions, conditional updates and watches, and the list of instances. It
// keeps everything in memory and can be told to fail.
package rrplatformfake

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Faults says how the stand-in misbehaves.
type Faults struct {
	// Down refuses every call without effect.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// AnswerDelay is the time between the effect of a write and its answer.
	AnswerDelay time.Duration `json:"late"`
	// LoseAnswers carries out this many writes and drops their answers.
	LoseAnswers int `json:"lose"`
	// VersionLag serves reads of this many versions ago.
	VersionLag int `json:"stale"`
}

// Counts says what the stand-in was asked.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	mux *http.ServeMux

	// mu guards everything below.
	mu      sync.Mutex
	history map[rrstore.Key][]rrstore.Object
	changed chan struct{}
	list    rrstore.List
	faults  Faults
	counts  Counts
}

// New returns an empty stand-in.
func New() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		history: make(map[rrstore.Key][]rrstore.Object),
		changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/objects/{key}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key}", p.put)
	p.mux.HandleFunc("GET /v1/instances", p.getList)
	p.mux.HandleFunc("PUT /v1/instances", p.putList)
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	p.mux.HandleFunc("GET /v1/counts", p.getCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults changes how the stand-in misbehaves.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(l rrstore.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = l
}

// Counts returns what the stand-in was asked so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Create stores the first version of an object.
func (p *Platform) Create(key rrstore.Key, value []byte) error {
	if _, _, ok := p.store(key, value, 0); !ok {
		return rrstore.ErrConflict
	}
	return nil
}

// Update stores a version of an object after the base given.
func (p *Platform) Update(key rrstore.Key, value []byte, base rrstore.Version) error {
	if _, _, ok := p.store(key, value, base); !ok {
		return rrstore.ErrConflict
	}
	return nil
}

// Object returns the newest version of an object; version zero if there is
// none.
func (p *Platform) Object(key rrstore.Key) rrstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest(key, 0)
}

// Objects returns the newest version of every object.
func (p *Platform) Objects() map[rrstore.Key]rrstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[rrstore.Key]rrstore.Object, len(p.history))
	for key := range maps.Keys(p.history) {
		out[key] = p.newest(key, 0)
	}
	return out
}

// newest returns the object as it was some versions ago. The caller holds mu.
func (p *Platform) newest(key rrstore.Key, ago int) rrstore.Object {
	h := p.history[key]
	if len(h) == 0 {
		return rrstore.Object{Key: key}
	}
	return h[max(0, len(h)-1-ago)]
}

// wake ends the waits of all watches. The caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit applies delay and outage. It returns false after answering.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
		}
	}
	if f.Down {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
	}
	return !f.Down
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	key := rrstore.Key(r.PathValue("key"))
	if r.URL.Query().Has("after") {
		p.watch(w, r, key)
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	o := p.newest(key, p.faults.VersionLag)
	p.mu.Unlock()
	writeObject(w, o)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key rrstore.Key) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(wait)
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		o, changed, down := p.newest(key, p.faults.VersionLag), p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		if uint64(o.Version) > after {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeObject(w http.ResponseWriter, o rrstore.Object) {
	if o.Version == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(o.Version), 10)))
	_, _ = w.Write(o.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(rrstore.MaxValueSize)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	base, ok := baseVersion(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match is missing", http.StatusBadRequest)
		return
	}
	version, lose, ok := p.store(rrstore.Key(r.PathValue("key")), value, base)
	p.mu.Lock()
	late := p.faults.AnswerDelay
	p.mu.Unlock()
	time.Sleep(late)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(w, "the object has another version", http.StatusPreconditionFailed)
	default:
		w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10)))
	}
}

func baseVersion(r *http.Request) (rrstore.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	n, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return rrstore.Version(n), err == nil && n > 0
}

// store carries out a conditional update. lose says that its answer is to be
// dropped.
func (p *Platform) store(key rrstore.Key, value []byte, base rrstore.Version) (v rrstore.Version, lose, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if p.newest(key, 0).Version != base {
		return 0, false, false
	}
	o := rrstore.Object{Key: key, Version: base + 1, Value: value}
	p.history[key] = append(p.history[key], o)
	p.trim(key)
	p.wake()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return o.Version, true, true
	}
	return o.Version, false, true
}

// maxHistory is how many versions of an object are kept for stale reads.
const maxHistory = 16

func (p *Platform) trim(key rrstore.Key) {
	if h := p.history[key]; len(h) > maxHistory {
		p.history[key] = append([]rrstore.Object(nil), h[len(h)-maxHistory:]...)
	}
}

func (p *Platform) getList(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	l := p.list
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (p *Platform) putList(w http.ResponseWriter, r *http.Request) {
	var l rrstore.List
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(l)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Counts())
}
