package rrpresence_test

import (
	"fmt"
	"testing"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrpresence"
)

// BenchmarkPlan measures what the judge of a large fleet does every tick, without names of daemons
// that are gone and with 10,000.
func BenchmarkPlan(b *testing.B) {
	const daemons = 2300
	for _, gone := range []int{0, 10_000} {
		b.Run(fmt.Sprintf("gone=%d", gone), func(b *testing.B) {
			var members []rrpresence.Member
			for i := range daemons + gone {
				members = append(members, rrpresence.Member{Instance: rrcatalog.Instance{ID: rrunit.InstanceID(fmt.Sprintf("d%05d", i))}, Revision: 1})
			}
			tracker := rrpresence.New(0, rrpresence.Config{Self: members[0].ID, Window: window})
			tracker.SetMembers(0, members)
			now := rrunit.Instant(0)
			for b.Loop() {
				now = now.Add(tick)
				for i := range daemons {
					tracker.RecordHeard(now, members[i].ID)
				}
				tracker.RecordConfirmed(now)
				for _, m := range tracker.Plan(now, true).Probe {
					tracker.RecordFailure(m.ID)
				}
			}
		})
	}
}
