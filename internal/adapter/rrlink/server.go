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

// WorkerFunc returns a worker that passes its reports to the given function.
type WorkerFunc func(report func(rrpeer.ShardReport)) rrpeers.Worker

// Server serves the streams from the entries of other daemons.
type Server struct {
	worker WorkerFunc
	clock  rrunit.Clock

	// mu guards streams and leaving.
	mu      sync.Mutex
	streams map[*serverStream]bool
	leaving bool
}

// NewServer returns a server with a separate worker for each stream.
func NewServer(worker WorkerFunc) *Server {
	return &Server{worker: worker, clock: rrunit.SystemClock(), streams: make(map[*serverStream]bool)}
}

// AnnounceLeaving announces to all entries, also to those that connect later, that they
// should send no new tasks. Tasks that arrive nevertheless are run.
func (s *Server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for ss := range s.streams {
		ss.sendLeaving()
	}
}

// OpenTasks returns the number of unfinished tasks and of results that are not sent yet.
func (s *Server) OpenTasks() int {
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
		ss.sendLeaving()
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

// serverStream is the state of one stream from an entry.
type serverStream struct {
	worker rrpeers.Worker
	out    *sendQueue
	clock  rrunit.Clock
	// lateness is used by the receiving goroutine only.
	lateness rrliveness.Lateness

	// mu guards the fields below.
	mu sync.Mutex
	// tasks are those with shards that have no result yet.
	tasks map[rrpeer.TaskID]*openTask
	// unsentResults counts the results that wait to be sent.
	unsentResults int
}

type openTask struct {
	// remaining is the number of shards without a result.
	remaining int
	cancel    rrpeers.CancelFunc
}

func (s *Server) serve(st grpc.ServerStream) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	ss := &serverStream{out: newSendQueue(), clock: s.clock, tasks: make(map[rrpeer.TaskID]*openTask)}
	ss.worker = s.worker(ss.report)
	s.add(ss)
	defer s.remove(ss)
	var wg sync.WaitGroup
	wg.Go(func() {
		ss.out.sendLoop(ctx, func(f *rrpeer.Frame) error {
			f.SentAt = s.clock()
			err := st.SendMsg(f)
			ss.recordSent(f)
			return err
		})
	})
	wg.Go(func() { ss.sendKeepalives(ctx) })
	err := ss.receive(st)
	cancel()
	ss.cancelAll()
	wg.Wait()
	return err
}

// sendKeepalives sends an empty frame at every interval while there are tasks, unless
// another frame is queued anyway.
func (ss *serverStream) sendKeepalives(ctx context.Context) {
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

func (ss *serverStream) sendLeaving() {
	ss.out.put(0, func(f *rrpeer.Frame) { f.Leaving = true })
}

func (ss *serverStream) openTasks() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return len(ss.tasks) + ss.unsentResults
}

func (ss *serverStream) recordSent(f *rrpeer.Frame) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.unsentResults -= len(f.Results)
}

func (ss *serverStream) receive(st grpc.ServerStream) error {
	for {
		var f rrpeer.Frame
		if err := st.RecvMsg(&f); err != nil {
			return err
		}
		late := rrunit.Duration(ss.lateness.Observe(ss.clock(), f.SentAt))
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

// start passes the task to the worker. A task that arrives after its deadline, for
// example because this process was frozen, is not run.
func (ss *serverStream) start(task *rrpeer.Task) {
	o := &openTask{remaining: len(task.Shards)}
	ss.mu.Lock()
	ss.tasks[task.ID] = o
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
	if o := ss.tasks[r.ID]; o != nil {
		o.remaining--
		if o.remaining == 0 {
			delete(ss.tasks, r.ID)
		}
	}
	ss.unsentResults++
	ss.mu.Unlock()
	isQueued := ss.out.put(hitsSize(r.Hits), func(f *rrpeer.Frame) { f.Results = append(f.Results, r) })
	if !isQueued {
		ss.mu.Lock()
		defer ss.mu.Unlock()
		ss.unsentResults--
	}
}

func (ss *serverStream) report(r rrpeer.ShardReport) {
	ss.out.put(0, func(f *rrpeer.Frame) { f.Reports = append(f.Reports, r) })
}

func (ss *serverStream) cancel(id rrpeer.TaskID) {
	ss.mu.Lock()
	o := ss.tasks[id]
	delete(ss.tasks, id)
	ss.mu.Unlock()
	if o != nil && o.cancel != nil {
		o.cancel()
	}
}

func (ss *serverStream) cancelAll() {
	ss.mu.Lock()
	ids := make([]rrpeer.TaskID, 0, len(ss.tasks))
	for id := range ss.tasks {
		ids = append(ids, id)
	}
	ss.mu.Unlock()
	for _, id := range ids {
		ss.cancel(id)
	}
}
