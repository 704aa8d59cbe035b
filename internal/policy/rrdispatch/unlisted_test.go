package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// Guards against requests during a pause, beyond a limit or at a searcher that leaves: what a
// searcher had said was forgotten when its entry expired and came back.
func TestExpiredEntryForgetsNotices(t *testing.T) {
	const gone = 500 * time.Millisecond
	for name, c := range map[string]struct {
		notice func(s *limitedShard)
		// most is how many of 5,000 jobs in a second, more than the other searcher takes, may
		// go to the searcher.
		most int
	}{
		"pause":   {func(s *limitedShard) { s.RecordPause(s.now, "a", rrunit.Duration(20*time.Second)) }, 0},
		"leaving": {func(s *limitedShard) { s.RecordLeaving("a", true) }, 0},
		// Half of 20 a second is this daemon's.
		"limit": {func(s *limitedShard) { s.nameLimit("a", 20) }, 15},
		"none":  {func(*limitedShard) {}, 5000},
	} {
		for _, inFlight := range []bool{false, true} {
			s := newLimitedShard(4, "a", "b")
			if inFlight {
				s.offer(0)
				s.offer(0)
			} else {
				c.notice(s)
			}
			all := s.cfg
			withoutA := s.cfg
			withoutA.Searchers = all.Searchers[1:]
			s.record(s.Configure(s.now, withoutA))
			if inFlight {
				// The notice arrives when the entry has expired.
				must.MapLen(t, 2, s.running)
				c.notice(s)
			}
			s.pass(gone, answered)
			s.record(s.Configure(s.now, all))
			s.SetIdleConnections(func(rrunit.SearcherID) int { return 8 })
			s.sent = make(map[rrunit.SearcherID][]rrunit.Instant)
			for range 1000 {
				for range 5 {
					s.offer(0)
				}
				s.pass(time.Millisecond, answered)
			}
			must.LessEq(t, c.most, len(s.sent["a"]), must.Sprintf("%s, in flight: %t", name, inFlight))
			if name == "none" {
				must.Positive(t, len(s.sent["a"]))
			}
		}
	}
}

// Another process under the id of one that had asked for a pause has said nothing yet. The
// platform's adapter gives it another id.
func TestPauseEndsWithItsProcess(t *testing.T) {
	s := newLimitedShard(4, "a@1")
	s.RecordPause(s.now, "a@1", rrunit.Duration(20*time.Second))
	cfg := s.cfg
	cfg.Searchers[0].ID = "a@2"
	s.record(s.Configure(s.now, cfg))
	s.SetIdleConnections(func(rrunit.SearcherID) int { return 8 })
	s.offer(0)
	must.Len(t, 1, s.sent["a@2"])
	for id := range s.running {
		s.record(s.Finish(s.now, id, rrupstream.OutcomeAnswered))
	}
}
