package rrgossip_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrgossip"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrmember"
)

func newNode() *rrgossip.Node {
	self := rrmember.Peer{ID: "a", Zone: "z"}
	n := rrgossip.NewNode(rrmember.New(self, rand.New(rand.NewPCG(1, 2))))
	n.OfferList(0, 7, 0)
	n.SetList(0, rrmember.NewList(7, []rrmember.Peer{self, {ID: "b", Zone: "z"}}))
	return n
}

// TestNumberNeverDecreases offers definition numbers in any order, as from peers and
// from a store with stale reads.
func TestNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode()
		highest := rrunit.DefinitionNumber(0)
		for _, offer := range rapid.SliceOf(rapid.Uint64Range(0, 9)).Draw(t, "offers") {
			number := rrunit.DefinitionNumber(offer)
			must.Eq(t, number > highest, n.IsNewer(number))
			n.DefinitionApplied(0, number)
			highest = max(highest, number)
			must.Eq(t, highest, n.Number())
		}
	})
}

func TestNewerVersionsAreFetched(t *testing.T) {
	now := rrunit.Instant(time.Minute)
	for name, tc := range map[string]struct {
		tags rrpeer.DocumentVersions
		want []rrpeer.Document
	}{
		"same":         {tags: rrpeer.DocumentVersions{Number: 3, ListSum: 7, ListAge: 50_000}},
		"older number": {tags: rrpeer.DocumentVersions{Number: 2, ListSum: 7, ListAge: 50_000}},
		"newer number": {tags: rrpeer.DocumentVersions{Number: 4, ListSum: 7, ListAge: 50_000}, want: []rrpeer.Document{rrpeer.DocumentDefinition}},
		"younger list": {tags: rrpeer.DocumentVersions{Number: 3, ListSum: 8, ListAge: 1_000}, want: []rrpeer.Document{rrpeer.DocumentList}},
		"older list":   {tags: rrpeer.DocumentVersions{Number: 3, ListSum: 8, ListAge: 70_000}},
		"no list":      {tags: rrpeer.DocumentVersions{Number: 3}},
		"both are newer": {
			tags: rrpeer.DocumentVersions{Number: 9, ListSum: 8, ListAge: 1},
			want: []rrpeer.Document{rrpeer.DocumentDefinition, rrpeer.DocumentList},
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode()
			n.DefinitionApplied(now, 3)
			digest := &rrpeer.Digest{From: "b", Zone: "z", Versions: tc.tags}
			actions, _ := n.ReceiveReply(now, digest)
			var got []rrpeer.Document
			for _, a := range actions {
				must.Eq(t, rrgossip.ActionFetch, a.Kind)
				got = append(got, a.Document)
			}
			must.Eq(t, tc.want, got)
			again, _ := n.ReceiveReply(now, digest)
			must.SliceEmpty(t, again, must.Sprint("a fetch is already running"))
		})
	}
}
