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

// Timeouts and delays of the connection to a peer.
const (
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	connectTimeout    = time.Second
	minConnectDelay   = 20 * time.Millisecond
	maxConnectDelay   = 200 * time.Millisecond
	streamOpenTimeout = time.Second
)

// Client sends tasks to one peer over a single gRPC stream. It is safe for
// concurrent use.
type Client struct {
	ctx    context.Context
	conn   *grpc.ClientConn
	clock  rrunit.Clock
	report func(rrpeer.ShardReport)

	// mu guards the fields below. It is locked before the mutex of a stream.
	mu sync.Mutex
	// stream is nil before the first use.
	stream *clientStream
	// monitor detects a silent peer; timer fires when its next check is due.
	monitor rrliveness.Monitor
	timer   *time.Timer
}

// clientStream is one stream with its unfinished tasks.
type clientStream struct {
	out    *sendQueue
	cancel context.CancelFunc
	// leaving is set once the peer has announced that it is leaving and wants no
	// new tasks.
	leaving atomic.Bool

	// mu guards closed and tasks.
	mu     sync.Mutex
	closed bool
	tasks  map[rrpeer.TaskID]*pendingTask
}

// pendingTask is a task with at least one shard that has no result yet.
type pendingTask struct {
	// shards are those without a result.
	shards   map[rrunit.ShardName]bool
	onResult rrpeers.ResultFunc
}

// DialOption changes how a Client is built.
type DialOption func(*Client)

// WithClock sets the clock used to detect a silent peer.
func WithClock(clock rrunit.Clock) DialOption { return func(c *Client) { c.clock = clock } }

// Dial returns a client of the peer at the address, connected on first use.
// Reports from the peer are passed to report. The client stops when ctx ends.
func Dial(ctx context.Context, address string, codec *Codec, report func(rrpeer.ShardReport), opts ...DialOption) (*Client, error) {
	bc := backoff.DefaultConfig
	bc.BaseDelay = minConnectDelay
	bc.MaxDelay = maxConnectDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec), grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: bc, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
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
	c.timer = time.AfterFunc(time.Hour, c.checkLiveness)
	return c, nil
}

// Close closes the connection. Each shard without a result gets a failure result.
func (c *Client) Close() error {
	c.timer.Stop()
	return c.conn.Close()
}

// Ready reports whether new tasks should be sent to the peer: it is not silent and
// not leaving.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.monitor.Silent() {
		return false
	}
	return c.stream == nil || !c.stream.leaving.Load()
}

// Work implements rrpeers.Worker. If the peer is silent, nothing is sent and all
// shards fail at once, so that the caller can try stand-by owners.
func (c *Client) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	p := &pendingTask{shards: make(map[rrunit.ShardName]bool, len(task.Shards)), onResult: result}
	for _, name := range task.Shards {
		p.shards[name] = true
	}
	s := c.streamForTask()
	if s == nil {
		p.fail(task.ID, rrpeer.RunNever)
		return func() {}
	}
	if !s.add(task.ID, p) {
		c.recordTaskEnd()
		p.fail(task.ID, rrpeer.RunNever)
		return func() {}
	}
	if !s.out.put(len(task.Body), func(f *rrpeer.Frame) { f.Tasks = append(f.Tasks, *task) }) {
		c.failTask(s, task.ID, rrpeer.RunNever)
		return func() {}
	}
	if c.isSilent() {
		c.failTask(s, task.ID, rrpeer.RunMaybe)
	}
	return func() {
		if s.remove(task.ID) != nil {
			c.recordTaskEnd()
			s.out.put(0, func(f *rrpeer.Frame) { f.Cancels = append(f.Cancels, task.ID) })
		}
	}
}

// isSilent reports whether the peer is silent. It may have become silent while a
// task was being added.
func (c *Client) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.monitor.Silent()
}

// failTask fails a task unless it has ended already.
func (c *Client) failTask(s *clientStream, id rrpeer.TaskID, run rrpeer.RunState) {
	p := s.remove(id)
	if p == nil {
		return
	}
	c.recordTaskEnd()
	p.fail(id, run)
}

// Probe implements rrpeers.Worker.
func (c *Client) Probe(keys []rrunit.ShardKey) {
	c.mu.Lock()
	s := c.ensureStream()
	c.mu.Unlock()
	s.out.put(0, func(f *rrpeer.Frame) { f.Probes = append(f.Probes, keys...) })
}

// streamForTask returns the stream for a new task and records its start. It returns
// nil if the peer is silent.
func (c *Client) streamForTask() *clientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.monitor.Silent() {
		return nil
	}
	s := c.ensureStream()
	c.monitor.WorkStarted(c.clock())
	c.schedule()
	return s
}

// recordTaskEnd records the end of a task.
func (c *Client) recordTaskEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.monitor.WorkEnded()
	c.schedule()
}

// recordReceived records that a frame arrived from the peer.
func (c *Client) recordReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.monitor.Received(c.clock())
	c.schedule()
}

// schedule sets the timer for the next liveness check. The caller holds mu.
func (c *Client) schedule() {
	next, ok := c.monitor.NextCheck()
	if !ok || c.ctx.Err() != nil {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(0, next.Sub(c.clock())))
}

// checkLiveness fails the tasks of a peer that has become silent, and pings a silent
// peer periodically.
func (c *Client) checkLiveness() {
	c.mu.Lock()
	action := c.monitor.Check(c.clock())
	s := c.stream
	if action == rrliveness.ActionPing {
		s = c.ensureStream()
	}
	c.schedule()
	c.mu.Unlock()
	switch action {
	case rrliveness.ActionPing:
		s.out.put(0, func(*rrpeer.Frame) {})
	case rrliveness.ActionReassign:
		for id, p := range s.removeAll() {
			s.out.put(0, func(f *rrpeer.Frame) { f.Cancels = append(f.Cancels, id) })
			p.fail(id, rrpeer.RunMaybe)
		}
	}
}

// ensureStream returns the open stream, or starts a new one. The caller holds mu.
func (c *Client) ensureStream() *clientStream {
	if c.stream != nil && !c.stream.isClosed() {
		return c.stream
	}
	ctx, cancel := context.WithCancel(c.ctx)
	s := &clientStream{out: newSendQueue(), cancel: cancel, tasks: make(map[rrpeer.TaskID]*pendingTask)}
	c.stream = s
	go c.runStream(ctx, s)
	return s
}

// runStream opens the stream and sends and receives on it until it fails.
func (c *Client) runStream(ctx context.Context, s *clientStream) {
	defer c.closeStream(s)
	openTimer := time.AfterFunc(streamOpenTimeout, s.cancel)
	desc := &grpc.StreamDesc{StreamName: "Work", ServerStreams: true, ClientStreams: true}
	st, err := c.conn.NewStream(ctx, desc, workMethod)
	openTimer.Stop()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		defer s.cancel()
		s.out.sendLoop(ctx, func(f *rrpeer.Frame) error {
			f.SentAt = c.clock()
			return st.SendMsg(f)
		})
	})
	c.receive(st, s)
	s.cancel()
	wg.Wait()
}

func (c *Client) receive(st grpc.ClientStream, s *clientStream) {
	for {
		var f rrpeer.Frame
		if err := st.RecvMsg(&f); err != nil {
			return
		}
		c.recordReceived()
		if f.Leaving {
			s.leaving.Store(true)
		}
		for i := range f.Reports {
			c.report(f.Reports[i])
		}
		for i := range f.Results {
			if s.deliver(f.Results[i]) {
				c.recordTaskEnd()
			}
		}
	}
}

func (s *clientStream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *clientStream) add(id rrpeer.TaskID, p *pendingTask) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tasks[id] = p
	return true
}

func (s *clientStream) remove(id rrpeer.TaskID) *pendingTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.tasks[id]
	delete(s.tasks, id)
	return p
}

func (s *clientStream) removeAll() map[rrpeer.TaskID]*pendingTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	tasks := s.tasks
	s.tasks = make(map[rrpeer.TaskID]*pendingTask)
	return tasks
}

// deliver passes a result to its task. It drops the result if the task was
// cancelled or the shard already has one. It reports whether the task has ended.
func (s *clientStream) deliver(r rrpeer.Result) bool {
	s.mu.Lock()
	p := s.tasks[r.ID]
	if p == nil || !p.shards[r.Shard] {
		s.mu.Unlock()
		return false
	}
	delete(p.shards, r.Shard)
	ended := len(p.shards) == 0
	if ended {
		delete(s.tasks, r.ID)
	}
	s.mu.Unlock()
	p.onResult(r)
	return ended
}

// closeStream closes the stream and fails its tasks, which may have run.
func (c *Client) closeStream(s *clientStream) {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	tasks := s.tasks
	s.tasks = nil
	s.mu.Unlock()
	for id, p := range tasks {
		c.recordTaskEnd()
		p.fail(id, rrpeer.RunMaybe)
	}
}

// fail reports to every shard without a result that the connection to the peer was
// lost.
func (p *pendingTask) fail(id rrpeer.TaskID, run rrpeer.RunState) {
	for name := range p.shards {
		p.onResult(rrpeer.Result{ID: id, Shard: name, Run: run, Reason: rrquery.ReasonPeer})
	}
}
