package rre2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrclaim"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrownership"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// newPrintQuery returns a non-idempotent query with a new id.
func newPrintQuery(t *testing.T) *rrquery.Query {
	t.Helper()
	id, err := uuid.NewV7()
	must.NoError(t, err)
	no := false
	return &rrquery.Query{
		Service: "print", Rank: "urgent", Caller: "press", ID: rrunit.RequestID(id.String()),
		Idempotent: &no, Body: json.RawMessage(`{"label":"84.2"}`),
	}
}

// countRuns counts the runs of a query at all searchers.
func (c *cluster) countRuns(q *rrquery.Query) int {
	n := 0
	for _, s := range c.fleet.Searchers {
		for _, r := range s.State().Executions {
			if r.ID == q.ID && r.Caller == q.Caller {
				n++
			}
		}
	}
	return n
}

// claimState returns the state of the query's claim in the store, or an empty
// string if there is none.
func (c *cluster) claimState(q *rrquery.Query) rrclaim.State {
	key := rrclaim.Key{Caller: q.Caller, ID: q.ID}
	var o struct{ Claims []rrclaim.Claim }
	_ = json.Unmarshal(c.fleet.Platform.Object(key.Location().ObjectKey()).Value, &o)
	for i := range o.Claims {
		if o.Claims[i].ID == q.ID {
			return o.Claims[i].State
		}
	}
	return ""
}

func (c *cluster) waitClaim(t *testing.T, q *rrquery.Query, want rrclaim.State) {
	t.Helper()
	eventually(t, "claim in state "+string(want), 10*time.Second, func() bool { return c.claimState(q) == want })
}

// owners returns the daemons in their order of ownership of the service print.
func (c *cluster) owners() []*daemon {
	members := make([]rrownership.Member, 0, len(c.daemons))
	for _, d := range c.daemons {
		members = append(members, rrownership.Member{ID: d.settings.Instance, Zone: d.settings.Zone, Region: d.settings.Region})
	}
	key := rrunit.ShardKey{Service: "print", Layout: "base", Shard: "00"}
	var out []*daemon
	for _, id := range rrownership.NewTable(members).Owners(key, "r1") {
		out = append(out, c.daemons[slices.IndexFunc(c.daemons, func(d *daemon) bool { return d.settings.Instance == id })])
	}
	return out
}

// startPrintCluster starts a cluster and waits until every daemon has completed a
// print query.
func startPrintCluster(t *testing.T, behave rrsearcherfake.Behaviour, change func(*rrsettings.Settings)) *cluster {
	t.Helper()
	c := startCluster(t, clusterConfig{daemons: 3, def: smallDefinition(t, 2, 2), behaviour: behave, changeSettings: change})
	for _, d := range c.daemons {
		eventually(t, "print query completed through "+string(d.settings.Instance), 5*time.Second, func() bool {
			a, err := c.tryQuery(d, newPrintQuery(t))
			return err == nil && a.Outcome == rrquery.OutcomeComplete
		})
	}
	return c
}

// startQuery sends the query in the background and returns a channel for its
// answer.
func (c *cluster) startQuery(d *daemon, q *rrquery.Query) chan *rrquery.Answer {
	out := make(chan *rrquery.Answer, 1)
	go func() {
		a, err := c.tryQuery(d, q)
		if err != nil {
			a = &rrquery.Answer{Message: err.Error()}
		}
		out <- a
	}()
	return out
}

func TestResendGetsRecordedOutcome(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	q := newPrintQuery(t)
	first := c.query(t, c.daemons[0], q)
	must.Eq(t, rrquery.OutcomeComplete, first.Outcome)
	c.waitClaim(t, q, rrclaim.StateDone)
	for _, s := range c.fleet.Searchers {
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Versions = []rrunit.IndexVersion{2} })
	}
	for _, d := range c.daemons {
		must.Eq(t, first, c.query(t, d, q))
		other := *q
		other.Body = json.RawMessage(`{"label":"85"}`)
		a := c.query(t, d, &other)
		must.Eq(t, rrquery.OutcomeRefused, a.Outcome)
		must.Eq(t, rrquery.ReasonDuplicate, a.Reason)
		must.StrContains(t, a.Message, string(q.ID))
	}
	must.Eq(t, 1, c.countRuns(q))
}

// TestConcurrentResends sends each id through all daemons concurrently.
func TestConcurrentResends(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{Latency: 5 * time.Millisecond}, nil)
	c.checkConcurrentResends(t, c.daemons)
}

// checkConcurrentResends sends each of several ids through all daemons
// concurrently. It checks that none runs twice and that a resend of an id that
// ran gets the recorded outcome.
func (c *cluster) checkConcurrentResends(t *testing.T, daemons []*daemon) {
	t.Helper()
	const ids = 20
	var wg sync.WaitGroup
	queries := make([]*rrquery.Query, ids)
	for i := range queries {
		queries[i] = newPrintQuery(t)
		for _, d := range daemons {
			wg.Go(func() { _, _ = c.tryQuery(d, queries[i]) })
		}
	}
	wg.Wait()
	for _, q := range queries {
		must.LessEq(t, 1, c.countRuns(q))
		if c.countRuns(q) == 1 {
			eventually(t, "recorded outcome returned", 5*time.Second, func() bool {
				return c.query(t, daemons[0], q).Outcome == rrquery.OutcomeComplete
			})
		}
		must.LessEq(t, 1, c.countRuns(q))
	}
}

// TestConflictingOwners gives each daemon an instance list that contains only the
// daemon itself, so that each assumes ownership of all shards.
func TestConflictingOwners(t *testing.T) {
	var c *cluster
	platformAddresses := make(map[rrunit.InstanceID]string)
	c = startCluster(t, clusterConfig{
		daemons: 3, def: smallDefinition(t, 1, 2), behaviour: rrsearcherfake.Behaviour{Latency: 5 * time.Millisecond},
		changeSettings: func(s *rrsettings.Settings) {
			platformAddresses[s.Instance] = freePort(t)
			s.PlatformURL = "http://" + platformAddresses[s.Instance]
		},
		beforeStart: func(c *cluster) {
			for _, d := range c.daemons {
				c.serveOwnList(t, platformAddresses[d.settings.Instance], d)
			}
		},
	})
	c.checkConcurrentResends(t, c.daemons)
}

// serveOwnList serves the platform at the address, with an instance list that
// contains only d.
func (c *cluster) serveOwnList(t *testing.T, address string, d *daemon) {
	t.Helper()
	list := rrfleet.LiveInstances(rrstore.Instance{
		ID: d.settings.Instance, Peer: d.settings.PeerAddress, Zone: d.settings.Zone, Region: d.settings.Region,
	})
	srv := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/instances" {
			_ = json.NewEncoder(w).Encode(list)
			return
		}
		c.fleet.Platform.ServeHTTP(w, r)
	})}
	go func() { _ = srv.ListenAndServe() }()
	t.Cleanup(func() { _ = srv.Close() })
}

// TestOwnerFrozenAfterClaim stops the owner with SIGSTOP once its claim is in the
// store and resumes it after the request's deadline. It must not run the work
// then.
func TestOwnerFrozenAfterClaim(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	q := newPrintQuery(t)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{AnswerDelay: 350 * time.Millisecond})
	answer := c.startQuery(owners[1], q)
	c.waitClaim(t, q, rrclaim.StateClaimed)
	owners[0].signal(t, syscall.SIGSTOP)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	a := <-answer
	must.Eq(t, rrquery.OutcomeUnknown, a.Outcome, must.Sprint(a))
	must.False(t, a.NotRun)
	must.Eq(t, rrquery.OutcomeUnknown, c.query(t, owners[2], q).Outcome)
	time.Sleep(time.Second)
	owners[0].signal(t, syscall.SIGCONT)
	c.waitClaim(t, q, "")
	must.Eq(t, 0, c.countRuns(q))
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, owners[2], q).Outcome)
	must.Eq(t, 1, c.countRuns(q))
}

// freeze sends SIGSTOP and waits until all threads of the process have stopped.
func (d *daemon) freeze(t *testing.T) {
	t.Helper()
	d.signal(t, syscall.SIGSTOP)
	eventually(t, "all threads stopped", 5*time.Second, func() bool {
		states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", d.cmd.Process.Pid))
		return err == nil && !slices.ContainsFunc(states, func(path string) bool {
			b, err := os.ReadFile(path)
			return err == nil && !bytes.Contains(b, []byte(") T "))
		})
	})
}

// TestOwnerFrozenBeforeClaim queues the work at a stopped owner while a standby
// owner runs it. The first owner resumes before the deadline and must not run the
// work again.
func TestOwnerFrozenBeforeClaim(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	for range 3 {
		q := newPrintQuery(t)
		q.Deadline = rrunit.Duration(5 * time.Second)
		owners[0].freeze(t)
		a := c.query(t, owners[1], q)
		owners[0].signal(t, syscall.SIGCONT)
		must.Eq(t, rrquery.OutcomeComplete, a.Outcome, must.Sprint(a))
		time.Sleep(400 * time.Millisecond)
		must.Eq(t, 1, c.countRuns(q))
	}
}

// TestOwnerKilledAfterClaim kills the owner after its claim is stored and before
// the work is sent to a searcher.
func TestOwnerKilledAfterClaim(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	q := newPrintQuery(t)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{AnswerDelay: 350 * time.Millisecond})
	answer := c.startQuery(owners[1], q)
	c.waitClaim(t, q, rrclaim.StateClaimed)
	owners[0].signal(t, syscall.SIGKILL)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	must.Eq(t, rrquery.OutcomeUnknown, (<-answer).Outcome)
	must.Eq(t, rrquery.OutcomeUnknown, c.query(t, owners[2], q).Outcome)
	must.Eq(t, 0, c.countRuns(q))
}

// TestOwnerKilledAfterSend kills the owner while a searcher runs the work.
func TestOwnerKilledAfterSend(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	received := c.received()
	for _, s := range c.fleet.Searchers {
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Latency = 300 * time.Millisecond })
	}
	q := newPrintQuery(t)
	answer := c.startQuery(owners[1], q)
	eventually(t, "work received by a searcher", 5*time.Second, func() bool { return c.received() > received })
	owners[0].signal(t, syscall.SIGKILL)
	must.Eq(t, rrquery.OutcomeUnknown, (<-answer).Outcome)
	must.Eq(t, rrquery.OutcomeUnknown, c.query(t, owners[2], q).Outcome)
	must.LessEq(t, 1, c.countRuns(q))
}

func (c *cluster) received() int {
	n := 0
	for _, s := range c.fleet.Searchers {
		n += s.State().Received
	}
	return n
}

// TestCallerDisconnects closes the caller's connection while the work runs. The
// work continues, and a resend gets its outcome.
func TestCallerDisconnects(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{Latency: 300 * time.Millisecond}, nil)
	q := newPrintQuery(t)
	body, err := json.Marshal(q)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemons[0].settings.CallerAddress+"/v1/query", bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := c.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	c.waitClaim(t, q, rrclaim.StateDone)
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[1], q).Outcome)
	must.Eq(t, 1, c.countRuns(q))
}

// TestConnectionCutAfterRun closes the searcher's connection after the run and
// before the answer.
func TestConnectionCutAfterRun(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	for _, s := range c.fleet.Searchers {
		s.UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.AbortBeforeReply = true })
	}
	q := newPrintQuery(t)
	for range 3 {
		for _, d := range c.daemons {
			must.Eq(t, rrquery.OutcomeUnknown, c.query(t, d, q).Outcome)
		}
	}
	must.Eq(t, 1, c.countRuns(q))
}

// TestStoreAnswerLost drops the store's response to a write that took effect.
func TestStoreAnswerLost(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	for range 10 {
		q := newPrintQuery(t)
		c.fleet.Platform.SetFaults(rrplatformfake.Faults{LoseAnswers: 1})
		must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[0], q).Outcome)
		must.Eq(t, 1, c.countRuns(q))
		c.waitClaim(t, q, rrclaim.StateDone)
		must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[1], q).Outcome)
		must.Eq(t, 1, c.countRuns(q))
	}
}

// TestClaimsDuringStoreOutage makes the store slow and then unavailable. New
// non-idempotent work is refused and not run, the owner still returns the
// outcomes that it has recorded, and idempotent work continues.
func TestClaimsDuringStoreOutage(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	completed, q := newPrintQuery(t), newPrintQuery(t)
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[0], completed).Outcome)
	c.waitClaim(t, completed, rrclaim.StateDone)
	for _, f := range []rrplatformfake.Faults{{Delay: 10 * time.Second}, {Down: true}} {
		c.fleet.Platform.SetFaults(f)
		time.Sleep(500 * time.Millisecond)
		for _, d := range c.daemons {
			start := time.Now()
			a := c.query(t, d, q)
			t.Logf("%+v: refused after %s", f, time.Since(start))
			must.Eq(t, rrquery.OutcomeRefused, a.Outcome)
			must.Eq(t, rrquery.ReasonStore, a.Reason)
			must.True(t, a.NotRun)
			must.Positive(t, a.RetryAfter)
			must.Eq(t, 0, c.countRuns(q))
			must.Eq(t, rrquery.OutcomeComplete, c.query(t, d, completed).Outcome)
			search := &rrquery.Query{Service: "search", Rank: "urgent", Body: json.RawMessage(`1`)}
			must.Eq(t, rrquery.OutcomeComplete, c.query(t, d, search).Outcome)
		}
	}
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	eventually(t, "work completed after the outage", 15*time.Second, func() bool {
		return c.query(t, c.daemons[0], q).Outcome == rrquery.OutcomeComplete
	})
	must.Eq(t, 1, c.countRuns(q))
	must.Eq(t, 1, c.countRuns(completed))
}
