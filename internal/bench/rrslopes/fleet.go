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

// The network of a run in virtual time.
const (
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 20 * time.Millisecond
	callTimeout = time.Second
	// callBytes is what one call costs beside its message in each direction:
	// HTTP/2 frames and headers, TCP and IP headers, acknowledgements.
	callBytes = 150
	// patchBytes is the size of a patch's difference that daemons copy.
	patchBytes = 2 << 10
	// zonesPerFleet and regionsPerFleet are the letter's.
	zonesPerFleet   = 11
	regionsPerFleet = 5
	downTime        = 3 * time.Second
	// listLag is how long the platform's list shows what has gone.
	listLag = 10 * time.Second
	// firstNumber is of the length that the number has after some years.
	firstNumber = 1_000_000
)

// FleetConfig says what to run.
type FleetConfig struct {
	Members int
	// Loss is the share of messages that are lost.
	Loss rrunit.Share
	// Restart is the share of the members that restart while the patch spreads.
	Restart rrunit.Share
	Seed    uint64
	// Warm is the time before the patch, Spread the time watched after it.
	Warm, Spread time.Duration
	// LoseZone has a whole zone die as the patch is stored; the platform's list
	// forgets it after listLag.
	LoseZone bool
	// Cut is how long one region reaches neither the others nor the platform,
	// from the moment that the patch is stored.
	Cut time.Duration
	// NoFetch leaves daemons without the copies from peers.
	NoFetch bool
}

// FleetResult is what a run in virtual time showed.
type FleetResult struct {
	// Applied is when the last daemon that was up used the patch, from the
	// moment that the store took it; negative if one never did.
	Applied time.Duration
	// Known is when the last daemon that was up knew that it is in force.
	Known time.Duration
	// Rate is the 99th percentile of the daemons' bytes a second, in and out.
	Rate rrunit.Bytes
	// Mean is the mean of the same.
	Mean rrunit.Bytes
	// Digests is how many digests a daemon sent a second.
	Digests float64
	// WentBack counts the times that a daemon's number fell within one life.
	WentBack int
}

// fleet runs the cores of many daemons from one queue of events.
type fleet struct {
	cfg   FleetConfig
	rng   *rand.Rand
	codec *rrlink.Codec
	now   rrunit.Instant
	queue eventQueue
	nodes []*fleetNode
	byID  map[rrunit.InstanceID]*fleetNode
	list  *rrmember.List
	// stored is the number that the store holds.
	stored rrunit.DefinitionNumber
	// cutUntil is when the first region reaches the others again.
	cutUntil rrunit.Instant
	wentBack int
	err      error
}

type fleetNode struct {
	peer rrmember.Peer
	node *rrgossip.Node
	life int
	down bool
	// gone says that it does not come back.
	gone  bool
	bytes int64
	sent  int
}

// RunFleet drives the membership and spread cores of a whole fleet in virtual
// time while one patch of the definition spreads.
func RunFleet(cfg FleetConfig) (FleetResult, error) {
	f, err := newFleet(cfg)
	if err != nil {
		return FleetResult{}, err
	}
	f.stored = firstNumber
	f.runUntil(rrunit.Instant(cfg.Warm))
	for _, n := range f.nodes {
		n.bytes, n.sent = 0, 0
	}
	f.stored++
	f.restartSome()
	if cfg.LoseZone {
		f.loseZone()
	}
	f.cutUntil = f.now.Add(cfg.Cut)
	result := FleetResult{Applied: -1, Known: -1}
	start := f.now
	const step = 50 * time.Millisecond
	for f.now.Sub(start) < cfg.Spread && f.err == nil {
		f.runUntil(f.now.Add(step))
		result.observe(f, f.now.Sub(start))
	}
	result.WentBack = f.wentBack
	f.rates(&result)
	return result, f.err
}

// observe notes when the patch is applied, and known to be in force, by all.
func (r *FleetResult) observe(f *fleet, since time.Duration) {
	if r.Applied < 0 && f.all(func(n *fleetNode) bool { return n.node.Number() == f.stored }) {
		r.Applied = since
	}
	if r.Applied >= 0 && r.Known < 0 &&
		f.all(func(n *fleetNode) bool { return n.node.Members().Status(f.now).Converged == f.stored }) {
		r.Known = since
	}
}

// all reports whether the condition holds for every daemon, and all are up.
func (f *fleet) all(ok func(*fleetNode) bool) bool {
	for _, n := range f.nodes {
		if !n.gone && (n.down || !ok(n)) {
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

// Peers returns that many peers, spread over the letter's zones and regions.
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

// start begins a life of the daemon, which reads the list and the definition.
func (f *fleet) start(n *fleetNode) {
	n.life++
	n.down = false
	rng := rand.New(rand.NewPCG(f.rng.Uint64(), uint64(n.life)))
	n.node = rrgossip.NewNode(rrmember.New(n.peer, rng))
	n.node.OfferList(f.now, f.list.Sum(), 0)
	n.node.SetList(f.now, f.list)
	f.at(time.Duration(f.rng.Int64N(int64(rrmember.HeartbeatInterval))), func() { f.tick(n, n.life) })
}

// tick is the daemon's heartbeat. Watchers read the platform.
func (f *fleet) tick(n *fleetNode, life int) {
	if n.down || n.life != life {
		return
	}
	f.perform(n, n.node.Tick(f.now))
	if n.node.ReadsPlatform() && !f.isCut(n) {
		n.node.OfferList(f.now, n.node.Members().List().Sum(), 0)
		f.apply(n, f.stored)
	}
	f.at(rrmember.HeartbeatInterval, func() { f.tick(n, life) })
}

func (f *fleet) apply(n *fleetNode, number rrunit.DefinitionNumber) {
	before := n.node.Number()
	actions := n.node.DefinitionApplied(f.now, number)
	if n.node.Number() < before {
		f.wentBack++
	}
	f.perform(n, actions)
}

// isCut reports whether the daemon is in the region that is cut off now.
func (f *fleet) isCut(n *fleetNode) bool {
	return f.now < f.cutUntil && n.peer.Region == f.nodes[0].peer.Region
}

// loseZone takes a whole zone down for good.
func (f *fleet) loseZone() {
	var left []rrmember.Peer
	for _, n := range f.nodes {
		n.gone = n.peer.Zone == f.nodes[0].peer.Zone
		n.down = n.gone
		if !n.gone {
			left = append(left, n.peer)
		}
	}
	f.list = rrmember.NewList(2, left)
	for _, n := range f.nodes {
		f.at(listLag+time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			if n.node.OfferList(f.now, 2, 0) {
				f.perform(n, n.node.SetList(f.now, f.list))
			}
		})
	}
}

// restartSome takes the share of daemons down, for a while each.
func (f *fleet) restartSome() {
	count := int(float64(f.cfg.Restart) * float64(len(f.nodes)))
	for _, i := range f.rng.Perm(len(f.nodes))[:count] {
		n := f.nodes[i]
		f.at(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			n.down = true
			f.at(downTime, func() { f.start(n) })
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

// lost draws whether a message is lost.
func (f *fleet) lost() bool { return f.rng.Float64() < float64(f.cfg.Loss) }

func (f *fleet) exchange(n *fleetNode, to rrmember.Peer, d *rrpeer.Digest) {
	life, other := n.life, f.byID[to.ID]
	n.sent++
	f.call(n, other, d, func() any {
		reply, actions, _ := other.node.Receive(f.now, d)
		other.sent++
		f.perform(other, actions)
		return &reply
	}, func(reply any) {
		if n.down || n.life != life {
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
	life, other := n.life, f.byID[to.ID]
	f.call(n, other, &rrpeer.FetchRequest{Document: what, Base: 1 << 60}, func() any {
		return &rrpeer.DocumentCopy{
			Document: what, Sum: 1 << 60, Number: other.node.Number(), IsDelta: true, Value: make([]byte, patchBytes),
		}
	}, func(reply any) {
		if n.down || n.life != life {
			return
		}
		n.node.FetchEnded(what)
		if c, ok := reply.(*rrpeer.DocumentCopy); ok {
			f.apply(n, c.Number)
		}
	})
}

// call carries a message to another daemon and its reply back; done gets nil
// after the time limit if one of them is lost.
func (f *fleet) call(from, to *fleetNode, message any, serve func() any, done func(any)) {
	delay := zoneDelay
	if from.peer.Region != to.peer.Region {
		delay = regionDelay
	}
	f.count(from, message)
	fail := func() { f.at(callTimeout, func() { done(nil) }) }
	if f.lost() || f.isCut(from) != f.isCut(to) {
		fail()
		return
	}
	f.at(delay, func() {
		if to.down {
			fail()
			return
		}
		f.count(to, message)
		reply := serve()
		f.count(to, reply)
		if f.lost() || f.isCut(from) != f.isCut(to) {
			fail()
			return
		}
		f.at(delay, func() {
			f.count(from, reply)
			done(reply)
		})
	})
}

// count adds a message, as the real codec writes it, to a daemon's bytes.
func (f *fleet) count(n *fleetNode, message any) {
	b, err := f.codec.Marshal(message)
	if err != nil {
		f.err = eris.Wrap(err, "encoding a message")
	}
	n.bytes += int64(len(b)) + callBytes
}

func (f *fleet) rates(r *FleetResult) {
	seconds := f.cfg.Spread.Seconds()
	rates := make([]float64, 0, len(f.nodes))
	sum, sent := 0.0, 0
	for _, n := range f.nodes {
		rate := float64(n.bytes) / seconds
		rates = append(rates, rate)
		sum += rate
		sent += n.sent
	}
	slices.Sort(rates)
	r.Rate = rrunit.Bytes(rates[len(rates)*99/100])
	r.Mean = rrunit.Bytes(sum / float64(len(rates)))
	r.Digests = float64(sent) / seconds / float64(len(f.nodes))
}
