package rrentry

import (
	"fmt"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrquery"
)

// claimMessage returns the message to the caller for a reason that concerns a claim,
// and an empty one for all other reasons.
func claimMessage(q *rrquery.Query, reason rrquery.Reason) string {
	switch reason {
	case rrquery.ReasonDuplicate:
		return fmt.Sprintf("id %s of caller %s was used for another request", q.ID, q.Caller)
	case rrquery.ReasonClaimed:
		return fmt.Sprintf("id %s of caller %s was sent before; whether it ran is not known yet", q.ID, q.Caller)
	case rrquery.ReasonLarge:
		return fmt.Sprintf("id %s of caller %s ran before; its hits were too large to be kept", q.ID, q.Caller)
	case rrquery.ReasonExpired:
		return fmt.Sprintf("id %s is too old or lies in the future; what an earlier request of it did is not known", q.ID)
	case rrquery.ReasonStore:
		return fmt.Sprintf("id %s could not be claimed, as the store did not answer", q.ID)
	default:
		return ""
	}
}
