package rrhistory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// pair is a daemon and a searcher to which it sends requests.
type pair struct{ daemon, searcher string }

// checkNotices checks that daemons send nothing more to searchers that told them that they
// leave, and wait as long as searchers asked them to.
func (h *History) checkNotices(requests []*Request) {
	arrivals := make(map[pair][]arrival)
	for _, r := range requests {
		for _, e := range h.received[r.ID] {
			p := pair{r.Daemon, e.Searcher}
			arrivals[p] = append(arrivals[p], arrival{request: r, event: e})
		}
	}
	pairs := slices.SortedFunc(maps.Keys(arrivals), func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.searcher, y.searcher), cmp.Compare(x.daemon, y.daemon))
	})
	for _, p := range pairs {
		of := arrivals[p]
		slices.SortFunc(of, func(x, y arrival) int { return x.event.At.Compare(y.event.At) })
		h.checkLeavingNotice(p, of)
		h.checkPauses(p, of)
	}
}

// checkLeavingNotice checks the requests that their callers sent later than DrainTime after
// the daemon had passed on an answer that says that the searcher leaves. A start or a freeze of
// the daemon since then excuses it.
func (h *History) checkLeavingNotice(p pair, arrivals []arrival) {
	told, ok := toldLeaving(p, arrivals)
	if !ok {
		return
	}
	for _, a := range arrivals {
		if a.request.Sent.After(told.Add(h.bounds.DrainTime)) && !h.wasRestartedOrFrozen(p.daemon, told, a.event.At) {
			h.addViolation(PromiseDraining, []string{a.request.ID}, "%s got it from %s, %s after it had said that it leaves", p.searcher, p.daemon, a.event.At.Sub(told))
		}
	}
}

// toldLeaving returns when the daemon had first passed on an answer that says that the searcher
// leaves.
func toldLeaving(p pair, arrivals []arrival) (time.Time, bool) {
	told := time.Time{}
	for _, a := range arrivals {
		isPassedOn := a.request.Status == 200 && slices.ContainsFunc(a.request.Signatures, func(s string) bool { return strings.HasPrefix(s, p.searcher+".") })
		if a.event.Leaving && isPassedOn && (told.IsZero() || a.request.Ended.Before(told)) {
			told = a.request.Ended
		}
	}
	return told, !told.IsZero()
}

func (h *History) wasRestartedOrFrozen(daemon string, from, to time.Time) bool {
	isBetween := func(at time.Time) bool { return at.After(from) && at.Before(to) }
	return slices.ContainsFunc(h.starts[daemon], isBetween) || slices.ContainsFunc(h.freezes[daemon], isBetween)
}

// checkPauses checks the requests that reached the searcher while it had asked for a pause. A
// restart, a freeze or a cut of the daemon excuses it.
func (h *History) checkPauses(p pair, arrivals []arrival) {
	for i, asked := range arrivals {
		if asked.event.PauseSeconds == 0 {
			continue
		}
		from := asked.event.At.Add(h.bounds.PauseNoticeTime)
		to := asked.event.At.Add(time.Duration(asked.event.PauseSeconds) * time.Second)
		var during []string
		for _, a := range arrivals[i+1:] {
			if a.event.At.After(from) && a.event.At.Before(to) && !h.isDisturbed(asked.event.At, a.event.At, p.daemon) {
				during = append(during, a.request.ID)
			}
		}
		if len(during) > h.bounds.MaxPausedRequests {
			h.addViolation(PromisePause, during, "%s got %d requests from %s in a pause of %d s that it had asked for", p.searcher, len(during), p.daemon, asked.event.PauseSeconds)
			return
		}
	}
}

// isDisturbed reports whether a disturbance of the subject overlaps the period. The caller
// holds mu.
func (h *History) isDisturbed(from, to time.Time, subject string) bool {
	return !h.undisturbed(from.Add(h.bounds.SettleTime), to, true, subject)
}
