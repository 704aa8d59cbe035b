// Package rrhistory records the requests that callers sent and searchers
// received in a soak run, and finds broken promises in that history. It is
// independent of processes and proxies: whoever injects a fault reports it as a
// disturbance.
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

// Promise is a documented guarantee to callers and operators.
type Promise string

// The promises that are checked.
const (
	// PromiseComplete: an answer is complete and belongs to its request.
	PromiseComplete Promise = "whole"
	// PromiseSnapshot: all parts of an answer are from one version of the table.
	PromiseSnapshot Promise = "snapshot"
	// PromiseCoverage: an answer covers at least the required share of shards, and
	// reports those that are missing.
	PromiseCoverage Promise = "coverage"
	// PromiseNotExecuted: a request that is reported as not executed was not.
	PromiseNotExecuted Promise = "notrun"
	// PromiseAtMostOnce: a request that is not idempotent is executed at most
	// once.
	PromiseAtMostOnce Promise = "once"
	// PromiseMaxAttempts: a request is sent to no more searchers than its route
	// allows.
	PromiseMaxAttempts Promise = "attempts"
	// PromiseBudget: attempts beyond the first stay within the budget.
	PromiseBudget Promise = "budget"
	// PromiseCrashRetries: a request that ended several searchers is not retried without end.
	PromiseCrashRetries Promise = "crash"
	// PromiseLimit: a searcher gets no more than the request limit that it names allows.
	PromiseLimit Promise = "limit"
	// PromisePause: a searcher that asks a daemon for a pause gets nothing from it meanwhile.
	PromisePause Promise = "pause"
	// PromiseDraining: a draining searcher gets no new work after the bound.
	PromiseDraining Promise = "leaving"
	// PromiseConvergence: a version of the table is applied within its bound.
	PromiseConvergence Promise = "force"
	// PromiseMonotonicVersion: a daemon never returns to an older version.
	PromiseMonotonicVersion Promise = "back"
	// PromiseGracefulStop: a planned stop interrupts no request and ends in time.
	PromiseGracefulStop Promise = "stop"
	// PromiseCancellation: the work for a caller that disconnected ends.
	PromiseCancellation Promise = "gone"
	// PromiseInputValidation: an invalid request is refused and not forwarded.
	PromiseInputValidation Promise = "input"
	// PromiseNoCrash: a daemon does not exit unless it is stopped.
	PromiseNoCrash Promise = "alive"
	// PromiseRecovery: requests are served again after the faults.
	PromiseRecovery Promise = "service"
	// PromisePresence: at the end of a run the store has each daemon that is there, and takes
	// none of them for gone.
	PromisePresence Promise = "present"
	// PromiseResources: memory, file descriptors and goroutines return to their
	// bounds after the faults.
	PromiseResources Promise = "resources"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	// IDs are the ids of the requests involved.
	IDs    []string
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("promise=%s ids=%s what=%q", v.Promise, strings.Join(v.IDs, ","), v.Detail)
}

// Bounds are the figures of the promises.
type Bounds struct {
	// MaxAttempts is how many searchers of each shard a request may be sent to.
	MaxAttempts int
	// ApplyTime and DrainTime bound how long it takes until all daemons have
	// applied a version, and have stopped using a draining searcher.
	ApplyTime, DrainTime time.Duration
	// CancelTime bounds how long work continues after its caller disconnected.
	CancelTime time.Duration
	// SettleTime is how long after a disturbance the bounds do not apply yet.
	SettleTime time.Duration
	// ExtraShare, ExtraWindow and ExtraSlack are the budget of attempts beyond
	// the first: a share of the requests in a window, and a constant.
	ExtraShare  rrunit.Share
	ExtraWindow time.Duration
	ExtraSlack  int
	// MinCoverage is the least share of shards in an answer, TopK the number of
	// its records.
	MinCoverage     rrunit.Share
	TopK            int
	RecordsPerShard int
	// RequestLimit is the limit that searchers name, in requests a second. Within
	// LimitWindow they get at most LimitTolerance times what it allows, plus LimitSlack.
	RequestLimit   rrunit.Rate
	LimitWindow    time.Duration
	LimitTolerance float64
	LimitSlack     int
	// MaxCrashes is how many searchers a request may end until it is known, and
	// MaxCrashRetries how often it may be sent to searchers after that.
	MaxCrashes, MaxCrashRetries int
	// MaxPausedRequests is how many requests a daemon may send to a searcher between
	// PauseNoticeTime after that asked it for a pause and the end of the pause.
	PauseNoticeTime   time.Duration
	MaxPausedRequests int
}

// Request is a valid request and how it ended.
type Request struct {
	ID, Daemon, URI string
	// Service is the service that it is routed to; empty if it goes to all shards.
	Service string
	// AtMostOnce is set if the request is not idempotent.
	AtMostOnce bool
	// Version is the only version of the table that has the request's route; zero
	// if all versions have it.
	Version     int
	Sent, Ended time.Time
	// Status is zero if there was no answer.
	Status        int
	Signatures    []string
	MissingShards int
	Body          string
	// CancelledEarly is set if the caller cancels before the route's timeout.
	CancelledEarly bool
	// ConnectionLost is set if the connection ended after it was established
	// and before the answer was complete.
	ConnectionLost bool
	// Crashing is set if the request ends the searchers that run it. Those with the same URI
	// are the same request, sent again.
	Crashing bool
}

func (r *Request) isRefusal() bool {
	return slices.Contains([]int{408, 421, 429, 503}, r.Status)
}

// disturbance is a time in which a fault affects a subject; to is zero until it
// ends.
type disturbance struct {
	from, to time.Time
	planned  bool
}

// version is a version of the table: when its write began and when the store
// acknowledged it.
type version struct {
	number                  int
	shards                  []string
	submitted, acknowledged time.Time
}

// History records the events of a run. It is safe for concurrent use.
type History struct {
	bounds Bounds

	// mu guards the fields below.
	mu       sync.Mutex
	requests map[string]*Request
	received map[string][]standin.RequestEvent
	// completed are the executions that ended without cancellation.
	completed map[string][]standin.RequestEvent
	// invalid are the ids of the requests that must not be forwarded.
	invalid      []string
	versions     []version
	drainStarts  map[string]time.Time
	disturbances map[string][]disturbance
	// starts and freezes have when the processes of daemons were started and suspended.
	starts, freezes map[string][]time.Time
	// limits has the times in which a searcher named its request limit.
	limits map[string][]disturbance
	// exits has when the processes of searchers ended by themselves.
	exits      map[string]time.Time
	violations []Violation
}

// New returns an empty history.
func New(bounds Bounds) *History {
	return &History{
		bounds:       bounds,
		requests:     make(map[string]*Request),
		received:     make(map[string][]standin.RequestEvent),
		completed:    make(map[string][]standin.RequestEvent),
		drainStarts:  make(map[string]time.Time),
		disturbances: make(map[string][]disturbance),
		starts:       make(map[string][]time.Time),
		freezes:      make(map[string][]time.Time),
		limits:       make(map[string][]disturbance),
		exits:        make(map[string]time.Time),
	}
}

// AddViolation records a broken promise.
func (h *History) AddViolation(p Promise, ids []string, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(p, ids, format, args...)
}

func (h *History) addViolation(p Promise, ids []string, format string, args ...any) {
	h.violations = append(h.violations, Violation{Promise: p, IDs: ids, Detail: fmt.Sprintf(format, args...)})
}

// BeginDisturbance records that a subject (a daemon with its links, a searcher,
// the store) is disturbed from now until the returned function is called. A
// planned stop suspends the bounds, but does not excuse lost connections.
func (h *History) BeginDisturbance(subject string, planned bool) func() {
	return h.begin(h.disturbances, subject, planned)
}

// BeginLimit records that a searcher names its request limit from now until the returned
// function is called.
func (h *History) BeginLimit(searcher string) func() { return h.begin(h.limits, searcher, false) }

// RecordExit records that the process of a searcher ended by itself at most exitNoticeTime
// ago. It stays disturbed.
func (h *History) RecordExit(searcher string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exits[searcher] = time.Now()
	h.disturbances[searcher] = append(h.disturbances[searcher], disturbance{from: time.Now().Add(-exitNoticeTime)})
}

// exitNoticeTime bounds how long after its end a process is known to have ended.
const exitNoticeTime = 100 * time.Millisecond

// begin adds a time to those of the subject and returns the function that ends it.
func (h *History) begin(times map[string][]disturbance, subject string, planned bool) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(times[subject])
	times[subject] = append(times[subject], disturbance{from: time.Now(), planned: planned})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		times[subject][index].to = time.Now()
	}
}

// RecordDaemonStart records that a daemon's process was started.
func (h *History) RecordDaemonStart(daemon string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[daemon] = append(h.starts[daemon], time.Now())
}

// RecordFreeze records that a daemon's process is suspended.
func (h *History) RecordFreeze(daemon string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezes[daemon] = append(h.freezes[daemon], time.Now())
}

// RecordVersionSubmitted records that a version is about to be written.
func (h *History) RecordVersionSubmitted(number int, shards []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, version{number: number, shards: shards, submitted: time.Now()})
}

// RecordVersionAcknowledged records that the store acknowledged the last version.
func (h *History) RecordVersionAcknowledged() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[len(h.versions)-1].acknowledged = time.Now()
}

// RecordDrainStart records that the store acknowledged that a searcher drains.
func (h *History) RecordDrainStart(searcher string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainStarts[searcher] = time.Now()
}

// RecordSearcherEvent records a request that a searcher received or completed.
func (h *History) RecordSearcherEvent(e standin.RequestEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Completed {
		h.completed[e.ID] = append(h.completed[e.ID], e)
		return
	}
	h.received[e.ID] = append(h.received[e.ID], e)
}

// RecordRequest records how a request ended, and checks its answer.
func (h *History) RecordRequest(r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.ID] = r
	switch {
	case r.Status == 200:
		h.checkAnswer(r)
	case r.Status != 0 && (r.Status < 200 || r.Status > 599):
		h.addViolation(PromiseComplete, []string{r.ID}, "the status %d is that of no answer", r.Status)
	}
}

// checkAnswer checks an answer with success. The caller holds mu.
func (h *History) checkAnswer(r *Request) {
	records := make([][]byte, 0, len(r.Signatures))
	services := make([]string, 0, len(r.Signatures))
	for _, signature := range r.Signatures {
		searcher, id, _ := strings.Cut(signature, ".")
		service, _, _ := strings.Cut(searcher, "-")
		if id != r.ID || r.Service != "" && service != r.Service || slices.Contains(services, service) {
			h.addViolation(PromiseComplete, []string{r.ID}, "signature %s is not of this request", signature)
			return
		}
		services = append(services, service)
		records = append(records, standin.Records(service, r.URI, h.bounds.RecordsPerShard))
	}
	if r.Service != "" {
		if len(records) != 1 || string(records[0]) != r.Body {
			h.addViolation(PromiseComplete, []string{r.ID}, "%d signatures, %d bytes", len(records), len(r.Body))
		}
		return
	}
	h.checkGather(r, services, records)
}

func (h *History) checkGather(r *Request, services []string, records [][]byte) {
	if string(rrgather.TopRecords(records, h.bounds.TopK)) != r.Body {
		h.addViolation(PromiseComplete, []string{r.ID}, "not the greatest records of %v", services)
	}
	matches := func(v version) bool {
		return len(services)+r.MissingShards == len(v.shards) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(v.shards, s) })
	}
	if !slices.ContainsFunc(h.versions, matches) {
		h.addViolation(PromiseSnapshot, []string{r.ID}, "shards %v and %d missing are of no version", services, r.MissingShards)
	}
	if shardCount := len(services) + r.MissingShards; float64(len(services)) < float64(h.bounds.MinCoverage)*float64(shardCount) {
		h.addViolation(PromiseCoverage, []string{r.ID}, "%d in of %d", len(services), shardCount)
	}
}

// RecordInvalidRequest records the status that an invalid request was answered
// with, and checks that it is the expected one.
func (h *History) RecordInvalidRequest(id, daemon string, sent time.Time, want, got int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalid = append(h.invalid, id)
	if got != want && h.undisturbed(sent, time.Now(), true, daemon) {
		h.addViolation(PromiseInputValidation, []string{id}, "answered %d instead of %d", got, want)
	}
}

// CountServed returns how many of the requests that were sent in a period were
// answered with success, and how many were expected to be: those whose callers
// did not disconnect early, whose route is in all versions, and that end no searchers.
func (h *History) CountServed(from, to time.Time) (served, expected int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.Sent.Before(from) || r.Sent.After(to) || r.CancelledEarly || r.Crashing || r.Version != 0 {
			continue
		}
		expected++
		if r.Status == 200 {
			served++
		}
	}
	return served, expected
}

// IsUndisturbed reports whether no unplanned disturbance of a subject overlaps
// the time from SettleTime before since until now.
func (h *History) IsUndisturbed(subject string, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undisturbed(since, time.Now(), false, subject)
}

// CountByStatus counts the requests that were sent in a period by route and
// status.
func (h *History) CountByStatus(from, to time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int)
	for _, r := range h.requests {
		if r.Sent.Before(from) || r.Sent.After(to) {
			continue
		}
		out[fmt.Sprintf("%s:%d", strings.Split(r.URI, "/")[1], r.Status)]++
	}
	return out
}

// undisturbed reports whether no disturbance of the subjects overlaps the
// period, extended at its start by the time in which bounds do not apply yet. The
// caller holds mu.
func (h *History) undisturbed(from, to time.Time, includePlanned bool, subjects ...string) bool {
	from = from.Add(-h.bounds.SettleTime)
	for _, subject := range subjects {
		for _, d := range h.disturbances[subject] {
			if d.planned && !includePlanned {
				continue
			}
			if !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from)) {
				return false
			}
		}
	}
	return true
}
