package rrowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpanic"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// shard runs the decision core of one shard.
type shard struct {
	owner *Owner
	key   rrunit.ShardKey
	ctx   context.Context
	stop  context.CancelFunc
	// polled is closed once every searcher has been polled for its load.
	polled chan struct{}

	// lastUsed is when the shard last got work, as a rrunit.Instant.
	lastUsed atomic.Int64

	// removed is set once the definition no longer contains the shard. Work in flight
	// is still finished.
	removed atomic.Bool

	// mu guards everything below.
	mu       sync.Mutex
	core     *rrdispatch.Shard
	targets  map[rrunit.SearcherID]rrupstream.Target
	jobs     map[rrdispatch.JobID]*job
	attempts map[rrdispatch.AttemptID]*attempt
	lastJob  rrdispatch.JobID
	timer    *time.Timer
}

// job is a subquery that waits for its result.
type job struct {
	id       rrdispatch.JobID
	task     *rrpeer.Task
	deadline rrunit.Instant
	result   func(rrpeer.Result)
	// active is how many attempts are in flight; sent is how many of them were passed
	// to the upstream client.
	active, sent int
	// mayHaveRun is set once an attempt has ended that may have run.
	mayHaveRun bool
	// claim is the granted claim of non-idempotent work, nil without one. Such work is
	// offered to the core only with a claim.
	claim *Claim
}

func newShard(o *Owner, key rrunit.ShardKey, def *rrdefinition.Definition) *shard {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &shard{
		owner:    o,
		key:      key,
		ctx:      ctx,
		stop:     cancel,
		polled:   make(chan struct{}),
		core:     rrdispatch.New(coreConfig(def, key)),
		targets:  targets(def.Shard(key)),
		jobs:     make(map[rrdispatch.JobID]*job),
		attempts: make(map[rrdispatch.AttemptID]*attempt),
	}
	s.lastUsed.Store(int64(o.clock()))
	s.core.AwaitReports(o.clock())
	s.timer = time.AfterFunc(time.Hour, s.tick)
	context.AfterFunc(ctx, s.cancelAttempts)
	o.goroutines.Go(s.pollLoop)
	return s
}

func coreConfig(def *rrdefinition.Definition, key rrunit.ShardKey) rrdispatch.Config {
	cfg := rrdispatch.Config{
		Layout:             key.Layout,
		QueueLimit:         def.Limits.Queue,
		ExtraShare:         def.Limits.ExtraShare,
		QuarantineDuration: def.Limits.QuarantineDuration,
		Seed:               rand.Uint64(),
	}
	for _, rank := range def.Ranks {
		cfg.Ranks = append(cfg.Ranks, rrdispatch.Rank{Name: rank.Name, Floor: rank.Floor})
	}
	for _, searcher := range def.Shard(key).Searchers {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: searcher.ID, Zone: searcher.Zone, Slots: searcher.Slots})
	}
	return cfg
}

func targets(def *rrdefinition.Shard) map[rrunit.SearcherID]rrupstream.Target {
	out := make(map[rrunit.SearcherID]rrupstream.Target, len(def.Searchers))
	for _, searcher := range def.Searchers {
		out[searcher.ID] = rrupstream.Target{ID: searcher.ID, Address: searcher.Address, MaxConnections: searcher.Connections}
	}
	return out
}

func (s *shard) configure(def *rrdefinition.Definition) {
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		s.targets = targets(def.Shard(s.key))
		return s.core.Configure(now, coreConfig(def, s.key))
	})
}

func (s *shard) setLeaving(leaving map[rrunit.SearcherID]bool) {
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		return s.core.SetLeaving(now, func(id rrunit.SearcherID) bool { return leaving[id] })
	})
}

// step makes one call to the core, carries out its actions and sends the replies.
func (s *shard) step(call func(now rrunit.Instant) []rrdispatch.Action) {
	for _, reply := range s.apply(call) {
		reply()
	}
}

// apply makes one call to the core, carries out its actions and returns the replies,
// which must be sent without holding the lock.
func (s *shard) apply(call func(now rrunit.Instant) []rrdispatch.Action) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.schedule()
	var replies []func()
	if err := rrpanic.Do(func() { s.perform(call(s.owner.clock()), &replies) }); err != nil {
		s.abandonAll(err, &replies)
	}
	return replies
}

// perform carries out actions and adds the replies, which must be sent without holding the
// lock. The caller holds mu.
func (s *shard) perform(actions []rrdispatch.Action, replies *[]func()) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.send(a)
		case rrdispatch.ActionCancel:
			if at := s.attempts[a.Attempt]; at != nil {
				at.cancel()
			}
		case rrdispatch.ActionReply:
			if reply := s.reply(a); reply != nil {
				*replies = append(*replies, reply)
			}
		case rrdispatch.ActionQuarantine:
			q := rrpeer.Quarantine{Fingerprint: a.Fingerprint, TimeLeft: a.RetryAfter}
			*replies = append(*replies, func() { s.owner.quarantineAndAnnounce(q) })
		}
	}
}

func (s *shard) reply(a *rrdispatch.Action) func() {
	j := s.jobs[a.Job]
	if j == nil {
		return nil
	}
	delete(s.jobs, a.Job)
	s.releaseIfNotRun(j)
	r := rrpeer.Result{ID: j.task.ID, Shard: s.key.Shard, Run: j.runState(a.Run), Reason: a.Reason, RetryAfter: a.RetryAfter}
	if at := s.attempts[a.Attempt]; at != nil && a.Reason == rrquery.ReasonNone {
		r.Hits = at.reply.Hits
		r.Snapshot = at.reply.Snapshot
	}
	if a.Reason != rrquery.ReasonNone && s.ctx.Err() != nil {
		// The attempts were cancelled because the shard stopped; another owner may
		// still run the work.
		r.Reason, r.RetryAfter = rrquery.ReasonLeaving, 0
	}
	return func() { j.result(r) }
}

// schedule sets the timer for the next tick. The caller holds mu.
func (s *shard) schedule() {
	next, ok := s.core.Next()
	if !ok {
		s.timer.Stop()
		return
	}
	s.timer.Reset(max(0, next.Sub(s.owner.clock())))
}

func (s *shard) tick() { s.step(s.core.Tick) }

// offer starts a subquery and returns a function that cancels it.
func (s *shard) offer(task *rrpeer.Task, deadline rrunit.Instant, result func(rrpeer.Result)) func() {
	s.lastUsed.Store(int64(s.owner.clock()))
	j := &job{task: task, deadline: deadline, result: result}
	stopClaiming := func() {}
	s.step(func(now rrunit.Instant) []rrdispatch.Action {
		s.lastJob++
		j.id = s.lastJob
		s.jobs[j.id] = j
		if !task.Idempotent {
			stopClaiming = s.startClaim(j)
			return nil
		}
		return s.core.Offer(now, s.coreJob(j))
	})
	return func() {
		stopClaiming()
		s.step(func(now rrunit.Instant) []rrdispatch.Action {
			if s.jobs[j.id] != j {
				return nil
			}
			delete(s.jobs, j.id)
			s.releaseIfNotRun(j)
			return s.core.Cancel(now, j.id)
		})
	}
}

// startClaim claims non-idempotent work in another goroutine, and returns a function
// that cancels the claim.
func (s *shard) startClaim(j *job) context.CancelFunc {
	ctx, cancel := context.WithCancel(s.ctx)
	s.owner.goroutines.Go(func() {
		defer cancel()
		s.offerClaimed(ctx, j)
	})
	return cancel
}

func (s *shard) coreJob(j *job) rrdispatch.Job {
	task := j.task
	rank := 0
	if def := s.owner.definition.Load(); def != nil {
		rank = max(0, def.RankIndex(task.Rank))
	}
	return rrdispatch.Job{
		ID:          j.id,
		Rank:        rank,
		Caller:      task.Caller,
		Version:     task.Snapshot.Version,
		Fingerprint: task.Fingerprint,
		Idempotent:  task.Idempotent,
		Deadline:    j.deadline,
	}
}

// runState returns whether a job that was just removed ran. The core reports its own
// view, which does not include whether an attempt in flight was sent; no attempt of a
// removed job is sent any more.
func (j *job) runState(reported rrpeer.RunState) rrpeer.RunState {
	switch {
	case reported == rrpeer.RunDone:
		return rrpeer.RunDone
	case j.mayHaveRun || j.sent > 0:
		return rrpeer.RunMaybe
	default:
		return rrpeer.RunNever
	}
}

func (s *shard) hasJobs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.jobs)+len(s.attempts) > 0
}

func (s *shard) currentReport() rrpeer.ShardReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.core.Report(s.owner.clock())
	r.Shard = s.key
	return r
}

// stopIfRemoved stops the shard if the definition no longer contains it and its last
// work has ended, and reports whether it did.
func (s *shard) stopIfRemoved() bool {
	if !s.removed.Load() || s.hasJobs() {
		return false
	}
	s.stop()
	return true
}
