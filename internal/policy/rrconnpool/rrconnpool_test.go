package rrconnpool_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrconnpool"
)

const regions = 3

// plans returns the plans of all daemons, in three regions with one searcher each.
func plans(daemons, limit int) []map[rrunit.SearcherID]rrconnpool.Plan {
	var out []map[rrunit.SearcherID]rrconnpool.Plan
	for i := range daemons {
		cfg := rrconnpool.Config{Self: rrunit.InstanceID(fmt.Sprintf("front-%d", i)), DaemonCount: daemons, MaxSearcherConnections: limit}
		for region := range regions {
			cfg.Searchers = append(cfg.Searchers, rrconnpool.Searcher{ID: searcher(region), SameRegion: region == i%regions})
		}
		out = append(out, rrconnpool.Plans(cfg))
	}
	return out
}

func searcher(region int) rrunit.SearcherID { return rrunit.SearcherID(fmt.Sprintf("i-%d", region)) }

// TestPlans checks that each daemon connects in advance to the searcher of its region,
// and to a second one if the connection limit allows, and that all daemons together use
// at most half of a searcher's limit for that.
func TestPlans(t *testing.T) {
	cases := []struct {
		name                             string
		daemons, limit                   int
		preconnected, maxIdle            int
		nearPreconnected, surplusTimeout bool
	}{
		{name: "few daemons", daemons: 6, limit: 30, preconnected: 2, maxIdle: 4, nearPreconnected: true},
		{name: "half as many daemons as connections", daemons: 32, limit: 64, preconnected: 2, maxIdle: 1, nearPreconnected: true},
		{name: "as many daemons as connections", daemons: 64, limit: 64, preconnected: 1, maxIdle: 1, nearPreconnected: true, surplusTimeout: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			preconnected := make(map[rrunit.SearcherID]int)
			for i, plan := range plans(c.daemons, c.limit) {
				n := 0
				for id, p := range plan {
					must.Eq(t, c.maxIdle, p.MaxIdle)
					isNear := id == searcher(i%regions)
					if p.Preconnect {
						n++
						preconnected[id]++
					}
					if isNear {
						must.Eq(t, c.nearPreconnected, p.Preconnect)
					}
					must.Eq(t, c.surplusTimeout && !isNear && !p.Preconnect, p.IdleTimeout > 0)
				}
				must.Eq(t, c.preconnected, n)
			}
			for _, n := range preconnected {
				must.LessEq(t, c.limit/2, n, must.Sprint("as many again must fit after a loss of power"))
			}
		})
	}
}

// TestPlansOfALargeFleet checks that if a searcher's limit is too low for a connection of
// each daemon, only a share of the daemons connects to it in advance.
func TestPlansOfALargeFleet(t *testing.T) {
	for _, c := range []struct {
		daemons, limit int
		share          float64
	}{{295, 195, 0.79}, {300, 64, 0.26}, {2300, 64, 0.033}} {
		preconnected := make(map[rrunit.SearcherID]int)
		total := 0
		for i, plan := range plans(c.daemons, c.limit) {
			for id, p := range plan {
				must.Eq(t, 1, p.MaxIdle)
				if p.Preconnect {
					must.Eq(t, searcher(i%regions), id)
					preconnected[id]++
					total++
				}
			}
		}
		must.Between(t, 0.8*c.share, float64(total)/float64(c.daemons), 1.2*c.share)
		for _, n := range preconnected {
			must.LessEq(t, c.limit/2, n, must.Sprint("as many again must fit after a loss of power"))
		}
	}
}

// TestPlanIsStable checks that the plan does not depend on the order of the searchers.
func TestPlanIsStable(t *testing.T) {
	cfg := rrconnpool.Config{Self: "front-1", DaemonCount: 60, MaxSearcherConnections: 64}
	for i := range 5 {
		cfg.Searchers = append(cfg.Searchers, rrconnpool.Searcher{ID: searcher(i)})
	}
	before := rrconnpool.Plans(cfg)
	cfg.Searchers[0], cfg.Searchers[4] = cfg.Searchers[4], cfg.Searchers[0]
	must.Eq(t, before, rrconnpool.Plans(cfg))
}
