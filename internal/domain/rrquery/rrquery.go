// Package rrquery holds what callers send and receive: the query, the answer
// and the outcomes. It does not depend on how a query is executed.
package rrquery

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Query is one request of a caller.
type Query struct {
	// Service is the service to query.
	Service rrunit.ServiceName `json:"service"`
	// Rank is the priority of the query; empty means the least urgent rank.
	Rank rrunit.RankName `json:"rank,omitempty"`
	// Caller identifies the caller; callers of the same rank share capacity fairly.
	Caller rrunit.CallerID `json:"caller,omitempty"`
	// ID is the caller's id of the request; a UUIDv7 for non-idempotent work.
	ID rrunit.RequestID `json:"id,omitempty"`
	// Deadline is the longest time that the caller waits; zero means the rank's
	// default.
	Deadline rrunit.Duration `json:"deadline,omitempty"`
	// Limit is the largest number of hits in the answer; zero means the default.
	Limit int `json:"limit,omitempty"`
	// Idempotent is whether the request may run more than once; nil means true.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Key selects the one shard to query; empty means all shards.
	Key string `json:"key,omitempty"`
	// Body is passed to the searchers unchanged.
	Body json.RawMessage `json:"body"`
}

// IsIdempotent reports whether the query may run more than once.
func (q *Query) IsIdempotent() bool { return q.Idempotent == nil || *q.Idempotent }

// Fingerprint returns a hash of the service, key and body, without the ids.
func (q *Query) Fingerprint() rrunit.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(q.Service))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(q.Key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(q.Body)
	return rrunit.Fingerprint(h.Sum64())
}

// DefaultLimit is the limit on hits of a query that sets none.
const DefaultLimit = 10

// Decode reads and validates a query and applies the definition's defaults. Errors
// name the field.
func Decode(b []byte, def *rrdefinition.Definition) (*Query, error) {
	var q Query
	if err := rrunit.DecodeStrict(b, &q); err != nil {
		return nil, err
	}
	if err := q.applyDefinition(def); err != nil {
		return nil, err
	}
	return &q, nil
}

// applyDefinition validates the query against the definition and fills in its
// defaults.
func (q *Query) applyDefinition(def *rrdefinition.Definition) error {
	if err := q.checkNames(); err != nil {
		return err
	}
	if def.Service(q.Service) == nil {
		return rrunit.Invalid("service", "%q is not in definition %d", q.Service, def.Number)
	}
	if err := q.applyRank(def); err != nil {
		return err
	}
	if q.Limit == 0 {
		q.Limit = min(DefaultLimit, def.Limits.Hits)
	}
	if q.Limit < 0 || q.Limit > def.Limits.Hits {
		return rrunit.Invalid("limit", "%d is not between 1 and %d", q.Limit, def.Limits.Hits)
	}
	if rrunit.Bytes(len(q.Body)) > def.Limits.Body {
		return rrunit.Invalid("body", "has %d bytes, more than %d", len(q.Body), def.Limits.Body)
	}
	if len(q.Body) == 0 {
		return rrunit.Invalid("body", "is missing")
	}
	return q.checkNonIdempotent(def)
}

func (q *Query) checkNames() error {
	if err := rrunit.CheckName("service", q.Service); err != nil {
		return err
	}
	if q.Caller != "" {
		if err := rrunit.CheckName("caller", q.Caller); err != nil {
			return err
		}
	}
	if q.ID != "" {
		if err := rrunit.CheckName("id", q.ID); err != nil {
			return err
		}
	}
	if len(q.Key) > rrunit.MaxNameLength {
		return rrunit.Invalid("key", "is longer than %d bytes", rrunit.MaxNameLength)
	}
	return nil
}

func (q *Query) applyRank(def *rrdefinition.Definition) error {
	if q.Rank == "" {
		q.Rank = def.Ranks[len(def.Ranks)-1].Name
	}
	i := def.RankIndex(q.Rank)
	if i < 0 {
		return rrunit.Invalid("rank", "%q is not in definition %d", q.Rank, def.Number)
	}
	rank := def.Ranks[i]
	if q.Deadline == 0 {
		q.Deadline = rank.DefaultDeadline
	}
	if q.Deadline < 0 || q.Deadline > rank.MaxDeadline {
		return rrunit.Invalid("deadline", "%s is not between 0s and %s, the longest of rank %s",
			q.Deadline, rank.MaxDeadline, rank.Name)
	}
	return nil
}

func (q *Query) checkNonIdempotent(def *rrdefinition.Definition) error {
	if q.IsIdempotent() {
		return nil
	}
	if q.Caller == "" {
		return rrunit.Invalid("caller", "is missing; non-idempotent work needs it")
	}
	if _, err := IDTime(q.ID); err != nil {
		return err
	}
	if q.Key == "" && !def.Service(q.Service).IsSingleShard() {
		return rrunit.Invalid("key", "is missing; non-idempotent work runs on one shard")
	}
	return nil
}

// IDTime returns the timestamp of a UUIDv7 request id, or a FieldError for any
// other id.
func IDTime(id rrunit.RequestID) (time.Time, error) {
	if id == "" {
		return time.Time{}, rrunit.Invalid("id", "is missing; non-idempotent work needs a UUIDv7")
	}
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 || u.String() != string(id) {
		return time.Time{}, rrunit.Invalid("id", "%q is not a UUIDv7 in its usual form", id)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}
