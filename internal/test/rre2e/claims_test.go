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

// newPrint returns a non-idempotent query with an id of its own.
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

// runsOf counts the runs of a query at all searchers.
func (c *cluster) countRuns(q *rrquery.Query) int {
	n := 0
	for _, s := range c.fleet.Searchers {
		for _, r := range s.State().Runs {
			if r.ID == q.ID && r.Caller == q.Caller {
				n++
			}
		}
	}
	return n
}

// claimState returns the state of the query's claim in the store, empty if
// there is none.
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

// owners returns the daemons in the order in which they own the service print.
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

// startPrinting starts a cluster and lets every daemon learn of all others.
func startPrintCluster(t *testing.T, behave rrsearcherfake.Behaviour, change func(*rrsettings.Settings)) *cluster {
	t.Helper()
	c := startCluster(t, clusterConfig{daemons: 3, def: smallDefinition(t, 2, 2), behaviour: behave, changeSettings: change})
	for _, d := range c.daemons {
		eventually(t, "a print by "+string(d.settings.Instance), 5*time.Second, func() bool {
			a, err := c.tryQuery(d, newPrintQuery(t))
			return err == nil && a.Outcome == rrquery.OutcomeComplete
		})
	}
	return c
}

// ask sends the query in the background.
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
		s.Set(func(b *rrsearcherfake.Behaviour) { b.Versions = []rrunit.IndexVersion{2} })
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

// TestResendsRace sends each id through all daemons at once.
func TestConcurrentResends(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{Latency: 5 * time.Millisecond}, nil)
	c.checkConcurrentResends(t, c.daemons)
}

// race sends ids through all daemons at once and checks that none runs twice,
// that a complete answer has one run, and that a resend tells of it.
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
			eventually(t, "the recorded outcome", 5*time.Second, func() bool {
				return c.query(t, daemons[0], q).Outcome == rrquery.OutcomeComplete
			})
		}
		must.LessEq(t, 1, c.countRuns(q))
	}
}

// TestTwoOwners gives each daemon a list that has only itself, so that each
// believes that it owns all shards.
func TestConflictingOwners(t *testing.T) {
	var c *cluster
	platformAddresses := make(map[rrunit.InstanceID]string)
	c = startCluster(t, clusterConfig{
		daemons: 3, def: smallDefinition(t, 1, 2), behaviour: rrsearcherfake.Behaviour{Latency: 5 * time.Millisecond},
		changeSettings: func(s *rrsettings.Settings) {
			platformAddresses[s.Instance] = freePort(t)
			s.Platform = "http://" + platformAddresses[s.Instance]
		},
		beforeStart: func(c *cluster) {
			for _, d := range c.daemons {
				c.serveOwnList(t, platformAddresses[d.settings.Instance], d)
			}
		},
	})
	c.checkConcurrentResends(t, c.daemons)
}

// serveView serves the platform at the address, with a list that has only d.
func (c *cluster) serveOwnList(t *testing.T, address string, d *daemon) {
	t.Helper()
	list := rrfleet.LiveList(rrstore.Instance{
		ID: d.settings.Instance, Peer: d.settings.Peers, Zone: d.settings.Zone, Region: d.settings.Region,
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

// TestOwnerFrozenAfterClaim freezes the owner once its claim is in the store
// and wakes it after the request's deadline: it must not run the work then.
func TestOwnerFrozenAfterClaim(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	q := newPrintQuery(t)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Late: 350 * time.Millisecond})
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

// freeze stops the process and waits until all its threads have stopped.
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

// TestOwnerFrozenBeforeClaim has the work wait at a frozen owner while a
// stand-by runs it. The owner wakes inside the deadline and must not run it too.
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

// TestOwnerKilledAfterClaim kills the owner between its claim and the send.
func TestOwnerKilledAfterClaim(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	q := newPrintQuery(t)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Late: 350 * time.Millisecond})
	answer := c.startQuery(owners[1], q)
	c.waitClaim(t, q, rrclaim.StateClaimed)
	owners[0].signal(t, syscall.SIGKILL)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	must.Eq(t, rrquery.OutcomeUnknown, (<-answer).Outcome)
	must.Eq(t, rrquery.OutcomeUnknown, c.query(t, owners[2], q).Outcome)
	must.Eq(t, 0, c.countRuns(q))
}

// TestOwnerKilledAfterSend kills the owner while a searcher has the work.
func TestOwnerKilledAfterSend(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	owners := c.owners()
	received := c.received()
	for _, s := range c.fleet.Searchers {
		s.Set(func(b *rrsearcherfake.Behaviour) { b.Latency = 300 * time.Millisecond })
	}
	q := newPrintQuery(t)
	answer := c.startQuery(owners[1], q)
	eventually(t, "the work at a searcher", 5*time.Second, func() bool { return c.received() > received })
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

// TestCallerGone drops the caller's connection while the work runs. The work
// goes on, and a resend gets its outcome.
func TestCallerDisconnects(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{Latency: 300 * time.Millisecond}, nil)
	q := newPrintQuery(t)
	body, err := json.Marshal(q)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemons[0].settings.Callers+"/v1/query", bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := c.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	c.waitClaim(t, q, rrclaim.StateDone)
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[1], q).Outcome)
	must.Eq(t, 1, c.countRuns(q))
}

// TestAnswerCutAfterRun breaks the searcher's connection after the run.
func TestConnectionCutAfterRun(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	for _, s := range c.fleet.Searchers {
		s.Set(func(b *rrsearcherfake.Behaviour) { b.CutAfter = true })
	}
	q := newPrintQuery(t)
	for range 3 {
		for _, d := range c.daemons {
			must.Eq(t, rrquery.OutcomeUnknown, c.query(t, d, q).Outcome)
		}
	}
	must.Eq(t, 1, c.countRuns(q))
}

// TestStoreAnswerLost loses the answer of each write after its effect.
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

// TestStoreDownClaims takes the store down: non-idempotent work is refused at
// once and not run, recorded outcomes are still given by the owner that has
// them, and other work goes on.
func TestClaimsDuringStoreOutage(t *testing.T) {
	c := startPrintCluster(t, rrsearcherfake.Behaviour{}, nil)
	done, q := newPrintQuery(t), newPrintQuery(t)
	must.Eq(t, rrquery.OutcomeComplete, c.query(t, c.daemons[0], done).Outcome)
	c.waitClaim(t, done, rrclaim.StateDone)
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
			must.Eq(t, rrquery.OutcomeComplete, c.query(t, d, done).Outcome)
			search := &rrquery.Query{Service: "search", Rank: "urgent", Body: json.RawMessage(`1`)}
			must.Eq(t, rrquery.OutcomeComplete, c.query(t, d, search).Outcome)
		}
	}
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	eventually(t, "the work after the outage", 15*time.Second, func() bool {
		return c.query(t, c.daemons[0], q).Outcome == rrquery.OutcomeComplete
	})
	must.Eq(t, 1, c.countRuns(q))
	must.Eq(t, 1, c.countRuns(done))
}
