package rrexpiry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrexpiry"
)

// A searcher that had begun to leave is ready again in a store that was restored from a
// copy, until it writes its entry again or the store removes it.
func TestRestoredEntries(t *testing.T) {
	type entry = rrcatalog.Entry[rrcatalog.Searcher]
	const (
		copied  = rrcatalog.Revision(1<<48 | 5)
		written = rrcatalog.Revision(1<<48 | 9)
		soon    = rrunit.Instant(time.Second)
		later   = rrunit.Instant(6 * time.Second)
		unused  = rrcatalog.SearcherState("")
	)
	ready, draining := searcher(rrcatalog.SearcherReady), searcher(rrcatalog.SearcherDraining)
	restarted := searcher(rrcatalog.SearcherReady)
	restarted.Incarnation++
	for name, c := range map[string]struct {
		before      entry
		after       *rrcatalog.Searcher
		rewritten   bool
		soon, later rrcatalog.SearcherState
	}{
		"ready":                     {entry{Value: ready}, ready, false, "ready", "ready"},
		"draining":                  {entry{Value: draining}, ready, false, "draining", "ready"},
		"draining, written again":   {entry{Value: draining}, draining, true, "draining", "draining"},
		"removed":                   {entry{Value: ready, Removed: true}, ready, false, unused, "ready"},
		"removed, written again":    {entry{Value: ready, Removed: true}, ready, true, "ready", "ready"},
		"removed, another process":  {entry{Value: ready, Removed: true}, restarted, false, "ready", "ready"},
		"expired, perhaps by error": {entry{Value: ready, Removed: true, RemovalUncertain: true}, ready, false, "ready", "ready"},
	} {
		t.Run(name, func(t *testing.T) {
			core := rrexpiry.New()
			before, after := searchers(7, c.before), searchers(copied, entry{Value: c.after})
			core.Usable(0, before)
			core.RecordRestore(0, before, after)
			if c.rewritten {
				after = searchers(written, entry{Value: c.after})
			}
			state := func(now rrunit.Instant) rrcatalog.SearcherState {
				got, _ := core.Usable(now, after)
				if len(got["s"]) == 0 {
					return unused
				}
				return got["s"][0].State
			}
			must.Eq(t, c.soon, state(soon))
			must.Eq(t, c.later, state(later))
		})
	}
}
