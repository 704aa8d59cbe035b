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

// slowWorker answers each shard after a time of its own, so that results of
// many tasks come back out of order, and answers some shards twice.
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

// still is a clock by which no peer is ever silent, however busy the machine.
func still() rrunit.Instant { return 0 }

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
	client, err := rrlink.Dial(ctx, l.Addr().String(), codec, func(rrpeer.ShardReport) {}, rrlink.WithClock(still))
	must.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		must.NoError(t, client.Close())
		srv.Stop()
		goleak.VerifyNone(t)
	})
	return client, srv
}

// gather collects the results of one task.
type gather struct {
	mu      sync.Mutex
	results []rrpeer.Result
	done    chan struct{}
	left    int
}

func newGather(shards int) *gather { return &gather{done: make(chan struct{}), left: shards} }

func (g *gather) take(r rrpeer.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, r)
	g.left--
	if g.left == 0 {
		close(g.done)
	}
}

func task(id int, shards ...rrunit.ShardName) *rrpeer.Task {
	return &rrpeer.Task{
		ID: rrpeer.TaskID(id), Service: "search", Snapshot: rrunit.Snapshot{Version: 1, Layout: "base"},
		Shards: shards, TimeLeft: rrunit.Duration(time.Minute), Idempotent: true, Body: fmt.Appendf(nil, `"%d"`, id),
	}
}

// TestResultsStayApart runs many tasks at once on one stream. Each shard of
// each task gets just one result, and it is its own.
func TestResultsStayApart(t *testing.T) {
	client, _ := startPeer(t, &slowWorker{cancelled: make(map[rrpeer.TaskID]bool)})
	var wg sync.WaitGroup
	for id := 1; id <= 200; id++ {
		wg.Go(func() {
			g := newGather(3)
			client.Work(task(id, "a", "b", "c"), g.take)
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

// TestLostPeerFailsEveryShard stops the peer with work under way. Every shard
// gets the word that it may have run, once, and later work that it did not.
func TestLostPeerFailsEveryShard(t *testing.T) {
	client, srv := startPeer(t, &stuckWorker{})
	g := newGather(2)
	client.Work(task(1, "a", "b"), g.take)
	time.Sleep(50 * time.Millisecond)
	srv.Stop()
	<-g.done
	for _, r := range g.results {
		must.Eq(t, rrquery.ReasonPeer, r.Reason)
		must.Eq(t, rrpeer.RunMaybe, r.Run)
	}
	for id := 2; id < 5; id++ {
		g := newGather(1)
		client.Work(task(id, "a"), g.take)
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
