package rrcatalog_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
)

type (
	set   = rrcatalog.Set[string, int]
	delta = rrcatalog.Delta[string, int]
	entry = rrcatalog.Entry[int]
)

func live(s *set) map[string]int {
	out := make(map[string]int)
	for k, v := range s.Live() {
		out[k] = *v
	}
	return out
}

func put(r rrcatalog.Revision, v int) entry { return entry{Revision: r, Value: &v} }

func TestRemovedObjectKeepsItsValue(t *testing.T) {
	s := new(set).With(delta{Revision: 5, Full: true, Entries: map[string]entry{"a": put(2, 1), "b": put(4, 2)}})
	must.Eq(t, map[string]int{"a": 1, "b": 2}, live(s))

	s = s.With(delta{Revision: 7, Entries: map[string]entry{"a": {Revision: 7, Removed: true}}})
	must.Eq(t, map[string]int{"b": 2}, live(s))
	for k, e := range s.Entries() {
		if k == "a" {
			must.True(t, e.Removed)
			must.Eq(t, 1, *e.Value, must.Sprint("a removed object keeps its last value"))
		}
	}
	must.Eq(t, s, s.With(delta{Revision: 6, Full: true}), must.Sprint("an older delta is ignored"))
}

func TestWholeDeltaRemovesAbsentObjects(t *testing.T) {
	s := new(set).With(delta{Revision: 5, Full: true, Entries: map[string]entry{"a": put(2, 1), "b": put(4, 2)}})
	s = s.With(delta{Revision: 9, Full: true, RemovalUncertain: true, Entries: map[string]entry{"b": put(4, 2)}})
	must.Eq(t, map[string]int{"b": 2}, live(s))
	d, ok := s.Since(5)
	must.True(t, ok)
	must.True(t, d.Entries["a"].Removed)
	must.True(t, d.Entries["a"].RemovalUncertain)
	must.MapNotContainsKey(t, d.Entries, "b")
}

// TestCopiesAgree applies changes of a store to one set, while other sets catch up
// at random times from any of the sets. In the end all sets must hold the same
// objects as the store.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := make(map[string]int)
		var at rrcatalog.Revision
		sets := []*set{new(set), new(set), new(set)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				at++
				k := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				e := put(at, int(at))
				truth[k] = int(at)
				if rapid.Bool().Draw(t, "remove") {
					delete(truth, k)
					e = entry{Revision: at, Removed: true}
				}
				sets[0] = sets[0].With(delta{Revision: at, Entries: map[string]entry{k: e}})
			case 2:
				all := make(map[string]entry, len(truth))
				for k, v := range truth {
					all[k] = put(rrcatalog.Revision(v), v)
				}
				sets[0] = sets[0].With(delta{Revision: at, Full: true, Entries: all})
			default:
				from := rapid.IntRange(0, 2).Draw(t, "from")
				to := rapid.IntRange(1, 2).Draw(t, "to")
				if d, ok := sets[from].Since(sets[to].Revision()); ok {
					sets[to] = sets[to].With(d)
				}
			}
		}
		for i := 1; i < len(sets); i++ {
			if d, ok := sets[0].Since(sets[i].Revision()); ok {
				sets[i] = sets[i].With(d)
			}
			if got, want := live(sets[i]), live(sets[0]); len(got) != len(want) {
				t.Fatalf("set %d has %v, the first one %v", i, got, want)
			}
		}
		if got := live(sets[0]); len(got) != len(truth) {
			t.Fatalf("the first set has %v, the store %v", got, truth)
		}
	})
}
