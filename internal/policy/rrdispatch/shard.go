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

// Sizes of the budget of extra work.
const (
	// budgetBurst is how many hedges and retries the shard may start at once.
	extraBurst = 10
	// budgetDebt is how many retries of lost work go beyond the budget.
	extraDebt = 45
)

// Shard is the dispatcher of one shard. It is not safe for concurrent use. The
// actions that a call returns are to be carried out in their order.
type Shard struct {
	cfg    Config
	tuning Tuning
	// now is the latest instant seen.
	now rrunit.Instant
	rng *rand.Rand

	// searchers are in the configuration's order.
	searchers []*searcher
	// gone are searchers no longer configured whose attempts have not finished.
	removed []*searcher

	queue *rrqueue.Queue[laneKey, *job]
	// ready is the method value, kept so that no call allocates it.
	ready  rrqueue.Ready[laneKey]
	ranks  []*rankState
	budget *rrbudget.Bucket
	// window is the budget where other daemons send to the searchers too.
	sharedBudget *rrbudget.Window
	suspects     *rrquarantine.Tracker

	jobs        map[JobID]*job
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	timers      timers
	// latency is the moving average of all answers, in nanoseconds.
	meanLatency float64

	// heldUntil is the earliest end of a hold on a waiting suspect; zero is none.
	suspectHeldUntil rrunit.Instant
	// wantAlone says that a suspect, of the lane wantedBy, found no idle searcher.
	needsIdle     bool
	needsIdleLane laneKey
	// recheck says that searchers may have closed or lost versions.
	recheckWaiting bool

	actions []Action
	// cause is the outcome that the present call takes.
	cause        rrupstream.Outcome
	freeJobs     []*job
	freeAttempts []*attempt
}

// New returns the dispatcher of one shard.
func New(cfg Config) *Shard {
	s := &Shard{
		jobs:         make(map[JobID]*job),
		attempts:     make(map[AttemptID]*attempt),
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Searchers)))),
		budget:       rrbudget.New(cfg.Extra, extraBurst, extraDebt),
		sharedBudget: rrbudget.NewWindow(cfg.Window.Std(), cfg.Extra, cfg.Slack, roundingFraction(cfg.Seed)),
		suspects:     rrquarantine.New(cfg.Quarantine),
	}
	s.ready = s.isReady
	s.Configure(0, cfg)
	for _, w := range s.searchers {
		w.concurrencyLimit = float64(w.Slots)
		w.slowStart = false
	}
	return s
}

// lotStream is the random stream of the lots, apart from that of the decisions.
const roundingStream = 1 << 32

// lot returns the random number by which the window's bound is rounded.
func roundingFraction(seed uint64) float64 {
	return rand.New(rand.NewPCG(seed, roundingStream)).Float64()
}

// Configure takes a new configuration. Searchers that stay keep their state,
// and new ones start slowly.
func (s *Shard) Configure(now rrunit.Instant, cfg Config) []Action {
	s.begin(now)
	if cfg.Layout != s.cfg.Layout {
		s.clearVersions()
	}
	waiting := s.drainQueue()
	s.cfg = cfg
	s.tuning = cfg.Tuning.withDefaults()
	s.configureBudget()
	s.suspects.SetTerm(cfg.Quarantine)
	s.configureRanks()
	s.configureSearchers()
	for _, j := range waiting {
		j.Rank = s.clampRank(j.Rank)
		j.demoted = false
		s.enqueue(j, j.attemptsSent > 0)
	}
	s.recheckWaiting = true
	return s.end(now)
}

// Offer takes a new job.
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

// Cancel gives up a job. No reply comes for it any more.
func (s *Shard) Cancel(now rrunit.Instant, id JobID) []Action {
	s.begin(now)
	j, ok := s.jobs[id]
	if !ok {
		return nil
	}
	s.removeJob(j)
	return s.end(now)
}

// Finish takes the end of an attempt. Until then a cancelled attempt, too, has
// its slot.
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

// SetWays takes the round trips to the searchers' zones, and how much longer an
// attempt there takes on a new connection.
func (s *Shard) SetWays(of func(rrunit.Zone) (distance, connect rrunit.Duration)) {
	for _, w := range s.searchers {
		w.Distance, w.Connect = of(w.Zone)
	}
}

// SetIdle takes how many connections to each searcher are open and idle.
func (s *Shard) SetIdle(of func(rrunit.SearcherID) int) {
	for _, w := range s.searchers {
		w.idleConnections = of(w.ID)
	}
}

// NoteConnection takes whether a new connection was opened for the attempt.
func (s *Shard) NoteConnection(id AttemptID, opened bool) {
	a := s.attempts[id]
	if a == nil {
		return
	}
	a.newConnection, a.connectTime = opened, 0
	if opened {
		a.connectTime = a.searcher.Connect
	}
}

// NoteLoad takes what a searcher tells of its load and of its machine's pace.
func (s *Shard) NoteLoad(now rrunit.Instant, id rrunit.SearcherID, r rrestimate.Report) {
	if w := s.findSearcher(id); w != nil {
		w.estimator.RecordReport(now, r)
	}
}

// Observe takes a searcher's load report.
func (s *Shard) Observe(now rrunit.Instant, id rrunit.SearcherID, load rrupstream.Load) []Action {
	s.begin(now)
	w := s.findSearcher(id)
	if w == nil {
		return nil
	}
	w.recordReport(now, s.cfg.Layout, load)
	s.recheckWaiting = true
	return s.end(now)
}

// AwaitReports holds work back from searchers that have not reported their load
// yet, for a short time from now on. A new owner asks for the reports at once,
// and must not send work to a searcher that would say that it leaves.
func (s *Shard) AwaitReports(now rrunit.Instant) {
	for _, w := range s.searchers {
		if !w.hasReport {
			w.retryAt = max(w.retryAt, now.Add(firstReportWait))
		}
	}
}

// Unreachable takes that a searcher was asked for its load at the instant since
// and said nothing. If it says nothing again and answers no work meanwhile, it
// is down. If it has work of before, that is given up as far as it is idempotent,
// and none is sent for long. An idle searcher is probed as usual, since the load
// report may be all that fails.
func (s *Shard) Unreachable(now rrunit.Instant, id rrunit.SearcherID, since rrunit.Instant) []Action {
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

// giveUpAt asks to cancel the idempotent attempts at the searcher.
func (s *Shard) cancelAttempts(w *searcher) {
	for _, a := range w.running {
		if a.job != nil && a.job.Idempotent {
			s.emit(Action{Kind: ActionCancel, Job: a.job.ID, Attempt: a.id, Searcher: w.ID})
		}
	}
}

// SetLeaving takes which searchers leave by the platform's list. They get no
// new work.
func (s *Shard) SetLeaving(now rrunit.Instant, leaving func(rrunit.SearcherID) bool) []Action {
	s.begin(now)
	for _, w := range s.searchers {
		w.leaving = leaving(w.ID)
	}
	s.recheckWaiting = true
	return s.end(now)
}

// Quarantine takes that requests of the fingerprint were found elsewhere to
// crash searchers, and are refused until the instant.
func (s *Shard) Quarantine(now rrunit.Instant, f rrunit.Fingerprint, until rrunit.Instant) []Action {
	s.begin(now)
	s.suspects.Add(now, f, until)
	s.refuseQuarantined(now, f, until)
	return s.end(now)
}

// Tick does what is due: jobs that cannot be answered in time are given up,
// second attempts are started, and verdicts are reached.
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

// Next returns when Tick is due next; false means never.
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
	if at, ok := s.suspects.Next(); ok {
		add(at)
	}
	if s.queue.Len() > 0 {
		s.addSearcherTimes(add)
	}
	return next, found
}

// searcherTimes gives add the instants at which work that waits may start
// though no event comes.
func (s *Shard) addSearcherTimes(add func(rrunit.Instant)) {
	later := func(at rrunit.Instant) {
		if at > s.now {
			add(at)
		}
	}
	for _, w := range s.searchers {
		later(w.retryAt)
		later(w.nextConnectAt)
		if s.isShared() {
			later(s.capacityAt(w))
		}
		if w.reserved {
			later(w.reservedAt.Add(maxReserveTime))
		}
	}
	later(s.suspectHeldUntil)
}

// BudgetLeft returns how many attempts beyond the first can be started now.
func (s *Shard) BudgetLeft() float64 {
	if s.isShared() {
		return s.sharedBudget.Left(s.now)
	}
	return s.budget.Tokens()
}

// Report returns the state of the shard for entries.
func (s *Shard) Report(now rrunit.Instant) rrpeer.Report {
	var r rrpeer.Report
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

// end dispatches what can be and returns the call's actions.
func (s *Shard) end(now rrunit.Instant) []Action {
	s.updateUsage(now)
	if s.recheckWaiting {
		s.recheckWaiting = false
		s.replyAllUnservable(now)
	}
	s.dispatch(now)
	s.emitStatusChanges()
	out := s.actions
	s.actions = nil
	return out
}

// noteBeliefs says which searchers are taken to be in another state than before.
func (s *Shard) emitStatusChanges() {
	if !s.cfg.TellBeliefs {
		return
	}
	for _, w := range s.searchers {
		if now := w.status(); now != w.reportedStatus {
			w.reportedStatus = now
			s.emit(Action{Kind: ActionBelief, Searcher: w.ID, Belief: now, Cause: s.cause})
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

// slotTime returns how long a slot is usually held, to tell how soon one is
// free again.
func (s *Shard) expectedSlotTime() time.Duration { return time.Duration(s.meanLatency) }
