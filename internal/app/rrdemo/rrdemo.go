// Package rrdemo runs a demo deployment in one process: a fake platform, fake
// searchers, three daemons and callers of every rank. It crashes one searcher,
// submits patches, prints what happens and checks the results.
package rrdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrexample"
)

// Deployment is the name of an example deployment.
type Deployment string

// The example deployments.
const (
	DeploymentSelkamerkki Deployment = "selkamerkki"
	DeploymentLakeside    Deployment = "lakeside"
)

// definition returns the definition of the deployment.
func (d Deployment) definition() (*rrdefinition.Definition, error) {
	switch d {
	case DeploymentSelkamerkki:
		return rrexample.Selkamerkki()
	case DeploymentLakeside:
		return rrexample.Lakeside()
	default:
		return nil, eris.Errorf("unknown deployment %q", d)
	}
}

// Durations of the demo.
const (
	totalTimeout = 28 * time.Second
	startTimeout = 10 * time.Second
	// convergenceTimeout bounds the time until all daemons have applied an accepted
	// definition.
	convergenceTimeout = 10 * time.Second
	phaseDuration      = 3 * time.Second
)

// demo is one run of the demo.
type demo struct {
	out        io.Writer
	start      time.Time
	deployment Deployment
	cluster    *cluster
	load       *loadGenerator
	// failures describes the failed checks.
	failures []string
}

// Run runs the demo and prints what happens to out. Daemons log to logger. It
// returns an error if a check failed.
func Run(ctx context.Context, deployment Deployment, out io.Writer, logger *log.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	d := &demo{out: out, start: time.Now(), deployment: deployment}
	def, err := deployment.definition()
	if err != nil {
		return err
	}
	d.printf("Starting %s: a fake platform, %d fake searchers and 3 daemons.", deployment, countSearchers(def))
	if d.cluster, err = startCluster(ctx, def, logger); err != nil {
		return eris.Wrap(err, "starting the demo")
	}
	err = d.runPhases(ctx)
	if stopErr := d.cluster.stop(); stopErr != nil {
		err = errors.Join(err, eris.Wrap(stopErr, "stopping the demo"))
	} else {
		d.printf("The three daemons have stopped without errors.")
	}
	if err != nil {
		return err
	}
	return d.result()
}

// runPhases runs the phases of the demo in order.
func (d *demo) runPhases(ctx context.Context) error {
	if err := d.cluster.waitHealthy(ctx); err != nil {
		return err
	}
	d.printf("All daemons are healthy and have definition %d in use.", d.cluster.def.Number)
	if err := d.queryEachRank(ctx); err != nil {
		return err
	}
	if err := d.sendNonIdempotent(ctx); err != nil {
		return err
	}
	d.load = startLoadGenerator(ctx, d.cluster)
	defer d.load.stop()
	d.printf("Callers now send queries of every rank to all three daemons.")
	d.runPhase(ctx, "all searchers up")
	if err := d.crashSearcher(); err != nil {
		return err
	}
	d.runPhase(ctx, "one searcher lost")
	if err := d.submitPatches(ctx); err != nil {
		return err
	}
	d.runPhase(ctx, "after the patch")
	return ctx.Err()
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// failf records and prints a failed check.
func (d *demo) failf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.failures = append(d.failures, text)
	d.printf("CHECK FAILED: %s", text)
}

func (d *demo) result() error {
	if len(d.failures) == 0 {
		d.printf("All checks passed.")
		return nil
	}
	return eris.Errorf("%d checks failed; the first: %s", len(d.failures), d.failures[0])
}

func countSearchers(def *rrdefinition.Definition) int {
	n := 0
	for i := range def.Services {
		for j := range def.Services[i].Layouts {
			for k := range def.Services[i].Layouts[j].Shards {
				n += len(def.Services[i].Layouts[j].Shards[k].Searchers)
			}
		}
	}
	return n
}
