package rrfollow

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// Two daemons that tell each other of all that they know forget a notice soon after its end,
// though each transfer prolongs it.
func TestNoticesEnd(t *testing.T) {
	const (
		latency = rrunit.Instant(40 * time.Millisecond)
		limit   = rrunit.Instant(20 * time.Second)
	)
	nodes := [2]notices[int]{{compare: cmp.Compare[int], limit: 2}, {compare: cmp.Compare[int], limit: 2}}
	nodes[0].add(0, 7, rrunit.Duration(10*time.Second))
	last := rrunit.Instant(0)
	for now := rrunit.Instant(0); now < limit; now += latency {
		for i := range nodes {
			to := &nodes[1-i]
			for _, e := range nodes[i].active(now, 2, nil) {
				to.add(now+latency, e.key, e.left(now))
				last = now
			}
		}
	}
	must.Less(t, rrunit.Instant(11*time.Second), last)
}

// All daemons keep the same notices if there are more than the limit, in whatever order they
// learn of them.
func TestNoticesOverTheLimit(t *testing.T) {
	for _, order := range [][]int{{1, 2, 3, 4}, {4, 3, 2, 1}, {2, 4, 1, 3}} {
		n := notices[int]{compare: cmp.Compare[int], limit: 2}
		for _, key := range order {
			n.add(0, key, rrunit.Duration(time.Minute))
		}
		var kept []int
		for _, e := range n.active(0, 3, nil) {
			kept = append(kept, e.key)
		}
		must.Eq(t, []int{1, 2}, kept)
	}
}

// A request that is quarantined again just as its quarantine ends is told to daemons at which
// the first has not ended yet.
func TestNoticesAreRenewed(t *testing.T) {
	n := notices[int]{compare: cmp.Compare[int], limit: 2}
	must.True(t, n.add(0, 1, rrunit.Duration(time.Minute)))
	now := rrunit.Instant(59 * time.Second)
	must.False(t, n.add(now, 1, rrunit.Duration(1500*time.Millisecond)))
	must.True(t, n.add(now, 1, rrunit.Duration(2*time.Minute)))
	must.False(t, n.add(now, 1, rrunit.Duration(2*time.Minute)))
	must.Eq(t, rrunit.Duration(2*time.Minute), n.active(now, 2, nil)[0].left(now))
}
