package rrdemo

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// nonIdempotentService returns the deployment's service with non-idempotent
// requests: label prints or deposits.
func (d Deployment) nonIdempotentService() rrunit.ServiceName {
	if d == DeploymentLakeside {
		return "deposit-desk"
	}
	return "painojono"
}

// sendNonIdempotent sends the same non-idempotent request to two daemons, like a
// caller that retries after a lost answer, and checks that it ran once.
func (d *demo) sendNonIdempotent(ctx context.Context) error {
	id, err := uuid.NewV7()
	if err != nil {
		return eris.Wrap(err, "generating a request id")
	}
	q := &rrquery.Query{
		Service:    d.deployment.nonIdempotentService(),
		Rank:       d.cluster.def.Ranks[0].Name,
		Caller:     "demo-once",
		ID:         rrunit.RequestID(id.String()),
		Deadline:   queryDeadline,
		Idempotent: new(bool),
		Body:       json.RawMessage(`{"work":"once"}`),
	}
	d.printf("A caller sends a request to %s that may run only once, and sends it again to another daemon.", q.Service)
	for n := range 2 {
		a, err := d.cluster.callerClient(n).Query(ctx, q)
		if err != nil {
			return eris.Wrapf(err, "sending a non-idempotent request to %s", q.Service)
		}
		d.printf("  Sent to daemon %s: %s, %d hits.", d.cluster.settings[n].Instance, a.Outcome, len(a.Hits))
		if a.Outcome != rrquery.OutcomeComplete {
			d.failf("the outcome of a non-idempotent request is %s (%s)", a.Outcome, a.Reason)
		}
	}
	runs := d.cluster.executionCount(q.ID)
	d.printf("  The searchers ran it %d time(s).", runs)
	if runs != 1 {
		d.failf("a non-idempotent request ran %d times", runs)
	}
	return nil
}

// executionCount returns how often the fake searchers ran the request.
func (c *cluster) executionCount(id rrunit.RequestID) int {
	n := 0
	for _, s := range c.fleet.Searchers {
		for _, r := range s.State().Executions {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}
