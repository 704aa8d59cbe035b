// Package rrconnpool sizes a daemon's connection pools to the searchers of a service
// that other daemons use too. Searchers accept few connections, and opening one often
// takes longer than an answer. The package holds no clock or socket.
package rrconnpool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const (
	// idleShare is the part of a searcher's connection limit that all daemons
	// together keep idle; the rest is for connections in use.
	idleShare = 0.8
	// preconnectShare is the part of the limit that all daemons together open in
	// advance. When all daemons lose power, searchers still hold these connections,
	// and as many new ones have to fit.
	preconnectShare = 0.4
	// surplusIdleTimeout is how long an idle connection is kept that is beyond the
	// daemon's share.
	surplusIdleTimeout = 4 * time.Second
	// maxPreconnected is the most searchers that a daemon connects to in advance: one
	// for first attempts and one for second attempts.
	maxPreconnected = 2
)

// Searcher is one searcher of the service.
type Searcher struct {
	ID rrunit.SearcherID
	// SameRegion is true if the searcher is in the daemon's region.
	SameRegion bool
}

// Config holds the inputs of the decision.
type Config struct {
	Self rrunit.InstanceID
	// DaemonCount is the number of daemons that share the searchers, and
	// MaxSearcherConnections the number of connections that one searcher accepts.
	DaemonCount, MaxSearcherConnections int
	Searchers                           []Searcher
}

// Plan is the connection pool of one searcher.
type Plan struct {
	// MaxIdle is the most idle connections to keep, at least 1.
	MaxIdle int
	// IdleTimeout is the longest time to keep a connection idle; zero means until the
	// searcher closes it.
	IdleTimeout time.Duration
	// Preconnect is true if a connection is opened before it is needed.
	Preconnect bool
}

// Plans returns the plan of each searcher. Daemons choose different searchers of
// other regions, so that the connections are spread evenly.
func Plans(cfg Config) map[rrunit.SearcherID]Plan {
	maxIdleConnections := idleShare * float64(cfg.MaxSearcherConnections)
	daemons := max(1, cfg.DaemonCount)
	idlePerDaemon := int(maxIdleConnections) / daemons
	searchers := byPreference(cfg)
	preconnected := preconnectCount(preconnectShare*float64(cfg.MaxSearcherConnections)*float64(len(searchers))/float64(daemons), cfg.Self, searchers)
	plans := make(map[rrunit.SearcherID]Plan, len(cfg.Searchers))
	for i, s := range searchers {
		p := Plan{MaxIdle: max(1, idlePerDaemon), Preconnect: i < preconnected}
		if idlePerDaemon == 0 && !s.SameRegion && !p.Preconnect {
			p.IdleTimeout = surplusIdleTimeout
		}
		plans[s.ID] = p
	}
	return plans
}

// preconnectCount returns how many searchers the daemon connects to in advance, where
// perDaemon is the number of such connections that each daemon may have. If that is less
// than one, only some of the daemons open one. Which ones depends on the searcher, so
// that each daemon is connected to some shards in advance.
func preconnectCount(perDaemon float64, self rrunit.InstanceID, searchers []Searcher) int {
	n := min(int(perDaemon), maxPreconnected, len(searchers))
	if n == 0 && len(searchers) > 0 && hashFraction(self, searchers[0].ID) < perDaemon {
		return 1
	}
	return n
}

// hashFraction maps the daemon and the searcher to a number from 0 to 1.
func hashFraction(self rrunit.InstanceID, id rrunit.SearcherID) float64 {
	return float64(hash(self, id)) / math.MaxUint64
}

// byPreference returns the searchers with those of the daemon's region first, and
// otherwise in an order that depends on the daemon.
func byPreference(cfg Config) []Searcher {
	out := slices.Clone(cfg.Searchers)
	slices.SortFunc(out, func(a, b Searcher) int {
		if a.SameRegion != b.SameRegion {
			if a.SameRegion {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hash(cfg.Self, a.ID), hash(cfg.Self, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func hash(self rrunit.InstanceID, id rrunit.SearcherID) uint64 {
	h := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = h.WriteString(string(self))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}
