package rrdispatch

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// health is the state of a searcher by the outcomes of attempts and its load reports.
type health string

const (
	// healthUp means that the searcher gets attempts up to its concurrency limit.
	healthUp health = "up"
	// healthDown means that the searcher gets nothing until retryAt, then one attempt at
	// a time.
	healthDown health = "down"
	// healthProbing means that the searcher was down and reports its load again. It gets
	// one attempt at a time.
	healthProbing health = "probing"
)

// Parameters of the state of a searcher.
const (
	// minBackoff and maxBackoff bound the time between two probes of a searcher that is
	// down or that has reset new connections. Daemons that reconnected at once would keep
	// the searcher from the requests on its open connections.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxResets is the number of resets in a row after which the searcher is marked down.
	// As many idle connections to it may have been closed unnoticed.
	maxResets = 3
	// shedPause is the pause after a searcher sheds at a concurrency limit of one.
	shedPause = 10 * time.Millisecond
	// shedFactor is the factor by which a shed reduces the concurrency limit.
	shedFactor = 0.75
	// limitGrowth, divided by the concurrency limit, is what a success adds to it.
	limitGrowth = 0.05
	// slowStartGrowth is the same during slow start.
	slowStartGrowth = 0.2
	// maxFailures is the number of failed or slow attempts in a row after which the
	// searcher is marked down.
	maxFailures = 3
	// maxMissedReports is the number of missed load reports in a row after which the
	// searcher is marked down.
	maxMissedReports = 2
	// unreachableBackoff is how long no jobs are sent to a searcher that has stopped
	// responding, unless a load report arrives.
	unreachableBackoff = 30 * time.Second
	// firstReportWait is how long a new owner waits for a searcher's first load report
	// before it sends jobs there without one.
	firstReportWait = 30 * time.Millisecond
	// maxRefusedDraining is how long a refusal as draining counts while the load reports
	// never show the searcher draining.
	maxRefusedDraining = 30 * time.Second
	// missingVersionHold is how long the refusal of a version takes precedence over load
	// reports that list the version.
	missingVersionHold = time.Second
	// latencyExpiry is the age up to which a searcher's latency is used.
	latencyExpiry = time.Second
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
)

// missingVersion is a version that a searcher refused.
type missingVersion struct {
	version rrunit.IndexVersion
	until   rrunit.Instant
}

// searcher is the dispatcher's state of one replica.
type searcher struct {
	Searcher
	// bit identifies the searcher in a searcherSet.
	bit searcherSet
	// running has the attempts that have not finished, cancelled ones too.
	running []*attempt
	// concurrencyLimit is how many attempts may run at once, from 1 to Slots.
	concurrencyLimit float64
	// slowStart lets the limit grow faster until the first shed.
	slowStart bool
	// newestAtShed is the newest attempt at the last shed. Further sheds of attempts up
	// to it don't reduce the limit again.
	newestAtShed AttemptID

	health health
	// retryAt is when a searcher that is down or paused is used again.
	retryAt rrunit.Instant
	// timesDown counts how often the searcher was marked down since its last answer, the
	// last time at downAt.
	timesDown int
	downAt    rrunit.Instant
	// missedReports counts the load reports that were missed since the last report or
	// answer.
	missedReports int
	// noContact is set while neither load reports nor answers arrive.
	noContact bool
	// failedAttempts counts the attempts that failed or were too slow since the last
	// answer.
	failedAttempts int
	// overdueAttempts counts the attempts that took longer than usual since the last
	// answer. They make other searchers preferred.
	overdueAttempts int

	// resets counts the attempts that ended in a reset since the last answer or refusal.
	resets int

	// reportedDraining is set if the last load report showed the searcher draining.
	reportedDraining bool
	// refusedDraining is set if the searcher refused an attempt as draining, at
	// refusedDrainingAt. Load reports can lag, so one that doesn't show draining clears
	// it only after one that did; so does the loss of the process.
	refusedDraining   bool
	refusedDrainingAt rrunit.Instant
	// leaving is set if the platform lists the searcher as leaving.
	leaving bool
	// pausedUntil is the end of the pause that the searcher asked this daemon for.
	pausedUntil rrunit.Instant
	// saidLeaving is set once the searcher said in an answer that it leaves, and
	// leavingUnshared until the other daemons of the zone are told.
	saidLeaving, leavingUnshared bool

	// hasReport is set if versions is from a load report. Otherwise it has the version of
	// the last answer.
	hasReport bool
	versions  []rrunit.IndexVersion
	missing   []missingVersion

	// runsSuspect is set while a suspect runs, which excludes other attempts.
	runsSuspect bool
	// reserved is set while the searcher is reserved for a suspect, since reservedAt.
	reserved   bool
	reservedAt rrunit.Instant

	// orphanUntil is until when the searcher may run an attempt that was abandoned; zero if
	// there was none. checkPending is set while a check of the searcher is pending for that.
	orphanUntil  rrunit.Instant
	checkPending bool

	// latency is the moving average of its answers, in nanoseconds, as of latencyAt.
	latency   float64
	latencyAt rrunit.Instant

	// idleConnections is the number of open and idle connections to it, less those that
	// attempts have used since.
	idleConnections int
	// nextConnectAt is when a new connection may be opened again, and connectResets the
	// number of new connections that it has reset in a row.
	nextConnectAt rrunit.Instant
	connectResets int
	// limit is the request limit that the searcher names, of all daemons together, and
	// quota this daemon's share of it; quota is nil while the searcher names none.
	limit rrunit.Rate
	quota *rrbudget.Quota
	// limitAt is when the last answer arrived, here or at a daemon that sent evidence, that
	// showed whether the searcher names a limit, and limitUnshared is set if it showed a
	// change that other daemons were not sent yet.
	limitAt       rrunit.Instant
	limitUnshared bool
	// estimator is used where other daemons send to the searcher too.
	estimator rrestimate.Estimator

	// reportedStatus is the status that was last reported by an action.
	reportedStatus SearcherStatus
}

// isClosed reports whether the searcher gets no new jobs at all.
func (w *searcher) isClosed() bool {
	return w.reportedDraining || w.refusedDraining || w.leaving || w.saidLeaving
}

// connectTime returns the time that one more attempt needs to open a connection.
func (w *searcher) connectTime() rrunit.Duration {
	if w.idleConnections > 0 {
		return 0
	}
	return w.ConnectTime
}

// mayConnect reports whether there is an idle connection or a new one may be opened.
func (w *searcher) mayConnect(now rrunit.Instant) bool {
	return w.idleConnections > 0 || now >= w.nextConnectAt
}

// useConnection records that an attempt uses a connection, which is opened if none is
// idle. While the searcher resets new connections, one attempt at a time probes it.
func (w *searcher) useConnection(now rrunit.Instant) {
	if w.idleConnections == 0 && w.connectResets > 0 {
		w.nextConnectAt = now.Add(maxBackoff)
	}
	w.idleConnections = max(0, w.idleConnections-1)
}

// recordConnectReset records that the searcher has reset a new connection. Until the end
// of a backoff no more are opened, while the open ones stay in use. jitter is from 0 to 1.
func (w *searcher) recordConnectReset(now rrunit.Instant, jitter float64) {
	w.nextConnectAt = now.Add(backoff(w.connectResets, jitter))
	w.connectResets++
}

// backoff returns the time to the next probe after a failure, given the number of
// failures in a row before it. jitter is from 0 to 1.
func backoff(failures int, jitter float64) time.Duration {
	wait := maxBackoff
	if failures < 6 {
		wait = min(maxBackoff, minBackoff<<failures)
	}
	return time.Duration(float64(wait) * (0.75 + 0.5*jitter))
}

func (w *searcher) status() SearcherStatus {
	switch {
	case w.isClosed():
		return StatusClosed
	case w.health == healthUp:
		return StatusUp
	default:
		return StatusDown
	}
}

// currentLimit returns how many attempts may run at once now.
func (w *searcher) currentLimit() int {
	if w.health != healthUp {
		return 1
	}
	return int(w.concurrencyLimit)
}

// canStart reports whether the searcher can start one more attempt now.
func (w *searcher) canStart(now rrunit.Instant) bool {
	return !w.isClosed() && !w.runsSuspect && !w.reserved && len(w.running) < w.currentLimit() && now >= w.retryAt
}

// mayServe reports whether the searcher may serve the version, now or once it has a free
// slot. One without a load report is assumed to have it, so that a new owner need not
// wait.
func (w *searcher) mayServe(version rrunit.IndexVersion, now rrunit.Instant) bool {
	if w.isClosed() || w.isUnreachable(now) || w.lacksVersion(version, now) {
		return false
	}
	return !w.hasReport || slices.Contains(w.versions, version)
}

// isUnreachable reports whether the searcher has stopped responding. No jobs are then
// sent to probe it, as its load reports show when it is back.
func (w *searcher) isUnreachable(now rrunit.Instant) bool {
	return w.noContact && now < w.retryAt
}

// hasOlder reports whether an attempt is in flight that was sent at t or before.
func (w *searcher) hasOlder(t rrunit.Instant) bool {
	return slices.ContainsFunc(w.running, func(a *attempt) bool { return a.startedAt <= t })
}

func (w *searcher) lacksVersion(version rrunit.IndexVersion, now rrunit.Instant) bool {
	for _, l := range w.missing {
		if l.version == version && now < l.until {
			return true
		}
	}
	return false
}

// recordMissingVersion records that the searcher refused the version.
func (w *searcher) recordMissingVersion(version rrunit.IndexVersion, now rrunit.Instant) {
	w.missing = slices.DeleteFunc(w.missing, func(l missingVersion) bool { return l.version == version || now >= l.until })
	w.missing = append(w.missing, missingVersion{version: version, until: now.Add(missingVersionHold)})
}

// recordReport records a load report. It shows that a searcher which was down can be
// reached, so that it is probed soon; only an answer shows that it works. Its numbers of
// slots and of running requests are not used: they may lag or mislead, and the owner's
// own evidence is newer.
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

// recordDraining records that the searcher refused an attempt because it is leaving.
func (w *searcher) recordDraining(now rrunit.Instant) {
	w.refusedDraining = true
	w.refusedDrainingAt = now
}

// recordAnswer records the answer to an attempt.
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

// recordShed records that the searcher refused an attempt because it is overloaded.
// newest is the shard's newest attempt.
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

// markDown marks the searcher down for the time of a backoff. jitter is from 0 to 1.
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

// enterSlowStart resets the concurrency limit to one.
func (w *searcher) enterSlowStart() {
	w.concurrencyLimit = 1
	w.slowStart = true
}

// configure applies a new configuration.
func (w *searcher) configure(now rrunit.Instant, c Searcher) {
	if c.WarmupLeft > 0 {
		w.estimator.SetWarmup(now.Add(c.WarmupLeft.Std()))
	}
	if c.Slots > w.Slots {
		w.slowStart = true
	}
	w.Searcher = c
	w.Slots = max(1, c.Slots)
	w.concurrencyLimit = min(w.concurrencyLimit, float64(w.Slots))
}
