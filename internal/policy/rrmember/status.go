package rrmember

import "rhubarbreel.example/rhubarbreel/internal/domain/rrunit"

// Status is what a daemon knows of the whole deployment.
type Status struct {
	// Force is the highest number that every daemon listed at the time was
	// found to use, or to have passed. It only rises.
	Force rrunit.DefinitionNumber `json:"force"`
	// Newest is the highest number known.
	Newest  rrunit.DefinitionNumber `json:"newest"`
	Members int                     `json:"members"`
	// Lagging are instances that did not report the newest number yet, at most
	// maxLagging.
	Lagging []Lagging `json:"lagging"`
}

// Lagging is an instance that did not report the newest number yet.
type Lagging struct {
	Instance rrunit.InstanceID `json:"instance"`
	// Number is one that the instance, if it answers queries, has reached.
	Number rrunit.DefinitionNumber `json:"number"`
	// Age is how long the instance has been waited for.
	Age rrunit.Duration `json:"age"`
}

// maxLagging is the most lagging instances that a status names.
const maxLagging = 100

// Status sums up what the heartbeats gathered.
func (c *Core) Status(now rrunit.Instant) Status {
	r := &c.round
	st := Status{
		Force:   r.converged,
		Newest:  max(c.tags.Number, r.target),
		Members: c.list.Len(),
		Lagging: []Lagging{},
	}
	for i, set := range r.bits {
		if set || len(st.Lagging) == maxLagging {
			continue
		}
		st.Lagging = append(st.Lagging, Lagging{
			Instance: c.list.peers[i].ID, Number: r.converged, Age: rrunit.Duration(now.Sub(r.since)),
		})
	}
	return st
}
