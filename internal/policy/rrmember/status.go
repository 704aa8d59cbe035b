package rrmember

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Status is a daemon's view of the deployment.
type Status struct {
	// Converged is the highest number that all listed daemons were found to use or to
	// have passed. It only increases.
	Converged rrunit.DefinitionNumber `json:"force"`
	// Newest is the highest known number.
	Newest  rrunit.DefinitionNumber `json:"newest"`
	Members int                     `json:"members"`
	// Lagging are the instances that did not report the newest number yet, at most
	// maxLagging.
	Lagging []Lagging `json:"lagging"`
}

// Lagging is an instance that did not report the newest number yet.
type Lagging struct {
	Instance rrunit.InstanceID `json:"instance"`
	// Number is a lower bound of the number that the instance uses if it answers
	// queries.
	Number rrunit.DefinitionNumber `json:"number"`
	// Age is the time that the round has been waiting for the instance.
	Age rrunit.Duration `json:"age"`
}

// maxLagging is the largest number of lagging instances in a status.
const maxLagging = 100

// Status summarizes the state collected by heartbeats.
func (c *Membership) Status(now rrunit.Instant) Status {
	r := &c.round
	st := Status{
		Converged: r.converged,
		Newest:    max(c.versions.Number, r.target),
		Members:   c.list.Len(),
		Lagging:   []Lagging{},
	}
	for i, reported := range r.reported {
		if reported || len(st.Lagging) == maxLagging {
			continue
		}
		st.Lagging = append(st.Lagging, Lagging{
			Instance: c.list.peers[i].ID, Number: r.converged, Age: rrunit.Duration(now.Sub(r.startedAt)),
		})
	}
	return st
}
