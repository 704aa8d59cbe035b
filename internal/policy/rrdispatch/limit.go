package rrdispatch

import (
	"math"
	"math/bits"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
)

const (
	// minRequestLimit is the request rate of all daemons at a searcher that names a lower
	// limit. Only answers show that the limit has ended.
	minRequestLimit rrunit.Rate = 0.5
	// maxLimitRetryAfter bounds the time after which a request that the limits leave no
	// room for may be tried again, as they can end at any time.
	maxLimitRetryAfter = 2 * time.Second
	// notableLimitChange is the relative change of a limit from which it is logged, and sent
	// to other daemons.
	notableLimitChange = 0.1
)

// LimitReport is the request limit that a searcher named in an answer.
type LimitReport struct {
	// Limit is nil if it named none.
	Limit *rrunit.Rate
	// At is when the answer was received.
	At rrunit.Instant
}

// RecordLimit records the request limit that a searcher named in its answer; nil if it
// named none.
func (s *Shard) RecordLimit(now rrunit.Instant, id rrunit.SearcherID, limit *rrunit.Rate) {
	w := s.findNotified(id)
	if w == nil {
		return
	}
	if IsNotableLimitChange(w.namedLimit(), limit) {
		w.limitUnshared = true
	}
	s.setLimit(now, w, LimitReport{Limit: limit, At: now})
}

// TakeLimits calls yield with the limit of each searcher that has named another one, or
// none any more, to this daemon since the last call.
func (s *Shard) TakeLimits(yield func(rrunit.SearcherID, LimitReport)) {
	for _, w := range s.searchers {
		if !w.limitUnshared {
			continue
		}
		w.limitUnshared = false
		yield(w.ID, LimitReport{Limit: w.namedLimit(), At: w.limitAt})
	}
}

// MergeLimit records the limit that a searcher named in an answer to another daemon. It is
// not passed on.
func (s *Shard) MergeLimit(now rrunit.Instant, id rrunit.SearcherID, r LimitReport) {
	if w := s.findSearcher(id); w != nil && r.At > w.limitAt {
		s.setLimit(now, w, r)
	}
}

func (s *Shard) setLimit(now rrunit.Instant, w *searcher, r LimitReport) {
	w.limitAt = r.At
	if r.Limit == nil {
		w.quota = nil
		return
	}
	w.limit = *r.Limit
	if w.quota == nil {
		w.quota = rrbudget.NewQuota(now, s.quotaPhase(w))
	}
	w.quota.SetRate(now, w.quotaRate())
}

// namedLimit returns the limit that the searcher names; nil for none.
func (w *searcher) namedLimit() *rrunit.Rate {
	if w.quota == nil {
		return nil
	}
	limit := w.limit
	return &limit
}

// IsNotableLimitChange reports whether a limit, nil for none, differs much from an earlier
// one.
func IsNotableLimitChange(from, to *rrunit.Rate) bool {
	if from == nil || to == nil {
		return from != to
	}
	return math.Abs(float64(*to-*from)) > notableLimitChange*float64(*from)
}

// quotaPhase returns the phase of the searcher's quota.
func (s *Shard) quotaPhase(w *searcher) rrbudget.QuotaPhase {
	return s.cfg.QuotaPhase.Spread(bits.TrailingZeros64(uint64(w.bit)))
}

// quotaRate returns this daemon's share of the searcher's limit.
func (w *searcher) quotaRate() rrunit.Rate {
	return max(w.limit, minRequestLimit) * rrunit.Rate(w.LimitShare)
}

// hasQuota reports whether the searcher is not paused, and its request limit, if it names
// one, leaves room for an attempt now.
func (w *searcher) hasQuota(now rrunit.Instant) bool {
	return !w.isPaused(now) && (w.quota == nil || w.quota.Available(now) > 0)
}

// spendQuota counts an attempt of the rank that is sent to the searcher.
func (s *Shard) spendQuota(now rrunit.Instant, rank int, w *searcher) {
	if w.quota != nil {
		w.quota.Spend(now)
		s.ranks[rank].recordLimitedSend(now)
	}
}

// quotaAt returns when the searcher's pause has ended, or it may have room under its limit;
// zero if it has.
func (w *searcher) quotaAt(now rrunit.Instant) rrunit.Instant {
	switch {
	case w.hasQuota(now):
		return 0
	case w.isPaused(now):
		return w.pausedUntil
	default:
		return w.quota.Next(now)
	}
}

// limitWait returns how long a new job of the lane has to wait because of the request
// limits, and false if it does not have to. Jobs that wait already and are as urgent start
// first.
func (s *Shard) limitWait(now rrunit.Instant, rank int, key laneKey) (time.Duration, bool) {
	quota, rate := 0, rrunit.Rate(0)
	for _, w := range s.searchers {
		if key.tried&w.bit != 0 || w.health != healthUp || w.isPaused(now) || !w.mayServe(key.version, now) {
			continue
		}
		if w.quota == nil {
			return 0, false
		}
		quota += w.quota.Available(now)
		rate += w.quotaRate()
	}
	ahead := 0
	for r := range rank + 1 {
		ahead += s.queue.Waiting(r)
	}
	ahead += s.quotaReserve(now, rank, rate)
	if rate == 0 || quota > ahead {
		return 0, false
	}
	wait := time.Duration(float64(ahead+1) / float64(rate) * float64(time.Second))
	return min(max(wait, minBackoff), maxLimitRetryAfter), true
}

// latestUsefulStart returns the latest time to send the job so that its answer may meet
// the target or, without one or after it, the deadline.
func (s *Shard) latestUsefulStart(now rrunit.Instant, j *job) rrunit.Instant {
	if j.Target == 0 || j.isPastTarget(now) {
		return s.latestStart(now, j)
	}
	return j.Target
}

// quotaReserve returns how many requests jobs of the rank leave to others, given the rate
// that this daemon may send: some to more urgent ranks, and one to each rank that gets less
// than its floor. A rank that gets less than its floor itself leaves none. Floors below one
// request within rrbudget.QuotaExpiry are not kept, as holding back whole requests for them
// would cost more than they are.
func (s *Shard) quotaReserve(now rrunit.Instant, rank int, rate rrunit.Rate) int {
	perExpiry := float64(rate) * rrbudget.QuotaExpiry.Seconds()
	belowFloor := func(rank int) bool {
		floor := float64(s.cfg.Ranks[rank].Floor) * perExpiry
		return floor >= 1 && s.ranks[rank].limitedSends(now) < floor
	}
	if belowFloor(rank) {
		return 0
	}
	reserve := int(perExpiry * float64(rank) / float64(2*len(s.ranks)))
	for other, r := range s.ranks {
		if other != rank && belowFloor(other) && r.isLimited(now) {
			reserve++
		}
	}
	return reserve
}

// isLimited reports whether a job of the rank was refused lately because of request limits.
func (r *rankState) isLimited(now rrunit.Instant) bool {
	return r.limitRefusedAt > 0 && now < r.limitRefusedAt.Add(rrbudget.QuotaExpiry)
}

// recordLimitedSend records an attempt of the rank at a searcher that names a limit.
func (r *rankState) recordLimitedSend(now rrunit.Instant) {
	r.limited = r.limitedSends(now) + 1
	r.limitedAt = now
}

// limitedSends returns the number of attempts at searchers that name limits within about
// the last rrbudget.QuotaExpiry, older ones counting less.
func (r *rankState) limitedSends(now rrunit.Instant) float64 {
	return r.limited * math.Exp(-now.Sub(r.limitedAt).Seconds()/rrbudget.QuotaExpiry.Seconds())
}

// limitRefusal returns whether a new job of the lane is refused because of the request
// limits, and the time after which to try again.
func (s *Shard) limitRefusal(now rrunit.Instant, rank int, key laneKey) (rrquery.Reason, time.Duration) {
	wait, ok := s.limitWait(now, rank, key)
	if !ok {
		return rrquery.ReasonNone, 0
	}
	s.ranks[rank].limitRefusedAt = now
	return rrquery.ReasonLimited, wait
}

// Admits reports whether a new job of the rank may be served by any searcher: it returns
// no reason, or why not and the time after which to try again, zero if unknown.
func (s *Shard) Admits(now rrunit.Instant, rank int) (rrquery.Reason, time.Duration) {
	if !s.canServe(now, laneKey{}) {
		return rrquery.ReasonNoSearcher, 0
	}
	return s.limitRefusal(now, s.clampRank(rank), laneKey{})
}
