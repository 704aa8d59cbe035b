// Package rrstore is the port to the platform's object API: versioned objects
// with conditional updates and watches, and the list of instances, which may be
// stale. It holds no implementation.
package rrstore

import (
	"context"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Key is the key of an object.
type Key string

// Version is the platform's version of an object. It increases with every update;
// zero means that the object does not exist.
type Version uint64

// MaxValueSize is the size of the largest value that the platform accepts.
const MaxValueSize rrunit.Bytes = 1 << 20

// Object is one version of one object.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// The errors of store calls. Callers distinguish them by errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = eris.New("object not found")
	// ErrConflict means that the object has another version; nothing was written.
	ErrConflict = eris.New("object has another version")
	// ErrUnavailable means that the store did not accept the call; nothing was
	// written.
	ErrUnavailable = eris.New("store unavailable")
	// ErrUncertain means that the response was lost; the write may have taken
	// effect.
	ErrUncertain = eris.New("answer of the store lost")
)

// Store is the platform's object API.
type Store interface {
	// Get returns the object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes the value if the object has the version base, where zero creates
	// the object, and returns the new version. Errors: ErrConflict, ErrUnavailable,
	// ErrUncertain.
	Put(ctx context.Context, key Key, value []byte, base Version) (Version, error)
	// Watch waits until the object has a version above after, and returns it.
	// Errors: ErrUnavailable, and the error of the context.
	Watch(ctx context.Context, key Key, after Version) (Object, error)
}

// InstanceState is the state of an instance on the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a daemon on the platform's list.
type Instance struct {
	ID     rrunit.InstanceID `json:"id"`
	Peer   string            `json:"peer"`
	Zone   rrunit.Zone       `json:"zone"`
	Region rrunit.Region     `json:"region"`
	State  InstanceState     `json:"state"`
}

// Upstream is a searcher on the platform's list.
type Upstream struct {
	ID    rrunit.SearcherID `json:"id"`
	State InstanceState     `json:"state"`
}

// List is the platform's list of instances. It may be stale.
type List struct {
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// Lister reads the platform's list.
type Lister interface {
	// List returns the platform's current list. Errors: ErrUnavailable.
	List(ctx context.Context) (List, error)
}
