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

// askEach asks one query of every rank and shows its answer.
func (d *demo) askEach(ctx context.Context) error {
	for i, rank := range d.cluster.def.Ranks {
		q := d.cluster.makeQuery(i, i)
		start := time.Now()
		a, err := d.cluster.callers(i).Query(ctx, q)
		if err != nil {
			return eris.Wrapf(err, "asking a query of rank %s", rank.Name)
		}
		d.say("One query of rank %s to %s: %s, %d of %d shards, %d hits of snapshot %s@%d, in %s.",
			rank.Name, q.Service, a.Outcome, len(a.Covered), len(a.Covered)+len(a.Missing), len(a.Hits),
			a.Snapshot.Layout, a.Snapshot.Version, time.Since(start).Round(100*time.Microsecond))
		if wrong := d.cluster.check(q, a); wrong != "" {
			d.fault("%s", wrong)
		}
	}
	return nil
}

// phase lets the callers ask for a while and shows what each rank got.
func (d *demo) phase(ctx context.Context, name string) {
	d.load.take()
	rrunit.Sleep(ctx, phaseTime)
	tallies := d.load.take()
	d.say("Answers in %s, %s:", phaseTime, name)
	for _, rank := range d.cluster.def.Ranks {
		d.showTally(rank, tallies[rank.Name])
	}
}

func (d *demo) showTally(rank rrdefinition.Rank, t *tally) {
	complete, partial := t.outcomes[rrquery.OutcomeComplete], t.outcomes[rrquery.OutcomePartial]
	other := len(t.latencies) - complete - partial
	d.say("  rank %-12s %4d complete, %d partial, %d refused or failed; half within %s, 99 in 100 within %s (target %s)",
		rank.Name, complete, partial, other, t.quantile(0.5), t.quantile(0.99), rank.LatencyTarget)
	if complete == 0 {
		d.fault("rank %s got no complete answer", rank.Name)
	}
	if len(t.wrong) > 0 {
		d.fault("rank %s, %d times: %s", rank.Name, len(t.wrong), t.wrong[0])
	}
}

// loseSearcher stops one searcher without a word.
func (d *demo) loseSearcher() error {
	service := d.cluster.manyShards()[0]
	shard := service.Layouts[0].Shards[0]
	lost := shard.Searchers[0].ID
	d.say("Searcher %s is lost without warning. Its shard %s of %s has %d others.",
		lost, shard.Name, service.Name, len(shard.Searchers)-1)
	return eris.Wrapf(d.cluster.fleet.Searchers[lost].Close(), "stopping searcher %s", lost)
}

// patch submits a change, sends it again, and submits one of a racing operator.
func (d *demo) patch(ctx context.Context) error {
	base := d.cluster.def.Number
	ours := &rrpatch.Submission{
		Base:   base,
		Change: newChange(),
		Patch:  json.RawMessage(`[{"op":"replace","path":"/limits/extra","value":0.04}]`),
	}
	theirs := &rrpatch.Submission{Base: base, Change: newChange(), Patch: ours.Patch}
	d.say("An operator submits a patch against number %d: hedges and retries may add 4%% load.", base)
	start := time.Now()
	if err := d.submit(ctx, 0, ours, rrpatch.OutcomeAccepted); err != nil {
		return err
	}
	if d.waitForce(ctx, base+1) {
		d.say("Number %d is in force everywhere, and every daemon knows it, after %s.", base+1, time.Since(start).Round(time.Millisecond))
	} else {
		d.fault("number %d is not in force everywhere within %s", base+1, limitForce)
	}
	d.say("The same patch is sent again, as if its answer had been lost.")
	if err := d.submit(ctx, 1, ours, rrpatch.OutcomeRepeated); err != nil {
		return err
	}
	d.say("Another operator submits a patch against number %d, which is no longer in force.", base)
	return d.submit(ctx, 2, theirs, rrpatch.OutcomeConflict)
}

func newChange() rrunit.ChangeID { return rrunit.ChangeID(uuid.NewString()) }

// submit submits a change to the n-th daemon and shows the outcome.
func (d *demo) submit(ctx context.Context, n int, s *rrpatch.Submission, want rrpatch.Outcome) error {
	p, err := d.cluster.operators(n).Patch(ctx, s)
	if err != nil {
		return eris.Wrap(err, "submitting a patch")
	}
	switch p.Outcome {
	case rrpatch.OutcomeAccepted:
		d.say("  Accepted as number %d.", p.Number)
	case rrpatch.OutcomeRepeated:
		d.say("  Recognised: already applied as number %d, not applied twice.", p.Number)
	case rrpatch.OutcomeConflict:
		d.say("  Conflict: number %d is in force; nothing changed.", p.Number)
	default:
		d.say("  %s: %s", p.Outcome, p.Error)
	}
	if p.Outcome != want {
		d.fault("the outcome of the patch is %s in place of %s", p.Outcome, want)
	}
	return nil
}

// waitForce waits until every daemon says that the number is in force at all.
func (d *demo) waitForce(ctx context.Context, number rrunit.DefinitionNumber) bool {
	ctx, cancel := context.WithTimeout(ctx, limitForce)
	defer cancel()
	for ctx.Err() == nil {
		if d.inForce(ctx) >= number {
			return true
		}
		rrunit.Sleep(ctx, probePause)
	}
	return false
}

// inForce returns the lowest number that a daemon says is in force.
func (d *demo) inForce(ctx context.Context) rrunit.DefinitionNumber {
	var lowest rrunit.DefinitionNumber
	for n := range d.cluster.settings {
		st, err := d.cluster.operators(n).Status(ctx)
		if err != nil {
			return 0
		}
		if n == 0 || st.Converged < lowest {
			lowest = st.Converged
		}
	}
	return lowest
}
