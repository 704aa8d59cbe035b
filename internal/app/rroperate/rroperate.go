// Package rroperate applies operators' changes to the definition in the platform's
// store. It reads the definition, decides with rrpatch and writes conditionally. If
// the answer to a write is lost, it reads again to find out whether the write took
// effect.
package rroperate

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// Limits of one submission.
const (
	defaultRetryDelay = 100 * time.Millisecond
	// maxAttempts is the maximum number of reads for one submission. Each write of
	// another operator and each lost answer uses one.
	maxAttempts = 8
)

// Editor changes the definition in the store. It is safe for concurrent use.
type Editor struct {
	store         rrstore.Store
	key           rrstore.Key
	appliedNumber func() rrunit.DefinitionNumber
	retryDelay    time.Duration
	log           *log.Logger
}

// Option configures an Editor.
type Option func(*Editor)

// WithAppliedNumber sets the function that returns the number of the definition that
// this daemon uses. A read that returns a lower number is stale and is repeated.
func WithAppliedNumber(number func() rrunit.DefinitionNumber) Option {
	return func(e *Editor) { e.appliedNumber = number }
}

// WithRetryDelay sets the delay between two attempts.
func WithRetryDelay(d time.Duration) Option { return func(e *Editor) { e.retryDelay = d } }

// WithLog sets the logger for the outcomes of submissions.
func WithLog(l *log.Logger) Option { return func(e *Editor) { e.log = l } }

// New returns an Editor of the object at the key.
func New(store rrstore.Store, key rrstore.Key, opts ...Option) *Editor {
	e := &Editor{
		store:         store,
		key:           key,
		appliedNumber: func() rrunit.DefinitionNumber { return 0 },
		retryDelay:    defaultRetryDelay,
		log:           log.New(io.Discard),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// submission is a submission with its state between two attempts.
type submission struct {
	*rrpatch.Submission
	// uncertain is set once a write may have taken effect without an answer.
	uncertain bool
	// highestSeen is the highest number that was read or applied so far. A read of
	// a lower number is stale.
	highestSeen rrunit.DefinitionNumber
}

// Patch decides on a submission and applies it. It returns a FieldError if the base
// is above every number that was read from the store: reporting a stale read as a
// conflict would mislead an operator who repeats a change. The error wraps
// rrstore.ErrUnavailable if the store could not be reached and nothing was written,
// and rrstore.ErrUncertain if the change may have taken effect. After either, the
// same submission can be sent again.
func (e *Editor) Patch(ctx context.Context, s *rrpatch.Submission) (rrpatch.Result, error) {
	result, err := e.patch(ctx, s)
	if err != nil {
		e.log.Warn("definition change submitted but not confirmed", "change", s.Change, "base", s.Base, "err", err)
		return result, err
	}
	e.log.Info("definition change submitted and decided", "change", s.Change, "base", s.Base, "outcome", result.Outcome, "number", result.Number)
	return result, nil
}

// patch repeats attempts until one has an outcome.
func (e *Editor) patch(ctx context.Context, s *rrpatch.Submission) (rrpatch.Result, error) {
	sub := &submission{Submission: s}
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 && !rrunit.Sleep(ctx, e.retryDelay) {
			break
		}
		result, err := e.tryOnce(ctx, sub)
		if err == nil {
			return result, nil
		}
		last = err
		if errors.Is(err, rrstore.ErrUnavailable) && !sub.uncertain {
			break
		}
	}
	if _, ok := errors.AsType[*rrunit.FieldError](last); ok && !sub.uncertain {
		return rrpatch.Result{}, last
	}
	if sub.uncertain {
		return rrpatch.Result{}, eris.Wrapf(rrstore.ErrUncertain, "submitting change %s: %v", s.Change, last)
	}
	return rrpatch.Result{}, eris.Wrapf(rrstore.ErrUnavailable, "submitting change %s: %v", s.Change, last)
}

// tryOnce reads, decides and writes once. After an error the next attempt may succeed.
func (e *Editor) tryOnce(ctx context.Context, sub *submission) (rrpatch.Result, error) {
	sub.highestSeen = max(sub.highestSeen, e.appliedNumber())
	current, version, err := e.read(ctx)
	if err != nil {
		return rrpatch.Result{}, err
	}
	number := numberOf(current)
	if number < sub.highestSeen {
		return rrpatch.Result{}, eris.Errorf("the store gave number %d after %d was seen", number, sub.highestSeen)
	}
	sub.highestSeen = number
	if number < sub.Base {
		return rrpatch.Result{}, rrunit.Invalid("base",
			"%d is above %d, the number that the store gives; it is mistyped, or the store gives an old one", sub.Base, number)
	}
	result := rrpatch.Apply(current, sub.Submission, rrstore.MaxValueSize)
	if result.Outcome == rrpatch.OutcomeRepeated && sub.uncertain {
		result.Outcome = rrpatch.OutcomeAccepted
	}
	if result.Outcome != rrpatch.OutcomeAccepted || result.Next == nil {
		return result, nil
	}
	_, err = e.store.Put(ctx, e.key, result.Value, version)
	if errors.Is(err, rrstore.ErrUncertain) {
		sub.uncertain = true
	}
	return result, err
}

// read returns the definition in the store, nil if there is none yet, and the version
// of its object.
func (e *Editor) read(ctx context.Context) (*rrdefinition.Definition, rrstore.Version, error) {
	o, err := e.store.Get(ctx, e.key)
	if errors.Is(err, rrstore.ErrNotFound) {
		return nil, o.Version, nil
	}
	if err != nil {
		return nil, 0, eris.Wrapf(err, "reading object %s", e.key)
	}
	def, err := rrdefinition.Decode(o.Value)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "decoding object %s", e.key)
	}
	return def, o.Version, nil
}

// numberOf returns the definition's number, zero if there is none yet.
func numberOf(d *rrdefinition.Definition) rrunit.DefinitionNumber {
	if d == nil {
		return 0
	}
	return d.Number
}
