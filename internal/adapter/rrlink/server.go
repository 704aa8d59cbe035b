package rrlink

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrliveness"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

const (
	serviceName = "rhubarbreel.Peer"
	workMethod  = "/rhubarbreel.Peer/Work"
)

// WorkerFunc returns a worker whose reports go to the function given.
type WorkerFunc func(report func(rrpeer.ShardReport)) rrpeers.Worker

// Server serves the streams of other daemons' entries.
type Server struct {
	worker WorkerFunc
	clock  rrunit.Clock

	// mu guards streams and leaving.
	mu      sync.Mutex
	streams map[*serverStream]bool
	leaving bool
}

// NewServer returns a server that gives the tasks of each stream to a worker
// of its own.
func NewServer(worker WorkerFunc) *Server {
	return &Server{worker: worker, clock: rrunit.SystemClock(), streams: make(map[*serverStream]bool)}
}

// Leave tells all entries, now and later, to send no new tasks. Tasks that come
// all the same are carried out.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for ss := range s.streams {
		ss.sayLeaving()
	}
}

// Open returns the number of tasks under way.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for ss := range s.streams {
		n += ss.openTasks()
	}
	return n
}

func (s *Server) add(ss *serverStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[ss] = true
	if s.leaving {
		ss.sayLeaving()
	}
}

func (s *Server) remove(ss *serverStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, ss)
}

// Register adds the peer service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	r.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{{
			StreamName:    "Work",
			ServerStreams: true,
			ClientStreams: true,
			Handler:       func(_ any, st grpc.ServerStream) error { return s.serve(st) },
		}},
	}, s)
}

// serverStream is the state of one stream of an entry.
type serverStream struct {
	worker rrpeers.Worker
	out    *outbox
	clock  rrunit.Clock
	// late belongs to the goroutine that receives.
	late rrliveness.Lateness

	// mu guards open: how to give up each task that has shards without result.
	mu   sync.Mutex
	open map[rrpeer.TaskID]*openTask
}

type openTask struct {
	left   int
	cancel rrpeers.CancelFunc
}

func (s *Server) serve(st grpc.ServerStream) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	ss := &serverStream{out: newOutbox(), clock: s.clock, open: make(map[rrpeer.TaskID]*openTask)}
	ss.worker = s.worker(ss.report)
	s.add(ss)
	defer s.remove(ss)
	var wg sync.WaitGroup
	wg.Go(func() {
		ss.out.drain(ctx, func(f *rrpeer.Frame) error {
			f.SentAt = s.clock()
			return st.SendMsg(f)
		})
	})
	wg.Go(func() { ss.sayAlive(ctx) })
	err := ss.receive(st)
	cancel()
	ss.cancelAll()
	wg.Wait()
	return err
}

// sayAlive sends an empty frame at every interval while there is work, unless
// another frame waits anyway.
func (ss *serverStream) sayAlive(ctx context.Context) {
	ticker := time.NewTicker(rrliveness.KeepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if ss.openTasks() > 0 {
				ss.out.put(0, func(*rrpeer.Frame) {})
			}
		}
	}
}

func (ss *serverStream) sayLeaving() {
	ss.out.put(0, func(f *rrpeer.Frame) { f.Leaving = true })
}

func (ss *serverStream) openTasks() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return len(ss.open)
}

func (ss *serverStream) receive(st grpc.ServerStream) error {
	for {
		var f rrpeer.Frame
		if err := st.RecvMsg(&f); err != nil {
			return err
		}
		late := rrunit.Duration(ss.late.Observe(ss.clock(), f.SentAt))
		ss.out.put(0, func(*rrpeer.Frame) {})
		if len(f.Probes) > 0 {
			ss.worker.Probe(f.Probes)
		}
		for i := range f.Tasks {
			f.Tasks[i].TimeLeft -= late
			ss.start(&f.Tasks[i])
		}
		for _, id := range f.Cancels {
			ss.cancel(id)
		}
	}
}

// start gives the task to the worker. A task that came too late, such as one
// that waited while this process was frozen, is not run.
func (ss *serverStream) start(task *rrpeer.Task) {
	o := &openTask{left: len(task.Shards)}
	ss.mu.Lock()
	ss.open[task.ID] = o
	ss.mu.Unlock()
	if task.TimeLeft <= 0 {
		for _, name := range task.Shards {
			ss.result(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunNever, Reason: rrquery.ReasonDeadline})
		}
		return
	}
	cancel := ss.worker.Work(task, ss.result)
	ss.mu.Lock()
	o.cancel = cancel
	ss.mu.Unlock()
}

func (ss *serverStream) result(r rrpeer.Result) {
	ss.mu.Lock()
	if o := ss.open[r.ID]; o != nil {
		o.left--
		if o.left == 0 {
			delete(ss.open, r.ID)
		}
	}
	ss.mu.Unlock()
	ss.out.put(hitsSize(r.Hits), func(f *rrpeer.Frame) { f.Results = append(f.Results, r) })
}

func (ss *serverStream) report(r rrpeer.ShardReport) {
	ss.out.put(0, func(f *rrpeer.Frame) { f.Reports = append(f.Reports, r) })
}

func (ss *serverStream) cancel(id rrpeer.TaskID) {
	ss.mu.Lock()
	o := ss.open[id]
	delete(ss.open, id)
	ss.mu.Unlock()
	if o != nil && o.cancel != nil {
		o.cancel()
	}
}

func (ss *serverStream) cancelAll() {
	ss.mu.Lock()
	ids := make([]rrpeer.TaskID, 0, len(ss.open))
	for id := range ss.open {
		ids = append(ids, id)
	}
	ss.mu.Unlock()
	for _, id := range ids {
		ss.cancel(id)
	}
}
