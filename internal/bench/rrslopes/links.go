package rrslopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// echoControl replies to each digest with the digest itself.
type echoControl struct{}

// Exchange implements rrpeers.ControlClient.
func (echoControl) Exchange(_ context.Context, d *rrpeer.Digest) (*rrpeer.Digest, error) {
	return d, nil
}

// Fetch implements rrpeers.ControlClient.
func (echoControl) Fetch(_ context.Context, a *rrpeer.FetchRequest) (*rrpeer.DocumentCopy, error) {
	return &rrpeer.DocumentCopy{Document: a.Document}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, eris.Wrap(err, "reading the processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// idleWorker ignores tasks and replies to each probe with an empty report.
type idleWorker struct{ report func(rrpeer.ShardReport) }

// Work implements rrpeers.Worker.
func (idleWorker) Work(*rrpeer.Task, rrpeers.ResultFunc) rrpeers.CancelFunc { return func() {} }

// Probe implements rrpeers.Worker.
func (q idleWorker) Probe(keys []rrunit.ShardKey) {
	for _, key := range keys {
		q.report(rrpeer.ShardReport{Shard: key})
	}
}

// serveEcho serves control calls and idle task streams on loopback.
func serveEcho(codec *rrlink.Codec) (*grpc.Server, string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", eris.Wrap(err, "listening on loopback")
	}
	srv := grpc.NewServer(rrlink.ServerOptions(codec)...)
	rrlink.RegisterControl(srv, echoControl{})
	rrlink.NewServer(func(report func(rrpeer.ShardReport)) rrpeers.Worker { return idleWorker{report} }).Register(srv)
	go func() { _ = srv.Serve(l) }()
	return srv, l.Addr().String(), nil
}

// linkSlopes measures control calls and connections over loopback.
func linkSlopes() ([]Slope, error) {
	codec, err := rrlink.NewCodec()
	if err != nil {
		return nil, err
	}
	call := Slope{Name: "processor time of one exchange over loopback, both ends", Unit: "us", Per: "member", Target: targetMembers}
	for _, members := range []int{9, 100, 500, 1000, targetMembers} {
		each, err := exchangeTime(codec, members)
		if err != nil {
			return nil, err
		}
		call.Points = append(call.Points, Point{float64(members), each})
	}
	memory := Slope{Name: "memory of open control connections, both ends", Unit: "B", Per: "connection", Target: 24}
	for _, n := range []int{5, 10, 20, 40} {
		bytes, err := linkMemory(func() (func(), error) { return connect(codec, n) })
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(n), bytes})
	}
	streams := Slope{Name: "memory of open streams for work, both ends", Unit: "B", Per: "connection", Target: targetMembers}
	for _, n := range []int{5, 10, 20, 40} {
		bytes, err := linkMemory(func() (func(), error) { return openStreams(codec, n) })
		if err != nil {
			return nil, err
		}
		streams.Points = append(streams.Points, Point{float64(n), bytes})
	}
	list := Slope{Name: "platform's list as JSON, with 4.8 searchers a member", Unit: "B", Per: "member", Target: targetMembers}
	for _, members := range []int{9, 100, 1000, targetMembers} {
		b, err := json.Marshal(platformList(members))
		if err != nil {
			return nil, eris.Wrap(err, "encoding the list")
		}
		list.Points = append(list.Points, Point{float64(members), float64(len(b))})
	}
	return []Slope{call, memory, streams, list}, nil
}

// linkMemory returns the memory of the connections that open makes, heap and stacks,
// and closes them.
func linkMemory(open func() (func(), error)) (float64, error) {
	var stacks runtime.MemStats
	runtime.ReadMemStats(&stacks)
	before := float64(stacks.StackInuse)
	var closeAll func()
	bytes, err := heapOf(func() (func(), error) {
		var err error
		closeAll, err = open()
		return closeAll, err
	})
	runtime.ReadMemStats(&stacks)
	if closeAll != nil {
		closeAll()
	}
	return bytes + float64(stacks.StackInuse) - before, err
}

func exchangeTime(codec *rrlink.Codec, members int) (float64, error) {
	srv, address, err := serveEcho(codec)
	if err != nil {
		return 0, err
	}
	defer srv.Stop()
	controls := rrlink.NewControlClients(codec)
	defer controls.Close()
	c, err := controls.Control(address)
	if err != nil {
		return 0, err
	}
	d := &rrpeer.Digest{From: "entry-00001", Zone: "zone", Round: rrpeer.RolloutRound{Bits: make([]byte, (members+7)/8)}}
	const calls = 2000
	var before time.Duration
	for i := range 2 * calls {
		if i == calls {
			if before, err = processorTime(); err != nil {
				return 0, err
			}
		}
		if _, err := c.Exchange(context.Background(), d); err != nil {
			return 0, err
		}
	}
	after, err := processorTime()
	return float64((after - before).Microseconds()) / calls, err
}

// connect opens control connections, each to a server of its own, and returns a
// function that closes them.
func connect(codec *rrlink.Codec, n int) (func(), error) {
	controls := rrlink.NewControlClients(codec)
	stops := []func(){controls.Close}
	closeAll := func() {
		for _, stop := range stops {
			stop()
		}
	}
	for range n {
		srv, address, err := serveEcho(codec)
		if err != nil {
			return closeAll, err
		}
		stops = append(stops, srv.Stop)
		c, err := controls.Control(address)
		if err != nil {
			return closeAll, err
		}
		if err := exchangeOnce(c); err != nil {
			return closeAll, err
		}
	}
	return closeAll, nil
}

func exchangeOnce(c rrpeers.ControlClient) error {
	_, err := c.Exchange(context.Background(), &rrpeer.Digest{From: "a", Zone: "z"})
	return err
}

// platformList returns a list with the required ratio of searchers to members.
func platformList(members int) *rrstore.List {
	var l rrstore.List
	for _, p := range Peers(members) {
		l.Instances = append(l.Instances, rrstore.Instance{
			ID: p.ID, Peer: p.Address, Zone: p.Zone, Region: p.Region, State: rrstore.InstanceLive,
		})
	}
	for i := range members * targetSearchers / targetMembers {
		id := rrunit.SearcherID(fmt.Sprintf("i-%016x", i))
		l.Upstreams = append(l.Upstreams, rrstore.Upstream{ID: id, State: rrstore.InstanceLive})
	}
	return &l
}

// openStreams opens task streams, each to a server of its own, and returns a function
// that closes them.
func openStreams(codec *rrlink.Codec, n int) (func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	stops := []func(){cancel}
	closeAll := func() {
		for _, stop := range stops {
			stop()
		}
	}
	opened := make(chan struct{}, n)
	for range n {
		srv, address, err := serveEcho(codec)
		if err != nil {
			return closeAll, err
		}
		stops = append(stops, srv.Stop)
		client, err := rrlink.Dial(ctx, address, codec, func(rrpeer.ShardReport) { opened <- struct{}{} })
		if err != nil {
			return closeAll, err
		}
		stops = append(stops, func() { _ = client.Close() })
		client.Probe([]rrunit.ShardKey{{Service: "a", Layout: "b", Shard: "c"}})
		<-opened
	}
	return closeAll, nil
}
