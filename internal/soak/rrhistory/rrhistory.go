// Package rrhistory keeps what callers and searchers saw in a soak run, and
// finds broken promises in it. It knows nothing of processes and proxies: who
// harms something says so.
package rrhistory

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgather"
	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// Promise names a promise of the pages.
type Promise string

// The promises that are checked.
const (
	// PromiseWhole: an answer is whole and its caller's own.
	PromiseWhole Promise = "whole"
	// PromiseSnapshot: an answer is from one version of the table.
	PromiseSnapshot Promise = "snapshot"
	// PromiseCoverage: an answer says which shards are missing.
	PromiseCoverage Promise = "coverage"
	// PromiseNotRun: what is said not to have run has not.
	PromiseNotRun Promise = "notrun"
	// PromiseOnce: a request that is not idempotent runs once at most.
	PromiseOnce Promise = "once"
	// PromiseAttempts: a request goes to no more searchers than its route allows.
	PromiseAttempts Promise = "attempts"
	// PromiseBudget: attempts beyond the first stay within the budget.
	PromiseBudget Promise = "budget"
	// PromiseLeaving: a leaving searcher gets no new work after the bound.
	PromiseLeaving Promise = "leaving"
	// PromiseForce: a version is in force within its bound.
	PromiseForce Promise = "force"
	// PromiseBack: a daemon never goes back to an older version.
	PromiseBack Promise = "back"
	// PromiseStop: a planned stop cuts no request, and ends in time.
	PromiseStop Promise = "stop"
	// PromiseGone: the work of a caller that left ends.
	PromiseGone Promise = "gone"
	// PromiseInput: a request that must not be passed on is refused and not run.
	PromiseInput Promise = "input"
	// PromiseAlive: a daemon does not end by itself.
	PromiseAlive Promise = "alive"
	// PromiseService: service is back after the faults.
	PromiseService Promise = "service"
	// PromiseResources: memory, descriptors and goroutines are back too.
	PromiseResources Promise = "resources"
)

// Broken is one broken promise.
type Broken struct {
	Promise Promise
	// IDs are the requests involved.
	IDs  []string
	What string
}

func (b Broken) String() string {
	return fmt.Sprintf("promise=%s ids=%s what=%q", b.Promise, strings.Join(b.IDs, ","), b.What)
}

// Bounds are what is promised.
type Bounds struct {
	// Attempts is how many searchers a request may be sent to, for each shard.
	Attempts int
	// Apply and Drain are within which a version and a leaving searcher are
	// known everywhere.
	Apply, Drain time.Duration
	// Gone is within which the work of a caller that left ends.
	Gone time.Duration
	// Stability is how long after a disturbance bounds do not hold yet.
	Stability time.Duration
	// Extra, Window and Slack are the budget of attempts beyond the first.
	Extra  rrunit.Share
	Window time.Duration
	Slack  int
	// Coverage is the least share of shards in an answer, TopK its records.
	Coverage rrunit.Share
	TopK     int
	// Records is how many records a shard answers with.
	Records int
}

// Answer is a request and how it ended.
type Answer struct {
	ID, Daemon, URI string
	// Service is where it goes; it is empty if it goes to all shards.
	Service string
	// Once is set if it is not idempotent.
	Once bool
	// Version is the version of the table that has the request's route; zero is
	// all.
	Version     int
	Sent, Ended time.Time
	// Status is zero if there was no answer.
	Status  int
	Stamps  []string
	Missing int
	Body    string
	// Left is set if its caller left before it was due.
	Left bool
	// Cut is set if the request was written and its connection ended without a
	// whole answer.
	Cut bool
}

func (a *Answer) isRefusal() bool {
	return slices.Contains([]int{408, 421, 429, 503}, a.Status)
}

// span is a time in which something disturbs a subject.
type span struct {
	from, to time.Time
	planned  bool
}

// version is a version of the table.
type version struct {
	number         int
	shards         []string
	written, acked time.Time
}

// History is what was seen in a run. It is safe for concurrent use.
type History struct {
	bounds Bounds

	// mu guards the fields below.
	mu      sync.Mutex
	answers map[string]*Answer
	seen    map[string][]standin.RequestEvent
	// worked are the ends of runs that nobody cancelled.
	worked map[string][]standin.RequestEvent
	// bad are the requests that must not be passed on.
	bad      []string
	versions []version
	left     map[string]time.Time
	disturb  map[string][]span
	starts   map[string][]time.Time
	broken   []Broken
}

// New returns an empty history.
func New(bounds Bounds) *History {
	return &History{
		bounds:  bounds,
		answers: make(map[string]*Answer),
		seen:    make(map[string][]standin.RequestEvent),
		worked:  make(map[string][]standin.RequestEvent),
		left:    make(map[string]time.Time),
		disturb: make(map[string][]span),
		starts:  make(map[string][]time.Time),
	}
}

// Break notes a broken promise.
func (h *History) Break(p Promise, ids []string, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fail(p, ids, format, args...)
}

func (h *History) fail(p Promise, ids []string, format string, args ...any) {
	h.broken = append(h.broken, Broken{Promise: p, IDs: ids, What: fmt.Sprintf(format, args...)})
}

// Disturb notes that a subject (a daemon with its links, a searcher, the store)
// is disturbed from now until the function returned is called. Planned stops
// count as disturbances of bounds, and excuse no request that is cut.
func (h *History) Disturb(subject string, planned bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.disturb[subject])
	h.disturb[subject] = append(h.disturb[subject], span{from: time.Now(), planned: planned})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.disturb[subject][n].to = time.Now()
	}
}

// Started notes that a daemon's process was started.
func (h *History) Started(daemon string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[daemon] = append(h.starts[daemon], time.Now())
}

// Written notes that a version is about to be written, Acked that it has been.
func (h *History) Written(number int, shards []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, version{number: number, shards: shards, written: time.Now()})
}

// Acked notes that the last version was acknowledged.
func (h *History) Acked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[len(h.versions)-1].acked = time.Now()
}

// Left notes that the store has acknowledged that a searcher leaves.
func (h *History) Left(searcher string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[searcher] = time.Now()
}

// Saw notes what a searcher received, or worked on to the end.
func (h *History) Saw(s standin.RequestEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Completed {
		h.worked[s.ID] = append(h.worked[s.ID], s)
		return
	}
	h.seen[s.ID] = append(h.seen[s.ID], s)
}

// Answered notes how a request ended, and checks its answer.
func (h *History) Answered(a *Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[a.ID] = a
	if a.Status != 200 {
		return
	}
	parts := make([][]byte, 0, len(a.Stamps))
	services := make([]string, 0, len(a.Stamps))
	for _, stamp := range a.Stamps {
		searcher, id, _ := strings.Cut(stamp, ".")
		service, _, _ := strings.Cut(searcher, "-")
		if id != a.ID || a.Service != "" && service != a.Service || slices.Contains(services, service) {
			h.fail(PromiseWhole, []string{a.ID}, "signature %s is not of this request", stamp)
			return
		}
		services = append(services, service)
		parts = append(parts, standin.Records(service, a.URI, h.bounds.Records))
	}
	if a.Service != "" {
		if len(parts) != 1 || string(parts[0]) != a.Body {
			h.fail(PromiseWhole, []string{a.ID}, "%d signatures, %d bytes", len(parts), len(a.Body))
		}
		return
	}
	h.checkGather(a, services, parts)
}

func (h *History) checkGather(a *Answer, services []string, parts [][]byte) {
	if string(rrgather.TopRecords(parts, h.bounds.TopK)) != a.Body {
		h.fail(PromiseWhole, []string{a.ID}, "not the greatest records of %v", services)
	}
	fits := func(v version) bool {
		return len(services)+a.Missing == len(v.shards) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(v.shards, s) })
	}
	if !slices.ContainsFunc(h.versions, fits) {
		h.fail(PromiseSnapshot, []string{a.ID}, "shards %v and %d missing are of no version", services, a.Missing)
	}
	if all := len(services) + a.Missing; float64(len(services)) < float64(h.bounds.Coverage)*float64(all) {
		h.fail(PromiseCoverage, []string{a.ID}, "%d in of %d", len(services), all)
	}
}

// AnsweredBad notes how a request ended that must not be passed on, and checks
// that it got the status that is owed.
func (h *History) AnsweredBad(id, daemon string, sent time.Time, owed, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bad = append(h.bad, id)
	if status != owed && h.calm(sent, time.Now(), true, daemon) {
		h.fail(PromiseInput, []string{id}, "answered %d instead of %d", status, owed)
	}
}

// Served returns how many requests that were sent in a time were answered with
// success, and how many were owed an answer: their callers stayed, and all
// versions have their route.
func (h *History) Served(from, to time.Time) (served, owed int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.answers {
		if a.Sent.Before(from) || a.Sent.After(to) || a.Left || a.Version != 0 {
			continue
		}
		owed++
		if a.Status == 200 {
			served++
		}
	}
	return served, owed
}

// Calm reports whether nothing unplanned disturbed a subject since a time, or
// shortly before it.
func (h *History) Calm(subject string, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calm(since, time.Now(), false, subject)
}

// Ended counts the requests by where they go and how they ended.
func (h *History) Ended(from, to time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int)
	for _, a := range h.answers {
		if a.Sent.Before(from) || a.Sent.After(to) {
			continue
		}
		out[fmt.Sprintf("%s:%d", strings.Split(a.URI, "/")[1], a.Status)]++
	}
	return out
}

// calm reports whether none of the subjects was disturbed in a time, or so
// shortly before that bounds do not hold yet.
func (h *History) calm(from, to time.Time, plannedToo bool, subjects ...string) bool {
	from = from.Add(-h.bounds.Stability)
	for _, subject := range subjects {
		for _, s := range h.disturb[subject] {
			if s.planned && !plannedToo {
				continue
			}
			if !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from)) {
				return false
			}
		}
	}
	return true
}
