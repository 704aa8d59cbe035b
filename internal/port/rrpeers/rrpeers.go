// Package rrpeers is the port from an entry to the owners of shards. It holds
// no implementation.
package rrpeers

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// ResultFunc receives the results of one task. It is called once for each shard,
// from any goroutine, and must not block.
type ResultFunc func(rrpeer.Result)

// CancelFunc cancels a task. After it returns, only results that were already in
// flight are delivered. It may be called more than once.
type CancelFunc func()

// Worker runs tasks on the shards of one owner.
type Worker interface {
	// Work starts a task. Every shard of the task gets exactly one result
	// unless the task is cancelled first.
	Work(task *rrpeer.Task, result ResultFunc) CancelFunc
	// Probe requests reports on shards. They are passed to the callback that the
	// worker was created with.
	Probe(keys []rrunit.ShardKey)
}

// Directory finds the worker of an instance.
type Directory interface {
	// Worker returns the worker of the instance, or nil if the instance is unknown.
	Worker(id rrunit.InstanceID) Worker
	// Ready reports whether new work should be sent to the instance: it is known,
	// responsive and not leaving.
	Ready(id rrunit.InstanceID) bool
}
