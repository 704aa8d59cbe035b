// Package rradmission is the admission control of an entry: it decides before any
// fan-out whether a query runs. Each rank of a service has a window, the most
// queries of the rank that the entry runs concurrently. The window shrinks while
// the longest queueing time of the rank at any shard is above its target, and
// grows while it is below. The package has no goroutine, clock, socket or global
// random source.
package rradmission

import (
	"math/rand/v2"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Rank holds the attributes of a rank that admission depends on.
type Rank struct {
	Name     rrunit.RankName
	Deadline rrunit.Duration
}

// Config configures a Controller.
type Config struct {
	// Ranks are ordered from the most urgent to the least urgent.
	Ranks []Rank
	// WaitShare is the part of a rank's deadline that its oldest queued work may
	// have waited at the worst shard; zero means DefaultWaitShare.
	WaitShare rrunit.Share
}

// DefaultWaitShare is the share of the deadline that work may wait at a shard.
const DefaultWaitShare rrunit.Share = 0.15

const (
	// minWindow admits one query at any time, so that a rank without recent
	// reports gets new reports from its shards.
	minWindow = 1
	// initialWindow is the window of a rank that has not run queries yet.
	initialWindow = 8
	// burstWindow is the limit up to which a burst raises the window at once, as
	// long as no queued work of the rank is reported.
	burstWindow = 64
	// maxWindow bounds the growth while no waits are reported.
	maxWindow = 4096
	// increasePerQuery and decreasePerQuery are the largest changes of the window
	// after one finished query. As many finished queries as the window holds change
	// it by that share.
	increasePerQuery = 0.25
	decreasePerQuery = 0.25
	// maxCallerToFree limits the running queries of one caller to this multiple
	// of the free part of the window, so that a flood from one caller leaves
	// capacity for the others.
	maxCallerToFree = 4
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of refused callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Result is the outcome of an admitted query.
type Result string

// The results of an admitted query.
const (
	// ResultComplete is an answer that covers every shard.
	ResultComplete Result = "whole"
	// ResultOverload is an answer without a shard that ran out of time or capacity.
	ResultOverload Result = "short"
	// ResultOther is an answer without a shard for another reason, or an
	// abandoned query.
	ResultOther Result = "other"
)

// Decision is the admission decision on one query.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which to retry a query that was not admitted.
	RetryAfter rrunit.Duration
}

// shardWait is the wait that one shard reported for one rank.
type shardWait struct {
	wait       time.Duration
	receivedAt rrunit.Instant
}

// rank is the state of one rank.
type rank struct {
	Rank
	targetWait time.Duration
	// window is between minWindow and maxWindow.
	window  float64
	running int
	// callers counts the running queries of each caller; all counts are above 0.
	callers    map[rrunit.CallerID]int
	shardWaits map[rrunit.ShardKey]shardWait
}

// Controller admits the queries of one service at one entry. It is not safe for
// concurrent use.
type Controller struct {
	rand        *rand.Rand
	ranks       []*rank
	rankIndexes map[rrunit.RankName]int
}

// New returns a Controller that draws random numbers from the source.
func New(cfg Config, source rand.Source) *Controller {
	g := &Controller{rand: rand.New(source), rankIndexes: make(map[rrunit.RankName]int, len(cfg.Ranks))}
	share := cfg.WaitShare
	if share == 0 {
		share = DefaultWaitShare
	}
	for i, r := range cfg.Ranks {
		g.rankIndexes[r.Name] = i
		g.ranks = append(g.ranks, &rank{
			Rank:       r,
			targetWait: time.Duration(float64(r.Deadline) * float64(share)),
			window:     initialWindow,
			callers:    make(map[rrunit.CallerID]int),
			shardWaits: make(map[rrunit.ShardKey]shardWait),
		})
	}
	return g
}

// AddReport records an owner's report on a shard. A rank that is not in the report
// has no queued work there.
func (g *Controller) AddReport(now rrunit.Instant, r *rrpeer.ShardReport) {
	for _, k := range g.ranks {
		delete(k.shardWaits, r.Shard)
	}
	for _, w := range r.Waits {
		if i, ok := g.rankIndexes[w.Rank]; ok {
			g.ranks[i].shardWaits[r.Shard] = shardWait{wait: w.Wait.Std(), receivedAt: now}
		}
	}
}

// Admit decides on a query. Done must be called once for each admitted query.
func (g *Controller) Admit(now rrunit.Instant, rankIndex int, caller rrunit.CallerID) Decision {
	k := g.ranks[rankIndex]
	if k.running < burstWindow && k.worstWait(now) == 0 {
		k.window = max(k.window, float64(k.running+1))
	}
	free := k.window - float64(k.running)
	if k.running > 0 && (free < g.rand.Float64() || k.exceedsShare(caller, free)) {
		return Decision{RetryAfter: g.retryAfter(now, k)}
	}
	k.running++
	k.callers[caller]++
	return Decision{Admitted: true}
}

// exceedsShare reports whether the caller runs too many queries for the free part
// of the window. A caller that is alone never does.
func (k *rank) exceedsShare(caller rrunit.CallerID, free float64) bool {
	held := k.callers[caller]
	return held > 0 && len(k.callers) > 1 && float64(held) >= maxCallerToFree*max(1, free)
}

// Done records the end of an admitted query and adjusts the window.
func (g *Controller) Done(now rrunit.Instant, rankIndex int, caller rrunit.CallerID, result Result) {
	k := g.ranks[rankIndex]
	halfUsed := float64(k.running) >= k.window/2
	k.running--
	if k.callers[caller]--; k.callers[caller] <= 0 {
		delete(k.callers, caller)
	}
	k.adjust(k.waitRatio(now), halfUsed, result)
}

// adjust changes the window by the wait ratio, where 1 is the target. The window
// grows only if at least half of it was used.
func (k *rank) adjust(waitRatio float64, halfUsed bool, result Result) {
	switch {
	case result == ResultOverload:
		k.window -= decreasePerQuery
	case waitRatio > 1:
		k.window -= decreasePerQuery * min(1, waitRatio-1)
	case halfUsed:
		k.window += increasePerQuery * (1 - waitRatio)
	}
	k.window = min(max(k.window, minWindow), maxWindow)
}

// waitRatio returns the longest reported wait divided by the target. Reports lose
// weight with age.
func (k *rank) waitRatio(now rrunit.Instant) float64 {
	return float64(k.worstWait(now)) / float64(k.targetWait)
}

func (k *rank) worstWait(now rrunit.Instant) time.Duration {
	var worst time.Duration
	for _, w := range k.shardWaits {
		age := now.Sub(w.receivedAt)
		if age >= maxReportAge {
			continue
		}
		weight := 1 - float64(age)/float64(maxReportAge)
		worst = max(worst, time.Duration(float64(w.wait)*weight))
	}
	return worst
}

// RankState is the state of one rank, for dumps.
type RankState struct {
	Rank rrunit.RankName `json:"rank"`
	// Window is how many queries may run concurrently, and Running how many do.
	Window  float64 `json:"window"`
	Running int     `json:"running"`
	// Wait is the longest reported wait of any shard, weighted by the age of the
	// report.
	Wait rrunit.Duration `json:"wait"`
}

// State returns the state of each rank, most urgent first.
func (g *Controller) State(now rrunit.Instant) []RankState {
	out := make([]RankState, 0, len(g.ranks))
	for _, k := range g.ranks {
		out = append(out, RankState{
			Rank:    k.Name,
			Window:  k.window,
			Running: k.running,
			Wait:    rrunit.Duration(k.worstWait(now)),
		})
	}
	return out
}

// retryAfter returns a random retry delay of one to two times the longest of the
// reported wait, the target wait and minRetryAfter, so that retries are spread
// over about the time that the queued work takes.
func (g *Controller) retryAfter(now rrunit.Instant, k *rank) rrunit.Duration {
	base := max(minRetryAfter, k.worstWait(now), k.targetWait)
	delay := time.Duration(float64(base) * (1 + g.rand.Float64()))
	return rrunit.Duration(min(delay, maxRetryAfter))
}
