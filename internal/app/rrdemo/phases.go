package rrdemo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpatch"
)

// queryEachRank sends one query of every rank and prints its answer.
func (d *demo) queryEachRank(ctx context.Context) error {
	for i, rank := range d.cluster.def.Ranks {
		q := d.cluster.makeQuery(i, i)
		start := time.Now()
		a, err := d.cluster.callerClient(i).Query(ctx, q)
		if err != nil {
			return eris.Wrapf(err, "sending a query of rank %s", rank.Name)
		}
		d.printf("One query of rank %s to %s: %s, %d of %d shards, %d hits of snapshot %s@%d, in %s.",
			rank.Name, q.Service, a.Outcome, len(a.Covered), len(a.Covered)+len(a.Missing), len(a.Hits),
			a.Snapshot.Layout, a.Snapshot.Version, time.Since(start).Round(100*time.Microsecond))
		if problem := d.cluster.checkAnswer(q, a); problem != "" {
			d.failf("%s", problem)
		}
	}
	return nil
}

// runPhase collects results for phaseDuration and prints those of each rank.
func (d *demo) runPhase(ctx context.Context, name string) {
	d.load.takeResults()
	rrunit.Sleep(ctx, phaseDuration)
	results := d.load.takeResults()
	d.printf("Answers in %s, %s:", phaseDuration, name)
	for _, rank := range d.cluster.def.Ranks {
		d.printResults(rank, results[rank.Name])
	}
}

func (d *demo) printResults(rank rrdefinition.Rank, r *rankResults) {
	complete, partial := r.outcomes[rrquery.OutcomeComplete], r.outcomes[rrquery.OutcomePartial]
	other := len(r.latencies) - complete - partial
	d.printf("  rank %-12s %4d complete, %d partial, %d refused or failed; half within %s, 99 in 100 within %s (target %s)",
		rank.Name, complete, partial, other, r.quantile(0.5), r.quantile(0.99), rank.LatencyTarget)
	if complete == 0 {
		d.failf("rank %s got no complete answer", rank.Name)
	}
	if len(r.errors) > 0 {
		d.failf("rank %s, %d times: %s", rank.Name, len(r.errors), r.errors[0])
	}
}

// crashSearcher stops one searcher without notice.
func (d *demo) crashSearcher() error {
	service := d.cluster.multiShardServices()[0]
	shard := service.Layouts[0].Shards[0]
	searcher := shard.Searchers[0].ID
	d.printf("Searcher %s is stopped without notice. Its shard %s of %s has %d others.",
		searcher, shard.Name, service.Name, len(shard.Searchers)-1)
	return eris.Wrapf(d.cluster.fleet.Searchers[searcher].Close(), "stopping searcher %s", searcher)
}

// submitPatches submits a change, submits it again, and submits a conflicting one
// of another operator.
func (d *demo) submitPatches(ctx context.Context) error {
	base := d.cluster.def.Number
	first := &rrpatch.Submission{
		Base:   base,
		Change: newChange(),
		Patch:  json.RawMessage(`[{"op":"replace","path":"/limits/extra","value":0.04}]`),
	}
	conflicting := &rrpatch.Submission{Base: base, Change: newChange(), Patch: first.Patch}
	d.printf("An operator submits a patch to definition %d: hedges and retries may add 4%% load.", base)
	start := time.Now()
	if err := d.submit(ctx, 0, first, rrpatch.OutcomeAccepted); err != nil {
		return err
	}
	if d.waitConverged(ctx, base+1) {
		d.printf("All daemons have applied definition %d, and report so, after %s.", base+1, time.Since(start).Round(time.Millisecond))
	} else {
		d.failf("not all daemons have applied definition %d within %s", base+1, convergenceTimeout)
	}
	d.printf("The same patch is sent again, as if its answer had been lost.")
	if err := d.submit(ctx, 1, first, rrpatch.OutcomeRepeated); err != nil {
		return err
	}
	d.printf("Another operator submits a patch to definition %d, which is no longer current.", base)
	return d.submit(ctx, 2, conflicting, rrpatch.OutcomeConflict)
}

func newChange() rrunit.ChangeID { return rrunit.ChangeID(uuid.NewString()) }

// submit submits a change to the n-th daemon and prints the outcome.
func (d *demo) submit(ctx context.Context, n int, s *rrpatch.Submission, want rrpatch.Outcome) error {
	p, err := d.cluster.operatorClient(n).Patch(ctx, s)
	if err != nil {
		return eris.Wrap(err, "submitting a patch")
	}
	switch p.Outcome {
	case rrpatch.OutcomeAccepted:
		d.printf("  Accepted as definition %d.", p.Number)
	case rrpatch.OutcomeRepeated:
		d.printf("  Duplicate: already applied as definition %d, not applied twice.", p.Number)
	case rrpatch.OutcomeConflict:
		d.printf("  Conflict: definition %d is current; nothing changed.", p.Number)
	default:
		d.printf("  %s: %s", p.Outcome, p.Error)
	}
	if p.Outcome != want {
		d.failf("the outcome of the patch is %s instead of %s", p.Outcome, want)
	}
	return nil
}

// waitConverged waits until every daemon reports that all have applied the
// definition.
func (d *demo) waitConverged(ctx context.Context, number rrunit.DefinitionNumber) bool {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if d.convergedNumber(ctx) >= number {
			return true
		}
		rrunit.Sleep(ctx, pollInterval)
	}
	return false
}

// convergedNumber returns the lowest definition number that a daemon reports as
// converged.
func (d *demo) convergedNumber(ctx context.Context) rrunit.DefinitionNumber {
	var lowest rrunit.DefinitionNumber
	for n := range d.cluster.settings {
		st, err := d.cluster.operatorClient(n).Status(ctx)
		if err != nil {
			return 0
		}
		if n == 0 || st.Converged < lowest {
			lowest = st.Converged
		}
	}
	return lowest
}
