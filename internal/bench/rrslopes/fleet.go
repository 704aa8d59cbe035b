package rrslopes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgossip"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

// Parameters of a run in virtual time.
const (
	zoneMessageDelay   = 500 * time.Microsecond
	regionMessageDelay = 20 * time.Millisecond
	callTimeout        = time.Second
	// callOverheadBytes is the cost of one call beyond its message in each direction:
	// HTTP/2 frames and headers, TCP and IP headers, acknowledgements.
	callOverheadBytes = 150
	// deltaBytes is the size of the delta of a patch that daemons copy.
	deltaBytes = 2 << 10
	// zonesPerFleet and regionsPerFleet are those of the required size.
	zonesPerFleet   = 11
	regionsPerFleet = 5
	restartDuration = 3 * time.Second
	// listDelay is how long the platform's list still has members that are gone.
	listDelay = 10 * time.Second
	// initialNumber has as many digits as the number after some years of operation.
	initialNumber = 1_000_000
)

// FleetConfig configures a run.
type FleetConfig struct {
	Members int
	// LossShare is the share of messages that are lost.
	LossShare rrunit.Share
	// RestartShare is the share of the members that restart just after the patch.
	RestartShare rrunit.Share
	Seed         uint64
	// Warmup is the time before the patch, Duration the measured time after it.
	Warmup, Duration time.Duration
	// LoseZone takes a whole zone down as the patch is stored; the platform's list
	// drops it after listDelay.
	LoseZone bool
	// RegionCut is how long one region can reach neither the others nor the platform,
	// starting when the patch is stored.
	RegionCut time.Duration
	// NoFetch turns off fetching copies from peers.
	NoFetch bool
}

// FleetResult holds the figures of a run.
type FleetResult struct {
	// Applied is the time from storing the patch until all daemons that remain had
	// applied it; negative if that did not happen.
	Applied time.Duration
	// Converged is the time until all of them had learned that all had applied it;
	// negative if that did not happen.
	Converged time.Duration
	// P99BytesPerSecond is the 99th percentile of the daemons' traffic, in and out.
	P99BytesPerSecond rrunit.Bytes
	// MeanBytesPerSecond is the mean of the daemons' traffic, in and out.
	MeanBytesPerSecond rrunit.Bytes
	// DigestsPerSecond is the mean number of digests that a daemon sent per second.
	DigestsPerSecond float64
	// Regressions counts how often a daemon's definition number decreased without a
	// restart.
	Regressions int
}

// fleet runs the cores of many daemons on one queue of events.
type fleet struct {
	cfg   FleetConfig
	rng   *rand.Rand
	codec *rrlink.Codec
	now   rrunit.Instant
	queue eventQueue
	nodes []*fleetNode
	byID  map[rrunit.InstanceID]*fleetNode
	list  *rrmember.List
	// storedNumber is the number of the stored definition.
	storedNumber rrunit.DefinitionNumber
	// cutUntil is when the first region can reach the others again.
	cutUntil    rrunit.Instant
	regressions int
	err         error
}

type fleetNode struct {
	peer        rrmember.Peer
	node        *rrgossip.Node
	incarnation int
	down        bool
	// removed is set if the daemon does not come back.
	removed     bool
	bytes       int64
	digestsSent int
}

// RunFleet runs the membership and gossip cores of a whole fleet in virtual time while
// one patch of the definition propagates.
func RunFleet(cfg FleetConfig) (FleetResult, error) {
	f, err := newFleet(cfg)
	if err != nil {
		return FleetResult{}, err
	}
	f.storedNumber = initialNumber
	f.runUntil(rrunit.Instant(cfg.Warmup))
	for _, n := range f.nodes {
		n.bytes, n.digestsSent = 0, 0
	}
	f.storedNumber++
	f.restartSome()
	if cfg.LoseZone {
		f.loseZone()
	}
	f.cutUntil = f.now.Add(cfg.RegionCut)
	result := FleetResult{Applied: -1, Converged: -1}
	start := f.now
	const step = 50 * time.Millisecond
	for f.now.Sub(start) < cfg.Duration && f.err == nil {
		f.runUntil(f.now.Add(step))
		result.update(f, f.now.Sub(start))
	}
	result.Regressions = f.regressions
	f.setRates(&result)
	return result, f.err
}

// update records when all have applied the patch, and when all have learned that.
func (r *FleetResult) update(f *fleet, since time.Duration) {
	if r.Applied < 0 && f.all(func(n *fleetNode) bool { return n.node.Number() == f.storedNumber }) {
		r.Applied = since
	}
	if r.Applied >= 0 && r.Converged < 0 &&
		f.all(func(n *fleetNode) bool { return n.node.Members().Status(f.now).Converged == f.storedNumber }) {
		r.Converged = since
	}
}

// all reports whether all remaining daemons are up and fulfil the condition.
func (f *fleet) all(ok func(*fleetNode) bool) bool {
	for _, n := range f.nodes {
		if !n.removed && (n.down || !ok(n)) {
			return false
		}
	}
	return true
}

func newFleet(cfg FleetConfig) (*fleet, error) {
	codec, err := rrlink.NewCodec()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		codec: codec,
		byID:  make(map[rrunit.InstanceID]*fleetNode, cfg.Members),
	}
	peers := Peers(cfg.Members)
	f.list = rrmember.NewList(1, peers)
	for _, p := range peers {
		n := &fleetNode{peer: p}
		f.nodes = append(f.nodes, n)
		f.byID[p.ID] = n
		f.start(n)
	}
	return f, nil
}

// Peers returns count peers, distributed over the zones and regions in turn.
func Peers(count int) []rrmember.Peer {
	peers := make([]rrmember.Peer, 0, count)
	for i := range count {
		zone := i % zonesPerFleet
		peers = append(peers, rrmember.Peer{
			ID:      rrunit.InstanceID(fmt.Sprintf("entry-%05d", i)),
			Zone:    rrunit.Zone(fmt.Sprintf("region%d-zone%d", zone%regionsPerFleet, zone)),
			Region:  rrunit.Region(fmt.Sprintf("region%d", zone%regionsPerFleet)),
			Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		})
	}
	return peers
}

// start starts or restarts the daemon with the list of members, but without a
// definition.
func (f *fleet) start(n *fleetNode) {
	n.incarnation++
	n.down = false
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), uint64(n.incarnation)))
	n.node = rrgossip.NewNode(rrmember.New(n.peer, rng))
	n.node.OfferList(f.now, f.list.Sum(), 0)
	n.node.SetList(f.now, f.list)
	f.after(time.Duration(f.rng.Int64N(int64(rrmember.HeartbeatInterval))), func() { f.tick(n, n.incarnation) })
}

// tick is the daemon's heartbeat. Daemons that read the platform do so here.
func (f *fleet) tick(n *fleetNode, incarnation int) {
	if n.down || n.incarnation != incarnation {
		return
	}
	f.perform(n, n.node.Tick(f.now))
	if n.node.ReadsPlatform() && !f.isCut(n) {
		n.node.OfferList(f.now, n.node.Members().List().Sum(), 0)
		f.apply(n, f.storedNumber)
	}
	f.after(rrmember.HeartbeatInterval, func() { f.tick(n, incarnation) })
}

func (f *fleet) apply(n *fleetNode, number rrunit.DefinitionNumber) {
	before := n.node.Number()
	actions := n.node.DefinitionApplied(f.now, number)
	if n.node.Number() < before {
		f.regressions++
	}
	f.perform(n, actions)
}

// isCut reports whether the daemon is in the region that is currently cut off.
func (f *fleet) isCut(n *fleetNode) bool {
	return f.now < f.cutUntil && n.peer.Region == f.nodes[0].peer.Region
}

// loseZone takes a whole zone down permanently.
func (f *fleet) loseZone() {
	var left []rrmember.Peer
	for _, n := range f.nodes {
		n.removed = n.peer.Zone == f.nodes[0].peer.Zone
		n.down = n.removed
		if !n.removed {
			left = append(left, n.peer)
		}
	}
	f.list = rrmember.NewList(2, left)
	for _, n := range f.nodes {
		f.after(listDelay+time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if n.node.OfferList(f.now, 2, 0) {
				f.perform(n, n.node.SetList(f.now, f.list))
			}
		})
	}
}

// restartSome restarts the configured share of the daemons; each is down for
// restartDuration.
func (f *fleet) restartSome() {
	count := int(float64(f.cfg.RestartShare) * float64(len(f.nodes)))
	for _, i := range f.rng.Perm(len(f.nodes))[:count] {
		n := f.nodes[i]
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			n.down = true
			f.after(restartDuration, func() { f.start(n) })
		})
	}
}

func (f *fleet) perform(n *fleetNode, actions []rrgossip.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case rrgossip.ActionExchange:
			f.exchange(n, a.Peer, &a.Digest)
		case rrgossip.ActionFetch:
			f.fetch(n, a.Peer, a.Document)
		}
	}
}

// isLost draws whether a message is lost.
func (f *fleet) isLost() bool { return f.rng.Float64() < float64(f.cfg.LossShare) }

func (f *fleet) exchange(n *fleetNode, to rrmember.Peer, d *rrpeer.Digest) {
	incarnation, other := n.incarnation, f.byID[to.ID]
	n.digestsSent++
	f.call(n, other, d, func() any {
		reply, actions, _ := other.node.Receive(f.now, d)
		other.digestsSent++
		f.perform(other, actions)
		return &reply
	}, func(reply any) {
		if n.down || n.incarnation != incarnation {
			return
		}
		answer, ok := reply.(*rrpeer.Digest)
		if !ok {
			n.node.ExchangeFailed(f.now, to.ID)
			return
		}
		actions, _ := n.node.ReceiveReply(f.now, answer)
		f.perform(n, actions)
	})
}

func (f *fleet) fetch(n *fleetNode, to rrmember.Peer, what rrpeer.Document) {
	if f.cfg.NoFetch {
		return
	}
	incarnation, other := n.incarnation, f.byID[to.ID]
	f.call(n, other, &rrpeer.FetchRequest{Document: what, Base: 1 << 60}, func() any {
		return &rrpeer.DocumentCopy{
			Document: what, Sum: 1 << 60, Number: other.node.Number(), IsDelta: true, Value: make([]byte, deltaBytes),
		}
	}, func(reply any) {
		if n.down || n.incarnation != incarnation {
			return
		}
		n.node.FetchEnded(what)
		if c, ok := reply.(*rrpeer.DocumentCopy); ok {
			f.apply(n, c.Number)
		}
	})
}

// call sends a message to another daemon and returns its reply to done, which gets nil
// after the timeout if either is lost.
func (f *fleet) call(from, to *fleetNode, message any, serve func() any, done func(any)) {
	delay := zoneMessageDelay
	if from.peer.Region != to.peer.Region {
		delay = regionMessageDelay
	}
	f.countBytes(from, message)
	fail := func() { f.after(callTimeout, func() { done(nil) }) }
	if f.isLost() || f.isCut(from) != f.isCut(to) {
		fail()
		return
	}
	f.after(delay, func() {
		if to.down {
			fail()
			return
		}
		f.countBytes(to, message)
		reply := serve()
		f.countBytes(to, reply)
		if f.isLost() || f.isCut(from) != f.isCut(to) {
			fail()
			return
		}
		f.after(delay, func() {
			f.countBytes(from, reply)
			done(reply)
		})
	})
}

// countBytes adds the size of a message, encoded by the real codec, to a daemon's
// traffic.
func (f *fleet) countBytes(n *fleetNode, message any) {
	b, err := f.codec.Marshal(message)
	if err != nil {
		f.err = eris.Wrap(err, "encoding a message")
	}
	n.bytes += int64(len(b)) + callOverheadBytes
}

func (f *fleet) setRates(r *FleetResult) {
	seconds := f.cfg.Duration.Seconds()
	rates := make([]float64, 0, len(f.nodes))
	sum, sent := 0.0, 0
	for _, n := range f.nodes {
		rate := float64(n.bytes) / seconds
		rates = append(rates, rate)
		sum += rate
		sent += n.digestsSent
	}
	slices.Sort(rates)
	r.P99BytesPerSecond = rrunit.Bytes(rates[len(rates)*99/100])
	r.MeanBytesPerSecond = rrunit.Bytes(sum / float64(len(rates)))
	r.DigestsPerSecond = float64(sent) / seconds / float64(len(f.nodes))
}
