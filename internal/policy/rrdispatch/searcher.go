package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// health says whether a searcher is asked.
type health string

const (
	// healthUp takes work up to its bound.
	healthUp health = "up"
	// healthDown takes nothing until retryAt, then one attempt at a time.
	healthDown health = "down"
	// healthProbing was down and reports its load again. It takes one attempt
	// at a time.
	healthProbing health = "probing"
)

// Parameters of what is learned of a searcher.
const (
	// backoffFirst and backoffMost bound the time between two probes: of a searcher
	// that is down, and of one that has reset new connections, which daemons that open
	// them again at once would keep from the work of those that are connected.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxResets is how many connections in a row a searcher may reset at once:
	// as many idle ones as are kept to it may have ended unnoticed.
	maxResets = 3
	// shedPause is how long a searcher is left alone that sheds at one slot.
	shedPause = 10 * time.Millisecond
	// shedFactor is what a shed leaves of the bound.
	shedFactor = 0.75
	// growth is the part of a slot that the bound regains with a success, over
	// the bound.
	limitGrowth = 0.05
	// rampGrowth is the same for a cold searcher.
	slowStartGrowth = 0.2
	// maxStrikes is how many attempts in a row may fail or be given up as too
	// slow before the searcher counts as down.
	maxFailures = 3
	// maxUnheard is how many load reports in a row may fail to come.
	maxMissedReports = 2
	// unreachableProbe is how long no work is sent to a searcher that says
	// nothing any more, unless a load report comes.
	unreachableBackoff = 30 * time.Second
	// firstWord is how long a new owner waits for a searcher's first load report
	// before it sends work there without.
	firstReportWait = 30 * time.Millisecond
	// refusedMost is how long the searcher's own refusal as draining holds while
	// its load reports never say that it drains.
	maxRefusedDraining = 30 * time.Second
	// lackHold is how long the searcher's own refusal of a version goes before
	// load reports that say otherwise.
	missingVersionHold = time.Second
	// latencyAge is how long the latency of a searcher is remembered.
	latencyExpiry = time.Second
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
)

// lack is a version that a searcher refused.
type missingVersion struct {
	version rrunit.IndexVersion
	until   rrunit.Instant
}

// searcher is what the owner knows of one replica.
type searcher struct {
	Searcher
	// bit is the searcher's own in the masks of tried searchers.
	bit searcherSet
	// running has the attempts that have not finished, cancelled ones too.
	running []*attempt
	// bound is how many attempts run at once, from 1 to Slots.
	concurrencyLimit float64
	// cold lets the bound grow fast up to Slots until the first shed.
	slowStart bool
	// shedAfter is the newest attempt at the last shed; sheds of attempts up
	// to it belong to that shed.
	newestAtShed AttemptID

	health health
	// retryAt is when a searcher that is down or paused is asked again.
	retryAt rrunit.Instant
	// failures counts the times in a row that the searcher went down, the last
	// time at failedAt.
	timesDown int
	downAt    rrunit.Instant
	// unheard counts the load reports in a row that did not come, without an
	// answer meanwhile.
	missedReports int
	// cutOff says that neither load reports nor answers came.
	noContact bool
	// strikes counts the attempts in a row that failed or were given up as too
	// slow.
	failedAttempts int
	// overdue counts the attempts that took longer than usual since the last
	// answer. Such a searcher is passed over where others are free.
	overdueAttempts int

	// resets counts the attempts in a row that ended in a reset at once, without
	// an answer or a refusal meanwhile.
	resets int

	// draining is the word of the last load report.
	reportedDraining bool
	// refused says that an answer turned work away as draining, at refusedAt.
	// Load reports can lag, so only one that said draining too, or the loss of
	// the process, ends it.
	refusedDraining   bool
	refusedDrainingAt rrunit.Instant
	// leaving is the word of the platform's list.
	leaving bool

	// known says that a load report told of versions. Without one, versions has
	// the version of the last answer.
	hasReport bool
	versions  []rrunit.IndexVersion
	missing   []missingVersion

	// alone is set while a suspect runs alone.
	runsSuspect bool
	// reserved keeps the searcher free for a suspect, since reservedAt.
	reserved   bool
	reservedAt rrunit.Instant

	latency   float64
	latencyAt rrunit.Instant

	// idle is how many connections to it are open and idle, less those that attempts
	// have taken since.
	idleConnections int
	// connectAt is when a new connection may be opened again after it has reset some,
	// and full how many it has reset in a row.
	nextConnectAt rrunit.Instant
	connectResets int
	// pace is what is known of it where others send to it too.
	estimator rrestimate.Estimator

	// noted is the belief that was told last.
	reportedStatus Belief
}

// closed reports whether the searcher gets no new work at all.
func (w *searcher) isClosed() bool { return w.reportedDraining || w.refusedDraining || w.leaving }

// connect is how much longer one more attempt takes for its connection.
func (w *searcher) connectTime() rrunit.Duration {
	if w.idleConnections > 0 {
		return 0
	}
	return w.Connect
}

// mayConnect reports whether one more attempt finds a connection open, or may open one.
func (w *searcher) mayConnect(now rrunit.Instant) bool {
	return w.idleConnections > 0 || now >= w.nextConnectAt
}

// take notes that an attempt takes a connection, which is opened if none is idle. While
// the searcher accepts no more, one attempt at a time finds out whether it does again.
func (w *searcher) useConnection(now rrunit.Instant) {
	if w.idleConnections == 0 && w.connectResets > 0 {
		w.nextConnectAt = now.Add(maxBackoff)
	}
	w.idleConnections = max(0, w.idleConnections-1)
}

// refuseConnection notes that the searcher has reset a new connection. It accepts no
// more for now; those that are open go on. jitter is from 0 to 1.
func (w *searcher) recordConnectReset(now rrunit.Instant, jitter float64) {
	w.nextConnectAt = now.Add(backoff(w.connectResets, jitter))
	w.connectResets++
}

// backoff returns the time to the next probe after that many in a row that failed
// before. jitter is from 0 to 1.
func backoff(failures int, jitter float64) time.Duration {
	wait := maxBackoff
	if failures < 6 {
		wait = min(maxBackoff, minBackoff<<failures)
	}
	return time.Duration(float64(wait) * (0.75 + 0.5*jitter))
}

func (w *searcher) status() Belief {
	switch {
	case w.isClosed():
		return BeliefClosed
	case w.health == healthUp:
		return BeliefUp
	default:
		return BeliefDown
	}
}

// limit returns how many attempts may run at once now.
func (w *searcher) currentLimit() int {
	if w.health != healthUp {
		return 1
	}
	return int(w.concurrencyLimit)
}

// free reports whether the searcher takes one more attempt now.
func (w *searcher) canStart(now rrunit.Instant) bool {
	return !w.isClosed() && !w.runsSuspect && !w.reserved && len(w.running) < w.currentLimit() && now >= w.retryAt
}

// serves reports whether the searcher may have the version, now or once it is
// free. One that has not reported yet is taken to have it, so that a new owner
// need not wait.
func (w *searcher) mayServe(version rrunit.IndexVersion, now rrunit.Instant) bool {
	if w.isClosed() || w.isUnreachable(now) || w.lacksVersion(version, now) {
		return false
	}
	return !w.hasReport || slices.Contains(w.versions, version)
}

// unreachable reports whether nothing is heard of the searcher any more. Work
// is then not sent there to see whether it is back: its load reports tell.
func (w *searcher) isUnreachable(now rrunit.Instant) bool {
	return w.noContact && now < w.retryAt
}

// hasOlder reports whether an attempt is under way that was sent at the instant
// or before.
func (w *searcher) hasOlder(than rrunit.Instant) bool {
	return slices.ContainsFunc(w.running, func(a *attempt) bool { return a.startedAt <= than })
}

func (w *searcher) lacksVersion(version rrunit.IndexVersion, now rrunit.Instant) bool {
	for _, l := range w.missing {
		if l.version == version && now < l.until {
			return true
		}
	}
	return false
}

// refuse notes that the searcher does not have the version after all.
func (w *searcher) recordMissingVersion(version rrunit.IndexVersion, now rrunit.Instant) {
	w.missing = slices.DeleteFunc(w.missing, func(l missingVersion) bool { return l.version == version || now >= l.until })
	w.missing = append(w.missing, missingVersion{version: version, until: now.Add(missingVersionHold)})
}

// observe takes a load report. It shows that a searcher which was down can be
// reached, so that it is probed soon; that it works, only an answer shows. What it
// says of slots and busy is not used: it lags or misleads, and the owner's own
// evidence is newer.
func (w *searcher) recordReport(now rrunit.Instant, layout rrunit.LayoutName, load rrupstream.Load) {
	if w.reportedDraining && !load.Draining || now >= w.refusedDrainingAt.Add(maxRefusedDraining) {
		w.refusedDraining = false
	}
	w.reportedDraining = load.Draining
	w.missedReports, w.noContact = 0, false
	if !w.hasReport && w.health == healthUp {
		w.retryAt = min(w.retryAt, now)
	}
	if w.health == healthDown {
		w.health = healthProbing
		w.retryAt = min(w.retryAt, max(now, w.downAt.Add(minBackoff)))
	}
	w.hasReport = true
	w.versions = w.versions[:0]
	for _, snap := range load.Snapshots {
		if snap.Layout == layout {
			w.versions = append(w.versions, snap.Version)
		}
	}
	slices.Sort(w.versions)
	w.versions = slices.Compact(w.versions)
}

// drain notes that the searcher itself refused work because it leaves.
func (w *searcher) recordDraining(now rrunit.Instant) {
	w.refusedDraining = true
	w.refusedDrainingAt = now
}

// answered notes a success of an attempt.
func (w *searcher) recordAnswer(now rrunit.Instant, version rrunit.IndexVersion, latency time.Duration) {
	if w.health != healthUp {
		w.health = healthUp
		w.retryAt = now
	}
	w.timesDown, w.failedAttempts, w.overdueAttempts, w.resets = 0, 0, 0, 0
	w.missedReports, w.noContact = 0, false
	if !w.hasReport {
		w.versions = append(w.versions[:0], version)
	}
	step := limitGrowth
	if w.slowStart {
		step = slowStartGrowth
	}
	w.concurrencyLimit = min(float64(w.Slots), w.concurrencyLimit+step/w.concurrencyLimit)
	if now.Sub(w.latencyAt) > latencyExpiry {
		w.latency = float64(latency)
	}
	w.latency += latencyWeight * (float64(latency) - w.latency)
	w.latencyAt = now
}

// shed notes that the searcher turned an attempt away as it is busy. newest is
// the newest attempt there is.
func (w *searcher) recordShed(now rrunit.Instant, id, newest AttemptID) {
	if id <= w.newestAtShed {
		return
	}
	w.newestAtShed = newest
	w.slowStart = false
	if w.concurrencyLimit < 2 {
		w.retryAt = max(w.retryAt, now.Add(shedPause))
	}
	w.concurrencyLimit = max(1, w.concurrencyLimit*shedFactor)
}

// fail notes that the searcher cannot be reached or died. jitter is from 0 to 1.
func (w *searcher) markDown(now rrunit.Instant, jitter float64) {
	if w.health != healthUp && now < w.retryAt {
		return
	}
	w.downAt = now
	w.retryAt = now.Add(backoff(w.timesDown, jitter))
	w.timesDown++
	w.failedAttempts, w.overdueAttempts = 0, 0
	w.health = healthDown
	w.enterSlowStart()
}

// chill lets the searcher start slowly.
func (w *searcher) enterSlowStart() {
	w.concurrencyLimit = 1
	w.slowStart = true
}

// configure takes what the definition says now.
func (w *searcher) configure(now rrunit.Instant, c Searcher) {
	if c.Cold > 0 {
		w.estimator.SetWarmup(now.Add(c.Cold.Std()))
	}
	if c.Slots > w.Slots {
		w.slowStart = true
	}
	w.Searcher = c
	w.Slots = max(1, c.Slots)
	w.concurrencyLimit = min(w.concurrencyLimit, float64(w.Slots))
}
