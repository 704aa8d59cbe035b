package rrowner

import (
	"context"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// shardIdleTime is how long a shard without work is kept. Its searchers are polled for
// their load during that time.
const shardIdleTime = 30 * time.Second

// minPollTimeout is the minimum timeout of a load report, however short the poll
// interval is, so that a busy searcher does not count as unreachable.
const minPollTimeout = 500 * time.Millisecond

// pollLoop polls the searchers for their load until the shard is stopped, removed, or
// idle for shardIdleTime.
func (s *shard) pollLoop() {
	defer s.timer.Stop()
	ticker := time.NewTicker(s.owner.pollInterval)
	defer ticker.Stop()
	s.pollAll()
	close(s.polled)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			if s.owner.stopIfIdle(s) || s.stopIfRemoved() {
				return
			}
			s.pollAll()
		}
	}
}

func (s *shard) pollAll() {
	s.mu.Lock()
	targets := make([]rrupstream.Target, 0, len(s.targets))
	for _, t := range s.targets {
		targets = append(targets, t)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, max(s.owner.pollInterval, minPollTimeout))
	defer cancel()
	started := s.owner.clock()
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			load, err := s.owner.upstream.Load(ctx, t)
			if s.ctx.Err() != nil {
				return
			}
			if err != nil {
				s.step(func(now rrunit.Instant) []rrdispatch.Action {
					return s.core.RecordMissedReport(now, t.ID, started)
				})
				return
			}
			s.step(func(now rrunit.Instant) []rrdispatch.Action {
				return s.core.RecordLoadReport(now, t.ID, load)
			})
		})
	}
	wg.Wait()
}
