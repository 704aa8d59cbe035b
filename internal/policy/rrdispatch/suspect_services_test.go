package rrdispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrquarantine"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// suspectServices are the dispatchers of several services that share their suspects, and
// get one request that goes to all of them.
type suspectServices struct {
	now    rrunit.Instant
	shards []*rrdispatch.Shard
	// sent has the attempts of the request in flight, by service.
	sent map[int][]rrdispatch.Action
	// crashes is how many attempts were lost, and quarantines how many verdicts followed.
	crashes, quarantines int
	reasons              []rrquery.Reason
}

func newSuspectServices(n int) *suspectServices {
	out := &suspectServices{now: second, sent: make(map[int][]rrdispatch.Action)}
	suspects := rrquarantine.New(rrunit.Duration(time.Minute))
	times := rrestimate.NewServiceTimes()
	for i := range n {
		cfg := rrdispatch.Config{
			Service: rrunit.ServiceName(rune('p' + i)), Suspects: suspects, QueueLimit: 64, ServiceTimes: times,
			ExtraShare: 0.5, ExtraWindow: rrunit.Duration(10 * time.Second), ExtraSlack: 100, QuarantineDuration: rrunit.Duration(time.Minute),
			Ranks: []rrdispatch.Rank{{Name: "usual"}},
		}
		for j := range 3 {
			id := cfg.Service + rrunit.ServiceName(rune('0'+j))
			cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: rrunit.SearcherID(id), Slots: 4, RoundTrip: rrunit.Duration(time.Millisecond)})
		}
		s := rrdispatch.New(cfg)
		s.SetIdleConnections(func(rrunit.SearcherID) int { return 4 })
		out.shards = append(out.shards, s)
	}
	out.offer(1)
	return out
}

// offer offers the request to all services.
func (s *suspectServices) offer(id rrdispatch.JobID) {
	for i, shard := range s.shards {
		s.record(i, shard.Offer(s.now, rrdispatch.Job{ID: id, Fingerprint: crashing, Idempotent: true, MaxAttempts: 3, Deadline: s.now.Add(2 * time.Second)}))
	}
}

func (s *suspectServices) record(i int, actions []rrdispatch.Action) {
	for _, a := range actions {
		switch a.Kind {
		case rrdispatch.ActionSend:
			s.sent[i] = append(s.sent[i], a)
		case rrdispatch.ActionQuarantine:
			s.quarantines++
			for other, shard := range s.shards {
				s.record(other, shard.Quarantine(s.now, a.Fingerprint, s.now.Add(a.RetryAfter.Std())))
			}
		case rrdispatch.ActionReply:
			s.reasons = append(s.reasons, a.Reason)
		}
	}
}

// end ends all attempts in flight with the outcome.
func (s *suspectServices) end(outcome rrupstream.Outcome) {
	for i, attempts := range s.sent {
		delete(s.sent, i)
		for _, a := range attempts {
			if outcome == rrupstream.OutcomeConnectionLost {
				s.crashes++
				s.record(i, s.shards[i].RecordCrash(s.now, crashing, a.Searcher, a.Isolation))
			}
			s.record(i, s.shards[i].Finish(s.now, a.Attempt, outcome))
		}
	}
}

// pass lets time pass in milliseconds, and ends the attempts with the outcome after each.
func (s *suspectServices) pass(d time.Duration, outcome rrupstream.Outcome) (maxInFlight int) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(time.Millisecond)
		for i, shard := range s.shards {
			s.record(i, shard.Tick(s.now))
		}
		n := 0
		for _, attempts := range s.sent {
			n += len(attempts)
		}
		maxInFlight = max(maxInFlight, n)
		s.end(outcome)
	}
	return maxInFlight
}

// A request that ends a searcher of each service to which it was sent is tried at one
// service alone, and ends one more.
func TestSuspectIsTriedAtOneService(t *testing.T) {
	const services = 10
	s := newSuspectServices(services)
	s.end(rrupstream.OutcomeConnectionLost)
	must.Eq(t, services, s.crashes)
	must.Eq(t, 1, s.pass(time.Second, rrupstream.OutcomeConnectionLost))
	must.Eq(t, services+1, s.crashes)
	must.Eq(t, 1, s.quarantines)
	must.Len(t, services, s.reasons)
}

// A request that was lost with a rack at all services goes on at all of them as soon as one
// has answered it.
func TestClearedSuspectGoesOnEverywhere(t *testing.T) {
	const services = 10
	s := newSuspectServices(services)
	s.end(rrupstream.OutcomeConnectionLost)
	must.Eq(t, services-1, s.pass(100*time.Millisecond, rrupstream.OutcomeAnswered))
	must.Zero(t, s.quarantines)
	must.Eq(t, make([]rrquery.Reason, services), s.reasons)
}

// A searcher that fails its requests without running them clears a request that crashes
// those that do run it.
func TestFailedAnswerClearsACrashingRequest(t *testing.T) {
	s := newSuspectServices(1)
	s.end(rrupstream.OutcomeConnectionLost)
	s.pass(40*time.Millisecond, rrupstream.OutcomeFailed)
	s.offer(2)
	s.pass(time.Second, rrupstream.OutcomeConnectionLost)
	must.Eq(t, 2, s.crashes)
	must.Eq(t, 1, s.quarantines)
}
