// Package rrupstream is the port to the searchers: subqueries with their replies,
// and load reports. It holds no implementation.
package rrupstream

import (
	"context"
	"encoding/json"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Request is one subquery.
type Request struct {
	Service  rrunit.ServiceName `json:"service"`
	Shard    rrunit.ShardName   `json:"shard"`
	Snapshot rrunit.Snapshot    `json:"snapshot"`
	Rank     rrunit.RankName    `json:"rank"`
	Caller   rrunit.CallerID    `json:"caller,omitempty"`
	ID       rrunit.RequestID   `json:"id,omitempty"`
	// TimeLeft is the time until the caller's deadline.
	TimeLeft rrunit.Duration `json:"left"`
	Limit    int             `json:"limit"`
	Body     json.RawMessage `json:"body"`
}

// Outcome is how an attempt at a searcher ended.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the reply has hits of the requested snapshot.
	OutcomeAnswered Outcome = "answered"
	// OutcomeShed means that an overloaded searcher refused the work without
	// running it.
	OutcomeShed Outcome = "shed"
	// OutcomeDraining means that a searcher refused the work without running it, as
	// it is shutting down.
	OutcomeDraining Outcome = "draining"
	// OutcomeWrongSnapshot means that the searcher refused the work because it lacks the
	// snapshot, or that it answered with another snapshot.
	OutcomeWrongSnapshot Outcome = "snapshot"
	// OutcomeRejected means that the searcher refused the work as malformed without
	// running it.
	OutcomeRejected Outcome = "rejected"
	// OutcomeMisdirected means that the address now belongs to another process,
	// which refused the work without running it.
	OutcomeMisdirected Outcome = "misdirected"
	// OutcomeUnsent means that the work was not sent, as no connection could be
	// opened.
	OutcomeUnsent Outcome = "unsent"
	// OutcomeConnectionLost means that the connection broke after the work was sent and
	// before the reply.
	OutcomeConnectionLost Outcome = "lost"
	// OutcomeStaleConnection means that the searcher closed or reset the connection sooner
	// than it can answer anything, as it does with idle connections. The work most
	// likely did not run. It is no sign of a failed searcher unless it occurs
	// several times in a row.
	OutcomeStaleConnection Outcome = "stale"
	// OutcomeUnresponsive means that the work was sent and nothing more was received on
	// the connection, as in a network partition. The request is not suspected as
	// the cause.
	OutcomeUnresponsive Outcome = "silent"
	// OutcomeFailed means that the searcher answered with an error; the work may
	// have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the sender cancelled the attempt.
	OutcomeCancelled Outcome = "cancelled"
)

// IsConnectionEnd reports whether the connection ended before any reply was received.
func (o Outcome) IsConnectionEnd() bool {
	return o == OutcomeConnectionLost || o == OutcomeStaleConnection
}

// NotRun reports whether the outcome implies that the searcher did not run the
// work.
func (o Outcome) NotRun() bool {
	switch o {
	case OutcomeShed, OutcomeDraining, OutcomeRejected, OutcomeMisdirected, OutcomeUnsent:
		return true
	default:
		return false
	}
}

// Load is a searcher's report of its own load. It can be outdated or wrong.
type Load struct {
	Slots     int               `json:"slots"`
	BusySlots int               `json:"busy"`
	Draining  bool              `json:"draining"`
	Snapshots []rrunit.Snapshot `json:"snapshots"`
}

// Reply is the result of one attempt.
type Reply struct {
	Outcome Outcome
	// Refused is true if the searcher refused the work without running it.
	Refused  bool
	Snapshot rrunit.Snapshot
	Hits     []rrquery.Hit
	// Load is the load report in the reply, or nil.
	Load *Load
}

// Target is the address of a searcher.
type Target struct {
	ID             rrunit.SearcherID
	Address        string
	MaxConnections int
}

// Client sends requests to searchers.
type Client interface {
	// Search runs one attempt. It returns when the reply has arrived or ctx ends,
	// which cancels the work at the searcher.
	Search(ctx context.Context, to Target, req *Request) Reply
	// Load requests a load report.
	Load(ctx context.Context, to Target) (Load, error)
}
