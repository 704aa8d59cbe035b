// Package rrobject is the port to the platform's object store, which holds the
// routing table, the searchers, the daemons and the quarantines. It holds no implementation.
package rrobject

import (
	"context"
	"errors"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrroute"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// ErrCompacted means that the store no longer has the requested changes, so that
// the objects must be listed again.
var ErrCompacted = errors.New("the store has dropped the changes since that revision")

// ErrConflict means that the object has changed since the given revision, or is gone.
var ErrConflict = errors.New("the object has changed since that revision")

// InvalidObject is an object without a usable value.
type InvalidObject struct {
	Name string
	Err  error
}

// Changes is the result of one call.
type Changes[K ~string, V any] struct {
	Delta rrcatalog.Delta[K, V]
	// Invalid are the objects without a usable value, marked as Removed in Delta.
	Invalid []InvalidObject
}

// Collection reads the objects of one kind.
type Collection[K ~string, V any] interface {
	// List returns all objects.
	List(ctx context.Context) (Changes[K, V], error)
	// ListCached returns all objects from a cache that may be some seconds old. It
	// is cheaper, but its result may be stale.
	ListCached(ctx context.Context) (Changes[K, V], error)
	// Watch returns the changes after the revision as soon as there is one, or
	// none after the wait. The error is ErrCompacted if they were dropped.
	Watch(ctx context.Context, since rrcatalog.Revision, wait time.Duration) (Changes[K, V], error)
}

// Store is the platform's store.
type Store interface {
	Tables() Collection[rrcatalog.TableName, rrroute.Table]
	Searchers() Collection[rrunit.SearcherID, rrcatalog.Searcher]
	Instances() Collection[rrunit.InstanceID, rrcatalog.Instance]
	Quarantines() Collection[rrcatalog.QuarantineName, rrcatalog.Quarantine]
	// Register adds the daemon to the instances and returns the store's era. It may have
	// taken effect even if it returns an error; it is idempotent.
	Register(ctx context.Context, i rrcatalog.Instance) (rrcatalog.Era, error)
	// ReplaceInstance replaces the object of a daemon, and RemoveInstance removes it, both only
	// if its revision is still the given one; otherwise the error is ErrConflict. Both may have
	// taken effect even if they return another error.
	ReplaceInstance(ctx context.Context, i rrcatalog.Instance, at rrcatalog.Revision) error
	RemoveInstance(ctx context.Context, id rrunit.InstanceID, at rrcatalog.Revision) error
	// PutQuarantine records a quarantine and returns the store's era. DeleteQuarantine removes
	// it if it is there. Both may have taken effect even if they return an error.
	PutQuarantine(ctx context.Context, name rrcatalog.QuarantineName, q rrcatalog.Quarantine) (rrcatalog.Era, error)
	DeleteQuarantine(ctx context.Context, name rrcatalog.QuarantineName) error
}
