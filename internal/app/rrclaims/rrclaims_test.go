package rrclaims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"golang.org/x/time/rate"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrplatform"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// operation is one claim, record or release in the history.
type operation struct {
	key  rrunit.RequestID
	kind string
	// holder is the daemon and the ticket.
	holder string
}

// claimModel is the model of one key. Its state is the holder, "" if there is none,
// and "done" after a record.
func claimModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[rrunit.RequestID][]porcupine.Operation)
			for _, op := range history {
				s, _ := op.Input.(operation)
				byKey[s.key] = append(byKey[s.key], op)
			}
			var out [][]porcupine.Operation
			for _, ops := range byKey {
				out = append(out, ops)
			}
			return out
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			s, _ := input.(operation)
			switch {
			case s.kind == "release":
				return state == s.holder, ""
			case s.kind == "record":
				return state == s.holder, "done"
			case output == "granted":
				return state == "", s.holder
			case output == "done":
				return state == "done", state
			}
			return true, state
		},
	}
}

// recorder collects the history of concurrent clients.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) now() int64 { return int64(time.Since(r.start)) }

// add adds an operation that has ended now. A record or release may take effect at
// any later time.
func (r *recorder) add(client int, s operation, call int64, output string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.now()
	if s.kind != "claim" {
		end = int64(time.Hour)
	}
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: s, Call: call, Output: output, Return: end})
}

// startClients starts goroutines of one daemon that claim, record and release.
func (r *recorder) startClients(c *Claimer, daemon int, ids []rrunit.RequestID, wg *sync.WaitGroup) {
	for n := range 4 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(daemon), uint64(n)))
			for range 60 {
				task := &rrpeer.Task{Caller: "press", Request: ids[random.IntN(len(ids))]}
				call := r.now()
				got := c.Claim(context.Background(), task, "00")
				s := operation{key: task.Request, kind: "claim", holder: fmt.Sprint(daemon, got.Ticket)}
				r.add(4*daemon+n, s, call, outputOf(got.Granted, &got.Result))
				time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
				if !got.Granted {
					continue
				}
				call = r.now()
				s.kind = "release"
				if random.IntN(3) == 0 {
					s.kind = "record"
					c.Record(task, got.Ticket, rrclaim.Outcome{Shard: "00"})
				} else {
					c.Release(task, got.Ticket)
				}
				r.add(100+len(ids)*daemon+n, s, call, "")
			}
		})
	}
}

func outputOf(granted bool, r *rrpeer.Result) string {
	switch {
	case granted:
		return "granted"
	case r.OK():
		return "done"
	default:
		return string(r.Reason)
	}
}

// newIDs returns request ids with the current time.
func newIDs(t *testing.T, n int) []rrunit.RequestID {
	t.Helper()
	out := make([]rrunit.RequestID, n)
	for i := range out {
		id, err := uuid.NewV7()
		must.NoError(t, err)
		out[i] = rrunit.RequestID(id.String())
	}
	return out
}

// TestClaimHistoryIsLinearizable checks the history of three daemons that claim the
// same ids in a store that loses answers, serves stale reads, is slow and goes down.
func TestClaimHistoryIsLinearizable(t *testing.T) {
	defer goleak.VerifyNone(t)
	fake := rrplatformfake.New()
	srv := httptest.NewServer(fake)
	defer srv.Close()
	ctx, stop := context.WithCancel(context.Background())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		random := rand.New(rand.NewPCG(5, 5))
		for ctx.Err() == nil {
			fake.SetFaults(rrplatformfake.Faults{
				Down: random.IntN(20) == 0, VersionLag: random.IntN(3), LoseAnswers: random.IntN(3),
				Delay:       time.Duration(random.IntN(4)) * time.Millisecond,
				AnswerDelay: time.Duration(random.IntN(4)) * time.Millisecond,
			})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	r := &recorder{start: time.Now()}
	ids := newIDs(t, 60)
	var wg sync.WaitGroup
	var daemons []*Claimer
	for daemon := range 3 {
		platform := rrplatform.New(srv.URL)
		defer platform.Close()
		c := New(ctx, platform, WithRates(rate.Inf, rate.Inf), WithTimeout(100*time.Millisecond))
		daemons = append(daemons, c)
		r.startClients(c, daemon, ids, &wg)
	}
	wg.Wait()
	stop()
	<-faults
	for _, c := range daemons {
		c.Wait()
	}
	outputs := make(map[any]int)
	for _, op := range r.ops {
		outputs[op.Output]++
	}
	t.Log(outputs)
	must.Positive(t, outputs["granted"])
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel(), r.ops, 30*time.Second))
}

// memoryStore is a store in memory with a latency.
type memoryStore struct {
	latency time.Duration
	mu      sync.Mutex
	objects map[rrstore.Key]rrstore.Object
	writes  int
}

func (m *memoryStore) Get(_ context.Context, key rrstore.Key) (rrstore.Object, error) {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return o, rrstore.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, key rrstore.Key, value []byte, base rrstore.Version) (rrstore.Version, error) {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.objects[key].Version != base {
		return 0, rrstore.ErrConflict
	}
	m.objects[key] = rrstore.Object{Key: key, Version: base + 1, Value: value}
	return base + 1, nil
}

func (*memoryStore) Watch(ctx context.Context, _ rrstore.Key, _ rrstore.Version) (rrstore.Object, error) {
	<-ctx.Done()
	return rrstore.Object{}, ctx.Err()
}

// TestStoreWriteRateIsBounded sends 10 to 2,000 claims per second to one daemon for
// two seconds of virtual time, each recorded after 20 ms. The write rate must stay
// below the limits, since outcomes are written together with claims.
func TestStoreWriteRateIsBounded(t *testing.T) {
	const seconds = 2
	wall := time.Now()
	for _, offered := range []int{10, 50, 200, 1000, 2000} {
		ids := newIDs(t, offered*seconds)
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			store := &memoryStore{latency: 5 * time.Millisecond, objects: make(map[rrstore.Key]rrstore.Object)}
			c := New(ctx, store, WithWallClock(func() time.Time { return wall }))
			var mu sync.Mutex
			var waits []time.Duration
			var wg sync.WaitGroup
			for _, id := range ids {
				wg.Go(func() {
					task := &rrpeer.Task{Caller: "press", Request: id}
					start := time.Now()
					if got := c.Claim(ctx, task, "00"); got.Granted {
						mu.Lock()
						waits = append(waits, time.Since(start))
						mu.Unlock()
						time.Sleep(20 * time.Millisecond)
						c.Record(task, got.Ticket, rrclaim.Outcome{Shard: "00", Hits: []rrquery.Hit{{ID: "label"}}})
					}
				})
				time.Sleep(time.Second / time.Duration(offered))
			}
			wg.Wait()
			must.Zero(t, c.Flush(ctx))
			stop()
			c.Wait()
			slices.Sort(waits)
			t.Logf("%d claims/s offered: %d/s granted, %d writes/s, wait p50 %s p99 %s", offered, len(waits)/seconds,
				store.writes/seconds, waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond))
			must.Eq(t, offered*seconds, len(waits))
			must.LessEq(t, int(ClaimRate+RecordRate)*(seconds+1)+ClaimBurst+RecordBurst, store.writes)
		})
	}
}
