// Package rre2e_test runs the built programs as separate processes on loopback.
package rre2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrplatform"
	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrfleet"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/port/rrstore"
)

// builtPrograms builds the programs once for all tests.
var builtPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rre2e")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir, "rhubarbreel.example/rhubarbreel/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := builtPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// sharedPorts allocates the ports of all tests.
var sharedPorts = rrfleet.NewPorts()

// freePort returns a loopback address that was free when it was allocated.
func freePort(t testing.TB) string {
	t.Helper()
	address, err := sharedPorts.FreeAddress(context.Background())
	must.NoError(t, err)
	return address
}

// daemon is one running process of rhubarbreeld.
type daemon struct {
	settings   rrsettings.Settings
	configPath string
	cmd        *exec.Cmd
	logs       *bytes.Buffer
	done       chan error
}

// start starts the process.
func (d *daemon) start(t testing.TB) {
	t.Helper()
	dir, err := builtPrograms()
	must.NoError(t, err)
	d.logs = new(bytes.Buffer)
	d.cmd = exec.Command(filepath.Join(dir, "rhubarbreeld"), "--config", d.configPath)
	d.cmd.Stderr = d.logs
	must.NoError(t, d.cmd.Start())
	d.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(d.cmd, d.done)
}

func (d *daemon) signal(t *testing.T, sig os.Signal) {
	t.Helper()
	must.NoError(t, d.cmd.Process.Signal(sig))
}

// wait returns the exit error of the process, and fails the test if the process
// does not exit within the limit.
func (d *daemon) wait(t testing.TB, limit time.Duration) error {
	t.Helper()
	select {
	case err := <-d.done:
		d.done <- err
		return err
	case <-time.After(limit):
		t.Fatalf("%s did not exit within %s", d.settings.Instance, limit)
		return nil
	}
}

// cluster consists of daemon processes, and of a platform and searchers faked in
// the test's process.
type cluster struct {
	def             *rrdefinition.Definition
	fleet           *rrfleet.Fleet
	platformAddress string
	daemons         []*daemon
	client          *http.Client
}

// clusterConfig holds the parameters of a cluster.
type clusterConfig struct {
	daemons        int
	def            *rrdefinition.Definition
	behaviour      rrsearcherfake.Behaviour
	changeSettings func(*rrsettings.Settings)
	// beforeStart runs after the settings of all daemons are written and before
	// the daemons start.
	beforeStart func(*cluster)
}

// smallDefinition returns a definition with the service search of the given
// number of shards and replicas and the single-shard service print, on free
// ports.
func smallDefinition(t testing.TB, shards, replicas int) *rrdefinition.Definition {
	t.Helper()
	duration := func(d time.Duration) rrunit.Duration { return rrunit.Duration(d) }
	def := &rrdefinition.Definition{
		Number: 1,
		Ranks: []rrdefinition.Rank{
			{Name: "urgent", LatencyTarget: duration(60 * time.Millisecond), Floor: 0.4, DefaultDeadline: duration(time.Second), MaxDeadline: duration(5 * time.Second)},
			{Name: "normal", LatencyTarget: duration(120 * time.Millisecond), Floor: 0.2, DefaultDeadline: duration(2 * time.Second), MaxDeadline: duration(5 * time.Second)},
			{Name: "batch", LatencyTarget: duration(time.Second), Floor: 0.1, DefaultDeadline: duration(5 * time.Second), MaxDeadline: duration(30 * time.Second)},
		},
		Limits: rrdefinition.Limits{
			Body: 64 << 10, Hits: 100, Queue: 256, ExtraShare: 0.05,
			QuarantineDuration: duration(time.Minute), ClaimRetention: duration(time.Hour),
		},
		Services: []rrdefinition.Service{
			{Name: "search", Layouts: []rrdefinition.Layout{{Name: "base", Shards: smallShards(t, "search", shards, replicas)}}},
			{Name: "print", Layouts: []rrdefinition.Layout{{Name: "base", Shards: smallShards(t, "print", 1, replicas)}}},
		},
	}
	must.NoError(t, def.Prepare())
	return def
}

func smallShards(t testing.TB, service string, shards, replicas int) []rrdefinition.Shard {
	t.Helper()
	out := make([]rrdefinition.Shard, 0, shards)
	for i := range shards {
		s := rrdefinition.Shard{Name: rrunit.ShardName(fmt.Sprintf("%02d", i)), Region: "r1"}
		for j := range replicas {
			s.Searchers = append(s.Searchers, rrdefinition.Searcher{
				ID:      rrunit.SearcherID(fmt.Sprintf("%s-%02d-%c", service, i, 'a'+j)),
				Address: freePort(t), Zone: "r1-1", Region: "r1", Slots: 3, Connections: 30,
			})
		}
		out = append(out, s)
	}
	return out
}

// startCluster starts the fakes and the daemons and waits until all daemons are
// healthy.
func startCluster(t testing.TB, cfg clusterConfig) *cluster {
	t.Helper()
	if len(cfg.behaviour.Versions) == 0 {
		cfg.behaviour.Versions = []rrunit.IndexVersion{1}
	}
	c := &cluster{def: cfg.def, platformAddress: freePort(t), client: &http.Client{Timeout: 30 * time.Second}}
	fleet, err := rrfleet.Start(context.Background(), c.platformAddress, cfg.def, cfg.behaviour)
	must.NoError(t, err)
	c.fleet = fleet
	for i := range cfg.daemons {
		c.daemons = append(c.daemons, c.newDaemon(t, i, cfg.changeSettings))
	}
	c.publish()
	if cfg.beforeStart != nil {
		cfg.beforeStart(c)
	}
	for _, d := range c.daemons {
		d.start(t)
	}
	t.Cleanup(func() { c.close(t) })
	for _, d := range c.daemons {
		c.waitHealthy(t, d)
	}
	return c
}

func (c *cluster) newDaemon(t testing.TB, i int, change func(*rrsettings.Settings)) *daemon {
	t.Helper()
	s := rrsettings.Default()
	s.Instance = rrunit.InstanceID(fmt.Sprintf("d%d", i))
	s.Zone, s.Region = "r1-1", "r1"
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = freePort(t), freePort(t), freePort(t)
	s.PlatformURL = "http://" + c.platformAddress
	s.Times.LoadPollInterval = rrunit.Duration(100 * time.Millisecond)
	s.Times.ListInterval = rrunit.Duration(100 * time.Millisecond)
	s.Times.DrainDelay = rrunit.Duration(500 * time.Millisecond)
	if change != nil {
		change(&s)
	}
	b, err := json.Marshal(s)
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), string(s.Instance)+".json")
	must.NoError(t, os.WriteFile(path, b, 0o600))
	return &daemon{settings: s, configPath: path}
}

// instanceList returns an instance list in which all daemons are live.
func (c *cluster) instanceList() rrstore.List {
	list := make([]rrstore.Instance, 0, len(c.daemons))
	for _, d := range c.daemons {
		list = append(list, rrstore.Instance{
			ID: d.settings.Instance, Peer: d.settings.PeerAddress, Zone: d.settings.Zone, Region: d.settings.Region,
		})
	}
	return rrfleet.LiveInstances(list...)
}

// publish adds all daemons to the platform's instance list.
func (c *cluster) publish() { c.fleet.Platform.SetInstances(c.instanceList()) }

func (c *cluster) close(t testing.TB) {
	t.Helper()
	for _, d := range c.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		_ = d.wait(t, 10*time.Second)
		if t.Failed() {
			t.Logf("logs of %s:\n%s", d.settings.Instance, d.logs)
		}
	}
	_ = c.fleet.Close()
}

// eventually polls the condition and fails the test if it does not hold within
// the limit.
func eventually(t testing.TB, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *cluster) waitHealthy(t testing.TB, d *daemon) {
	t.Helper()
	eventually(t, "healthy "+string(d.settings.Instance), 10*time.Second, func() bool {
		resp, err := c.client.Get("http://" + d.settings.CallerAddress + "/healthz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// replaceDefinition writes the definition with the next number to the store and
// waits until every daemon has applied it.
func (c *cluster) replaceDefinition(t *testing.T, def *rrdefinition.Definition) {
	t.Helper()
	o := c.fleet.Platform.Object(rrdaemon.DefinitionKey)
	def.Number++
	value, err := json.Marshal(def)
	must.NoError(t, err)
	client := rrplatform.New("http://" + c.platformAddress)
	defer client.Close()
	_, err = client.Put(context.Background(), o.Key, value, o.Version)
	must.NoError(t, err)
	for _, d := range c.daemons {
		eventually(t, "definition applied by "+string(d.settings.Instance), 10*time.Second, func() bool {
			return c.definitionNumber(d) == def.Number
		})
	}
}

// definitionNumber returns the number of the definition that the daemon has
// applied, or zero if the request fails.
func (c *cluster) definitionNumber(d *daemon) rrunit.DefinitionNumber {
	resp, err := c.client.Get("http://" + d.settings.OperatorAddress + "/v1/definition")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var def rrdefinition.Definition
	if json.NewDecoder(resp.Body).Decode(&def) != nil {
		return 0
	}
	return def.Number
}

// post sends a raw request and returns status and body.
func (c *cluster) post(d *daemon, body []byte) (int, []byte, error) {
	resp, err := c.client.Post("http://"+d.settings.CallerAddress+"/v1/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// query sends a query, which must be answered, and returns the answer.
func (c *cluster) query(t *testing.T, d *daemon, q *rrquery.Query) *rrquery.Answer {
	t.Helper()
	a, err := c.tryQuery(d, q)
	must.NoError(t, err)
	return a
}

func (c *cluster) tryQuery(d *daemon, q *rrquery.Query) (*rrquery.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	_, b, err := c.post(d, body)
	if err != nil {
		return nil, err
	}
	var a rrquery.Answer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decoding %s: %w", b, err)
	}
	return &a, nil
}

// checkHits recomputes an answer's hits from its snapshot and covered shards.
func (c *cluster) checkHits(t *testing.T, q *rrquery.Query, a *rrquery.Answer) {
	t.Helper()
	layout := c.def.Service(q.Service).Layout(a.Snapshot.Layout)
	must.NotNil(t, layout)
	limit := q.Limit
	if limit == 0 {
		limit = rrquery.DefaultLimit
	}
	want := rrsearcherfake.ExpectedHits(layout, a.Covered, q.Service, a.Snapshot.Version, q.Body, limit)
	must.Eq(t, want, a.Hits)
}
