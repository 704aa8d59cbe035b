package rre2e_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/adapter/rrhttp"
	"rhubarbreel.example/rhubarbreel/internal/app/rrcommand"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrplatformfake"
	"rhubarbreel.example/rhubarbreel/internal/fake/rrsearcherfake"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

// programResult holds the exit code and output of a program.
type programResult struct {
	code           int
	stdout, stderr string
}

// runProgram runs a built program with the given standard input until it exits.
func runProgram(t *testing.T, stdin, name string, args ...string) programResult {
	t.Helper()
	dir, err := builtPrograms()
	must.NoError(t, err)
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(t.Context(), filepath.Join(dir, name), args...)
	cmd.Stdin = strings.NewReader(stdin)
	cmd.Stdout = &out
	cmd.Stderr = &errs
	_ = cmd.Run()
	return programResult{cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// runClient runs the operators' command-line client against one daemon.
func (c *cluster) runClient(t *testing.T, d *daemon, stdin string, args ...string) programResult {
	t.Helper()
	addresses := []string{"--operators", d.settings.OperatorAddress, "--callers", d.settings.CallerAddress, "--output", "json"}
	return runProgram(t, stdin, "rhubarbreel", append(args, addresses...)...)
}

// clientDefinitionNumber returns the number of the definition that a daemon
// has applied, read with the operators' client.
func (c *cluster) clientDefinitionNumber(t *testing.T, d *daemon) rrunit.DefinitionNumber {
	t.Helper()
	r := c.runClient(t, d, "", "definition", "get")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	def, err := rrdefinition.Decode([]byte(r.stdout))
	must.NoError(t, err)
	return def.Number
}

// getOperators returns the body that the operators' port of a daemon serves at the
// path.
func (c *cluster) getOperators(t *testing.T, d *daemon, path string) []byte {
	t.Helper()
	resp, err := c.client.Get("http://" + d.settings.OperatorAddress + path)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return b
}

const (
	setHitsPatch = `[{"op":"replace","path":"/limits/hits","value":50}]`
	changeID     = "0191d1f0-0000-7000-8000-000000000001"
)

func TestOperatorsPatch(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 3, def: smallDefinition(t, 2, 2)})
	patch := func(n int, patch string, args ...string) (programResult, rrhttp.PatchResponse) {
		r := c.runClient(t, c.daemons[n], patch, append([]string{"definition", "patch", "-"}, args...)...)
		var p rrhttp.PatchResponse
		_ = json.Unmarshal([]byte(r.stdout), &p)
		return r, p
	}
	r, p := patch(0, setHitsPatch, "--base", "1", "--change", changeID)
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	must.Eq(t, 2, p.Number)
	c.waitConverged(t, 2)

	r = c.runClient(t, c.daemons[1], "", "definition", "status")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	var st rrmember.Status
	must.NoError(t, json.Unmarshal([]byte(r.stdout), &st))
	must.Eq(t, rrmember.Status{Converged: 2, Newest: 2, Members: 3, Lagging: []rrmember.Lagging{}}, st)

	r, p = patch(1, setHitsPatch, "--base", "1", "--change", changeID)
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	must.Eq(t, "repeated", string(p.Outcome))

	r, p = patch(2, setHitsPatch, "--base", "1")
	must.Eq(t, rrcommand.ExitConflict, r.code)
	must.Eq(t, 2, p.Number)
	must.StrContains(t, r.stderr, "number 2 is in force")

	r, _ = patch(0, `[{"op":"replace","path":"/limits/hits","value":0}]`, "--base", "2")
	must.Eq(t, rrcommand.ExitUsage, r.code)
	must.StrContains(t, r.stderr, "limits.hits")

	r, _ = patch(0, setHitsPatch)
	must.Eq(t, rrcommand.ExitUsage, r.code)
	must.StrContains(t, r.stderr, "base")

	c.fleet.Platform.SetFaults(rrplatformfake.Faults{LoseAnswers: 1})
	r, p = patch(0, setHitsPatch, "--base", "2")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	must.Eq(t, 3, p.Number)
	c.waitConverged(t, 3)

	c.fleet.Platform.SetFaults(rrplatformfake.Faults{Down: true})
	r, p = patch(0, setHitsPatch, "--base", "3")
	must.Eq(t, rrcommand.ExitFailed, r.code)
	must.StrContains(t, r.stderr, "nothing changed")
	must.False(t, p.Uncertain)
	must.Eq(t, 3, c.clientDefinitionNumber(t, c.daemons[0]))
}

func TestOperatorsInit(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, def: smallDefinition(t, 1, 1)})
	definitionJSON, err := json.Marshal(c.def)
	must.NoError(t, err)
	r := c.runClient(t, c.daemons[0], string(definitionJSON), "definition", "init", "-")
	must.Eq(t, rrcommand.ExitConflict, r.code, must.Sprint(r.stderr))
	r = c.runClient(t, c.daemons[0], string(definitionJSON), "definition", "check", "-")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
}

func TestOperatorsQueryAndDump(t *testing.T) {
	c := startCluster(t, clusterConfig{daemons: 1, def: smallDefinition(t, 2, 1)})
	d := c.daemons[0]
	query := func(args ...string) programResult {
		return c.runClient(t, d, "", append([]string{"query", `{"terms":"84.2"}`}, args...)...)
	}
	r := query("--service", "search", "--rank", "urgent")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	r = query("--service", "search", "--rank", "royal")
	must.Eq(t, rrcommand.ExitUsage, r.code)
	must.StrContains(t, r.stderr, "rank")

	r = c.runClient(t, d, "", "dump", "d0")
	must.Eq(t, rrcommand.ExitOK, r.code, must.Sprint(r.stderr))
	var dump struct {
		Instance    struct{ ID string }
		Definition  int
		Shards      []struct{ Searchers []struct{ Slots int } }
		Connections map[string]int
	}
	must.NoError(t, json.Unmarshal([]byte(r.stdout), &dump))
	must.Eq(t, "d0", dump.Instance.ID)
	must.Eq(t, 1, dump.Definition)
	must.NotEq(t, 0, len(dump.Shards))
	must.Eq(t, 3, dump.Shards[0].Searchers[0].Slots)
	must.MapNotEmpty(t, dump.Connections)
	r = c.runClient(t, d, "", "dump", "d9")
	must.Eq(t, rrcommand.ExitFailed, r.code)

	var vars struct {
		Memstats    struct{ Sys int }
		Rhubarbreel struct {
			Outcomes map[string]map[string]int
			Latency  map[string]struct{ P99 rrunit.Duration }
		}
	}
	must.NoError(t, json.Unmarshal(c.getOperators(t, d, "/debug/vars"), &vars))
	must.Eq(t, map[string]int{"complete": 1}, vars.Rhubarbreel.Outcomes["urgent"])
	must.Greater(t, 0, vars.Rhubarbreel.Latency["urgent"].P99)
	must.StrContains(t, string(c.getOperators(t, d, "/debug/pprof/goroutine?debug=1")), "goroutine profile")

	c.fleet.Searchers["search-00-a"].UpdateBehaviour(func(b *rrsearcherfake.Behaviour) { b.Versions = nil })
	eventually(t, "partial answer", 10*time.Second, func() bool {
		return query("--service", "search").code == rrcommand.ExitPartial
	})
}

func TestInvalidSettingsErrorNamesKey(t *testing.T) {
	for args, key := range map[string]string{
		"--instance x --zone z --region r --callers host:1":                              "callers",
		"--instance x --zone z --region r --callers 127.0.0.1:1 --operators 127.0.0.1:1": "operators",
		"--config /nonexistent": "/nonexistent",
		"--colour red":          "colour",
	} {
		r := runProgram(t, "", "rhubarbreeld", append([]string{"check"}, strings.Fields(args)...)...)
		must.Eq(t, rrcommand.ExitUsage, r.code)
		must.StrContains(t, r.stderr, key)
		must.Eq(t, 1, strings.Count(r.stderr, "\n"))
	}
}
