// Package rrpeer holds the messages between daemons. Deadlines are sent as the time
// left, as the clocks of two instances differ. The package does not depend on the
// transport or the encoding.
package rrpeer

import (
	"encoding/json"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// TaskID identifies a task within one stream. An entry never reuses an id.
type TaskID uint64

// Task is the work of one query on the shards of one owner.
type Task struct {
	ID          TaskID             `json:"id"`
	Service     rrunit.ServiceName `json:"service"`
	Snapshot    rrunit.Snapshot    `json:"snapshot"`
	Shards      []rrunit.ShardName `json:"shards"`
	Rank        rrunit.RankName    `json:"rank"`
	Caller      rrunit.CallerID    `json:"caller,omitempty"`
	Request     rrunit.RequestID   `json:"request,omitempty"`
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	// TimeLeft is the time until the caller's deadline.
	TimeLeft rrunit.Duration `json:"left"`
	// Limit is the largest number of hits that each shard returns.
	Limit int `json:"limit"`
	// Idempotent is false if the work needs a claim before it is sent to a searcher.
	Idempotent bool `json:"idempotent"`
	// Body is the query that the searchers receive.
	Body json.RawMessage `json:"body"`
}

// RunState is whether a searcher ran the work.
type RunState string

// The states of a run.
const (
	// RunNever means that no searcher ran the work and none will.
	RunNever RunState = "not"
	// RunMaybe means that the work was sent to a searcher and no result arrived.
	RunMaybe RunState = "maybe"
	// RunDone means that a searcher answered.
	RunDone RunState = "done"
)

// Result is an owner's final result for one shard of a task.
type Result struct {
	ID    TaskID           `json:"id"`
	Shard rrunit.ShardName `json:"shard"`
	Run   RunState         `json:"run"`
	// Reason is empty if and only if the shard answered.
	Reason rrquery.Reason `json:"reason,omitempty"`
	// RetryAfter is the delay after which to retry; zero means unspecified.
	RetryAfter rrunit.Duration `json:"retry,omitempty"`
	// Recorded is the shard that ran the work for an earlier request with the
	// same id; its recorded hits may be of an older snapshot. It is empty for
	// work that ran for this task.
	Recorded rrunit.ShardName `json:"recorded,omitempty"`
	// Snapshot is the snapshot that the hits come from, as reported by the searcher.
	Snapshot rrunit.Snapshot `json:"snapshot"`
	Hits     []rrquery.Hit   `json:"hits,omitempty"`
}

// OK reports whether the shard answered.
func (r *Result) OK() bool { return r.Reason == rrquery.ReasonNone }

// RankWait is the longest wait of a rank's queued work at a shard.
type RankWait struct {
	Rank rrunit.RankName `json:"rank"`
	Wait rrunit.Duration `json:"wait"`
}

// ShardReport is the state of one shard at its owner, sent to an entry.
type ShardReport struct {
	Shard rrunit.ShardKey `json:"shard"`
	// Waits lists the ranks with queued work; all other ranks have none.
	Waits []RankWait `json:"waits,omitempty"`
	// Versions are the index versions that live replicas serve, in ascending
	// order, once for each replica that serves the version.
	Versions []rrunit.IndexVersion `json:"versions,omitempty"`
}

// Quarantine identifies a request that is refused because it crashes searchers.
type Quarantine struct {
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	// TimeLeft is the time until the quarantine ends.
	TimeLeft rrunit.Duration `json:"left"`
}

// Frame is one message of a stream, in either direction. It batches many small
// messages so that a busy stream needs few packets.
type Frame struct {
	// SentAt is the time of sending by the sender's clock. Receivers use only the
	// differences between frames of one stream.
	SentAt rrunit.Instant `json:"at"`
	// Leaving is true if the sender is shutting down and accepts no new tasks.
	Leaving bool          `json:"leaving,omitempty"`
	Tasks   []Task        `json:"tasks,omitempty"`
	Cancels []TaskID      `json:"cancels,omitempty"`
	Results []Result      `json:"results,omitempty"`
	Reports []ShardReport `json:"reports,omitempty"`
	// Probes request reports on shards.
	Probes []rrunit.ShardKey `json:"probes,omitempty"`
}
