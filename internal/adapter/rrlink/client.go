package rrlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Times of the connection to a peer.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	connectTimeout   = time.Second
	minConnectDelay  = 20 * time.Millisecond
	maxConnectDelay  = 200 * time.Millisecond
	openTimeout      = time.Second
)

// Client sends tasks to one peer over one stream. It is safe for concurrent
// use.
type Client struct {
	ctx    context.Context
	conn   *grpc.ClientConn
	clock  rrunit.Clock
	report func(rrpeer.ShardReport)

	// mu guards everything below. The locks of streams are taken after it.
	mu sync.Mutex
	// stream is nil while there is none.
	stream *clientStream
	// judge judges whether the peer is silent; timer runs when it is due.
	judge rrliveness.Monitor
	timer *time.Timer
}

// clientStream is one stream and the tasks under way on it.
type clientStream struct {
	out  *outbox
	stop context.CancelFunc
	// leaving says that the peer wants no new tasks.
	leaving atomic.Bool

	// mu guards closed and open.
	mu     sync.Mutex
	closed bool
	open   map[rrpeer.TaskID]*pending
}

// pending is a task that has shards without result.
type pending struct {
	shards map[rrunit.ShardName]bool
	result rrpeers.ResultFunc
}

// DialOption changes how a Client is built.
type DialOption func(*Client)

// WithClock sets the clock by which the peer's silence is judged.
func WithClock(clock rrunit.Clock) DialOption { return func(c *Client) { c.clock = clock } }

// Dial returns a client of the peer at the address, connected on first use.
// Reports of the peer go to report. It ends with ctx.
func Dial(ctx context.Context, address string, codec *Codec, report func(rrpeer.ShardReport), opts ...DialOption) (*Client, error) {
	bc := backoff.DefaultConfig
	bc.BaseDelay = minConnectDelay
	bc.MaxDelay = maxConnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec), grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bc, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, eris.Wrapf(err, "dialing peer %s", address)
	}
	c := &Client{ctx: ctx, conn: conn, clock: rrunit.SystemClock(), report: report}
	for _, opt := range opts {
		opt(c)
	}
	c.timer = time.AfterFunc(time.Hour, c.check)
	return c, nil
}

// Close closes the connection. Tasks under way get a result for each shard.
func (c *Client) Close() error {
	c.timer.Stop()
	return c.conn.Close()
}

// Ready reports whether the peer should be sent new work.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.judge.Silent() {
		return false
	}
	return c.stream == nil || !c.stream.leaving.Load()
}

// Work implements rrpeers.Worker. A silent peer is sent nothing; the shards get
// their results at once, so that stand-bys are asked.
func (c *Client) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	p := &pending{shards: make(map[rrunit.ShardName]bool, len(task.Shards)), result: result}
	for _, name := range task.Shards {
		p.shards[name] = true
	}
	s := c.open()
	if s == nil {
		p.fail(task.ID, rrpeer.RunNever)
		return func() {}
	}
	if !s.add(task.ID, p) {
		c.closed()
		p.fail(task.ID, rrpeer.RunNever)
		return func() {}
	}
	if !s.out.put(len(task.Body), func(f *rrpeer.Frame) { f.Tasks = append(f.Tasks, *task) }) {
		c.drop(s, task.ID, rrpeer.RunNever)
		return func() {}
	}
	if c.silent() {
		c.drop(s, task.ID, rrpeer.RunMaybe)
	}
	return func() {
		if s.remove(task.ID) != nil {
			c.closed()
			s.out.put(0, func(f *rrpeer.Frame) { f.Cancels = append(f.Cancels, task.ID) })
		}
	}
}

// silent reports whether the peer was judged silent, maybe while a task was
// being added.
func (c *Client) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.Silent()
}

// drop fails a task that is still under way.
func (c *Client) drop(s *clientStream, id rrpeer.TaskID, run rrpeer.RunState) {
	p := s.remove(id)
	if p == nil {
		return
	}
	c.closed()
	p.fail(id, run)
}

// Probe implements rrpeers.Worker.
func (c *Client) Probe(keys []rrunit.ShardKey) {
	c.mu.Lock()
	s := c.current()
	c.mu.Unlock()
	s.out.put(0, func(f *rrpeer.Frame) { f.Probes = append(f.Probes, keys...) })
}

// open returns the stream for one more task, or nil if the peer is silent.
func (c *Client) open() *clientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.judge.Silent() {
		return nil
	}
	s := c.current()
	c.judge.WorkStarted(c.clock())
	c.schedule()
	return s
}

// closed takes that a task has ended.
func (c *Client) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judge.WorkEnded()
	c.schedule()
}

// heard takes that the peer said something.
func (c *Client) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judge.Received(c.clock())
	c.schedule()
}

// schedule sets the timer for the next check. The caller holds mu.
func (c *Client) schedule() {
	next, ok := c.judge.NextCheck()
	if !ok || c.ctx.Err() != nil {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(0, next.Sub(c.clock())))
}

// check fails the tasks of a peer that has gone silent, and tries a silent peer
// again from time to time.
func (c *Client) check() {
	c.mu.Lock()
	verdict := c.judge.Check(c.clock())
	s := c.stream
	if verdict == rrliveness.ActionPing {
		s = c.current()
	}
	c.schedule()
	c.mu.Unlock()
	switch verdict {
	case rrliveness.ActionPing:
		s.out.put(0, func(*rrpeer.Frame) {})
	case rrliveness.ActionReassign:
		for id, p := range s.removeAll() {
			s.out.put(0, func(f *rrpeer.Frame) { f.Cancels = append(f.Cancels, id) })
			p.fail(id, rrpeer.RunMaybe)
		}
	}
}

// current returns the open stream, opening one if need be. The caller holds mu.
func (c *Client) current() *clientStream {
	if c.stream != nil && !c.stream.isClosed() {
		return c.stream
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &clientStream{out: newOutbox(), stop: cancel, open: make(map[rrpeer.TaskID]*pending)}
	c.stream = s
	go c.run(ctx, s)
	return s
}

// run opens the stream and serves it until it breaks.
func (c *Client) run(ctx context.Context, s *clientStream) {
	defer c.end(s)
	opening := time.AfterFunc(openTimeout, s.stop)
	desc := &grpc.StreamDesc{StreamName: "Work", ServerStreams: true, ClientStreams: true}
	st, err := c.conn.NewStream(ctx, desc, workMethod)
	opening.Stop()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		defer s.stop()
		s.out.drain(ctx, func(f *rrpeer.Frame) error {
			f.SentAt = c.clock()
			return st.SendMsg(f)
		})
	})
	c.receive(st, s)
	s.stop()
	wg.Wait()
}

func (c *Client) receive(st grpc.ClientStream, s *clientStream) {
	for {
		var f rrpeer.Frame
		if err := st.RecvMsg(&f); err != nil {
			return
		}
		c.heard()
		if f.Leaving {
			s.leaving.Store(true)
		}
		for i := range f.Reports {
			c.report(f.Reports[i])
		}
		for i := range f.Results {
			if s.deliver(f.Results[i]) {
				c.closed()
			}
		}
	}
}

func (s *clientStream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *clientStream) add(id rrpeer.TaskID, p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[id] = p
	return true
}

func (s *clientStream) remove(id rrpeer.TaskID) *pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.open[id]
	delete(s.open, id)
	return p
}

func (s *clientStream) removeAll() map[rrpeer.TaskID]*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.open
	s.open = make(map[rrpeer.TaskID]*pending)
	return open
}

// deliver passes a result on, unless its task was given up or the shard has
// its result already. It reports whether the task has ended by it.
func (s *clientStream) deliver(r rrpeer.Result) bool {
	s.mu.Lock()
	p := s.open[r.ID]
	if p == nil || !p.shards[r.Shard] {
		s.mu.Unlock()
		return false
	}
	delete(p.shards, r.Shard)
	ended := len(p.shards) == 0
	if ended {
		delete(s.open, r.ID)
	}
	s.mu.Unlock()
	p.result(r)
	return ended
}

// end closes the stream and fails its tasks, which may have run.
func (c *Client) end(s *clientStream) {
	s.stop()
	s.mu.Lock()
	s.closed = true
	open := s.open
	s.open = nil
	s.mu.Unlock()
	for id, p := range open {
		c.closed()
		p.fail(id, rrpeer.RunMaybe)
	}
}

// fail gives every shard without result the word that the peer was lost.
func (p *pending) fail(id rrpeer.TaskID, run rrpeer.RunState) {
	for name := range p.shards {
		p.result(rrpeer.Result{ID: id, Shard: name, Run: run, Reason: rrquery.ReasonPeer})
	}
}
