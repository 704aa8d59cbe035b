// Package rrgather decides when to answer a request that was scattered to many
// shards, and merges the records of the shards that have succeeded. It has no
// goroutine, clock or socket.
package rrgather

import (
	"bytes"
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// RecordSize is the length of one record in bytes.
const RecordSize = 16

// Decision is the decision on a request.
type Decision string

// The decisions.
const (
	// DecisionWait waits for more shards.
	DecisionWait Decision = "wait"
	// DecisionAnswer answers with the shards that have succeeded.
	DecisionAnswer Decision = "answer"
	// DecisionFail fails the request, as too few shards can still succeed.
	DecisionFail Decision = "fail"
)

// Config holds the conditions for an answer.
type Config struct {
	// Shards is how many shards were asked, and MinShards the least number of
	// them that must succeed for an answer.
	Shards, MinShards int
	// Target is when a partial answer is preferred to waiting for a complete
	// one.
	Target rrunit.Instant
	// Deadline is when the request must have been answered or failed.
	Deadline rrunit.Instant
}

// Gather counts the results of the shards of one request. It is not safe for
// concurrent use.
type Gather struct {
	cfg                Config
	succeeded, settled int
}

// New returns a Gather whose shards have all been asked and none has a result.
func New(cfg Config) *Gather { return &Gather{cfg: cfg} }

// AddResult counts the final result of one shard.
func (g *Gather) AddResult(succeeded bool) {
	g.settled++
	if succeeded {
		g.succeeded++
	}
}

// Succeeded returns how many shards have succeeded.
func (g *Gather) Succeeded() int { return g.succeeded }

// Decide returns what to do now.
func (g *Gather) Decide(now rrunit.Instant) Decision {
	pending := g.cfg.Shards - g.settled
	switch {
	case g.succeeded+pending < g.cfg.MinShards:
		return DecisionFail
	case pending == 0:
		return DecisionAnswer
	case now >= g.cfg.Target && g.succeeded >= g.cfg.MinShards:
		return DecisionAnswer
	case now >= g.cfg.Deadline:
		return DecisionFail
	default:
		return DecisionWait
	}
}

// NextDecision returns when to call Decide again if no shard settles before.
func (g *Gather) NextDecision(now rrunit.Instant) rrunit.Instant {
	if now < g.cfg.Target {
		return g.cfg.Target
	}
	return g.cfg.Deadline
}

// TopRecords returns the n greatest records of the parts, greatest first. Trailing bytes
// of a part that do not fill a record are ignored. Duplicates are kept.
func TopRecords(parts [][]byte, n int) []byte {
	var records [][]byte
	for _, p := range parts {
		for r := range slices.Chunk(p, RecordSize) {
			if len(r) == RecordSize {
				records = append(records, r)
			}
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(n, len(records))]
	return bytes.Join(records, nil)
}
