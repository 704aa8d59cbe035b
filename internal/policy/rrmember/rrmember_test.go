package rrmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

func newPeers(n int) []rrmember.Peer {
	out := make([]rrmember.Peer, 0, n)
	for i := range n {
		out = append(out, rrmember.Peer{ID: rrunit.InstanceID(fmt.Sprintf("d%d", i)), Zone: "z", Address: fmt.Sprint(i)})
	}
	return out
}

func newCore(id string, l *rrmember.List) *rrmember.Membership {
	c := rrmember.New(rrmember.Peer{ID: rrunit.InstanceID(id), Zone: "z"}, rand.New(rand.NewPCG(1, 2)))
	c.SetList(l)
	return c
}

func setVersions(c *rrmember.Membership, number rrunit.DefinitionNumber, sum rrpeer.Sum) {
	c.SetVersions(rrpeer.DocumentVersions{Number: number, ListSum: sum})
}

func TestNumberConvergesOnceAllReported(t *testing.T) {
	l := rrmember.NewList(1, newPeers(3))
	a, b, c := newCore("d0", l), newCore("d1", l), newCore("d2", l)
	for _, x := range []*rrmember.Membership{a, b} {
		setVersions(x, 5, 1)
		x.Heartbeat(0)
	}
	d := b.Digest(0)
	a.HandleDigest(0, &d)
	st := a.Status(3)
	must.Eq(t, 0, st.Converged)
	must.Eq(t, 5, st.Newest)
	must.Eq(t, []rrmember.Lagging{{Instance: "d2", Age: 3}}, st.Lagging)

	setVersions(c, 6, 1)
	c.Heartbeat(0)
	d = c.Digest(0)
	a.HandleDigest(0, &d)
	must.Eq(t, 0, a.Status(0).Converged, must.Sprint("the newer round lacks reports"))
	for _, x := range []*rrmember.Membership{a, b} {
		setVersions(x, 6, 1)
	}
	a.Heartbeat(0)
	b.Heartbeat(0)
	d = b.Digest(0)
	a.HandleDigest(0, &d)
	must.Eq(t, 6, a.Status(0).Converged)
}

func TestRoundIsRemappedToANewList(t *testing.T) {
	before, after := rrmember.NewList(1, newPeers(3)), rrmember.NewList(2, newPeers(3)[1:])
	a, b := newCore("d1", before), newCore("d2", before)
	setVersions(a, 5, 1)
	setVersions(b, 5, 1)
	a.Heartbeat(0)
	b.Heartbeat(0)
	d := b.Digest(0)
	a.SetList(after)
	setVersions(a, 5, 2)
	a.HandleDigest(0, &d)
	must.Eq(t, 5, a.Status(0).Converged, must.Sprint("d0 is removed and the bit of d2 refers to the old list"))
}

func TestUnreachableAndLeavingPeersAreAvoided(t *testing.T) {
	all := newPeers(3)
	c := newCore("d0", rrmember.NewList(1, all))
	c.RecordFailure(0, "d1")
	must.True(t, c.IsReachable(&all[1]), must.Sprint("one failure does not make a peer unreachable"))
	c.RecordFailure(0, "d1")
	must.False(t, c.IsReachable(&all[1]))
	must.True(t, c.CanOwnShards(&all[1]))
	c.HandleDigest(1, &rrpeer.Digest{From: "d1", Zone: "z", LeaveNotices: []rrpeer.LeaveNotice{{ID: "d2", Age: 100}}})
	must.True(t, c.IsReachable(&all[1]))
	must.False(t, c.CanOwnShards(&all[2]))
	c.HandleDigest(2, &rrpeer.Digest{From: "d2", Zone: "z"})
	must.True(t, c.CanOwnShards(&all[2]), must.Sprint("the peer has returned"))
	c.SetLeaving()
	must.False(t, c.CanOwnShards(&all[0]))
}

func TestQuarantinesAreForwardedWithinBounds(t *testing.T) {
	c := newCore("d0", rrmember.NewList(1, newPeers(2)))
	for fp := range rrunit.Fingerprint(2 * rrpeer.MaxDigestQuarantines) {
		c.AddQuarantine(0, rrpeer.Quarantine{Fingerprint: fp, TimeLeft: rrunit.Duration(time.Second)})
	}
	d := c.Digest(rrunit.Instant(time.Second / 2))
	must.NoError(t, d.Check())
	must.Len(t, rrpeer.MaxDigestQuarantines, d.Quarantines)
	must.Eq(t, rrunit.Duration(time.Second/2), d.Quarantines[0].TimeLeft)
	fresh := newCore("d1", rrmember.NewList(1, newPeers(2))).HandleDigest(0, &d)
	must.Len(t, rrpeer.MaxDigestQuarantines, fresh)
	must.SliceEmpty(t, c.Quarantines(rrunit.Instant(time.Second)))
}

func TestFewWatchersInEachZone(t *testing.T) {
	l := rrmember.NewList(1, newPeers(40))
	watchers := 0
	for _, p := range l.Peers() {
		if l.IsWatcher(p.ID, p.Zone, func(rrunit.InstanceID) bool { return false }) {
			watchers++
		}
	}
	must.Eq(t, rrmember.WatchersPerZone, watchers)
}

// TestFrequentDefinitionChangesConverge sets a new number at every heartbeat, while
// a report reaches only one more member per heartbeat.
func TestFrequentDefinitionChangesConverge(t *testing.T) {
	const members, last, late = 9, 100, 40
	l := rrmember.NewList(1, newPeers(members))
	var cores []*rrmember.Membership
	for _, p := range l.Peers() {
		cores = append(cores, newCore(string(p.ID), l))
	}
	for number := rrunit.DefinitionNumber(1); number <= last; number++ {
		now := rrunit.Instant(time.Duration(number) * rrmember.HeartbeatInterval)
		for _, c := range cores {
			setVersions(c, number, 1)
			c.Heartbeat(now)
		}
		for i, c := range cores {
			d := cores[(i+1)%len(cores)].Digest(now)
			c.HandleDigest(now, &d)
		}
	}
	for _, c := range cores {
		must.Between(t, last-late, c.Status(0).Converged, last)
	}
}
