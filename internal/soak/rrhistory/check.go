package rrhistory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// StoreSubject is the subject of disturbances of the store.
const StoreSubject = "store"

// Check returns the promises that are broken so far.
func (h *History) Check() []Broken {
	h.mu.Lock()
	defer h.mu.Unlock()
	answers := slices.SortedFunc(maps.Values(h.answers), func(a, b *Answer) int {
		return cmp.Or(a.Sent.Compare(b.Sent), cmp.Compare(a.ID, b.ID))
	})
	for _, a := range answers {
		h.checkRuns(a)
		h.checkCut(a)
		h.checkGone(a)
		h.checkForce(a)
	}
	for _, id := range h.bad {
		if seen := h.seen[id]; len(seen) > 0 {
			h.fail(PromiseInput, []string{id}, "reached %s", seen[0].Searcher)
		}
	}
	h.checkBack(answers)
	h.checkBudget(answers)
	broken := h.broken
	h.broken = nil
	return broken
}

// checkRuns checks where a request went.
func (h *History) checkRuns(a *Answer) {
	ran := 0
	to := make(map[string]int)
	for _, s := range h.seen[a.ID] {
		if s.Ran {
			ran++
			if h.calm(a.Sent, a.Ended, true, s.Searcher) {
				to[s.Service]++
			}
		}
		h.checkLeaving(a, &s)
	}
	if a.Once && ran > 1 {
		h.fail(PromiseOnce, []string{a.ID}, "ran %d times", ran)
	}
	if a.Once && a.isRefusal() && ran > 0 {
		h.fail(PromiseNotRun, []string{a.ID}, "answered %d, and ran", a.Status)
	}
	for service, n := range to {
		if n > h.bounds.Attempts {
			h.fail(PromiseAttempts, []string{a.ID}, "ran %d times at %s", n, service)
		}
	}
}

// checkLeaving checks that a searcher that leaves got no new work.
func (h *History) checkLeaving(a *Answer, s *standin.RequestEvent) {
	left, ok := h.left[s.Searcher]
	if ok && a.Sent.After(left.Add(h.bounds.Drain)) && h.calm(a.Sent, s.At, true, a.Daemon, StoreSubject, s.Searcher) {
		h.fail(PromiseLeaving, []string{a.ID}, "%s got it %s after it began to leave", s.Searcher, s.At.Sub(left))
	}
}

// checkCut checks that a request was not cut by anything that was planned.
func (h *History) checkCut(a *Answer) {
	if !a.Cut || len(h.seen[a.ID]) == 0 {
		return
	}
	subjects := []string{a.Daemon}
	for _, s := range h.seen[a.ID] {
		subjects = append(subjects, s.Searcher)
	}
	if h.calm(a.Sent, a.Ended, false, subjects...) {
		h.fail(PromiseStop, []string{a.ID}, "passed on to %v and cut after %s at %s", subjects[1:], a.Ended.Sub(a.Sent), a.Daemon)
	}
}

// checkGone checks that nobody worked on for a caller that left. If all parts of
// the answer were ready before the daemon had to know that, it may have been sent,
// and the request was over.
func (h *History) checkGone(a *Answer) {
	if !a.Left || a.Status != 0 || h.wasReady(a) {
		return
	}
	for _, s := range h.worked[a.ID] {
		if after := s.At.Sub(a.Ended); after > h.bounds.Gone && h.calm(a.Sent, s.At, true, a.Daemon, s.Searcher) {
			h.fail(PromiseGone, []string{a.ID}, "%s worked to the end, %s after the caller had left", s.Searcher, after)
		}
	}
}

// wasReady reports whether each service that a request reached had worked on it to
// the end by the time within which its daemon had to know that its caller left. A
// daemon that knows gives up the parts that are not ready, so that they never are.
func (h *History) wasReady(a *Answer) bool {
	for _, s := range h.seen[a.ID] {
		ended := func(w standin.RequestEvent) bool {
			return w.Service == s.Service && !w.At.After(a.Ended.Add(h.bounds.Gone))
		}
		if !slices.ContainsFunc(h.worked[a.ID], ended) {
			return false
		}
	}
	return true
}

// checkForce checks that a request met the version that must be in force.
func (h *History) checkForce(a *Answer) {
	if a.Version == 0 {
		return
	}
	for i, v := range h.versions {
		due := v.acked.Add(h.bounds.Apply)
		if v.acked.IsZero() || a.Sent.Before(due) || !h.calm(a.Sent, a.Ended, true, a.Daemon, StoreSubject) {
			continue
		}
		if a.Version < v.number && a.Status == 200 {
			h.fail(PromiseForce, []string{a.ID}, "served by version %d, %s after version %d", a.Version, a.Sent.Sub(v.acked), v.number)
		}
		last := i == len(h.versions)-1 || a.Ended.Before(h.versions[i+1].written)
		if a.Version == v.number && last && a.Status == 404 {
			h.fail(PromiseForce, []string{a.ID}, "no route of version %d, %s after it", v.number, a.Sent.Sub(v.acked))
		}
	}
}

// checkBack checks that no daemon uses an older version than one that it has
// used, as long as its process runs.
func (h *History) checkBack(answers []*Answer) {
	type use struct {
		version int
		at      time.Time
		id      string
	}
	uses := make(map[string][]use)
	for _, a := range answers {
		if a.Version == 0 || a.Status != 200 {
			continue
		}
		started := h.startedBefore(a)
		for _, u := range uses[a.Daemon] {
			if u.version > a.Version && u.at.Before(a.Sent) && u.at.After(started) {
				h.fail(PromiseBack, []string{u.id, a.ID}, "%s served version %d after version %d", a.Daemon, a.Version, u.version)
				break
			}
		}
		// A daemon's first use of each version is enough.
		if !slices.ContainsFunc(uses[a.Daemon], func(u use) bool { return u.version == a.Version && u.at.After(started) && u.at.Before(a.Ended) }) {
			uses[a.Daemon] = append(uses[a.Daemon], use{a.Version, a.Ended, a.ID})
		}
	}
}

// startedBefore returns when the process that answered a request was started.
func (h *History) startedBefore(a *Answer) time.Time {
	started := time.Time{}
	for _, at := range h.starts[a.Daemon] {
		if !at.After(a.Ended) {
			started = at
		}
	}
	return started
}

// checkBudget checks the attempts beyond the first of all windows.
func (h *History) checkBudget(answers []*Answer) {
	sent := make(map[string][]time.Time)
	extra := make(map[string][]time.Time)
	for _, a := range answers {
		byService := make(map[string][]standin.RequestEvent)
		for _, s := range h.seen[a.ID] {
			byService[s.Service] = append(byService[s.Service], s)
		}
		if a.Service != "" {
			sent[a.Service] = append(sent[a.Service], a.Sent)
		} else {
			for _, v := range h.shardsAt(a.Sent) {
				sent[v] = append(sent[v], a.Sent)
			}
		}
		for service, all := range byService {
			slices.SortFunc(all, func(x, y standin.RequestEvent) int { return x.At.Compare(y.At) })
			for _, s := range all[1:] {
				extra[service] = append(extra[service], s.At)
			}
		}
	}
	for service, all := range extra {
		slices.SortFunc(all, time.Time.Compare)
		first := 0
		for i, at := range all {
			for at.Sub(all[first]) >= h.bounds.Window {
				first++
			}
			n := i - first + 1
			requests := 0
			for _, before := range []time.Duration{0, h.bounds.Window / 2, h.bounds.Window} {
				requests = max(requests, within(sent[service], at.Add(-before-h.bounds.Window), at.Add(-before)))
			}
			allowed := int(float64(h.bounds.Extra)*float64(requests)) + h.bounds.Slack
			if n > allowed {
				h.fail(PromiseBudget, nil, "%d extra attempts at %s in %s, %d allowed of %d requests", n, service, h.bounds.Window, allowed, requests)
				break
			}
		}
	}
}

func (h *History) shardsAt(at time.Time) []string {
	var shards []string
	for _, v := range h.versions {
		if !v.written.After(at) {
			shards = v.shards
		}
	}
	return shards
}

// within counts the times from a time to another; they are sorted.
func within(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}
