package rrowner

import (
	"context"
	"sync"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// idleTime is how long a shard without work is kept. Its searchers are asked
// for their load all the while.
const idleTime = 30 * time.Second

// minPollTimeout is the shortest time that a searcher has for a load report,
// however often it is asked. A busy searcher is not to be taken for a lost one.
const minPollTimeout = 500 * time.Millisecond

// pollLoop asks the searchers for their load until the shard is stopped or has
// had no work for a while.
func (s *shard) pollLoop() {
	defer s.timer.Stop()
	ticker := time.NewTicker(s.owner.poll)
	defer ticker.Stop()
	s.pollAll()
	close(s.polled)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			if s.owner.dropIdle(s) || s.dropRetired() {
				return
			}
			s.pollAll()
		}
	}
}

func (s *shard) pollAll() {
	s.mu.Lock()
	all := make([]rrupstream.Target, 0, len(s.targets))
	for _, t := range s.targets {
		all = append(all, t)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, max(s.owner.poll, minPollTimeout))
	defer cancel()
	since := s.owner.clock()
	var wg sync.WaitGroup
	for _, t := range all {
		wg.Go(func() {
			load, err := s.owner.upstream.Load(ctx, t)
			if s.ctx.Err() != nil {
				return
			}
			if err != nil {
				s.step(func(now rrunit.Instant) []rrdispatch.Action {
					return s.core.RecordMissedReport(now, t.ID, since)
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
