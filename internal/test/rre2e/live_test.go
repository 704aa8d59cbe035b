package rre2e_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
)

const (
	// liveCallers is the number of concurrent callers of the live benchmark.
	liveCallers = 32
	// clockTick is the unit of the CPU times in /proc/PID/stat.
	clockTick = time.Second / 100
)

// liveShards is the number of shards that each query of the live benchmark
// searches.
var liveShards = flag.Int("liveshards", 40, "number of shards that each query of the live benchmark searches")

// liveProfile is the folder for CPU profiles of the live benchmark.
var liveProfile = flag.String("liveprofile", "", "folder for CPU profiles of the live benchmark")

// writeProfile writes a CPU profile of the daemon to the folder.
func (c *cluster) writeProfile(tb testing.TB, d *daemon, folder string) {
	tb.Helper()
	resp, err := c.client.Get("http://" + d.settings.OperatorAddress + "/debug/pprof/profile?seconds=5")
	must.NoError(tb, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	must.NoError(tb, err)
	must.NoError(tb, os.WriteFile(filepath.Join(folder, string(d.settings.Instance)+".prof"), b, 0o600))
}

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(tb testing.TB, pid int) time.Duration {
	tb.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must.NoError(tb, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	const user, system = 11, 12
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		must.NoError(tb, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// BenchmarkLive sends queries through built daemons, one that is only an entry and
// two that are only owners, and reports the CPU time of each role per subquery. It
// checks no bound.
func BenchmarkLive(b *testing.B) {
	n := 0
	c := startCluster(b, clusterConfig{
		daemons:   3,
		def:       smallDefinition(b, *liveShards, 2),
		behaviour: rrsearcherfake.Behaviour{Latency: time.Millisecond},
		changeSettings: func(s *rrsettings.Settings) {
			if n == 0 {
				s.Zone, s.Region = "r2-1", "r2"
			}
			n++
		},
	})
	var entryTime, ownerTime time.Duration
	addCPUTime := func(sign time.Duration) {
		entryTime += sign * cpuTime(b, c.daemons[0].cmd.Process.Pid)
		ownerTime += sign * (cpuTime(b, c.daemons[1].cmd.Process.Pid) + cpuTime(b, c.daemons[2].cmd.Process.Pid))
	}
	var sent, complete atomic.Int64
	addCPUTime(-1)
	b.ResetTimer()
	var wg sync.WaitGroup
	for range liveCallers {
		wg.Go(func() {
			for {
				i := sent.Add(1)
				if i > int64(b.N) {
					return
				}
				q := &rrquery.Query{Service: "search", Rank: "batch", Body: json.RawMessage(strconv.Itoa(int(i)))}
				a, err := c.tryQuery(c.daemons[0], q)
				for err == nil && a.Outcome == rrquery.OutcomeRefused {
					time.Sleep(a.RetryAfter.Std())
					a, err = c.tryQuery(c.daemons[0], q)
				}
				if err == nil && a.Outcome == rrquery.OutcomeComplete {
					complete.Add(1)
				}
			}
		})
	}
	if *liveProfile != "" {
		for _, d := range c.daemons[:2] {
			wg.Go(func() { c.writeProfile(b, d, *liveProfile) })
		}
	}
	wg.Wait()
	b.StopTimer()
	addCPUTime(1)
	subqueries := float64(b.N) * float64(*liveShards)
	b.ReportMetric(float64(entryTime.Microseconds())/subqueries, "entry-us/sub")
	b.ReportMetric(float64(ownerTime.Microseconds())/subqueries, "owner-us/sub")
	b.ReportMetric(float64(complete.Load())/float64(b.N), "whole")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "queries/s")
}
