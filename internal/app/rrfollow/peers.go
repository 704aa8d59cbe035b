package rrfollow

import (
	"context"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/app/rrmetrics"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// Times of asking other daemons.
const (
	// askWait is how long an ask waits for news.
	askWait = rrunit.Duration(700 * time.Millisecond)
	// secondWait is the same for the second source. What it brings arrives as
	// soon, but nobody needs its age while the first answers, and a reader of a
	// large fleet has as many asks to answer as a second source as as a first.
	secondWait = 4 * askWait
	// secondDelay is how long the second source holds back what the first is
	// likely to bring.
	secondDelay = rrunit.Duration(250 * time.Millisecond)
	// askPause is the time between an ask that failed and the next.
	askPause = 100 * time.Millisecond
)

// ask asks one source until ctx ends.
func (f *Follower) ask(ctx context.Context, s rrsource.Source) {
	for ctx.Err() == nil {
		if !f.askOnce(ctx, s) {
			rrunit.Sleep(ctx, askPause)
		}
	}
}

func (f *Follower) askOnce(ctx context.Context, s rrsource.Source) bool {
	ask, changed := f.have()
	ask.Wait = askWait
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.Backup {
		ask.Wait, ask.Delay = secondWait, secondDelay
		// What the first source has brought is not to come once more.
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-done:
			}
		}()
	}
	news, err := f.cfg.Feeds.Follow(callCtx, s.Address, ask)
	if err == nil {
		f.takeVerdicts(news.Quarantines)
	}
	f.cfg.Metrics.Count(rrmetrics.GroupPeers, success(err))
	now := f.clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil && callCtx.Err() != nil:
		return true
	case err != nil:
		f.core.RecordPeerFailure(now, s.Address)
		f.cfg.Log.Failure("peer not reached", "peer", s.Address, "err", err)
		return false
	}
	f.core.RecordPeerAnswer(now, s.Address, news.Age.Std(), news.Known)
	if news.Changes != nil {
		f.take(news.Changes)
	}
	return true
}

// have returns an ask with what is known, and what is closed when that changes.
func (f *Follower) have() (*rrpeer.FeedAsk, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &rrpeer.FeedAsk{
		Tables:      f.tables.Revision(),
		Searchers:   f.searchers.Revision(),
		Instances:   f.instances.Revision(),
		Quarantines: f.recentVerdicts(nil),
	}, f.changed
}

// Follow answers another daemon.
func (f *Follower) Follow(ctx context.Context, ask *rrpeer.FeedAsk) (*rrpeer.FeedNews, error) {
	f.takeVerdicts(ask.Quarantines)
	timer := time.NewTimer(ask.Wait.Std())
	defer timer.Stop()
	for delayed := false; ; {
		news, changed, found := f.news(ask)
		if found && ask.Delay > 0 && !delayed {
			delayed = true
			if !rrunit.Sleep(ctx, ask.Delay.Std()) {
				return nil, ctx.Err()
			}
			continue
		}
		if found {
			return news, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			news, _, _ = f.news(ask)
			return news, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// news returns what the asker does not know, and whether that is anything worth
// telling at once.
func (f *Follower) news(ask *rrpeer.FeedAsk) (*rrpeer.FeedNews, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.core.DataAge(f.clock())
	n := &rrpeer.FeedNews{Known: known, Age: rrpeer.NewAge(age), Changes: f.changes(ask)}
	n.Quarantines = f.recentVerdicts(ask.Quarantines)
	return n, f.changed, n.Changes != nil && n.Changes.HoldEntries() || len(n.Quarantines) > 0
}

// feedKey has the revisions that an asker has.
type feedKey struct{ tables, searchers, instances rrcatalog.Revision }

// mostTold bounds how many different changes are kept ready for askers. Most ask
// with what this daemon had before, or with nothing.
const mostTold = 16

// changes returns what the asker does not know, nil if there is nothing. Askers
// that know the same get the same changes, which so need be encoded only once. The
// caller holds mu.
func (f *Follower) changes(ask *rrpeer.FeedAsk) *rrpeer.FeedChanges {
	key := feedKey{ask.Tables, ask.Searchers, ask.Instances}
	if c, ok := f.told[key]; ok {
		return c
	}
	c := &rrpeer.FeedChanges{}
	if d, ok := f.tables.Since(ask.Tables); ok {
		c.Tables = &d
	}
	if d, ok := f.searchers.Since(ask.Searchers); ok {
		c.Searchers = &d
	}
	if d, ok := f.instances.Since(ask.Instances); ok {
		c.Instances = &d
	}
	if *c == (rrpeer.FeedChanges{}) {
		c = nil
	}
	if len(f.told) < mostTold {
		f.told[key] = c
	}
	return c
}
