package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
)

// crashing is the fingerprint of the requests that crash searchers.
const crashing rrunit.Fingerprint = 7

// resend offers a crashing request again 5 ms after each of its replies.
func resend(s *sim, rank int, from, until rrunit.Instant) {
	offer := func() {
		s.offer(rrdispatch.Job{Rank: rank, Fingerprint: crashing, Idempotent: true, Deadline: s.now.Add(2 * time.Second)})
	}
	s.onReply = func(d done) {
		if d.job.Fingerprint == crashing && s.now < until {
			s.in(5*ms, offer)
		}
	}
	s.at(from, offer)
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, replicas := range []int{3, 15} {
		for name, load := range map[string]float64{"idle": 0.01, "half": 0.5, "busy": 0.8} {
			t.Run(name, func(t *testing.T) {
				s := newSim(7, replicas, 3, rrdispatch.Tuning{})
				s.crash = crashing
				s.restart = 3 * time.Second
				s.load(0, load*capacity*float64(replicas)/3, 1000*ms, 0, 10*second)
				resend(s, 2, second, 10*second)
				s.run(15 * second)
				t.Logf("%d replicas: %d searchers crashed", replicas, s.crashes())
				must.Eq(t, []rrunit.Fingerprint{crashing}, s.quarantined)
				must.LessEq(t, 2, s.crashes())
				must.Zero(t, othersQuarantined(s))
				checkRefusals(t, s)
			})
		}
	}
}

// checkRefusals checks the replies to the crashing requests: they have a time to retry
// after, and are reported as not run unless they were sent.
func checkRefusals(t *testing.T, s *sim) {
	t.Helper()
	for _, d := range s.done {
		if d.job.Fingerprint != crashing {
			continue
		}
		must.Eq(t, rrquery.ReasonQuarantine, d.Reason)
		must.Positive(t, d.RetryAfter)
		first := d.job.ID == firstCrashing(s)
		must.Eq(t, first, d.Run == rrpeer.RunMaybe)
	}
}

func firstCrashing(s *sim) rrdispatch.JobID {
	for id := rrdispatch.JobID(1); id <= s.next; id++ {
		if s.jobs[id].Fingerprint == crashing {
			return id
		}
	}
	return 0
}

func othersQuarantined(s *sim) int {
	n := 0
	for _, d := range s.done {
		if d.Reason == rrquery.ReasonQuarantine && d.job.Fingerprint != crashing {
			n++
		}
	}
	return n
}

func TestRackLossQuarantinesNothing(t *testing.T) {
	for _, replicas := range []int{3, 15} {
		for seed := range uint64(10) {
			s := newSim(seed, replicas, 3, rrdispatch.Tuning{})
			s.restart = time.Second
			s.poll(5 * second)
			rate := 0.8 * capacity * float64(replicas) / 3
			for at := rrunit.Instant(0); at < 5*second; at += rrunit.Instant(float64(time.Second) / rate) {
				s.at(at, func() {
					// A few popular requests come again and again.
					f := rrunit.Fingerprint(100 + s.rng.IntN(8))
					s.offer(rrdispatch.Job{Fingerprint: f, Idempotent: true, Deadline: s.now.Add(400 * ms)})
				})
			}
			// One searcher crashes shortly before all others, so that suspects are still
			// running alone.
			s.at(2*second, func() { s.kill(s.searchers["s00"]) })
			for i, id := range s.order {
				s.at(2*second+rrunit.Instant(30*ms)+rrunit.Instant(i)*rrunit.Instant(ms), func() { s.kill(s.searchers[id]) })
			}
			s.run(8 * second)
			must.Len(t, 0, s.quarantined, must.Sprint(seed))
			must.Zero(t, s.refused(rrquery.ReasonQuarantine))
			late, offered := 0, 0
			for _, d := range s.done {
				if d.arrived > 4*second {
					offered++
					if d.Run != rrpeer.RunDone {
						late++
					}
				}
			}
			must.Zero(t, late, must.Sprintf("seed %d, %d replicas: %d of %d", seed, replicas, late, offered))
		}
	}
}

func TestQuarantineFromElsewhere(t *testing.T) {
	s := newSim(8, 3, 3, rrdispatch.Tuning{})
	s.do(s.core.Quarantine(0, crashing, 5*second))
	s.at(second, func() { s.offer(rrdispatch.Job{Fingerprint: crashing, Deadline: 2 * second}) })
	s.at(6*second, func() { s.offer(rrdispatch.Job{Fingerprint: crashing, Deadline: 7 * second}) })
	s.run(10 * second)
	must.Eq(t, rrquery.ReasonQuarantine, s.done[0].Reason)
	must.Eq(t, rrpeer.RunNever, s.done[0].Run)
	must.Eq(t, 4*time.Second, s.done[0].RetryAfter.Std())
	must.Eq(t, rrpeer.RunDone, s.done[1].Run)
}
