package rrshared

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// The operators' rule for searchers that name a limit: from limitSettleTime after a
// searcher first named one, it gets in no limitWindow more than limitTolerance times what
// it allows plus limitSlack, counted over the daemons that have received it for at least
// limitNoticeTime.
const (
	limitSettleTime = 4 * time.Second
	limitWindow     = 4 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	limitTolerance  = 1.5
	limitSlack      = 5
)

// limitRecord records the requests at a searcher that names a limit.
type limitRecord struct {
	rate rrunit.Rate
	// namedAt is when the searcher first named the limit.
	namedAt rrunit.Instant
	// toldAt is when each daemon first received it.
	toldAt map[*daemon]rrunit.Instant
	// arrivals are the requests that the rule counts, in order.
	arrivals []rrunit.Instant
}

func (l *limitRecord) start(now rrunit.Instant, limit rrunit.Rate) {
	l.rate, l.namedAt = limit, now
	l.toldAt = make(map[*daemon]rrunit.Instant)
}

// recordTold records that the daemon received an answer with the limit; nil for none.
func (l *limitRecord) recordTold(now rrunit.Instant, to *daemon, limit *rrunit.Rate) {
	if limit == nil {
		return
	}
	if _, ok := l.toldAt[to]; !ok {
		l.toldAt[to] = now
	}
}

// recordArrival records a request that arrives from the daemon.
func (l *limitRecord) recordArrival(now rrunit.Instant, from *daemon) {
	told, ok := l.toldAt[from]
	if ok && now.Sub(told) >= limitNoticeTime && now.Sub(l.namedAt) >= limitSettleTime {
		l.arrivals = append(l.arrivals, now)
	}
}

// worst returns the largest number of requests in any limitWindow and what the rule
// allows.
func (l *limitRecord) worst() (most, allowed float64) {
	first := 0
	for i, at := range l.arrivals {
		for at.Sub(l.arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, float64(i-first+1))
	}
	return most, limitTolerance*float64(l.rate)*limitWindow.Seconds() + limitSlack
}

// searcherRate returns the usual request rate of one searcher.
func (s *Shape) searcherRate() float64 {
	rate := 0.0
	for i := range s.Classes {
		rate += s.Classes[i].PerSecond
	}
	return rate / float64(s.Regions)
}

// findMaxLimited finds the searcher that got most relative to the limit that it named.
func (s *sim) findMaxLimited(r *Result) {
	worst := -1e9
	for _, shard := range s.searchers {
		for _, w := range shard {
			if w.limit.namedAt == 0 {
				continue
			}
			most, allowed := w.limit.worst()
			if over := most - allowed; over > worst {
				worst, r.MaxLimited, r.LimitAllowed = over, most, allowed
			}
		}
	}
}
