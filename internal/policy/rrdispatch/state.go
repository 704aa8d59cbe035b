package rrdispatch

import (
	"slices"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// State is the state of a shard's dispatcher, for operators.
type State struct {
	// Ranks are in the order of urgency.
	Ranks     []RankState     `json:"ranks"`
	Searchers []SearcherState `json:"searchers"`
	// Suspects counts the requests that may have crashed a searcher. Both are of a shard that
	// does not share its suspects.
	Suspects    int               `json:"suspects"`
	Quarantines []QuarantineState `json:"quarantines"`
}

// RankState is the queue of one rank.
type RankState struct {
	Rank rrunit.RankName `json:"rank"`
	// Waiting counts the subqueries in the queue.
	Waiting int `json:"waiting"`
	// Running counts the attempts that hold a slot.
	Running int `json:"running"`
	// Oldest is how long the oldest subquery has waited.
	Oldest rrunit.Duration `json:"oldest"`
	// Hedge is the time after which a second attempt is started.
	Hedge rrunit.Duration `json:"hedge"`
}

// SearcherState is the state of one searcher.
type SearcherState struct {
	ID     rrunit.SearcherID `json:"id"`
	Health string            `json:"health"`
	// Busy counts the attempts in flight. Bound is how many may run at once now, and
	// Slots is their maximum by the definition.
	Busy  int `json:"busy"`
	Bound int `json:"bound"`
	Slots int `json:"slots"`
	// Closed is set if the searcher gets no new jobs, as it drains or leaves.
	Closed   bool                  `json:"closed"`
	Versions []rrunit.IndexVersion `json:"versions"`
	Latency  rrunit.Duration       `json:"latency"`
	// Slowdown is the expected service time relative to the typical one, and FailureRate
	// the share of requests that the searcher is expected to refuse or fail. Both are
	// used only where other daemons send to it too.
	Slowdown    float64      `json:"pace"`
	FailureRate rrunit.Share `json:"misses"`
	// Limit is the request limit, in requests a second of all daemons, that the searcher
	// names; nil for none. Quota is how many requests this daemon may send now under it.
	Limit *rrunit.Rate `json:"limit,omitempty"`
	Quota int          `json:"quota,omitempty"`
	// Paused is how much longer it wants no attempts of this daemon.
	Paused rrunit.Duration `json:"paused,omitempty"`
	// SaidLeaving is set once it said that it leaves.
	SaidLeaving bool `json:"saidleaving,omitempty"`
}

// QuarantineState is a fingerprint whose requests are refused.
type QuarantineState struct {
	Fingerprint rrunit.Fingerprint `json:"fingerprint"`
	// Left is the remaining time of the quarantine.
	Left rrunit.Duration `json:"left"`
}

// State returns a copy of the dispatcher's state.
func (s *Shard) State(now rrunit.Instant) State {
	st := State{Quarantines: []QuarantineState{}}
	if s.cfg.Suspects == nil {
		s.addSuspects(now, &st)
	}
	for i, rank := range s.cfg.Ranks {
		r := RankState{Rank: rank.Name, Waiting: s.queue.Waiting(i), Running: s.ranks[i].running}
		r.Hedge = rrunit.Duration(s.ranks[i].hedgeDelay(s.tuning))
		if since, ok := s.queue.Oldest(i); ok {
			r.Oldest = rrunit.Duration(max(0, now.Sub(since)))
		}
		st.Ranks = append(st.Ranks, r)
	}
	for _, w := range s.searchers {
		st.Searchers = append(st.Searchers, w.state(now))
	}
	return st
}

// addSuspects adds the shard's own suspect and quarantined requests to its state.
func (s *Shard) addSuspects(now rrunit.Instant, st *State) {
	st.Suspects = s.suspects.Suspects()
	for f, until := range s.suspects.ActiveQuarantines(now) {
		st.Quarantines = append(st.Quarantines, QuarantineState{Fingerprint: f, Left: rrunit.Duration(until.Sub(now))})
	}
	slices.SortFunc(st.Quarantines, func(a, b QuarantineState) int { return int(b.Left - a.Left) })
}

func (w *searcher) state(now rrunit.Instant) SearcherState {
	quota := 0
	if w.quota != nil {
		quota = w.quota.Available(now)
	}
	return SearcherState{
		ID:          w.ID,
		Health:      string(w.health),
		Busy:        len(w.running),
		Bound:       w.currentLimit(),
		Slots:       w.Slots,
		Closed:      w.isClosed(),
		Versions:    slices.Clone(w.versions),
		Latency:     rrunit.Duration(w.latency),
		Slowdown:    w.estimator.Slowdown(now),
		FailureRate: rrunit.Share(w.estimator.FailureRate(now)),
		Limit:       w.namedLimit(),
		Quota:       quota,
		Paused:      rrunit.Duration(max(0, w.pausedUntil.Sub(now))),
		SaidLeaving: w.saidLeaving,
	}
}
