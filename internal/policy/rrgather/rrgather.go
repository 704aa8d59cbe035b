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

// Verdict is the decision on a request.
type Verdict string

// The decisions.
const (
	// VerdictWait waits for more shards.
	VerdictWait Verdict = "wait"
	// VerdictAnswer answers with the shards that have succeeded.
	VerdictAnswer Verdict = "answer"
	// VerdictFail fails the request, as too few shards can still succeed.
	VerdictFail Verdict = "fail"
)

// Config holds the conditions for an answer.
type Config struct {
	// Shards is how many shards were asked, and Needed the least number of
	// them that must succeed for an answer.
	Shards, Needed int
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

// Take counts the final result of one shard.
func (g *Gather) Take(succeeded bool) {
	g.settled++
	if succeeded {
		g.succeeded++
	}
}

// In returns how many shards have succeeded.
func (g *Gather) In() int { return g.succeeded }

// Decide returns what to do now.
func (g *Gather) Decide(now rrunit.Instant) Verdict {
	pending := g.cfg.Shards - g.settled
	switch {
	case g.succeeded+pending < g.cfg.Needed:
		return VerdictFail
	case pending == 0:
		return VerdictAnswer
	case now >= g.cfg.Target && g.succeeded >= g.cfg.Needed:
		return VerdictAnswer
	case now >= g.cfg.Deadline:
		return VerdictFail
	default:
		return VerdictWait
	}
}

// Next returns when to call Decide again if no shard settles before.
func (g *Gather) Next(now rrunit.Instant) rrunit.Instant {
	if now < g.cfg.Target {
		return g.cfg.Target
	}
	return g.cfg.Deadline
}

// Top returns the n greatest records of the parts, greatest first. Trailing bytes
// of a part that do not fill a record are ignored. Duplicates are kept.
func Top(parts [][]byte, n int) []byte {
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
