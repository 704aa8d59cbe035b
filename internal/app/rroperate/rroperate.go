// Package rroperate carries out operators' changes of the definition on the
// platform's store: it reads, decides by rrpatch, writes conditionally, and
// finds out by reading back what became of a write whose answer was lost.
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

// Times and counts of one submission.
const (
	defaultPause = 100 * time.Millisecond
	// maxTries is how often the store is read for one submission. Writes of
	// other operators and lost answers take one each.
	maxTries = 8
)

// Editor changes the definition that the store holds. It is safe for concurrent
// use.
type Editor struct {
	store rrstore.Store
	key   rrstore.Key
	known func() rrunit.DefinitionNumber
	pause time.Duration
	log   *log.Logger
}

// Option changes how an Editor is built.
type Option func(*Editor)

// WithKnown sets where the highest number that was seen in force comes from. A
// read that gives a lower one is stale and is tried again.
func WithKnown(known func() rrunit.DefinitionNumber) Option {
	return func(e *Editor) { e.known = known }
}

// WithPause sets the time between two tries.
func WithPause(d time.Duration) Option { return func(e *Editor) { e.pause = d } }

// WithLog sets where the outcome of every submission is logged.
func WithLog(l *log.Logger) Option { return func(e *Editor) { e.log = l } }

// New returns an editor of the object at the key.
func New(store rrstore.Store, key rrstore.Key, opts ...Option) *Editor {
	e := &Editor{
		store: store,
		key:   key,
		known: func() rrunit.DefinitionNumber { return 0 },
		pause: defaultPause,
		log:   log.New(io.Discard),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// submission is the state of one submission between two tries.
type submission struct {
	*rrpatch.Submission
	// uncertain says that a write of it may have taken effect.
	uncertain bool
	// seen is the highest number that a try has read or knew to be in force. A
	// read of a lower one is stale.
	seen rrunit.DefinitionNumber
}

// Patch decides on a submission and carries it out. It returns a FieldError if
// the base is above every number that the store gave, as an old read must not be
// told as a conflict to an operator who sends a change again; an error wrapping
// rrstore.ErrUnavailable if the store could not be reached and nothing was
// written, and rrstore.ErrUncertain if the change may have taken effect; the
// same submission can be sent again after either.
func (e *Editor) Patch(ctx context.Context, s *rrpatch.Submission) (rrpatch.Result, error) {
	result, err := e.patch(ctx, s)
	if err != nil {
		e.log.Warn("change without outcome", "change", s.Change, "base", s.Base, "err", err)
		return result, err
	}
	e.log.Info("change", "change", s.Change, "base", s.Base, "outcome", result.Outcome, "number", result.Number)
	return result, nil
}

// patch tries until there is an outcome.
func (e *Editor) patch(ctx context.Context, s *rrpatch.Submission) (rrpatch.Result, error) {
	sub := &submission{Submission: s}
	var last error
	for try := range maxTries {
		if try > 0 && !rrunit.Sleep(ctx, e.pause) {
			break
		}
		result, err := e.try(ctx, sub)
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

// try reads, decides and writes once. An error means that the next try may do
// better.
func (e *Editor) try(ctx context.Context, sub *submission) (rrpatch.Result, error) {
	sub.seen = max(sub.seen, e.known())
	current, version, err := e.read(ctx)
	if err != nil {
		return rrpatch.Result{}, err
	}
	number := numberOf(current)
	if number < sub.seen {
		return rrpatch.Result{}, eris.Errorf("the store gave number %d after %d was seen", number, sub.seen)
	}
	sub.seen = number
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

// read returns the definition in the store, nil before the first, and the
// version of its object.
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

// numberOf returns the definition's number, zero before the first.
func numberOf(d *rrdefinition.Definition) rrunit.DefinitionNumber {
	if d == nil {
		return 0
	}
	return d.Number
}
