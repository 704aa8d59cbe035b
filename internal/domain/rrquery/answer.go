package rrquery

import (
	"encoding/json"
	"net/http"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeComplete covers every shard of the snapshot.
	OutcomeComplete Outcome = "complete"
	// OutcomePartial covers some shards; the answer names the others.
	OutcomePartial Outcome = "partial"
	// OutcomeRefused means that no searcher ran the request and none will.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that there is no answer and the request may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that non-idempotent work was claimed and no result of
	// it is recorded, so that it may have run. It will not run again.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is why a request or a shard has no answer, as one word.
type Reason string

// The reasons for a missing answer.
const (
	ReasonNone       Reason = ""
	ReasonDeadline   Reason = "deadline"
	ReasonOverload   Reason = "overload"
	ReasonQuarantine Reason = "quarantine"
	ReasonSnapshot   Reason = "snapshot"
	ReasonLost       Reason = "lost"
	ReasonNoSearcher Reason = "nosearcher"
	ReasonNotOwner   Reason = "notowner"
	ReasonLeaving    Reason = "leaving"
	ReasonStore      Reason = "store"
	ReasonDuplicate  Reason = "duplicate"
	ReasonExpired    Reason = "expired"
	ReasonCancelled  Reason = "cancelled"
	ReasonRejected   Reason = "rejected"
	// ReasonLimited means that the request limits that the searchers name leave no room.
	ReasonLimited Reason = "limited"
	// ReasonPaused means that all searchers have asked for a pause that is too long.
	ReasonPaused Reason = "paused"
	// ReasonMalformed and ReasonNoRoute refuse a request before it is routed.
	ReasonMalformed Reason = "malformed"
	ReasonNoRoute   Reason = "noroute"
	// ReasonClaimed means that the work was claimed before and has no result yet.
	ReasonClaimed Reason = "claimed"
	// ReasonLarge means that the work ran before and that its outcome was too
	// large to be recorded.
	ReasonLarge Reason = "large"
	// ReasonPeer means that the connection to the owner broke or timed out.
	ReasonPeer Reason = "peer"
	// ReasonInternal means that an unexpected error ended the work of a dispatcher.
	ReasonInternal Reason = "internal"
)

// Hit is one result of a searcher.
type Hit struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Missing is a shard that the answer does not cover, and why.
type Missing struct {
	Shard  rrunit.ShardName `json:"shard"`
	Reason Reason           `json:"reason"`
}

// Answer is the final answer to a request.
type Answer struct {
	// ID is the caller's id of the request.
	ID rrunit.RequestID `json:"id,omitempty"`
	// Outcome is how the request ended.
	Outcome Outcome `json:"outcome"`
	// NotRun is true if and only if no searcher ran the request and none will.
	NotRun bool `json:"notrun"`
	// Reason is empty if and only if the answer is complete.
	Reason Reason `json:"reason,omitempty"`
	// Message is a human-readable description.
	Message string `json:"message,omitempty"`
	// RetryAfter is the delay from the answer after which to retry; zero means
	// unspecified.
	RetryAfter rrunit.Duration `json:"retry,omitempty"`
	// Snapshot is the snapshot that all hits come from.
	Snapshot rrunit.Snapshot `json:"snapshot"`
	// Definition is the number of the definition that served the request.
	Definition rrunit.DefinitionNumber `json:"definition"`
	// Covered and Missing together are the queried shards of the snapshot's
	// layout, each exactly once, in the layout's order.
	Covered []rrunit.ShardName `json:"covered"`
	Missing []Missing          `json:"missing"`
	// Hits are sorted by descending score, then by id, without duplicate ids.
	Hits []Hit `json:"hits"`
}

// Status returns the HTTP status of the answer.
func (a *Answer) Status() int {
	switch a.Outcome {
	case OutcomeComplete:
		return http.StatusOK
	case OutcomePartial:
		return http.StatusPartialContent
	case OutcomeRefused:
		return refusedStatus(a.Reason)
	case OutcomeUnknown:
		return unknownStatus(a.Reason)
	default:
		return http.StatusBadGateway
	}
}

func unknownStatus(reason Reason) int {
	if reason == ReasonExpired {
		return http.StatusGone
	}
	return http.StatusGatewayTimeout
}

func refusedStatus(reason Reason) int {
	switch reason {
	case ReasonOverload, ReasonLimited, ReasonPaused:
		return http.StatusTooManyRequests
	case ReasonDuplicate:
		return http.StatusConflict
	case ReasonExpired:
		return http.StatusGone
	case ReasonRejected:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
