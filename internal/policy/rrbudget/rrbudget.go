// Package rrbudget limits extra work, such as hedges and retries, to a share of
// the daemon's own work: by a token bucket that is independent of time, or by a
// sliding window, as the operators measure the limit. It holds no clock.
package rrbudget

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Bucket is a token bucket for extra work. In any period the extra work is at most
// share x own work + burst + overdraft. It is not safe for concurrent use.
type Bucket struct {
	share        float64
	burst        float64
	maxOverdraft float64
	// tokens is between -maxOverdraft and burst.
	tokens float64
}

// NewBucket returns a full bucket. Each unit of own work adds share tokens up to burst,
// and Overdraw may overdraw the bucket by maxOverdraft.
func NewBucket(share rrunit.Share, burst, maxOverdraft int) *Bucket {
	return &Bucket{share: float64(share), burst: float64(burst), maxOverdraft: float64(maxOverdraft), tokens: float64(burst)}
}

// SetShare changes how many tokens a unit of own work adds.
func (b *Bucket) SetShare(share rrunit.Share) { b.share = float64(share) }

// Earn adds the tokens of one unit of own work.
func (b *Bucket) Earn() { b.tokens = min(b.burst, b.tokens+b.share) }

// Spend takes one token if at least reserve tokens are left afterwards, and
// reports whether it did. Less important work passes a larger reserve.
func (b *Bucket) Spend(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Overdraw takes one token, overdrawing the bucket by at most the overdraft limit less
// reserve, and reports whether it did. It is for extra work without which an
// answer would be lost or late; Spend then fails until the overdraft is earned
// back.
func (b *Bucket) Overdraw(reserve float64) bool {
	if b.tokens-1 < reserve-b.maxOverdraft {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the tokens left, below zero while the bucket is overdrawn.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Burst returns the capacity of the bucket.
func (b *Bucket) Burst() float64 { return b.burst }

// MaxOverdraft returns by how many tokens the bucket may be overdrawn.
func (b *Bucket) MaxOverdraft() float64 { return b.maxOverdraft }
