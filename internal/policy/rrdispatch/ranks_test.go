package rrdispatch_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// A configuration with fewer ranks arrives while a job of the last rank is in flight, and
// the job has to be retried.
func TestFewerRanksDuringAnAttempt(t *testing.T) {
	s := newLimitedShard(8, "a", "b")
	actions := s.offer(1)
	cfg := s.cfg
	cfg.Ranks = cfg.Ranks[:1]
	s.Configure(s.now, cfg)
	actions = s.Finish(s.now+1, actions[0].Attempt, rrupstream.OutcomeShed)
	must.SliceLen(t, 1, actions)
	must.Eq(t, rrdispatch.ActionSend, actions[0].Kind)
}
