package rrlink_test

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrlink"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/port/rrpeers"
)

// Size of the frame that the benchmarks encode and decode.
const (
	resultsPerFrame = 40
	hitsPerResult   = 10
)

// resultFrame returns a frame of a busy owner, with the results of several tasks.
func resultFrame() *rrpeer.Frame {
	f := &rrpeer.Frame{SentAt: rrunit.Instant(time.Hour)}
	for i := range resultsPerFrame {
		r := rrpeer.Result{
			ID: rrpeer.TaskID(1000 + i), Shard: rrunit.ShardName(fmt.Sprintf("shard-%02d", i)), Run: rrpeer.RunDone,
			Snapshot: rrunit.Snapshot{Version: 1, Layout: "first"},
		}
		for n := range hitsPerResult {
			r.Hits = append(r.Hits, rrquery.Hit{
				ID:    fmt.Sprintf("luettelo-%04d", n*resultsPerFrame+i),
				Score: float64(n) / 7,
				Body:  json.RawMessage(fmt.Sprintf(`"luettelo-%04d at version 1"`, n)),
			})
		}
		f.Results = append(f.Results, r)
	}
	return f
}

func BenchmarkEncode(b *testing.B) {
	codec, err := rrlink.NewCodec()
	must.NoError(b, err)
	f := resultFrame()
	b.ReportAllocs()
	for b.Loop() {
		_, err := codec.Marshal(f)
		must.NoError(b, err)
	}
}

func BenchmarkDecode(b *testing.B) {
	codec, err := rrlink.NewCodec()
	must.NoError(b, err)
	msg, err := codec.Marshal(resultFrame())
	must.NoError(b, err)
	b.ReportAllocs()
	b.SetBytes(int64(len(msg)))
	for b.Loop() {
		var f rrpeer.Frame
		must.NoError(b, codec.Unmarshal(msg, &f))
	}
}

// echoWorker returns the same hits for every shard at once.
type echoWorker struct{ hits []rrquery.Hit }

func (w echoWorker) Work(task *rrpeer.Task, result rrpeers.ResultFunc) rrpeers.CancelFunc {
	for _, name := range task.Shards {
		result(rrpeer.Result{ID: task.ID, Shard: name, Run: rrpeer.RunDone, Snapshot: task.Snapshot, Hits: w.hits})
	}
	return func() {}
}

func (echoWorker) Probe([]rrunit.ShardKey) {}

// cpuTime returns the processor time that this process has used.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	must.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStream sends tasks of 20 shards over one stream, 32 concurrently, and
// reports the processor time of both ends per shard.
func BenchmarkStream(b *testing.B) {
	const callers, shards = 32, 20
	frame := resultFrame()
	codec, err := rrlink.NewCodec()
	must.NoError(b, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	srv := grpc.NewServer(rrlink.ServerOptions(codec)...)
	rrlink.NewServer(func(func(rrpeer.ShardReport)) rrpeers.Worker { return echoWorker{frame.Results[0].Hits} }).Register(srv)
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(srv.Stop)
	c, err := rrlink.Dial(b.Context(), l.Addr().String(), codec, func(rrpeer.ShardReport) {}, rrlink.WithClock(frozenClock))
	must.NoError(b, err)
	b.Cleanup(func() { _ = c.Close() })
	names := make([]rrunit.ShardName, shards)
	for i := range names {
		names[i] = frame.Results[i].Shard
	}
	var next atomic.Uint64
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime(b)
	for range callers {
		wg.Go(func() {
			done := make(chan struct{}, shards)
			for id := next.Add(1); id <= uint64(b.N); id = next.Add(1) {
				task := &rrpeer.Task{
					ID: rrpeer.TaskID(id), Service: "luettelo", Snapshot: frame.Results[0].Snapshot, Shards: names,
					Rank: "urgent", TimeLeft: rrunit.Duration(time.Minute), Limit: hitsPerResult, Body: json.RawMessage(`{}`),
				}
				c.Work(task, func(rrpeer.Result) { done <- struct{}{} })
				for range shards {
					<-done
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime(b)-start).Microseconds())/float64(b.N*shards), "cpu-us/shard")
}
