package rre2e_test

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrdaemon"
	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

// convergenceLimit is the time within which all daemons must have applied a change of
// the definition.
const convergenceLimit = 10 * time.Second

// storeNextDefinition stores the current definition under the next number.
func (c *cluster) storeNextDefinition(t testing.TB) rrunit.DefinitionNumber {
	t.Helper()
	o := c.fleet.Platform.Object(rrdaemon.DefinitionKey)
	def, err := rrdefinition.Decode(o.Value)
	must.NoError(t, err)
	def.Number++
	b, err := json.Marshal(def)
	must.NoError(t, err)
	must.NoError(t, c.fleet.Platform.Update(rrdaemon.DefinitionKey, b, o.Version))
	return def.Number
}

func (c *cluster) status(d *daemon) (rrmember.Status, error) {
	var st rrmember.Status
	resp, err := c.client.Get("http://" + d.settings.OperatorAddress + "/v1/status")
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st, nil
	}
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// waitConverged waits until every daemon reports that all members have applied the
// definition, and returns the time that this took.
func (c *cluster) waitConverged(t testing.TB, number rrunit.DefinitionNumber) time.Duration {
	t.Helper()
	start := time.Now()
	for _, d := range c.daemons {
		eventually(t, "definition converged at "+string(d.settings.Instance), convergenceLimit, func() bool {
			st, err := c.status(d)
			return err == nil && st.Converged == number
		})
	}
	return time.Since(start)
}

var appliedNumber = regexp.MustCompile(`definition in use" instance=\S+ number=(\d+)`)

// TestDefinitionOutage changes the definition, starts a daemon while the platform
// is unavailable, changes the definition while the platform serves stale reads,
// and changes it again. No daemon may apply an older definition after a newer one.
func TestDefinitionOutage(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 5, def: smallDefinition(t, 2, 1)})
	t.Logf("definition converged after %s", c.waitConverged(t, c.storeNextDefinition(t)))

	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Down: true})
	late := c.newDaemon(t, len(c.daemons), func(s *rrsettings.Settings) {
		s.Seeds = []string{c.daemons[1].settings.PeerAddress}
	})
	late.start(t)
	c.daemons = append(c.daemons, late)
	c.waitHealthy(t, late)
	st, err := c.status(late)
	must.NoError(t, err)
	must.Eq(t, 2, st.Newest)

	c.publish()
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{VersionLag: 1})
	c.storeNextDefinition(t)
	time.Sleep(rrmember.HeartbeatInterval)
	c.fleet.Platform.SetFaults(rrplatformfake.Faults{})
	t.Logf("definition converged after %s", c.waitConverged(t, c.storeNextDefinition(t)))
	for _, d := range c.daemons {
		must.NoError(t, d.cmd.Process.Kill())
		_ = d.wait(t, convergenceLimit)
		last := 0
		for _, m := range appliedNumber.FindAllStringSubmatch(d.logs.String(), -1) {
			n, err := strconv.Atoi(m[1])
			must.NoError(t, err)
			must.Greater(t, last, n)
			last = n
		}
		must.Eq(t, 4, last)
	}
}

// BenchmarkDefinitionConvergence measures the time until every daemon reports that
// all have applied a change, by the number of daemons on one machine. It checks no
// bound.
func BenchmarkDefinitionConvergence(b *testing.B) {
	for _, daemons := range []int{3, 9, 20} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			c := startCluster(b, clusterConfig{daemons: daemons, def: smallDefinition(b, 2, 1)})
			c.waitConverged(b, 1)
			b.ResetTimer()
			for range b.N {
				c.waitConverged(b, c.storeNextDefinition(b))
			}
		})
	}
}
