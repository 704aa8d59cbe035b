package rrhistory

import (
	"slices"
	"time"

	"rhubarbreel.example/rhubarbreel/platform/standin"
)

// arrival is the arrival of a request at a searcher.
type arrival struct {
	request *Request
	event   standin.RequestEvent
}

// checkCrashRetries checks how often requests that ended several searchers were sent to
// searchers after that, and that no searcher ended without such a request.
func (h *History) checkCrashRetries(requests []*Request) {
	arrivals := make(map[string][]arrival)
	attributed := make(map[string]bool)
	for _, r := range requests {
		if !r.Crashing {
			continue
		}
		for _, e := range h.received[r.ID] {
			arrivals[r.URI] = append(arrivals[r.URI], arrival{request: r, event: e})
			attributed[e.Searcher] = true
		}
	}
	for uri, of := range arrivals {
		slices.SortFunc(of, func(x, y arrival) int { return x.event.At.Compare(y.event.At) })
		known, ok := h.knownAsCrashing(of)
		if !ok {
			continue
		}
		retries := 0
		for _, a := range of {
			if a.event.At.After(known.Add(h.bounds.SettleTime)) && h.undisturbed(a.request.Sent, a.event.At, true, a.request.Daemon, StoreSubject) {
				retries++
			}
		}
		if retries > h.bounds.MaxCrashRetries {
			h.addViolation(PromiseCrashRetries, []string{of[len(of)-1].request.ID},
				"%s was sent to searchers %d times later than %s after it had ended %d", uri, retries, h.bounds.SettleTime, h.bounds.MaxCrashes)
		}
	}
	for searcher := range h.exits {
		if !attributed[searcher] {
			h.addViolation(PromiseNoCrash, nil, "searcher %s ended without a request that ends searchers", searcher)
		}
	}
}

// knownAsCrashing returns when the request of the arrivals had ended MaxCrashes searchers.
func (h *History) knownAsCrashing(arrivals []arrival) (time.Time, bool) {
	var exits []time.Time
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if at, ok := h.exits[a.event.Searcher]; ok && !seen[a.event.Searcher] {
			seen[a.event.Searcher] = true
			exits = append(exits, at)
		}
	}
	if len(exits) < h.bounds.MaxCrashes {
		return time.Time{}, false
	}
	slices.SortFunc(exits, time.Time.Compare)
	return exits[h.bounds.MaxCrashes-1], true
}
