package rrconn

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// sentRequests is a set of requests that may be sent again until their deadlines.
type sentRequests []sentRequest

type sentRequest struct {
	idHash   uint64
	deadline time.Time
}

// add adds the request, and drops those whose deadlines have passed.
func (s *sentRequests) add(now time.Time, id rrunit.RequestID, deadline time.Time) {
	*s = slices.DeleteFunc(*s, func(r sentRequest) bool { return !now.Before(r.deadline) })
	*s = append(*s, sentRequest{idHash: xxhash.Sum64String(string(id)), deadline: deadline})
}

func (s sentRequests) contains(now time.Time, id rrunit.RequestID) bool {
	if len(s) == 0 {
		return false
	}
	hash := xxhash.Sum64String(string(id))
	return slices.ContainsFunc(s, func(r sentRequest) bool { return r.idHash == hash && now.Before(r.deadline) })
}
