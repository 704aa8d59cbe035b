package rrhistory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// StoreSubject is the subject of disturbances that affect the store.
const StoreSubject = "store"

// Check returns the violations found so far, and clears them.
func (h *History) Check() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := slices.SortedFunc(maps.Values(h.requests), func(a, b *Request) int {
		return cmp.Or(a.Sent.Compare(b.Sent), cmp.Compare(a.ID, b.ID))
	})
	for _, r := range requests {
		h.checkExecutions(r)
		h.checkConnectionLost(r)
		h.checkCancellation(r)
		h.checkConvergence(r)
	}
	for _, id := range h.invalid {
		if received := h.received[id]; len(received) > 0 {
			h.addViolation(PromiseInputValidation, []string{id}, "reached %s", received[0].Searcher)
		}
	}
	h.checkMonotonicVersion(requests)
	h.checkBudget(requests)
	h.checkLimits(requests)
	h.checkCrashRetries(requests)
	h.checkNotices(requests)
	violations := h.violations
	h.violations = nil
	return violations
}

// checkExecutions checks how often a request was executed, and at how many
// searchers.
func (h *History) checkExecutions(r *Request) {
	executions := 0
	executionsByService := make(map[string]int)
	for _, e := range h.received[r.ID] {
		if e.Ran {
			executions++
			if h.undisturbed(r.Sent, r.Ended, true, e.Searcher) {
				executionsByService[e.Service]++
			}
		}
		h.checkDraining(r, &e)
	}
	if r.AtMostOnce && executions > 1 {
		h.addViolation(PromiseAtMostOnce, []string{r.ID}, "ran %d times", executions)
	}
	if r.AtMostOnce && r.isRefusal() && executions > 0 {
		h.addViolation(PromiseNotExecuted, []string{r.ID}, "answered %d, and ran", r.Status)
	}
	for service, n := range executionsByService {
		if n > h.bounds.MaxAttempts {
			h.addViolation(PromiseMaxAttempts, []string{r.ID}, "ran %d times at %s", n, service)
		}
	}
}

// checkDraining checks that a draining searcher got no new work. What the store acknowledged
// while it was disturbed does not count.
func (h *History) checkDraining(r *Request, e *standin.RequestEvent) {
	drainStart, ok := h.drainStarts[e.Searcher]
	if !ok || !h.undisturbed(drainStart, drainStart, true, StoreSubject) {
		return
	}
	if r.Sent.After(drainStart.Add(h.bounds.DrainTime)) && h.undisturbed(r.Sent, e.At, true, r.Daemon, StoreSubject, e.Searcher) {
		h.addViolation(PromiseDraining, []string{r.ID}, "%s got it %s after it began to leave", e.Searcher, e.At.Sub(drainStart))
	}
}

// checkConnectionLost checks that the connection of a forwarded request was lost
// only because of an unplanned disturbance.
func (h *History) checkConnectionLost(r *Request) {
	if !r.ConnectionLost || len(h.received[r.ID]) == 0 {
		return
	}
	subjects := []string{r.Daemon}
	for _, e := range h.received[r.ID] {
		subjects = append(subjects, e.Searcher)
	}
	if h.undisturbed(r.Sent, r.Ended, false, subjects...) {
		h.addViolation(PromiseGracefulStop, []string{r.ID}, "passed on to %v and cut after %s at %s", subjects[1:], r.Ended.Sub(r.Sent), r.Daemon)
	}
}

// checkCancellation checks that no searcher kept working for a caller that
// disconnected. If all parts were completed before the daemon had to detect the
// disconnection, the answer may have been sent and the request been over.
func (h *History) checkCancellation(r *Request) {
	if !r.CancelledEarly || r.Status != 0 || h.allPartsCompleted(r) {
		return
	}
	for _, e := range h.completed[r.ID] {
		if delay := e.At.Sub(r.Ended); delay > h.bounds.CancelTime && h.undisturbed(r.Sent, e.At, true, r.Daemon, e.Searcher) {
			h.addViolation(PromiseCancellation, []string{r.ID}, "%s worked to the end, %s after the caller had left", e.Searcher, delay)
		}
	}
}

// allPartsCompleted reports whether each service that a request reached completed
// it within the time that its daemon has to detect that the caller disconnected.
// Once a daemon has detected that, it cancels the outstanding parts, so that they
// never complete.
func (h *History) allPartsCompleted(r *Request) bool {
	for _, e := range h.received[r.ID] {
		completedInTime := func(done standin.RequestEvent) bool {
			return done.Service == e.Service && !done.At.After(r.Ended.Add(h.bounds.CancelTime))
		}
		if !slices.ContainsFunc(h.completed[r.ID], completedInTime) {
			return false
		}
	}
	return true
}

// checkConvergence checks that a request was routed by the version that must have
// been applied by then.
func (h *History) checkConvergence(r *Request) {
	if r.Version == 0 {
		return
	}
	for i, v := range h.versions {
		deadline := v.acknowledged.Add(h.bounds.ApplyTime)
		if v.acknowledged.IsZero() || r.Sent.Before(deadline) || !h.undisturbed(r.Sent, r.Ended, true, r.Daemon, StoreSubject) {
			continue
		}
		if r.Version < v.number && r.Status == 200 {
			h.addViolation(PromiseConvergence, []string{r.ID}, "served by version %d, %s after version %d", r.Version, r.Sent.Sub(v.acknowledged), v.number)
		}
		isNewest := i == len(h.versions)-1 || r.Ended.Before(h.versions[i+1].submitted)
		if r.Version == v.number && isNewest && r.Status == 404 {
			h.addViolation(PromiseConvergence, []string{r.ID}, "no route of version %d, %s after it", v.number, r.Sent.Sub(v.acknowledged))
		}
	}
}

// checkMonotonicVersion checks that a daemon's process does not use an older
// version after a newer one.
func (h *History) checkMonotonicVersion(requests []*Request) {
	type use struct {
		version int
		at      time.Time
		id      string
	}
	uses := make(map[string][]use)
	for _, r := range requests {
		if r.Version == 0 || r.Status != 200 {
			continue
		}
		started := h.startedBefore(r)
		for _, u := range uses[r.Daemon] {
			if u.version > r.Version && u.at.Before(r.Sent) && u.at.After(started) {
				h.addViolation(PromiseMonotonicVersion, []string{u.id, r.ID}, "%s served version %d after version %d", r.Daemon, r.Version, u.version)
				break
			}
		}
		// It is enough to record a daemon's first use of each version.
		if !slices.ContainsFunc(uses[r.Daemon], func(u use) bool { return u.version == r.Version && u.at.After(started) && u.at.Before(r.Ended) }) {
			uses[r.Daemon] = append(uses[r.Daemon], use{r.Version, r.Ended, r.ID})
		}
	}
}

// startedBefore returns when the process that answered a request was started.
func (h *History) startedBefore(r *Request) time.Time {
	started := time.Time{}
	for _, at := range h.starts[r.Daemon] {
		if !at.After(r.Ended) {
			started = at
		}
	}
	return started
}

// checkBudget checks the number of attempts beyond the first in each window. The
// requests that they are compared with are the most of three windows, which end
// up to one window earlier.
func (h *History) checkBudget(requests []*Request) {
	sent := make(map[string][]time.Time)
	extra := make(map[string][]time.Time)
	for _, r := range requests {
		byService := make(map[string][]standin.RequestEvent)
		for _, e := range h.received[r.ID] {
			byService[e.Service] = append(byService[e.Service], e)
		}
		for _, service := range h.servicesOf(r, slices.Collect(maps.Keys(byService))) {
			sent[service] = append(sent[service], r.Sent)
		}
		for service, received := range byService {
			slices.SortFunc(received, func(x, y standin.RequestEvent) int { return x.At.Compare(y.At) })
			for _, e := range received[1:] {
				extra[service] = append(extra[service], e.At)
			}
		}
	}
	for service, attempts := range extra {
		slices.SortFunc(attempts, time.Time.Compare)
		first := 0
		for i, at := range attempts {
			for at.Sub(attempts[first]) >= h.bounds.ExtraWindow {
				first++
			}
			extraInWindow := i - first + 1
			sentInWindow := 0
			for _, offset := range []time.Duration{0, h.bounds.ExtraWindow / 2, h.bounds.ExtraWindow} {
				sentInWindow = max(sentInWindow, countBetween(sent[service], at.Add(-offset-h.bounds.ExtraWindow), at.Add(-offset)))
			}
			allowed := int(float64(h.bounds.ExtraShare)*float64(sentInWindow)) + h.bounds.ExtraSlack
			if extraInWindow > allowed {
				h.addViolation(PromiseBudget, nil, "%d extra attempts at %s in %s, %d allowed of %d requests", extraInWindow, service, h.bounds.ExtraWindow, allowed, sentInWindow)
				break
			}
		}
	}
}

// servicesOf returns the services that a request is for: that of its route, or the shards of the
// newest version, and those that it reached, as a daemon may use an older version for some time.
func (h *History) servicesOf(r *Request, reached []string) []string {
	out := []string{r.Service}
	if r.Service == "" {
		out = h.shardsAt(r.Sent)
	}
	out = slices.Concat(out, reached)
	slices.Sort(out)
	return slices.Compact(out)
}

func (h *History) shardsAt(at time.Time) []string {
	var shards []string
	for _, v := range h.versions {
		if !v.submitted.After(at) {
			shards = v.shards
		}
	}
	return shards
}

// countBetween counts the times from from until to, exclusive; times is sorted.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}
