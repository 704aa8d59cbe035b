// Package rrbench measures the decision cores under load and faults. One event
// loop in virtual time drives the real cores of several entries and owners against
// simulated searchers; runs with the same options give the same figures. Neither
// the platform nor the processor time of the daemons is modelled.
package rrbench

import (
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Strategy names a strategy of dispatching subqueries to searchers, one column of the
// table.
type Strategy string

// The strategies, in the order of the table.
const (
	// StrategyChoices has every entry send to the less busy of two random searchers.
	StrategyChoices Strategy = "choices"
	// StrategyShare gives every entry a fixed share of the slots.
	StrategyShare Strategy = "share"
	// StrategyOwners dispatches through the owners of the shards.
	StrategyOwners Strategy = "owners"
	// StrategyAdmission is StrategyOwners with admission control of whole queries.
	StrategyAdmission Strategy = "admission"
)

// Strategies returns all strategies in the order of the table.
func Strategies() []Strategy {
	return []Strategy{StrategyChoices, StrategyShare, StrategyOwners, StrategyAdmission}
}

// Shape is the deployment that a run simulates: one service of a definition, since
// services share no searchers.
type Shape struct {
	Name       string
	Definition *rrdefinition.Definition
	Service    *rrdefinition.Service
	// regionRoundTrip is the round trip between two regions.
	regionRoundTrip time.Duration
	// clientRoundTrip is the round trip between a caller and an entry.
	clientRoundTrip time.Duration
	// connectTime is the time to open a connection.
	connectTime time.Duration
	// meanServiceTime is the mean service time of a subquery, stragglers left out.
	meanServiceTime time.Duration
}

// meanServiceTime is the mean time for which a subquery occupies a slot.
const meanServiceTime = 10 * time.Millisecond

// deployment holds what the definition of a user doesn't contain.
type deployment struct {
	load            func() (*rrdefinition.Definition, error)
	service         rrunit.ServiceName
	regionRoundTrip time.Duration
	clientRoundTrip time.Duration
}

func deployments() map[string]deployment {
	return map[string]deployment{
		"selkamerkki": {rrexample.Selkamerkki, "luettelo", 20 * time.Millisecond, time.Millisecond},
		"lakeside":    {rrexample.Lakeside, "counter-app", 8 * time.Millisecond, 3 * time.Millisecond},
	}
}

// NewShape returns the shape with the name of a user, which selects the user's main
// service, or with the name of a service.
func NewShape(name string) (*Shape, error) {
	for owner, u := range deployments() {
		def, err := u.load()
		if err != nil {
			return nil, eris.Wrapf(err, "loading the shape %s", owner)
		}
		service := def.Service(rrunit.ServiceName(name))
		if owner == name {
			service = def.Service(u.service)
		}
		if service != nil {
			return newShape(name, u, def, service), nil
		}
	}
	return nil, rrunit.Invalid("shape", "%q is neither a user nor a service", name)
}

// Times to open a connection. In both users' descriptions, services of many shards
// have slow connections and those of one shard fast ones.
const (
	slowConnectTime = 6 * time.Millisecond
	fastConnectTime = time.Millisecond
)

func newShape(name string, u deployment, def *rrdefinition.Definition, service *rrdefinition.Service) *Shape {
	s := &Shape{
		Name:            name,
		Definition:      def,
		Service:         service,
		regionRoundTrip: u.regionRoundTrip,
		clientRoundTrip: u.clientRoundTrip,
		connectTime:     slowConnectTime,
		meanServiceTime: meanServiceTime,
	}
	if service.IsSingleShard() {
		s.connectTime = fastConnectTime
	}
	return s
}

// CapacityPerSecond returns how many queries over all shards the searchers of the service
// can run per second, given the mean service time of a subquery.
func (s *Shape) CapacityPerSecond(mean time.Duration) float64 {
	minSlots := 0
	for i := range s.Service.Layouts[0].Shards {
		slots := 0
		for _, w := range s.Service.Layouts[0].Shards[i].Searchers {
			slots += w.Slots
		}
		if minSlots == 0 || slots < minSlots {
			minSlots = slots
		}
	}
	return float64(minSlots) / mean.Seconds()
}

// Options configure one run.
type Options struct {
	Case     Case
	Strategy Strategy
	Shape    *Shape
	Seed     uint64
	// ReportDelay is added to the delivery time of every report from an owner to an entry.
	ReportDelay time.Duration
	// NoHedge turns hedged attempts off.
	NoHedge bool
	// WaitShare overrides the share of the deadline for which admission lets work wait.
	WaitShare rrunit.Share
}

// Run simulates one run.
func Run(opts Options) *Result {
	s := newSim(opts)
	s.start()
	s.loop.RunUntil(rrunit.Instant(opts.Case.End))
	return s.result()
}
