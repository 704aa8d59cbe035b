// Package rrentry runs the entry role of a daemon: it pins one snapshot for each
// query, sends the query to the owners of the shards, and merges their results into a
// single answer. It does not depend on HTTP, streams or searchers.
package rrentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsnapshot"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Entry serves callers' queries. It is safe for concurrent use.
type Entry struct {
	clock     rrunit.Clock
	directory rrpeers.Directory
	lastTask  atomic.Uint64

	definition  atomic.Pointer[rrdefinition.Definition]
	members     atomic.Pointer[rrownership.Table]
	quarantines atomic.Pointer[quarantines]

	// reports maps each shard's key to its latest *report.
	reports sync.Map
	// refreshed maps each service's name to the rrunit.Instant of the last refresh of
	// its reports, as an *atomic.Int64.
	refreshed sync.Map

	// admissionControllers maps each service's name to its *admissionController.
	admissionControllers sync.Map

	// mu guards reportArrived, which is closed and replaced with every report on a
	// shard that queries wait for, and serializes changes of quarantines.
	mu            sync.Mutex
	reportArrived chan struct{}
}

// report is the latest report of a shard's owner.
type report struct {
	rrpeer.ShardReport
	receivedAt rrunit.Instant
	// silent is set on a placeholder for a report that did not arrive in time.
	silent bool
}

// Option configures an Entry.
type Option func(*Entry)

// WithClock sets the clock.
func WithClock(c rrunit.Clock) Option { return func(e *Entry) { e.clock = c } }

// New returns an entry that finds the owners' workers in the directory.
func New(directory rrpeers.Directory, opts ...Option) *Entry {
	e := &Entry{
		clock:         rrunit.SystemClock(),
		directory:     directory,
		reportArrived: make(chan struct{}),
	}
	e.members.Store(rrownership.NewTable(nil))
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetDefinition sets the definition.
func (e *Entry) SetDefinition(def *rrdefinition.Definition) { e.definition.Store(def) }

// Definition returns the definition in use, or nil before the first.
func (e *Entry) Definition() *rrdefinition.Definition { return e.definition.Load() }

// Ready reports whether the entry has a definition and members.
func (e *Entry) Ready() bool { return e.definition.Load() != nil && e.members.Load().Len() > 0 }

// SetMembers sets the instances that can own shards.
func (e *Entry) SetMembers(t *rrownership.Table) { e.members.Store(t) }

// Report stores a report of a shard's owner.
func (e *Entry) Report(r rrpeer.ShardReport) {
	e.reportWaits(&r)
	now := e.clock()
	wasAwaited := e.mustAwait(r.Shard, now)
	e.reports.Store(r.Shard, &report{ShardReport: r, receivedAt: now})
	if !wasAwaited {
		return
	}
	e.mu.Lock()
	close(e.reportArrived)
	e.reportArrived = make(chan struct{})
	e.mu.Unlock()
}

// Times reserved at the end of a deadline.
const (
	// marginDivisor sets the part of the deadline (1/20), up to maxMargin, that is
	// reserved for sending the answer to the caller, and again for sending results to
	// the entry.
	marginDivisor = 20
	maxMargin     = 10 * time.Millisecond
)

// Serve answers a query that was decoded with the definition. It returns within the
// query's deadline.
func (e *Entry) Serve(ctx context.Context, q *rrquery.Query) *rrquery.Answer {
	def := e.definition.Load()
	margin := min(q.Deadline.Std()/marginDivisor, maxMargin)
	run := &queryRun{
		entry:       e,
		def:         def,
		service:     def.Service(q.Service),
		query:       q,
		fingerprint: q.Fingerprint(),
		deadline:    e.clock().Add(q.Deadline.Std() - 2*margin),
	}
	if run.service == nil {
		return refuse(def, q, rrquery.ReasonRejected)
	}
	if a := e.refuseQuarantined(run); a != nil {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, q.Deadline.Std()-margin)
	defer cancel()
	e.awaitReports(ctx, run.service, q.Deadline.Std()/reportWaitDivisor)
	e.refreshReports(run.service)
	done, refusal := e.admit(run)
	if refusal != nil {
		return refusal
	}
	answer := run.answer(ctx)
	done(answer)
	return answer
}

func (e *Entry) choose(s *rrdefinition.Service, exclude ...rrunit.Snapshot) (rrsnapshot.Choice, bool) {
	return rrsnapshot.Choose(s, e.versions, exclude...)
}

func refuse(def *rrdefinition.Definition, q *rrquery.Query, reason rrquery.Reason) *rrquery.Answer {
	return &rrquery.Answer{
		ID:         q.ID,
		Outcome:    rrquery.OutcomeRefused,
		NotRun:     true,
		Reason:     reason,
		RetryAfter: defaultRetryAfter,
		Definition: def.Number,
		Covered:    []rrunit.ShardName{},
		Missing:    []rrquery.Missing{},
		Hits:       []rrquery.Hit{},
	}
}

// defaultRetryAfter is the retry delay of refusals without a more specific one.
const defaultRetryAfter = rrunit.Duration(time.Second)
