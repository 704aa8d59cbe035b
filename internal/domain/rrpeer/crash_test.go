package rrpeer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrpeer"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func TestCrashes(t *testing.T) {
	run := rrpeer.CrashedRun{Fingerprint: 1, Service: "one", Searcher: "i-1@5"}
	for name, c := range map[string]struct {
		crashes []rrpeer.Crash
		field   string
	}{
		"none":             {nil, ""},
		"valid":            {[]rrpeer.Crash{{CrashedRun: run, TimeLeft: rrunit.Duration(time.Second)}}, ""},
		"without service":  {[]rrpeer.Crash{{CrashedRun: rrpeer.CrashedRun{Searcher: "i-1"}}}, "crashes.service"},
		"without searcher": {[]rrpeer.Crash{{CrashedRun: rrpeer.CrashedRun{Service: "one"}}}, "crashes.searcher"},
		"long past":        {[]rrpeer.Crash{{CrashedRun: run, TimeLeft: -1}}, "crashes.left"},
		"far ahead":        {[]rrpeer.Crash{{CrashedRun: run, TimeLeft: rrunit.Duration(time.Hour)}}, "crashes.left"},
		"too many":         {make([]rrpeer.Crash, rrpeer.MaxCrashes+1), "crashes"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, err := range []error{
				(&rrpeer.FeedRequest{Crashes: c.crashes}).Check(),
				(&rrpeer.FeedResponse{Crashes: c.crashes}).Check(),
			} {
				if c.field == "" {
					must.NoError(t, err)
					continue
				}
				must.ErrorContains(t, err, c.field)
			}
		})
	}
}
