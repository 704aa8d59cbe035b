// Package rrpatch decides on changes of the definition: a JSON Patch against a
// numbered definition results in the next one, a conflict, a repetition or an error
// that names the field. It does not access the store.
package rrpatch

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Submission is a change submitted by an operator.
type Submission struct {
	// Base is the number of the definition that the patch applies to; zero means
	// the state before the first definition.
	Base rrunit.DefinitionNumber `json:"base"`
	// Change is a UUID that the operator assigns to the change. A resent change
	// has the same UUID.
	Change rrunit.ChangeID `json:"change"`
	// Patch is a JSON Patch (RFC 6902).
	Patch json.RawMessage `json:"patch"`
}

// Decode reads a submission. Errors name the field.
func Decode(b []byte) (*Submission, error) {
	var s Submission
	if err := rrunit.DecodeStrict(b, &s); err != nil {
		return nil, err
	}
	return &s, s.check()
}

func (s *Submission) check() error {
	if s.Change == "" {
		return rrunit.Invalid("change", "is missing; it must be a UUID")
	}
	if u, err := uuid.Parse(string(s.Change)); err != nil || u.String() != string(s.Change) {
		return rrunit.Invalid("change", "%q is not a UUID in its usual form", s.Change)
	}
	if len(s.Patch) == 0 {
		return rrunit.Invalid("patch", "is missing")
	}
	return nil
}

// contentHash returns a hash of the base and the patch that ignores white space.
func (s *Submission) contentHash() rrunit.Fingerprint {
	content := []byte(s.Patch)
	if b, err := json.Marshal(s.Patch); err == nil {
		content = b
	}
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%d\n", s.Base)
	_, _ = h.Write(content)
	return rrunit.Fingerprint(h.Sum64())
}

// Outcome is how a submission was decided.
type Outcome string

// The outcomes of a submission.
const (
	// OutcomeAccepted results in a new definition with the number Result.Number.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict changes nothing, because the current number is not the base.
	OutcomeConflict Outcome = "conflict"
	// OutcomeRepeated changes nothing, because the change was accepted before.
	OutcomeRepeated Outcome = "repeated"
	// OutcomeInvalid changes nothing, because the change or its result is invalid.
	OutcomeInvalid Outcome = "invalid"
)

// Result is the decision on a submission.
type Result struct {
	Outcome Outcome
	// Number is the new number if accepted, the number that resulted from the change
	// if repeated, and otherwise the current number.
	Number rrunit.DefinitionNumber
	// Err is the reason why the submission is invalid; nil otherwise.
	Err error
	// Next is the new definition and Value its encoding for the store; both are nil
	// unless accepted.
	Next  *rrdefinition.Definition
	Value []byte
}

// Apply decides on a submission against the current definition, which is nil if
// there is none yet. The encoding of an accepted result has at most limit bytes.
func Apply(current *rrdefinition.Definition, s *Submission, limit rrunit.Bytes) Result {
	if current == nil {
		current = &rrdefinition.Definition{}
	}
	invalid := func(err error) Result {
		return Result{Outcome: OutcomeInvalid, Number: current.Number, Err: err}
	}
	if err := s.check(); err != nil {
		return invalid(err)
	}
	if applied := findChange(current.Changes, s.Change); applied != nil {
		if applied.ContentHash != s.contentHash() {
			return invalid(rrunit.Invalid("change", "%s made number %d with other content", s.Change, applied.Number))
		}
		return Result{Outcome: OutcomeRepeated, Number: applied.Number}
	}
	if s.Base != current.Number {
		return Result{Outcome: OutcomeConflict, Number: current.Number}
	}
	next, value, err := buildNext(current, s, limit)
	if err != nil {
		return invalid(err)
	}
	return Result{Outcome: OutcomeAccepted, Number: next.Number, Next: next, Value: value}
}

func findChange(changes []rrdefinition.Change, id rrunit.ChangeID) *rrdefinition.Change {
	i := slices.IndexFunc(changes, func(c rrdefinition.Change) bool { return c.ID == id })
	if i < 0 {
		return nil
	}
	return &changes[i]
}

// buildNext returns the definition that results from the submission, and its
// encoding.
func buildNext(current *rrdefinition.Definition, s *Submission, limit rrunit.Bytes) (*rrdefinition.Definition, []byte, error) {
	content, err := patchContent(current, s.Patch)
	if err != nil {
		return nil, nil, err
	}
	content.Number = current.Number + 1
	content.Changes = appendChange(current.Changes, rrdefinition.Change{ID: s.Change, Number: content.Number, ContentHash: s.contentHash()})
	if err := content.Prepare(); err != nil {
		return nil, nil, err
	}
	value, err := content.Encode()
	if err != nil {
		return nil, nil, err
	}
	if rrunit.Bytes(len(value)) > limit {
		return nil, nil, rrunit.Invalid("patch", "its result takes %d bytes in the store, more than %d", len(value), limit)
	}
	return content, value, nil
}

// appendChange adds a change and drops the oldest ones above MaxChanges. A dropped
// change has a base below the current number, so that it results in a conflict when
// it is resent.
func appendChange(changes []rrdefinition.Change, c rrdefinition.Change) []rrdefinition.Change {
	out := append(slices.Clone(changes), c)
	return out[max(0, len(out)-rrdefinition.MaxChanges):]
}
