package rrdispatch_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrestimate"
	"rhubarbreel.example/rhubarbreel/internal/port/rrupstream"
)

// modelJob is the model's state of a job.
type modelJob struct {
	rrdispatch.Job
	running, sent int
	// maybe is set once an attempt ended that may have run.
	maybe bool
	over  bool
}

// modelSearcher is the model's state of a searcher.
type modelSearcher struct {
	slots, running            int
	draining, refused, leaves bool
}

// machine passes the same events to two equal cores, and checks that their actions are
// equal and allowed by a model.
type machine struct {
	t         *rapid.T
	cores     [2]*rrdispatch.Shard
	cfg       rrdispatch.Config
	now       rrunit.Instant
	next      rrdispatch.JobID
	jobs      map[rrdispatch.JobID]*modelJob
	attempts  map[rrdispatch.AttemptID]rrdispatch.Action
	order     []rrdispatch.AttemptID
	searchers map[rrunit.SearcherID]*modelSearcher
	// suspect has the fingerprints with a lost attempt and no completed one since.
	suspect map[rrunit.Fingerprint]bool
	// firsts counts the jobs that were sent, and extra the attempts beside or after one
	// that may have run.
	firsts, extra int
	// serviceTimes is set, for each core its own, where other daemons send to the searchers
	// too.
	serviceTimes [2]*rrestimate.ServiceTimes
}

// extraConstant is the number of extra attempts that are allowed at any load.
const extraConstant = 10 + 45

// isShared reports whether other daemons send to the searchers too.
func (m *machine) isShared() bool { return m.serviceTimes[0] != nil }

// newSharedMachine returns a machine whose searchers get requests of other daemons too, with
// ranks whose service times differ much.
func newSharedMachine(t *rapid.T) *machine {
	var times [2]*rrestimate.ServiceTimes
	for i := range times {
		times[i] = rrestimate.NewServiceTimes()
		for rank, service := range []time.Duration{2 * ms, 20 * ms, 200 * ms} {
			for range 64 {
				times[i].Record(0, rank, service)
			}
		}
	}
	return newMachine(t, times)
}

func newMachine(t *rapid.T, serviceTimes [2]*rrestimate.ServiceTimes) *machine {
	m := &machine{
		t:         t,
		jobs:      make(map[rrdispatch.JobID]*modelJob),
		attempts:  make(map[rrdispatch.AttemptID]rrdispatch.Action),
		searchers: make(map[rrunit.SearcherID]*modelSearcher),
		suspect:   make(map[rrunit.Fingerprint]bool),

		serviceTimes: serviceTimes,
	}
	m.cfg = m.drawConfig()
	for i := range m.cores {
		m.cores[i] = rrdispatch.New(m.configOf(i))
		m.setIdleConnections(m.cores[i])
	}
	return m
}

// configOf returns the configuration of the core.
func (m *machine) configOf(core int) rrdispatch.Config {
	cfg := m.cfg
	cfg.ServiceTimes = m.serviceTimes[core]
	return cfg
}

func (m *machine) setIdleConnections(s *rrdispatch.Shard) {
	s.SetIdleConnections(func(rrunit.SearcherID) int { return 4 })
}

func (m *machine) drawConfig() rrdispatch.Config {
	cfg := rrdispatch.Config{
		Layout: "base", QueueLimit: 4, ExtraShare: 0.1, QuarantineDuration: rrunit.Duration(time.Hour), Seed: 1,
		Ranks: []rrdispatch.Rank{{Name: "a", Floor: 0.5}, {Name: "b", Floor: 0.2}, {Name: "c", Floor: 0.1}},
	}
	if m.isShared() {
		cfg.ExtraShare, cfg.ExtraWindow, cfg.ExtraSlack, cfg.ChargeRefused = 1, rrunit.Duration(10*time.Second), 1000, true
	}
	for _, id := range []rrunit.SearcherID{"s0", "s1", "s2", "s3"} {
		if id != "s0" && rapid.IntRange(0, 3).Draw(m.t, "absent") == 0 {
			continue
		}
		slots := rapid.IntRange(1, 3).Draw(m.t, "slots")
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: id, Slots: slots})
		if m.searchers[id] == nil {
			m.searchers[id] = &modelSearcher{}
		}
		m.searchers[id].slots = slots
	}
	return cfg
}

// call makes the same call on both cores, and checks the actions.
func (m *machine) call(f func(*rrdispatch.Shard) []rrdispatch.Action) {
	actions := f(m.cores[0])
	if !slices.Equal(actions, f(m.cores[1])) {
		m.t.Fatalf("the two cores return different actions")
	}
	for _, a := range actions {
		switch a.Kind {
		case rrdispatch.ActionSend:
			m.checkSend(a)
		case rrdispatch.ActionReply:
			m.checkReply(a)
		}
	}
}

func (m *machine) checkSend(a rrdispatch.Action) {
	j, w := m.jobs[a.Job], m.searchers[a.Searcher]
	fail := func(msg string) { m.t.Fatalf("%s: action %+v, job %+v, searcher %+v", msg, a, *j, *w) }
	switch {
	case j.over:
		fail("job sent after its end")
	case m.now >= j.Deadline:
		fail("job sent after its deadline")
	case w.draining || w.refused || w.leaves:
		fail("job sent to a leaving searcher")
	case !m.configured(a.Searcher):
		fail("job sent to a searcher that is not configured")
	case w.running >= w.slots:
		fail("job sent to a searcher without a free slot")
	case !j.Idempotent && (j.maybe || j.running > 0):
		fail("non-idempotent job sent again")
	case m.suspect[j.Fingerprint] && m.running(j.Fingerprint):
		fail("two attempts of a suspect run at once")
	}
	if j.sent == 0 {
		m.firsts++
	} else if j.maybe || j.running > 0 {
		m.extra++
	}
	j.sent++
	j.running++
	w.running++
	m.attempts[a.Attempt] = a
	m.order = append(m.order, a.Attempt)
	if !m.isShared() && float64(m.extra) > float64(m.cfg.ExtraShare)*float64(m.firsts)+extraConstant {
		fail("extra attempts exceed the budget")
	}
}

func (m *machine) running(f rrunit.Fingerprint) bool {
	for _, a := range m.attempts {
		if m.jobs[a.Job].Fingerprint == f {
			return true
		}
	}
	return false
}

func (m *machine) checkReply(a rrdispatch.Action) {
	j := m.jobs[a.Job]
	if j.over {
		m.t.Fatalf("second reply, or reply after the cancel: %+v", a)
	}
	j.over = true
	answered := a.Run == rrpeer.RunDone
	if answered != (a.Reason == rrquery.ReasonNone) {
		m.t.Fatalf("reason and run state contradict each other: %+v", a)
	}
	if !answered && (a.Run == rrpeer.RunNever) == (j.maybe || j.running > 0) {
		m.t.Fatalf("wrong run state: action %+v, job %+v", a, *j)
	}
}

func (m *machine) offer(*rapid.T) {
	m.next++
	job := rrdispatch.Job{
		ID:          m.next,
		Rank:        rapid.IntRange(0, 2).Draw(m.t, "rank"),
		Caller:      rapid.SampledFrom([]rrunit.CallerID{"x", "y"}).Draw(m.t, "caller"),
		Version:     rapid.SampledFrom([]rrunit.IndexVersion{1, 1, 1, 2}).Draw(m.t, "version"),
		Fingerprint: rrunit.Fingerprint(rapid.IntRange(1, 12).Draw(m.t, "fingerprint")),
		Idempotent:  rapid.IntRange(0, 3).Draw(m.t, "idempotent") > 0,
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(m.t, "deadline")) * ms),
	}
	m.jobs[job.ID] = &modelJob{Job: job}
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.Offer(m.now, job) })
}

func (m *machine) cancel(*rapid.T) {
	id := rrdispatch.JobID(rapid.Uint64Range(1, uint64(max(1, m.next))).Draw(m.t, "job"))
	if j := m.jobs[id]; j != nil {
		j.over = true
	}
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.Cancel(m.now, id) })
}

func (m *machine) finish(*rapid.T) {
	if len(m.order) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.order)-1).Draw(m.t, "attempt")
	m.end(i, rapid.SampledFrom([]rrupstream.Outcome{
		rrupstream.OutcomeAnswered, rrupstream.OutcomeAnswered, rrupstream.OutcomeAnswered, rrupstream.OutcomeShed,
		rrupstream.OutcomeDraining, rrupstream.OutcomeWrongSnapshot, rrupstream.OutcomeRejected, rrupstream.OutcomeUnsent,
		rrupstream.OutcomeConnectionLost, rrupstream.OutcomeFailed, rrupstream.OutcomeCancelled,
		rrupstream.OutcomeUnresponsive,
	}).Draw(m.t, "outcome"))
}

func (m *machine) end(i int, outcome rrupstream.Outcome) {
	id := m.order[i]
	a := m.attempts[id]
	m.order = slices.Delete(m.order, i, i+1)
	delete(m.attempts, id)
	j, w := m.jobs[a.Job], m.searchers[a.Searcher]
	j.running--
	w.running--
	j.maybe = j.maybe || !outcome.NotRun()
	switch outcome {
	case rrupstream.OutcomeDraining:
		w.refused = true
	case rrupstream.OutcomeConnectionLost:
		if !m.isShared() {
			m.suspect[j.Fingerprint] = true
		}
		w.refused = false
	case rrupstream.OutcomeUnsent:
		w.refused = false
	case rrupstream.OutcomeAnswered, rrupstream.OutcomeFailed:
		delete(m.suspect, j.Fingerprint)
	}
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.Finish(m.now, id, outcome) })
	m.forgetSearchers()
}

// crash ends an attempt whose searcher was found dead.
func (m *machine) crash(t *rapid.T) {
	if len(m.order) == 0 || !m.isShared() {
		return
	}
	i := rapid.IntRange(0, len(m.order)-1).Draw(t, "attempt")
	a := m.attempts[m.order[i]]
	f := m.jobs[a.Job].Fingerprint
	m.suspect[f] = true
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.RecordCrash(m.now, f, a.Searcher, a.Isolation) })
	m.end(i, rrupstream.OutcomeConnectionLost)
}

func (m *machine) observe(*rapid.T) {
	id := rapid.SampledFrom([]rrunit.SearcherID{"s0", "s1", "s2", "s3"}).Draw(m.t, "searcher")
	load := rapid.SampledFrom([]rrupstream.Load{serving(1), serving(1, 2), serving(2), serving()}).Draw(m.t, "load")
	load.Draining = rapid.IntRange(0, 3).Draw(m.t, "draining") == 0
	if w := m.searchers[id]; w != nil && m.configured(id) {
		w.refused = w.refused && (load.Draining || !w.draining)
		w.draining = load.Draining
	}
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.RecordLoadReport(m.now, id, load) })
}

func (m *machine) unreachable(*rapid.T) {
	id := rapid.SampledFrom([]rrunit.SearcherID{"s0", "s1", "s2", "s3"}).Draw(m.t, "searcher")
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.RecordMissedReport(m.now, id, m.now) })
}

func (m *machine) setLeaving(*rapid.T) {
	leaving := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(m.t, "leaving")
	of := func(id rrunit.SearcherID) bool { return leaving[id[1]-'0'] }
	for _, c := range m.cfg.Searchers {
		m.searchers[c.ID].leaves = of(c.ID)
	}
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.SetLeaving(m.now, of) })
}

func (m *machine) configure(*rapid.T) {
	m.cfg = m.drawConfig()
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action {
		cfg := m.configOf(slices.Index(m.cores[:], s))
		actions := s.Configure(m.now, cfg)
		m.setIdleConnections(s)
		return actions
	})
	m.forgetSearchers()
}

// forgetSearchers removes searchers that are neither configured nor running an attempt.
func (m *machine) forgetSearchers() {
	for id, w := range m.searchers {
		if !m.configured(id) && w.running == 0 {
			delete(m.searchers, id)
		}
	}
}

func (m *machine) configured(id rrunit.SearcherID) bool {
	return slices.ContainsFunc(m.cfg.Searchers, func(c rrdispatch.Searcher) bool { return c.ID == id })
}

func (m *machine) quarantine(*rapid.T) {
	f := rrunit.Fingerprint(rapid.IntRange(1, 12).Draw(m.t, "fingerprint"))
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.Quarantine(m.now, f, m.now.Add(100*ms)) })
}

// pass advances the time by up to 100 ms, with all ticks that are due.
func (m *machine) pass(*rapid.T) {
	to := m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(m.t, "time")) * ms)
	for range 1000 {
		at, ok := m.cores[0].Next()
		if !ok || at > to {
			break
		}
		m.tick(max(m.now, at))
	}
	m.tick(to)
}

func (m *machine) tick(at rrunit.Instant) {
	m.now = at
	m.call(func(s *rrdispatch.Shard) []rrdispatch.Action { return s.Tick(at) })
	for _, j := range m.jobs {
		if !j.over && at >= j.Deadline {
			m.t.Fatalf("no reply by the deadline: %+v", *j)
		}
	}
	if next, ok := m.cores[0].Next(); ok && next <= at {
		m.t.Fatalf("the next tick after the one at %d is already due at %d", at, next)
	}
}

func (m *machine) settle() {
	for len(m.order) > 0 {
		m.end(0, rrupstream.OutcomeAnswered)
	}
	m.tick(m.now.Add(time.Hour))
	for _, j := range m.jobs {
		if !j.over {
			m.t.Fatalf("no final reply: %+v", *j)
		}
	}
	if at, ok := m.cores[0].Next(); ok {
		m.t.Fatalf("a tick is due at %d without any job", at)
	}
}

func (m *machine) run(t *rapid.T) {
	t.Repeat(map[string]func(*rapid.T){
		"offer": m.offer, "offer2": m.offer, "offer3": m.offer, "cancel": m.cancel,
		"finish": m.finish, "finish2": m.finish, "observe": m.observe, "leaving": m.setLeaving, "crash": m.crash,
		"configure": m.configure, "quarantine": m.quarantine, "pass": m.pass, "unreachable": m.unreachable,
	})
	m.settle()
}

func TestEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newMachine(t, [2]*rrestimate.ServiceTimes{}).run(t) })
}

// The same where other daemons send to the searchers too, as on the users' platform.
func TestEventOrdersAtSharedSearchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newSharedMachine(t).run(t) })
}
