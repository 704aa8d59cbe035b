package rrlink_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// slowWorker returns the result of each shard after a different delay, so that the
// results of many tasks arrive out of order, and returns each result twice.
type slowWorker struct {
	mu        sync.Mutex
	cancelled map[rrpeer.TaskID]bool
}

func (w *slowWorker) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	for i, shard := range task.Shards {
		r := rrpeer.Result{
			ID: task.ID, Shard: shard, Run: rrpeer.RunDone, Snapshot: task.Snapshot,
			Hits: []rrquery.Hit{{ID: string(task.Body)}},
		}
		delay := time.Duration((int(task.ID)*7+i*13)%20) * time.Millisecond
		time.AfterFunc(delay, func() {
			result(r)
			result(r)
		})
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cancelled[task.ID] = true
	}
}

func (w *slowWorker) Probe([]rrunit.ShardKey) {}

// frozenClock always returns zero, so that no peer is detected as silent, however
// busy the machine is.
func frozenClock() rrunit.Instant { return 0 }

// startPeer serves the worker and returns a client of it.
func startPeer(t *testing.T, w rrpeers.Worker) (*rrlink.Client, *grpc.Server) {
	t.Helper()
	codec, err := rrlink.NewCodec()
	must.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := grpc.NewServer(grpc.ForceServerCodec(codec))
	rrlink.NewServer(func(func(rrpeer.ShardReport)) rrpeers.Worker { return w }).Register(srv)
	go func() { _ = srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	client, err := rrlink.Dial(ctx, l.Addr().String(), codec, func(rrpeer.ShardReport) {}, rrlink.WithClock(frozenClock))
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		must.NoError(t, client.Close())
		srv.Stop()
		goleak.VerifyNone(t)
	})
	return client, srv
}

// resultCollector collects the results of one task.
type resultCollector struct {
	mu        sync.Mutex
	results   []rrpeer.Result
	done      chan struct{}
	remaining int
}

func newResultCollector(shards int) *resultCollector {
	return &resultCollector{done: make(chan struct{}), remaining: shards}
}

func (g *resultCollector) add(r rrpeer.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, r)
	g.remaining--
	if g.remaining == 0 {
		close(g.done)
	}
}

func task(id int, shards ...rrunit.ShardName) *rrpeer.Task {
	return &rrpeer.Task{
		ID: rrpeer.TaskID(id), Service: "search", Snapshot: rrunit.Snapshot{Version: 1, Layout: "base"},
		Shards: shards, TimeLeft: rrunit.Duration(time.Minute), Idempotent: true, Body: fmt.Appendf(nil, `"%d"`, id),
	}
}

// TestResultsReachTheirTasks runs many tasks concurrently on one stream. Each shard
// of each task must get exactly one result, and the one for its task.
func TestResultsReachTheirTasks(t *testing.T) {
	client, _ := startPeer(t, &slowWorker{cancelled: make(map[rrpeer.TaskID]bool)})
	var wg sync.WaitGroup
	for id := 1; id <= 200; id++ {
		wg.Go(func() {
			g := newResultCollector(3)
			client.Work(task(id, "a", "b", "c"), g.add)
			<-g.done
			time.Sleep(5 * time.Millisecond)
			g.mu.Lock()
			defer g.mu.Unlock()
			must.Len(t, 3, g.results)
			seen := make(map[rrunit.ShardName]bool)
			for _, r := range g.results {
				must.True(t, r.OK(), must.Sprint(r.Reason))
				must.Eq(t, fmt.Sprintf(`"%d"`, id), r.Hits[0].ID)
				seen[r.Shard] = true
			}
			must.MapLen(t, 3, seen)
		})
	}
	wg.Wait()
}

// stuckWorker never answers.
type stuckWorker struct{ slowWorker }

func (*stuckWorker) Work(*rrpeer.Task, rrpeers.ResultFunc) rrpeers.CancelFunc { return func() {} }

// TestLostPeerFailsEveryShard stops the peer while a task is running. Every shard of
// the task must get one result, by which the shard may have run it. Later tasks must fail
// with the same reason.
func TestLostPeerFailsEveryShard(t *testing.T) {
	client, srv := startPeer(t, &stuckWorker{})
	g := newResultCollector(2)
	client.Work(task(1, "a", "b"), g.add)
	time.Sleep(50 * time.Millisecond)
	srv.Stop()
	<-g.done
	for _, r := range g.results {
		must.Eq(t, rrquery.ReasonPeer, r.Reason)
		must.Eq(t, rrpeer.RunMaybe, r.Run)
	}
	for id := 2; id < 5; id++ {
		g := newResultCollector(1)
		client.Work(task(id, "a"), g.add)
		<-g.done
		must.Eq(t, rrquery.ReasonPeer, g.results[0].Reason)
	}
}

func FuzzFrame(f *testing.F) {
	codec, err := rrlink.NewCodec()
	must.NoError(f, err)
	b, err := codec.Marshal(&rrpeer.Frame{Tasks: []rrpeer.Task{*task(1, "a")}})
	must.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame rrpeer.Frame
		if codec.Unmarshal(b, &frame) != nil {
			return
		}
		_, err := codec.Marshal(&frame)
		must.NoError(t, err)
	})
}
