// Package rrdispatch decides how the jobs of one shard are dispatched: it queues them
// by rank, sends them to searchers with a free slot, retries and cancels them, starts
// hedges, which are second attempts beside slow ones, and detects jobs that crash
// searchers. It has no goroutine, clock, socket or global
// random source: its inputs are events and the current instant, its outputs are
// actions. docs/design/dispatch.md has the reasons.
package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// JobID is the number of a job within its shard.
type JobID uint64

// AttemptID is the number of an attempt within its shard.
type AttemptID uint64

// Rank is a rank of jobs. Its index in Config.Ranks is its urgency, 0 being the most
// urgent. Floor is its minimum share of the capacity under overload.
type Rank struct {
	Name  rrunit.RankName
	Floor rrunit.Share
}

// Searcher is a replica of the shard.
type Searcher struct {
	ID    rrunit.SearcherID
	Zone  rrunit.Zone
	Slots int
	// IsOtherRegion is set for a searcher in another region, to which traffic is expensive.
	IsOtherRegion bool
	// RoundTrip is the network round-trip time; zero if unknown.
	RoundTrip rrunit.Duration
	// ConnectTime is how much longer an attempt takes on a new connection.
	ConnectTime rrunit.Duration
	// LimitShare is this daemon's share of a request limit that the searcher names.
	LimitShare rrunit.Share
	// WarmupLeft is the remaining time in which the searcher is slow after its start.
	WarmupLeft rrunit.Duration
}

// MaxSearchers is the maximum number of replicas of a shard that are used. Further ones
// are ignored.
const MaxSearchers = 64

// Config is the configuration of a shard's dispatcher.
type Config struct {
	// Service is the name under which Suspects knows the shard.
	Service rrunit.ServiceName
	// Suspects are the suspect and the quarantined requests of all services of the daemon;
	// nil if the shard has its own. It is not changed by Configure.
	Suspects  *rrquarantine.Tracker
	Layout    rrunit.LayoutName
	Ranks     []Rank
	Searchers []Searcher
	// QueueLimit is the maximum number of waiting jobs per rank.
	QueueLimit int
	// ExtraShare limits hedges and retries, as a share of the jobs that are sent.
	ExtraShare rrunit.Share
	// ExtraWindow is the time window over which the searchers' operators limit the extra
	// load of all daemons, and ExtraSlack this daemon's part of the constant number of
	// requests that they allow beside ExtraShare. Both need ServiceTimes.
	ExtraWindow rrunit.Duration
	ExtraSlack  float64
	// IsHeldBack is set while others may have used this daemon's part of the extra requests.
	IsHeldBack bool
	// ChargeRefused charges refused attempts to the budget too, for operators that
	// count every request that reaches their searchers.
	ChargeRefused bool
	// ServiceTimes is set if other daemons send to the searchers too. Searchers are then
	// chosen by their estimated latency, and their slots are not assumed to be this
	// daemon's alone.
	ServiceTimes *rrestimate.ServiceTimes
	// ReportStatus enables an ActionStatus for each change of a searcher's status.
	ReportStatus bool
	// QuarantineDuration is how long a job that crashes its searcher is refused.
	QuarantineDuration rrunit.Duration
	// QuotaPhase is the phase of this daemon's shares of searchers' request limits.
	QuotaPhase rrbudget.QuotaPhase
	// Seed is the seed of the random source that spreads jobs and probes.
	Seed uint64
	// Tuning overrides the default parameters of the decisions.
	Tuning Tuning
}

// Tuning has those parameters of the decisions that simulations vary. A zero field has
// the default.
type Tuning struct {
	// HedgeQuantile is the percentile of the rank's recent latencies, from 0 to 100,
	// after which a second attempt is started.
	HedgeQuantile float64
	// HedgeFloor is the minimum time before a second attempt.
	HedgeFloor rrunit.Duration
	// HedgeStart is the time before a second attempt until there are enough latencies.
	HedgeStart rrunit.Duration
	// NoHedge disables second attempts.
	NoHedge bool
	// NoReservation disables the reservation of slots for more urgent ranks.
	NoReservation bool
}

// The default tuning.
const (
	defaultHedgeQuantile = 96
	defaultHedgeFloor    = rrunit.Duration(1e6)
	defaultHedgeStart    = rrunit.Duration(50 * 1e6)
)

func (t Tuning) withDefaults() Tuning {
	if t.HedgeQuantile == 0 {
		t.HedgeQuantile = defaultHedgeQuantile
	}
	if t.HedgeFloor == 0 {
		t.HedgeFloor = defaultHedgeFloor
	}
	if t.HedgeStart == 0 {
		t.HedgeStart = defaultHedgeStart
	}
	return t
}

// Job is one subquery on the shard.
type Job struct {
	ID          JobID
	Rank        int
	Caller      rrunit.CallerID
	Version     rrunit.IndexVersion
	Fingerprint rrunit.Fingerprint
	Idempotent  bool
	// MaxAttempts is the maximum number of searchers that may run the job; zero is no
	// limit.
	MaxAttempts int
	// Target is when the answer becomes less useful; zero is never. Jobs that can
	// still meet their target are served before those that cannot.
	Target rrunit.Instant
	// RandomPriority is a random priority from 0 to 1, the same for all shards of a
	// query. Jobs that have to wait are served by it, highest first, so that under
	// overload all shards serve the same queries.
	RandomPriority float64
	// Deadline is when the answer becomes useless.
	Deadline rrunit.Instant
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	// ActionSend starts the attempt at the searcher.
	ActionSend ActionKind = "send"
	// ActionCancel cancels the attempt. Finish still has to be called for it.
	ActionCancel ActionKind = "cancel"
	// ActionReply returns the job's final result. There is exactly one per job, unless
	// the job is cancelled.
	ActionReply ActionKind = "reply"
	// ActionQuarantine reports that requests of the fingerprint crash searchers and are
	// to be refused everywhere for the duration of RetryAfter.
	ActionQuarantine ActionKind = "quarantine"
	// ActionCheck requests a check whether the searcher is dead, and a call of RecordCheck
	// with the result. It is used for shared searchers alone.
	ActionCheck ActionKind = "check"
	// ActionSuspect reports that requests of the fingerprint are suspect, as the searcher was
	// lost after an attempt there was abandoned.
	ActionSuspect ActionKind = "suspect"
	// ActionStatus reports a change of the searcher's status.
	ActionStatus ActionKind = "belief"
)

// SearcherStatus is the status of a searcher as the dispatcher has observed it.
type SearcherStatus string

// The statuses of a searcher.
const (
	// StatusUp means that the searcher gets jobs up to its concurrency limit.
	StatusUp SearcherStatus = "up"
	// StatusDown means that the searcher gets probes only.
	StatusDown SearcherStatus = "down"
	// StatusClosed means that the searcher gets no new jobs, as it drains or leaves.
	StatusClosed SearcherStatus = "closed"
)

// Action is a decision for the adapter to carry out.
type Action struct {
	Kind     ActionKind
	Job      JobID
	Attempt  AttemptID
	Searcher rrunit.SearcherID
	// DelayCancel is set for cancels of attempts whose searcher has answered nothing since
	// they were sent. The adapter delays the cancel, as their outcome shows whether the
	// searcher answers again.
	DelayCancel bool
	// Run, Reason and RetryAfter are set for replies. A reply without a reason has the hits
	// of Attempt; RetryAfter is the time after which to try again.
	Run        rrpeer.RunState
	Reason     rrquery.Reason
	RetryAfter rrunit.Duration
	// After is set for checks. It is the time after which the searcher is to be checked.
	After rrunit.Duration
	// Fingerprint is set for quarantines and suspects.
	Fingerprint rrunit.Fingerprint
	// Isolation is set for sends to shared searchers. It is what a crash of the searcher
	// during the attempt would prove, and is passed to RecordCrash.
	Isolation rrquarantine.Isolation
	// Status and Cause are set for ActionStatus. Cause is the outcome that changed the
	// status; empty if it was another event.
	Status SearcherStatus
	Cause  rrupstream.Outcome
}
