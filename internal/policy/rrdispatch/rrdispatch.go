// Package rrdispatch is the decision core of a shard's owner: it queues jobs by
// rank, gives them to replicas with a free slot, hedges, retries and cancels,
// and finds the jobs that crash their searchers. It has no goroutine, clock,
// socket or global random source; the current instant and events go in, actions
// come out. docs/design/dispatch.md has the reasons.
package rrdispatch

import (
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// JobID numbers the jobs of one shard.
type JobID uint64

// AttemptID numbers the attempts of one shard.
type AttemptID uint64

// Rank is a rank of work as the dispatcher sees it; its place in the
// configuration is its urgency, 0 being the most urgent.
type Rank struct {
	Name  rrunit.RankName
	Floor rrunit.Share
}

// Searcher is a replica of the shard.
type Searcher struct {
	ID    rrunit.SearcherID
	Zone  rrunit.Zone
	Slots int
	// IsFar says that it is in another region, to which bytes are dear.
	IsFar bool
	// Distance is how much of a latency is the way there and back; zero where
	// that is not known.
	Distance rrunit.Duration
	// Connect is how much longer an attempt takes on a new connection.
	Connect rrunit.Duration
	// Cold is how much longer it stays slow after its start.
	Cold rrunit.Duration
}

// MaxSearchers is the most replicas of one shard that are used; the others are
// passed over.
const MaxSearchers = 64

// Config is what the definition says of the shard.
type Config struct {
	Layout    rrunit.LayoutName
	Ranks     []Rank
	Searchers []Searcher
	// Queue is the most jobs of one rank that wait.
	Queue int
	// Extra bounds hedges and retries as a share of the shard's work.
	Extra rrunit.Share
	// Window is the span in which those who count it bound the extra work of all
	// daemons, and Slack this daemon's part of what they allow beside the share.
	// Without Works they are not used.
	Window rrunit.Duration
	Slack  float64
	// CountRefused says that a searcher's refusal costs the budget too, as where
	// the searchers' owners count every request that reaches them.
	CountRefused bool
	// Works is set where other daemons send to the searchers too. Searchers are
	// then chosen by estimates of when they answer, and a searcher's slots are
	// not taken for this daemon's own.
	Works *rrestimate.Works
	// TellBeliefs asks for an action when a searcher is taken to be in another
	// state.
	TellBeliefs bool
	// Quarantine is how long a job that crashes its searcher is refused.
	Quarantine rrunit.Duration
	// Seed starts the random source that spreads work and probes.
	Seed uint64
	// Tuning replaces the usual parameters of the decisions where it is set.
	Tuning Tuning
}

// Tuning has the parameters of the decisions that trials vary. A field that is
// zero takes the default.
type Tuning struct {
	// HedgeQuantile is the quantile of the rank's own recent latency, from 0
	// to 100, after which a second attempt is started.
	HedgeQuantile float64
	// HedgeFloor is the shortest time before a second attempt.
	HedgeFloor rrunit.Duration
	// HedgeStart is the time before a second attempt while too few latencies
	// are known.
	HedgeStart rrunit.Duration
	// NoHedge turns second attempts off.
	NoHedge bool
	// NoHold lets less urgent ranks take the slots that more urgent ones
	// usually use.
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
	// Attempts is the most searchers that may run the job; zero is no bound.
	Attempts int
	// Target is when the answer is worth less; zero is never. Jobs that can
	// still make it go before those that cannot.
	Target rrunit.Instant
	// Lot is from 0 to 1 and the same for all shards of a query. Where jobs have
	// to wait, a high lot goes first, so that the shards serve the same queries.
	Lot float64
	// Deadline is when the answer is of no more use.
	Deadline rrunit.Instant
}

// ActionKind says what an action asks for.
type ActionKind string

// The kinds of actions.
const (
	// ActionSend asks to start the attempt at the searcher.
	ActionSend ActionKind = "send"
	// ActionCancel asks to give up the attempt; Finish is still called for it.
	ActionCancel ActionKind = "cancel"
	// ActionReply gives the job's final result. It comes exactly once a job,
	// unless the job was cancelled.
	ActionReply ActionKind = "reply"
	// ActionQuarantine says that requests of the fingerprint crash searchers
	// and are to be refused everywhere for the time of Retry.
	ActionQuarantine ActionKind = "quarantine"
	// ActionBelief says that the searcher is taken to be in another state.
	ActionBelief ActionKind = "belief"
)

// Belief is the state that a searcher is taken to be in.
type Belief string

// The states of a searcher.
const (
	// BeliefUp takes work up to its bound.
	BeliefUp Belief = "up"
	// BeliefDown gets nothing but probes.
	BeliefDown Belief = "down"
	// BeliefClosed gets no new work, as it drains or leaves.
	BeliefClosed Belief = "closed"
)

// Action is a decision that the adapter carries out.
type Action struct {
	Kind     ActionKind
	Job      JobID
	Attempt  AttemptID
	Searcher rrunit.SearcherID
	// Linger is set for cancels of attempts whose searcher has answered nothing
	// since: how they end tells whether it is back.
	Linger bool
	// Run, Reason and Retry are set for replies. A reply without a reason has
	// the hits of Attempt.
	Run    rrpeer.RunState
	Reason rrquery.Reason
	Retry  rrunit.Duration
	// Fingerprint is set for quarantines.
	Fingerprint rrunit.Fingerprint
	// Isolation is set for sends to shared searchers. It says what a crash of the searcher under the
	// attempt would prove, for Crashed.
	Isolation rrquarantine.Isolation
	// Belief and Cause are set for beliefs; Cause is the outcome that was taken
	// last, empty if it was none.
	Belief Belief
	Cause  rrupstream.Outcome
}
