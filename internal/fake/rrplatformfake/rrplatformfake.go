// Package rrplatformfake is a small in-memory stand-in for the platform: an object
// store with versions, conditional updates and watches, and the list of instances.
// Tests can inject faults.
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

// Faults are the injected faults.
type Faults struct {
	// Down answers every call with 503 and carries none out.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// AnswerDelay is the time between the effect of a write and its answer.
	AnswerDelay time.Duration `json:"late"`
	// LoseAnswers is how many of the next writes are carried out without an answer.
	LoseAnswers int `json:"lose"`
	// VersionLag is by how many versions reads lag.
	VersionLag int `json:"stale"`
}

// Counts are the numbers of calls received.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	mux *http.ServeMux

	// mu guards everything below.
	mu        sync.Mutex
	versions  map[rrstore.Key][]rrstore.Object
	changed   chan struct{}
	instances rrstore.List
	faults    Faults
	counts    Counts
}

// New returns an empty stand-in.
func New() *Platform {
	p := &Platform{
		mux:      http.NewServeMux(),
		versions: make(map[rrstore.Key][]rrstore.Object),
		changed:  make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/objects/{key}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key}", p.put)
	p.mux.HandleFunc("GET /v1/instances", p.getInstances)
	p.mux.HandleFunc("PUT /v1/instances", p.putInstances)
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	p.mux.HandleFunc("GET /v1/counts", p.getCounts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(l rrstore.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = l
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Create creates an object, or returns rrstore.ErrConflict if it exists.
func (p *Platform) Create(key rrstore.Key, value []byte) error {
	if _, _, ok := p.update(key, value, 0); !ok {
		return rrstore.ErrConflict
	}
	return nil
}

// Update stores the next version of an object, or returns rrstore.ErrConflict if
// its current version is not base.
func (p *Platform) Update(key rrstore.Key, value []byte, base rrstore.Version) error {
	if _, _, ok := p.update(key, value, base); !ok {
		return rrstore.ErrConflict
	}
	return nil
}

// Object returns the newest version of an object; its Version is zero if there is
// none.
func (p *Platform) Object(key rrstore.Key) rrstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version(key, 0)
}

// Objects returns the newest version of every object.
func (p *Platform) Objects() map[rrstore.Key]rrstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[rrstore.Key]rrstore.Object, len(p.versions))
	for key := range maps.Keys(p.versions) {
		out[key] = p.version(key, 0)
	}
	return out
}

// version returns an object as of ago versions back, or its oldest kept version.
// The caller holds mu.
func (p *Platform) version(key rrstore.Key, ago int) rrstore.Object {
	versions := p.versions[key]
	if len(versions) == 0 {
		return rrstore.Object{Key: key}
	}
	return versions[max(0, len(versions)-1-ago)]
}

// notifyWatches wakes all watches, which check the store again. The caller holds
// mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit applies the faults Delay and Down. It returns false if it has answered.
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
	o := p.version(key, p.faults.VersionLag)
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
		o, changed, down := p.version(key, p.faults.VersionLag), p.changed, p.faults.Down
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
	version, dropAnswer, ok := p.update(rrstore.Key(r.PathValue("key")), value, base)
	p.mu.Lock()
	answerDelay := p.faults.AnswerDelay
	p.mu.Unlock()
	time.Sleep(answerDelay)
	switch {
	case dropAnswer:
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

// update carries out a conditional update. It returns the new version, whether
// the answer is to be dropped, and whether the base version matched.
func (p *Platform) update(key rrstore.Key, value []byte, base rrstore.Version) (v rrstore.Version, dropAnswer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if p.version(key, 0).Version != base {
		return 0, false, false
	}
	o := rrstore.Object{Key: key, Version: base + 1, Value: value}
	p.versions[key] = append(p.versions[key], o)
	p.trim(key)
	p.notifyWatches()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return o.Version, true, true
	}
	return o.Version, false, true
}

// maxVersions is how many versions of an object are kept for stale reads.
const maxVersions = 16

func (p *Platform) trim(key rrstore.Key) {
	if versions := p.versions[key]; len(versions) > maxVersions {
		p.versions[key] = append([]rrstore.Object(nil), versions[len(versions)-maxVersions:]...)
	}
}

func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	p.mu.Lock()
	p.counts.Reads++
	l := p.instances
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(l)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
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
