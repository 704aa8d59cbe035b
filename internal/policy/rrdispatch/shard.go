package rrdispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrqueue"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Sizes of the budget for hedges and retries, in attempts.
const (
	// extraBurst is how many hedges and retries may start at once.
	extraBurst = 10
	// extraOverdraft is how far retries after a loss may overdraw the budget.
	extraOverdraft = 45
)

// Shard is the dispatcher of one shard. It is not safe for concurrent use. The actions
// that a call returns have to be carried out in order.
type Shard struct {
	cfg    Config
	tuning Tuning
	// now is the latest instant passed to any call.
	now rrunit.Instant
	rng *rand.Rand

	// searchers are in the order of the configuration.
	searchers []*searcher
	// removed has the searchers that are no longer configured and still have attempts
	// in flight.
	removed []*searcher
	// unlisted has what searchers said that are neither configured nor in removed. There are
	// at most maxUnlisted.
	unlisted map[rrunit.SearcherID]unlistedSearcher

	queue *rrqueue.Queue[laneKey, *job]
	// ready is the method value isReady, stored so that calls don't allocate it.
	ready rrqueue.Ready[laneKey]
	// placed is the placement of the lane that isReady accepted last, which is the lane
	// that Pick serves.
	placed placement
	ranks  []*rankState
	budget *rrbudget.Bucket
	// sharedBudget replaces budget where other daemons send to the searchers too.
	sharedBudget *rrbudget.Window
	suspects     *rrquarantine.Tracker

	jobs        map[JobID]*job
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	timers      timers
	// meanLatency is the moving average of all answers, in nanoseconds.
	meanLatency float64

	// suspectHeldUntil is the earliest end of a hold on a waiting suspect; zero is none.
	suspectHeldUntil rrunit.Instant
	// needsIdle is set if a suspect, of needsIdleLane, found no idle searcher.
	needsIdle     bool
	needsIdleLane laneKey
	// recheckWaiting is set if searchers may have closed or lost versions, so that waiting
	// jobs may have become unservable.
	recheckWaiting bool
	// recheckPauses is set if a pause has begun or is longer, so that waiting jobs may have
	// become unservable in time.
	recheckPauses bool

	actions []Action
	// cause is the outcome that the current call handles; empty if none.
	cause        rrupstream.Outcome
	freeJobs     []*job
	freeAttempts []*attempt
}

// New returns the dispatcher of one shard.
func New(cfg Config) *Shard {
	s := &Shard{
		jobs:     make(map[JobID]*job),
		attempts: make(map[AttemptID]*attempt),
		unlisted: make(map[rrunit.SearcherID]unlistedSearcher),
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Searchers)))),
		budget:   rrbudget.NewBucket(cfg.ExtraShare, extraBurst, extraOverdraft),
		suspects: cfg.Suspects,
	}
	s.sharedBudget = rrbudget.NewWindow(cfg.ExtraWindow.Std(), cfg.ExtraShare, cfg.ExtraSlack, roundingFraction(cfg.Seed))
	if s.suspects == nil {
		s.suspects = rrquarantine.New(cfg.QuarantineDuration)
	}
	s.ready = s.isReady
	s.Configure(0, cfg)
	for _, w := range s.searchers {
		w.concurrencyLimit = float64(w.Slots)
		w.slowStart = false
	}
	return s
}

// roundingStream is the random stream of roundingFraction, apart from that of the
// decisions.
const roundingStream = 1 << 32

// roundingFraction returns the random number by which the limit of the shared budget is
// rounded.
func roundingFraction(seed uint64) float64 {
	return rand.New(rand.NewPCG(seed, roundingStream)).Float64()
}

// Configure applies a new configuration. Searchers that stay keep their state, and new
// ones are in slow start.
func (s *Shard) Configure(now rrunit.Instant, cfg Config) []Action {
	s.begin(now)
	if cfg.Layout != s.cfg.Layout {
		s.clearVersions()
	}
	waiting := s.drainQueue()
	s.cfg = cfg
	s.tuning = cfg.Tuning.withDefaults()
	s.configureBudget()
	s.suspects.SetDuration(cfg.QuarantineDuration)
	s.configureRanks()
	s.configureSearchers()
	for _, j := range s.jobs {
		j.Rank = s.clampRank(j.Rank)
	}
	for _, j := range waiting {
		j.demoted = false
		s.enqueue(j, j.attemptsSent > 0)
	}
	s.recheckWaiting = true
	return s.end(now)
}

// Offer adds a new job.
func (s *Shard) Offer(now rrunit.Instant, in Job) []Action {
	s.begin(now)
	in.Rank = s.clampRank(in.Rank)
	j := s.newJob(now, in)
	if reason, retry := s.refusalReason(now, j); reason != rrquery.ReasonNone {
		s.reply(j, reason, retry)
		return s.end(now)
	}
	s.setQueueDeadline(now, j)
	s.setDemoteAt(now, j)
	s.enqueue(j, false)
	return s.end(now)
}

// Cancel cancels a job. No reply follows.
func (s *Shard) Cancel(now rrunit.Instant, id JobID) []Action {
	s.begin(now)
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	s.removeJob(j)
	return s.end(now)
}

// Finish records the end of an attempt. A cancelled attempt, too, holds its slot until
// then.
func (s *Shard) Finish(now rrunit.Instant, id AttemptID, outcome rrupstream.Outcome) []Action {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	s.begin(now)
	s.cause = outcome
	s.releaseSlot(a)
	s.recordOutcome(now, a, outcome)
	if a.job != nil {
		s.finishAttempt(now, a, outcome)
	}
	*a = attempt{}
	s.freeAttempts = append(s.freeAttempts, a)
	return s.end(now)
}

// SetRoundTrips sets the round-trip times to the searchers' zones, and how much longer an
// attempt there takes on a new connection.
func (s *Shard) SetRoundTrips(of func(rrunit.Zone) (roundTrip, connectTime rrunit.Duration)) {
	for _, w := range s.searchers {
		w.RoundTrip, w.ConnectTime = of(w.Zone)
	}
}

// SetIdleConnections sets the number of open and idle connections to each searcher.
func (s *Shard) SetIdleConnections(of func(rrunit.SearcherID) int) {
	for _, w := range s.searchers {
		w.idleConnections = of(w.ID)
	}
}

// RecordConnection records whether a new connection was opened for the attempt.
func (s *Shard) RecordConnection(id AttemptID, opened bool) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	a.newConnection, a.connectTime = opened, 0
	if opened {
		a.connectTime = a.searcher.ConnectTime
	}
}

// RecordAnswerLoad records the load report that came with a searcher's answer.
func (s *Shard) RecordAnswerLoad(now rrunit.Instant, id rrunit.SearcherID, r rrestimate.Report) {
	if w := s.findSearcher(id); w != nil {
		w.estimator.RecordReport(now, r)
	}
}

// RecordLoadReport records a load report that was polled from a searcher.
func (s *Shard) RecordLoadReport(now rrunit.Instant, id rrunit.SearcherID, load rrupstream.Load) []Action {
	s.begin(now)
	w := s.findSearcher(id)
	if w == nil {
		return nil
	}
	w.recordReport(now, s.cfg.Layout, load)
	s.recheckWaiting = true
	return s.end(now)
}

// AwaitReports stops sends to searchers without a load report for a short time. A new
// owner polls them at once, and must not send jobs to one that is leaving.
func (s *Shard) AwaitReports(now rrunit.Instant) {
	for _, w := range s.searchers {
		if !w.hasReport {
			w.retryAt = max(w.retryAt, now.Add(firstReportWait))
		}
	}
}

// RecordMissedReport records that a searcher did not respond to a poll of its load, sent
// at since. After maxMissedReports in a row without an answer to any attempt meanwhile,
// it is marked down. If it has attempts from before the poll, the idempotent ones are
// cancelled, and it gets no jobs for unreachableBackoff. A searcher without such attempts
// is probed as usual, since only its load reports may be failing.
func (s *Shard) RecordMissedReport(now rrunit.Instant, id rrunit.SearcherID, since rrunit.Instant) []Action {
	s.begin(now)
	w := s.findSearcher(id)
	if w == nil || w.latencyAt >= since && w.latencyAt > 0 {
		return nil
	}
	w.missedReports++
	switch {
	case w.missedReports < maxMissedReports || w.isUnreachable(now):
	case w.hasOlder(since):
		w.markDown(now, s.rng.Float64())
		w.retryAt = now.Add(unreachableBackoff)
		w.noContact = true
		s.cancelAttempts(w)
		s.recheckWaiting = true
	case w.health == healthUp:
		w.markDown(now, s.rng.Float64())
	}
	return s.end(now)
}

// cancelAttempts cancels the idempotent attempts at the searcher.
func (s *Shard) cancelAttempts(w *searcher) {
	for _, a := range w.running {
		if a.job != nil && a.job.Idempotent {
			s.emit(Action{Kind: ActionCancel, Job: a.job.ID, Attempt: a.id, Searcher: w.ID})
		}
	}
}

// SetLeaving sets which searchers the platform lists as leaving. They get no new jobs.
func (s *Shard) SetLeaving(now rrunit.Instant, leaving func(rrunit.SearcherID) bool) []Action {
	s.begin(now)
	for _, w := range s.searchers {
		w.leaving = leaving(w.ID)
	}
	s.recheckWaiting = true
	return s.end(now)
}

// Quarantine refuses requests of the fingerprint until the instant, as they were found
// elsewhere to crash searchers.
func (s *Shard) Quarantine(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) []Action {
	s.begin(now)
	s.suspects.Add(now, f, until)
	s.refuseQuarantined(now, f, until)
	return s.end(now)
}

// Tick carries out what is due: it replies to jobs that cannot be answered in time, starts
// hedges, and quarantines fingerprints.
func (s *Shard) Tick(now rrunit.Instant) []Action {
	s.begin(now)
	for _, v := range s.suspects.Tick(now) {
		s.emitQuarantine(now, v)
	}
	for len(s.timers) > 0 && s.timers[0].timerAt <= now {
		s.handleTimer(now, s.timers[0])
	}
	return s.end(now)
}

// Next returns when Tick is due next, and false if it is not due.
func (s *Shard) Next() (rrunit.Instant, bool) {
	var next rrunit.Instant
	found := false
	add := func(at rrunit.Instant) {
		if !found || at < next {
			next, found = at, true
		}
	}
	if len(s.timers) > 0 {
		add(s.timers[0].timerAt)
	}
	if at, ok := s.suspects.NextTick(); ok {
		add(at)
	}
	if s.queue.Len() > 0 {
		s.addSearcherTimes(add)
	}
	return next, found
}

// addSearcherTimes passes to add the instants at which waiting jobs may start without a
// further event.
func (s *Shard) addSearcherTimes(add func(rrunit.Instant)) {
	later := func(at rrunit.Instant) {
		if at > s.now {
			add(at)
		}
	}
	for _, w := range s.searchers {
		later(w.retryAt)
		later(w.nextConnectAt)
		later(w.quotaAt(s.now))
		if s.isShared() {
			later(s.capacityAt(w))
		}
		if w.reserved {
			later(w.reservedAt.Add(maxReserveTime))
		}
	}
	later(s.suspectHeldUntil)
}

// BudgetLeft returns how many hedges and retries can be started now.
func (s *Shard) BudgetLeft() float64 {
	if s.isShared() {
		return s.sharedBudget.Available(s.now)
	}
	return s.budget.Tokens()
}

// Report returns the queueing delays and the index versions of the shard for entries.
func (s *Shard) Report(now rrunit.Instant) rrpeer.ShardReport {
	var r rrpeer.ShardReport
	for i, rank := range s.cfg.Ranks {
		if since, ok := s.queue.Oldest(i); ok {
			r.Waits = append(r.Waits, rrpeer.RankWait{Rank: rank.Name, Wait: rrunit.Duration(max(0, now.Sub(since)))})
		}
	}
	for _, w := range s.searchers {
		if w.isClosed() || w.health == healthDown {
			continue
		}
		for _, v := range w.versions {
			if !w.lacksVersion(v, now) {
				r.Versions = append(r.Versions, v)
			}
		}
	}
	slices.Sort(r.Versions)
	return r
}

func (s *Shard) begin(now rrunit.Instant) {
	s.now = max(s.now, now)
	s.actions = nil
	s.cause = ""
}

// end dispatches waiting jobs and returns the call's actions.
func (s *Shard) end(now rrunit.Instant) []Action {
	s.updateUsage(now)
	if s.recheckWaiting {
		s.recheckWaiting = false
		s.replyAllUnservable(now)
	}
	if s.recheckPauses {
		s.recheckPauses = false
		s.replyAllPaused(now)
	}
	s.dispatch()
	s.emitStatusChanges()
	out := s.actions
	s.actions = nil
	return out
}

// emitStatusChanges reports the searchers whose status has changed.
func (s *Shard) emitStatusChanges() {
	if !s.cfg.ReportStatus {
		return
	}
	for _, w := range s.searchers {
		if now := w.status(); now != w.reportedStatus {
			w.reportedStatus = now
			s.emit(Action{Kind: ActionStatus, Searcher: w.ID, Status: now, Cause: s.cause})
		}
	}
}

func (s *Shard) emit(a Action) {
	if s.actions == nil {
		s.actions = make([]Action, 0, 2)
	}
	s.actions = append(s.actions, a)
}

func (s *Shard) findSearcher(id rrunit.SearcherID) *searcher {
	for _, w := range s.searchers {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (s *Shard) clampRank(rank int) int { return min(max(rank, 0), len(s.ranks)-1) }

// expectedSlotTime returns how long a slot is usually held, as an estimate of the time
// until one is free.
func (s *Shard) expectedSlotTime() time.Duration { return time.Duration(s.meanLatency) }
