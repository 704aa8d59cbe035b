package rrbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbreel.example/rhubarbreel/internal/bench/rrloop"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrdispatch"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
)

// daemonsPerRegion results in nine daemons, the most that a user runs today.
const daemonsPerRegion = 3

// pollInterval is how often the load of searchers is polled.
const pollInterval = 500 * time.Millisecond

// shard is one shard of the service.
type shard struct {
	index     int
	key       rrunit.ShardKey
	region    rrunit.Region
	searchers []rrdefinition.Searcher
	// owners holds the daemons in the order of the entries' preference.
	owners []*daemon
}

// sim is the state of one run.
type sim struct {
	opts  Options
	shape *Shape
	loop  *rrloop.Loop
	net   *network
	rand  *rand.Rand
	stats *stats

	daemons   []*daemon
	byID      map[rrunit.InstanceID]*daemon
	layouts   [][]*shard
	shards    []*shard
	searchers map[rrunit.SearcherID]*searcher
	// all holds the searchers in the definition's order.
	all         []*searcher
	dispatchers []*dispatcher
	links       []*link
	// removed holds the searchers that the platform's list reports as gone.
	removed map[rrunit.SearcherID]bool
	// layout is the layout that new queries are pinned to.
	layout int
}

func newSim(opts Options) *sim {
	l := &rrloop.Loop{}
	s := &sim{
		opts:      opts,
		shape:     opts.Shape,
		loop:      l,
		net:       &network{loop: l, regionRoundTrip: opts.Shape.regionRoundTrip},
		rand:      rand.New(rand.NewPCG(opts.Seed, 1)),
		byID:      make(map[rrunit.InstanceID]*daemon),
		searchers: make(map[rrunit.SearcherID]*searcher),
		removed:   make(map[rrunit.SearcherID]bool),
	}
	s.stats = newStats(s)
	s.addLayout(s.shape.Service.Layouts[0])
	if opts.Case.RepartitionAt > 0 {
		s.addLayout(repartitioned(s.shape.Service.Layouts[0]))
	}
	s.addDaemons()
	s.assignOwners()
	return s
}

// addLayout adds the shards of a layout and their searchers.
func (s *sim) addLayout(l rrdefinition.Layout) {
	var shards []*shard
	for i := range l.Shards {
		def := &l.Shards[i]
		sh := &shard{
			index:     len(s.shards),
			key:       rrunit.ShardKey{Service: s.shape.Service.Name, Layout: l.Name, Shard: def.Name},
			region:    def.Region,
			searchers: def.Searchers,
		}
		shards = append(shards, sh)
		s.shards = append(s.shards, sh)
		for _, w := range def.Searchers {
			if s.searchers[w.ID] != nil {
				continue
			}
			n := newSearcher(s, w, uint64(2+len(s.all)))
			s.searchers[w.ID] = n
			s.all = append(s.all, n)
		}
	}
	s.layouts = append(s.layouts, shards)
}

// repartitioned returns the layout with its last shard removed and that shard's
// searchers added to the first one.
func repartitioned(l rrdefinition.Layout) rrdefinition.Layout {
	next := rrdefinition.Layout{Name: l.Name + "-next", Shards: append([]rrdefinition.Shard(nil), l.Shards...)}
	if len(next.Shards) > 1 {
		last := len(next.Shards) - 1
		next.Shards[0].Searchers = append(append([]rrdefinition.Searcher(nil),
			next.Shards[0].Searchers...), next.Shards[last].Searchers...)
		next.Shards = next.Shards[:last]
	}
	return next
}

// locations returns one location in each region, in the definition's order.
func (s *sim) locations() []location {
	var out []location
	seen := make(map[rrunit.Region]bool)
	for i := range s.shape.Definition.Services {
		for j := range s.shape.Definition.Services[i].Layouts[0].Shards {
			for _, w := range s.shape.Definition.Services[i].Layouts[0].Shards[j].Searchers {
				if !seen[w.Region] {
					seen[w.Region] = true
					out = append(out, location{zone: w.Zone, region: w.Region})
				}
			}
		}
	}
	return out
}

func (s *sim) addDaemons() {
	for _, p := range s.locations() {
		for i := range daemonsPerRegion {
			d := &daemon{
				location:    p,
				id:          rrunit.InstanceID(fmt.Sprintf("%s-%d", p.zone, i)),
				sim:         s,
				dispatchers: make(map[int]*dispatcher),
			}
			s.daemons = append(s.daemons, d)
			s.byID[d.id] = d
		}
	}
	for i, d := range s.daemons {
		d.entry = newEntry(d, uint64(i))
	}
}

// assignOwners sets the owners of all shards.
func (s *sim) assignOwners() {
	var members []rrownership.Member
	for _, d := range s.daemons {
		members = append(members, rrownership.Member{ID: d.id, Zone: d.zone, Region: d.region})
	}
	table := rrownership.NewTable(members)
	for _, sh := range s.shards {
		sh.owners = nil
		for _, id := range table.Owners(sh.key, sh.region) {
			sh.owners = append(sh.owners, s.byID[id])
		}
	}
}

// snapshots returns the snapshots that searchers hold: the run's one index version
// in each layout.
func (s *sim) snapshots(rrunit.SearcherID) []rrunit.Snapshot {
	var out []rrunit.Snapshot
	for i := range s.layouts {
		out = append(out, rrunit.Snapshot{Version: indexVersion, Layout: s.layouts[i][0].key.Layout})
	}
	return out
}

const indexVersion rrunit.IndexVersion = 1

func (s *sim) newCore(d *daemon, sh *shard) core {
	if s.opts.Strategy == StrategyChoices {
		return newTwoChoices(sh.searchers, rand.New(rand.NewPCG(s.opts.Seed, uint64(sh.index)<<32)))
	}
	def := s.shape.Definition
	cfg := rrdispatch.Config{
		Layout:             sh.key.Layout,
		QueueLimit:         def.Limits.Queue,
		ExtraShare:         def.Limits.ExtraShare,
		QuarantineDuration: def.Limits.QuarantineDuration,
		Seed:               s.opts.Seed<<32 + uint64(len(s.dispatchers)),
	}
	if s.opts.NoHedge {
		cfg.Tuning.NoHedge = true
	}
	for _, r := range def.Ranks {
		cfg.Ranks = append(cfg.Ranks, rrdispatch.Rank{Name: r.Name, Floor: r.Floor})
	}
	for _, w := range sh.searchers {
		cfg.Searchers = append(cfg.Searchers, rrdispatch.Searcher{ID: w.ID, Zone: w.Zone, Slots: w.Slots})
	}
	if s.opts.Strategy == StrategyShare {
		cfg.Searchers = s.slotShare(d, cfg.Searchers)
	}
	return rrdispatch.New(cfg)
}

// slotShare returns the daemon's fixed share of the slots: slots are assigned to
// the daemons in turn, and a daemon without any uses one all the same.
func (s *sim) slotShare(d *daemon, all []rrdispatch.Searcher) []rrdispatch.Searcher {
	at := 0
	for i := range s.daemons {
		if s.daemons[i] == d {
			at = i
		}
	}
	var out []rrdispatch.Searcher
	slot := 0
	for _, w := range all {
		mine := 0
		for range w.Slots {
			if slot%len(s.daemons) == at {
				mine++
			}
			slot++
		}
		if mine > 0 {
			w.Slots = mine
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		w := all[at%len(all)]
		w.Slots = 1
		out = append(out, w)
	}
	return out
}

// start schedules the periodic tasks, the faults and the load.
func (s *sim) start() {
	s.loop.Every(pollInterval, func() {
		for _, h := range s.dispatchers {
			h.daemon.deliver(h.poll)
		}
	})
	s.loop.Every(rrliveness.KeepaliveInterval, s.sendKeepalives)
	s.opts.Case.schedule(s)
	s.startLoad()
}
