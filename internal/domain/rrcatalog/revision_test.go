package rrcatalog_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
)

// A later era precedes none of an earlier one, however far its counter went back.
func TestRevisionOrder(t *testing.T) {
	before, err := rrcatalog.NewRevision(3, 1_000_000)
	must.NoError(t, err)
	after, err := rrcatalog.NewRevision(4, 7)
	must.NoError(t, err)
	must.Less(t, after, before)
	must.Eq(t, 4, after.Era())
	must.Eq(t, 7, after.Counter())
	must.Eq(t, "4/7", after.String())

	first, err := rrcatalog.NewRevision(0, 7)
	must.NoError(t, err)
	must.Eq(t, rrcatalog.Revision(7), first)
	must.Eq(t, "7", first.String())
}

func TestRevisionBounds(t *testing.T) {
	for name, c := range map[string]struct {
		era     rrcatalog.Era
		counter uint64
		field   string
	}{
		"greatest":      {1<<16 - 1, 1<<48 - 1, ""},
		"era":           {1 << 16, 1, "era"},
		"counter":       {0, 1 << 48, "revision"},
		"both too high": {1 << 20, 1 << 60, "era"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := rrcatalog.NewRevision(c.era, c.counter)
			if c.field == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, c.field)
		})
	}
}

// A daemon that knows an object of the era before, which the restored store lost and another
// daemon never knew, must be told of its removal.
func TestChangesSinceAnEarlierEraAreWhole(t *testing.T) {
	revision := func(era rrcatalog.Era, counter uint64) rrcatalog.Revision {
		r, err := rrcatalog.NewRevision(era, counter)
		must.NoError(t, err)
		return r
	}
	delta := func(r rrcatalog.Revision, full bool, names ...string) rrcatalog.Delta[string, int] {
		d := rrcatalog.Delta[string, int]{Revision: r, Full: full, Entries: make(map[string]rrcatalog.Entry[int])}
		for _, name := range names {
			d.Entries[name] = rrcatalog.Entry[int]{Revision: r, Value: new(int)}
		}
		return d
	}
	live := func(s *rrcatalog.Set[string, int]) []string {
		var out []string
		for name := range s.Live() {
			out = append(out, name)
		}
		slices.Sort(out)
		return out
	}
	var empty rrcatalog.Set[string, int]
	first := empty.With(delta(revision(1, 10), true, "a"))
	second := first.With(delta(revision(1, 12), false, "lost"))
	first = first.With(delta(revision(2, 11), true, "a", "b"))
	changes, ok := first.Since(second.Revision())
	must.True(t, ok)
	must.Eq(t, []string{"a", "b"}, live(second.With(changes)))
}
