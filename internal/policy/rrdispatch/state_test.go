package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

func TestState(t *testing.T) {
	const second = rrunit.Instant(time.Second)
	s := rrdispatch.New(rrdispatch.Config{
		Layout:             "base",
		Ranks:              []rrdispatch.Rank{{Name: "urgent", Floor: 0.5}, {Name: "batch"}},
		Searchers:          []rrdispatch.Searcher{{ID: "a", Slots: 1}},
		QueueLimit:         10,
		QuarantineDuration: rrunit.Duration(time.Minute),
	})
	for id := range rrdispatch.JobID(3) {
		s.Offer(second, rrdispatch.Job{ID: id + 1, Rank: 1, Version: 1, Idempotent: true, Deadline: 10 * second})
	}
	s.Quarantine(second, 7, 5*second)
	st := s.State(2 * second)
	must.Eq(t, "batch", st.Ranks[1].Rank)
	must.Eq(t, 2, st.Ranks[1].Waiting)
	must.Eq(t, 1, st.Ranks[1].Running)
	must.Eq(t, rrunit.Duration(time.Second), st.Ranks[1].Oldest)
	must.Eq(t, 0, st.Ranks[0].Waiting)
	must.Eq(t, 1, st.Searchers[0].Busy)
	must.Eq(t, "up", st.Searchers[0].Health)
	must.Eq(t, []rrdispatch.QuarantineState{{Fingerprint: 7, Left: rrunit.Duration(3 * time.Second)}}, st.Quarantines)
	must.SliceEmpty(t, s.State(6*second).Quarantines)
}
