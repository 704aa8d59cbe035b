package rrhistory

import (
	"slices"
	"time"
)

// limitNoticeTime is how long after its first answer from a searcher that names a limit a
// daemon has to keep to it.
const limitNoticeTime = 500 * time.Millisecond

// checkLimits checks the number of requests at searchers that named their request limit.
func (h *History) checkLimits(requests []*Request) {
	for searcher, limits := range h.limits {
		for _, limit := range limits {
			h.checkLimit(searcher, limit, requests)
		}
	}
}

// checkLimit checks one time in which a searcher named its limit. Requests count from
// SettleTime after its start, if their daemon had an answer of that time and neither it nor
// the searcher was disturbed lately.
func (h *History) checkLimit(searcher string, limit disturbance, requests []*Request) {
	counted := h.requestsUnderLimit(searcher, limit, requests)
	allowed := int(h.bounds.LimitTolerance*float64(h.bounds.RequestLimit)*h.bounds.LimitWindow.Seconds()) + h.bounds.LimitSlack
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > h.bounds.LimitWindow {
			first++
		}
		if n := i - first + 1; n > allowed {
			h.addViolation(PromiseLimit, nil, "%d requests at %s in %s until %s after it named its limit, %d allowed", n, searcher, h.bounds.LimitWindow, at.Sub(limit.from), allowed)
			return
		}
	}
}

// requestsUnderLimit returns the arrivals at the searcher that count against its limit.
func (h *History) requestsUnderLimit(searcher string, limit disturbance, requests []*Request) []time.Time {
	told := h.toldLimit(searcher, limit, requests)
	var counted []time.Time
	for _, r := range requests {
		first, ok := told[r.Daemon]
		if !ok {
			continue
		}
		for _, e := range h.received[r.ID] {
			isLimited := e.At.After(limit.from.Add(h.bounds.SettleTime)) && (limit.to.IsZero() || e.At.Before(limit.to))
			if e.Searcher == searcher && isLimited && e.At.After(first.Add(limitNoticeTime)) && h.undisturbed(e.At, e.At, true, r.Daemon, searcher) {
				counted = append(counted, e.At)
			}
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}

// toldLimit returns when the searcher first completed a request of each daemon after the
// start of the limit.
func (h *History) toldLimit(searcher string, limit disturbance, requests []*Request) map[string]time.Time {
	told := make(map[string]time.Time)
	for _, r := range requests {
		for _, e := range h.completed[r.ID] {
			if e.Searcher != searcher || e.At.Before(limit.from) {
				continue
			}
			if first, ok := told[r.Daemon]; !ok || e.At.Before(first) {
				told[r.Daemon] = e.At
			}
		}
	}
	return told
}
