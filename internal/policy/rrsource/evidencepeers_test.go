package rrsource_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

// wantEvidencePeers is the limit in docs/design/shared.md.
const wantEvidencePeers = 12

// twoZones returns the daemons of two zones.
func twoZones(perZone int) []rrcatalog.Instance {
	var all []rrcatalog.Instance
	for z := range 2 {
		for i := range perZone {
			all = append(all, rrcatalog.Instance{
				ID:   rrunit.InstanceID(fmt.Sprintf("d-%d-%d", i, z)),
				Zone: rrunit.Zone(fmt.Sprintf("z%d", z)),
			})
		}
	}
	return all
}

func evidencePeersOf(self rrcatalog.Instance, all []rrcatalog.Instance) []rrunit.InstanceID {
	var out []rrunit.InstanceID
	for _, p := range core(self, all).EvidencePeers() {
		out = append(out, p.ID)
	}
	return out
}

func TestEvidencePeers(t *testing.T) {
	for _, perZone := range []int{1, 2, 13, 14, 30, 150} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			all := twoZones(perZone)
			receivedFrom := make(map[rrunit.InstanceID]int)
			for _, self := range all {
				got := evidencePeersOf(self, all)
				must.Len(t, min(wantEvidencePeers, perZone-1), got)
				must.SliceNotContains(t, got, self.ID)
				slices.Sort(got)
				must.Eq(t, len(got), len(slices.Compact(got)), must.Sprint("no duplicates"))
				for _, id := range got {
					must.Eq(t, self.ID[len(self.ID)-1], id[len(id)-1], must.Sprint("in the same zone"))
					receivedFrom[id]++
				}
			}
			for id, n := range receivedFrom {
				must.Eq(t, min(wantEvidencePeers, perZone-1), n, must.Sprintf("%s receives from as many daemons as it sends to", id))
			}
		})
	}
}

// TestEvidencePeersAreStable checks that a daemon's peers change only if daemons come or
// go: each change opens and closes connections.
func TestEvidencePeersAreStable(t *testing.T) {
	all := twoZones(30)
	before := evidencePeersOf(all[3], all)
	must.Eq(t, before, evidencePeersOf(all[3], slices.Concat(all[7:], all[:7])), must.Sprint("the order of the instances has no effect"))
	gone := before[4]
	left := slices.DeleteFunc(slices.Clone(all), func(i rrcatalog.Instance) bool { return i.ID == gone })
	after := evidencePeersOf(all[3], left)
	must.Len(t, wantEvidencePeers, after)
	lost := slices.DeleteFunc(slices.Clone(before), func(id rrunit.InstanceID) bool { return slices.Contains(after, id) })
	must.Eq(t, []rrunit.InstanceID{gone}, lost)
}

// TestEvidencePeersOfUnlistedDaemon checks that a daemon that is not listed yet has the
// same peers as when it is.
func TestEvidencePeersOfUnlistedDaemon(t *testing.T) {
	all := twoZones(30)
	must.Eq(t, evidencePeersOf(all[3], all), evidencePeersOf(all[3], slices.Delete(slices.Clone(all), 3, 4)))
}
