package rrbench

import (
	"time"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Flood is additional load of one rank, as a share of the capacity.
type Flood struct {
	Rank     int
	Load     rrunit.Share
	From, To time.Duration
}

// Case is a load on a deployment with at most a few faults. Loads are shares of the
// capacity; times count from the start of the run. A fault at time zero is off.
type Case struct {
	Name string
	// Load is the base load of each rank, most urgent first.
	Load   []rrunit.Share
	Floods []Flood
	// One subquery in StragglerOneIn takes StragglerFactor times as long; zero
	// means none.
	StragglerOneIn  int
	StragglerFactor float64
	// RetryPeriod is for how long refused callers retry without backoff.
	RetryPeriod time.Duration
	// LoseAt is when the first LostReplicas thirds of each shard's searchers fail; with
	// zero LostReplicas, one searcher of the first shard does.
	LoseAt       time.Duration
	LostReplicas int
	// MisreportLoad makes the first searcher of each shard slow while its load
	// reports show it as idle.
	MisreportLoad bool
	// ReplaceAt starts a rolling replacement of the searchers of each shard.
	ReplaceAt time.Duration
	// FreezeAt suspends the owner of the first shard for FreezeDuration.
	FreezeAt       time.Duration
	FreezeDuration time.Duration
	// RepartitionAt moves new queries to another layout.
	RepartitionAt time.Duration
	// IsolateAt separates the last region from the others for IsolateDuration.
	IsolateAt       time.Duration
	IsolateDuration time.Duration
	// MeasureFrom and MeasureTo bound the measured interval; the run ends at End.
	MeasureFrom, MeasureTo, End time.Duration
}

const (
	// A replaced searcher starts slower by the factor initialSlowdown, which falls to
	// 1 over warmupDuration.
	warmupDuration  = 3 * time.Second
	initialSlowdown = 4
	// restartDuration is how long a replaced searcher is down.
	restartDuration = 300 * time.Millisecond
	// misreportedSlowdown is the slowdown of a searcher whose load reports are wrong.
	misreportedSlowdown = 5
	// listDelay is how long the platform's list takes to drop failed searchers.
	listDelay = 3 * time.Second
)

// The phases of a standard run. drainDuration leaves time for the last answers.
const (
	runWarmup       = 2 * time.Second
	measureDuration = 20 * time.Second
	drainDuration   = 3 * time.Second
)

// MeanTime returns the mean time of a subquery, stragglers included.
func (c *Case) MeanTime() time.Duration {
	mean := float64(meanServiceTime)
	if c.StragglerOneIn > 0 {
		mean *= 1 + (c.StragglerFactor-1)/float64(c.StragglerOneIn)
	}
	return time.Duration(mean)
}

// newCase returns a case of standard length with stragglers, which are routine.
func newCase(name string, load ...rrunit.Share) Case {
	return Case{
		Name:            name,
		Load:            load,
		StragglerOneIn:  100,
		StragglerFactor: 10,
		MeasureFrom:     runWarmup,
		MeasureTo:       runWarmup + measureDuration,
		End:             runWarmup + measureDuration + drainDuration,
	}
}

func calmCase(name string) Case { return newCase(name, 0.2, 0.12, 0.08) }

// floodCase returns a calm case with floods throughout the measured interval.
func floodCase(name string, floods ...Flood) Case {
	c := calmCase(name)
	for _, f := range floods {
		f.From, f.To = c.MeasureFrom, c.MeasureTo
		c.Floods = append(c.Floods, f)
	}
	return c
}

// Indexes of the ranks.
const (
	rankUrgent = 0
	rankMiddle = 1
	rankLeast  = 2
)

// Cases returns all cases in the order of the table.
func Cases() []Case {
	steady := calmCase("calm-steady")
	steady.StragglerOneIn = 0
	out := []Case{
		steady,
		calmCase("calm"),
		newCase("busy", 0.4, 0.24, 0.16),
		floodCase("flood-least-2x", Flood{Rank: rankLeast, Load: 2}),
		floodCase("flood-least-4x", Flood{Rank: rankLeast, Load: 4}),
		floodCase("flood-urgent-1.5x", Flood{Rank: rankUrgent, Load: 1.5}),
		floodCase("flood-urgent-3x", Flood{Rank: rankUrgent, Load: 3}),
		floodCase("flood-both", Flood{Rank: rankLeast, Load: 2}, Flood{Rank: rankUrgent, Load: 1.5}),
	}
	allRanks := floodCase("flood-all", Flood{Rank: rankUrgent, Load: 1.5}, Flood{Rank: rankMiddle, Load: 1}, Flood{Rank: rankLeast, Load: 2})
	out = append(out, allRanks)
	return append(out, faultCases()...)
}

func faultCases() []Case {
	third := calmCase("lost-one")
	third.LoseAt, third.LostReplicas = runWarmup+time.Second, 1
	third.Name = "lost-third"
	storm := calmCase("retry-storm")
	storm.Floods = []Flood{{Rank: rankLeast, Load: 2, From: runWarmup, To: runWarmup + stormDuration}}
	storm.RetryPeriod = time.Second
	storm.MeasureFrom = runWarmup + stormDuration + stormRecovery
	storm.MeasureTo, storm.End = storm.MeasureFrom+measureDuration, storm.MeasureFrom+measureDuration+drainDuration
	frozen := calmCase("owner-frozen")
	frozen.FreezeAt, frozen.FreezeDuration = runWarmup+2*time.Second, 4*time.Second
	misreporting := calmCase("load-lies")
	misreporting.MisreportLoad = true
	replaced := calmCase("cold-starts")
	replaced.ReplaceAt = runWarmup + time.Second
	repartition := floodCase("repartition-in-flood", Flood{Rank: rankLeast, Load: 2})
	repartition.RepartitionAt = runWarmup + 4*time.Second
	isolated := calmCase("region-cut")
	isolated.IsolateAt, isolated.IsolateDuration = runWarmup+2*time.Second, 5*time.Second
	single := third
	single.Name = "lost-one"
	single.LostReplicas = 0
	return []Case{single, third, storm, frozen, misreporting, replaced, repartition, isolated}
}

const (
	// stormDuration is how long the flood of the retry storm lasts.
	stormDuration = 5 * time.Second
	// stormRecovery is how long after the flood the measured interval begins.
	stormRecovery = 5 * time.Second
)

// FindCase returns the case with the name.
func FindCase(name string) (Case, error) {
	for _, c := range Cases() {
		if c.Name == name {
			return c, nil
		}
	}
	return Case{}, rrunit.Invalid("case", "%q is not a case", name)
}

// schedule schedules the faults of the case.
func (c *Case) schedule(s *sim) {
	if c.MisreportLoad {
		s.misreportLoad()
	}
	if c.LoseAt > 0 {
		s.loop.At(rrunit.Instant(c.LoseAt), s.loseSearchers)
	}
	if c.ReplaceAt > 0 {
		s.replaceAll(rrunit.Instant(c.ReplaceAt))
	}
	if c.FreezeAt > 0 {
		s.loop.At(rrunit.Instant(c.FreezeAt), func() {
			s.layouts[0][0].owners[0].frozenUntil = s.loop.Now().Add(c.FreezeDuration)
		})
	}
	if c.RepartitionAt > 0 {
		s.loop.At(rrunit.Instant(c.RepartitionAt), func() { s.layout = 1 })
	}
	if c.IsolateAt > 0 {
		s.loop.At(rrunit.Instant(c.IsolateAt), func() { s.net.isolated = s.daemons[len(s.daemons)-1].region })
		s.loop.At(rrunit.Instant(c.IsolateAt+c.IsolateDuration), func() { s.net.isolated = "" })
	}
}

// loseSearchers takes down one searcher of the service, or the first replicas of
// each shard. They alternate between becoming unresponsive and resetting their
// connections.
func (s *sim) loseSearchers() {
	n := 0
	for i, sh := range s.layouts[0] {
		count := s.opts.Case.LostReplicas * len(sh.searchers) / 3
		if s.opts.Case.LostReplicas == 0 && i == 0 {
			count = 1
		}
		for _, def := range sh.searchers[:count] {
			how := failureSilent
			if n%2 == 1 {
				how = failureReset
			}
			n++
			s.searchers[def.ID].fail(how)
			s.removed[def.ID] = true
		}
	}
	s.loop.After(listDelay, func() {
		for _, h := range s.dispatchers {
			h.daemon.deliver(func() {
				h.step(func(now rrunit.Instant) []action {
					return h.core.SetLeaving(now, func(id rrunit.SearcherID) bool { return s.removed[id] })
				})
			})
		}
	})
}

func (s *sim) misreportLoad() {
	for _, sh := range s.layouts[0] {
		w := s.searchers[sh.searchers[0].ID]
		w.slowdown = misreportedSlowdown
		w.misreportsLoad = true
	}
}

// replaceAll schedules the replacement of the replicas of each shard, one after the
// other.
func (s *sim) replaceAll(at rrunit.Instant) {
	for _, sh := range s.layouts[0] {
		for i, def := range sh.searchers {
			w := s.searchers[def.ID]
			start := at.Add(time.Duration(i) * warmupDuration)
			s.loop.At(start, func() { w.fail(failureReset) })
			s.loop.At(start.Add(restartDuration), w.replace)
		}
	}
}
