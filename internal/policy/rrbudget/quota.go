package rrbudget

import (
	"math"
	"math/bits"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// quotaTick is the interval at which a quota issues tokens.
	quotaTick = 50 * time.Millisecond
	// quotaTicks is the number of ticks after which an unused token expires. It bounds the
	// tokens that all daemons together can hold, however small the share of each, so that
	// they exceed the rate by little when all use theirs at the same moment.
	quotaTicks = 20
	// QuotaExpiry is the time after which an unused token expires.
	QuotaExpiry = quotaTicks * quotaTick
	// maxQuotaLookahead is the number of ticks that are looked ahead for tokens.
	maxQuotaLookahead = 2 * quotaTicks
)

// cycleTicks is the number of ticks after which the offsets of a phase rotate, so that
// every daemon gets tokens at times, however small its share.
const cycleTicks = 1200

// goldenRatio spreads the offsets of successive cycles evenly.
const goldenRatio = math.Phi - 1

// QuotaPhase determines at which ticks a daemon's quotas issue their tokens. Daemons whose
// clocks agree, and whose shares of a rate are equal, have phases by which they issue
// nearly the same number of tokens together at every tick.
type QuotaPhase struct {
	// offset is the fraction of a token, from 0 to 1, that is due at the start of a cycle.
	offset float64
	// tickShift is added to the ticks of the daemon's own clock.
	tickShift int64
}

// NewQuotaPhase returns the phase of a daemon, given its index among all. now and
// timeOfDay are the same moment, the second by a clock that the daemons share.
func NewQuotaPhase(index, daemons int, now rrunit.Instant, timeOfDay time.Duration) QuotaPhase {
	return QuotaPhase{
		offset:    fractionOf(float64(index) / float64(max(1, daemons))),
		tickShift: int64((timeOfDay - now.Sub(0)) / quotaTick),
	}
}

// Spread returns the phase of one of several quotas, given its index, so that they issue
// their tokens one after the other.
func (p QuotaPhase) Spread(index int) QuotaPhase {
	// The reversed bits of 0, 1, 2 and so on divide the circle ever more finely.
	p.offset = fractionOf(p.offset + float64(bits.Reverse16(uint16(index)))/(1<<16))
	return p
}

// issuedAt returns the number of tokens that are issued at the tick.
func (p QuotaPhase) issuedAt(tick int64, tokensPerTick float64) int {
	tick += p.tickShift
	cycle := tick / cycleTicks
	elapsed := float64(tick % cycleTicks)
	offset := fractionOf(p.offset + float64(cycle)*goldenRatio)
	return int(tokensPerTick*(elapsed+1)+offset) - int(tokensPerTick*elapsed+offset)
}

// fractionOf returns x less the largest whole number up to x.
func fractionOf(x float64) float64 { return x - math.Floor(x) }

// Quota is one daemon's share of a request rate that all daemons together keep to. It is
// not safe for concurrent use.
type Quota struct {
	phase QuotaPhase
	// tokensPerTick is not negative.
	tokensPerTick float64
	// unused has the tokens that were issued at each of the last quotaTicks ticks and have
	// not been spent; available is their sum.
	unused    [quotaTicks]int
	available int
	// newest is the index of the newest tick, counted from instant zero.
	newest int64
}

// NewQuota returns a quota without tokens.
func NewQuota(now rrunit.Instant, phase QuotaPhase) *Quota {
	return &Quota{phase: phase, newest: tickOf(now)}
}

// SetPhase changes the phase. Tokens that were issued stay.
func (q *Quota) SetPhase(now rrunit.Instant, phase QuotaPhase) {
	q.advance(now)
	q.phase = phase
}

// SetRate changes the rate. Tokens that were issued stay.
func (q *Quota) SetRate(now rrunit.Instant, rate rrunit.Rate) {
	q.advance(now)
	q.tokensPerTick = max(0, float64(rate)) * quotaTick.Seconds()
}

// Available returns the number of tokens that can be spent now.
func (q *Quota) Available(now rrunit.Instant) int {
	q.advance(now)
	return q.available
}

// Spend spends a token, the oldest first, and reports whether there was one.
func (q *Quota) Spend(now rrunit.Instant) bool {
	q.advance(now)
	if q.available == 0 {
		return false
	}
	for tick := q.newest + 1; ; tick++ {
		if n := &q.unused[tick%quotaTicks]; *n > 0 {
			*n--
			q.available--
			return true
		}
	}
}

// Next returns when the next tokens are issued, or a time before that if they are far off.
func (q *Quota) Next(now rrunit.Instant) rrunit.Instant {
	q.advance(now)
	tick := q.newest + 1
	for tick < q.newest+maxQuotaLookahead && q.phase.issuedAt(tick, q.tokensPerTick) == 0 {
		tick++
	}
	return rrunit.Instant(tick * int64(quotaTick))
}

func tickOf(at rrunit.Instant) int64 { return int64(at) / int64(quotaTick) }

// advance issues the tokens up to now and drops those that have expired.
func (q *Quota) advance(now rrunit.Instant) {
	tick := tickOf(now)
	q.newest = max(q.newest, tick-quotaTicks)
	for q.newest < tick {
		q.newest++
		n := &q.unused[q.newest%quotaTicks]
		q.available -= *n
		*n = q.phase.issuedAt(q.newest, q.tokensPerTick)
		q.available += *n
	}
}
