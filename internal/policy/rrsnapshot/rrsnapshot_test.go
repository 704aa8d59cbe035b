package rrsnapshot_test

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrdefinition"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsnapshot"
)

func service(shards ...int) *rrdefinition.Service {
	s := &rrdefinition.Service{Name: "search"}
	for i, n := range shards {
		l := rrdefinition.Layout{Name: rrunit.LayoutName(fmt.Sprint("layout", i))}
		for j := range n {
			l.Shards = append(l.Shards, rrdefinition.Shard{Name: rrunit.ShardName(fmt.Sprint(j))})
		}
		s.Layouts = append(s.Layouts, l)
	}
	return s
}

type reports map[rrunit.ShardKey][]rrunit.IndexVersion

func (r reports) versions(key rrunit.ShardKey) ([]rrunit.IndexVersion, bool) {
	v, ok := r[key]
	return v, ok
}

func key(layout, shard int) rrunit.ShardKey {
	return rrunit.ShardKey{
		Service: "search",
		Layout:  rrunit.LayoutName(fmt.Sprint("layout", layout)),
		Shard:   rrunit.ShardName(fmt.Sprint(shard)),
	}
}

func TestChoose(t *testing.T) {
	old, next := rrunit.Snapshot{Version: 1, Layout: "layout0"}, rrunit.Snapshot{Version: 2, Layout: "layout1"}
	cases := map[string]struct {
		reports reports
		exclude []rrunit.Snapshot
		want    rrunit.Snapshot
	}{
		"no reports":                     {reports{}, nil, rrunit.Snapshot{}},
		"newer of two complete":          {reports{key(0, 0): {1}, key(0, 1): {1}, key(1, 0): {2}, key(1, 1): {2}, key(1, 2): {2}}, nil, next},
		"complete is preferred to newer": {reports{key(0, 0): {1}, key(0, 1): {1}, key(1, 0): {2}, key(1, 1): {2}}, nil, old},
		"few replicas of the newer": {reports{
			key(0, 0): {1, 1, 1}, key(0, 1): {1, 1}, key(1, 0): {2}, key(1, 1): {2, 2, 2}, key(1, 2): {2, 2, 2},
		}, nil, old},
		"enough replicas of the newer": {reports{
			key(0, 0): {1, 1, 1}, key(0, 1): {1, 1, 1}, key(1, 0): {2, 2}, key(1, 1): {2, 2, 2}, key(1, 2): {2, 2, 2},
		}, nil, next},
		"one version in two layouts": {reports{
			key(0, 0): {2, 2, 2}, key(0, 1): {2, 2, 2}, key(1, 0): {2, 2, 2, 2}, key(1, 1): {2, 2, 2, 2}, key(1, 2): {2, 2, 2, 2},
		}, nil, rrunit.Snapshot{Version: 2, Layout: "layout1"}},
		"larger coverage":      {reports{key(0, 0): {1}, key(1, 0): {2}, key(1, 1): {2}}, nil, next},
		"without the excluded": {reports{key(0, 0): {1}, key(1, 0): {2}, key(1, 1): {2}}, []rrunit.Snapshot{next}, old},
		"only the excluded":    {reports{key(0, 0): {1}}, []rrunit.Snapshot{old}, rrunit.Snapshot{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := rrsnapshot.Choose(service(2, 3), tc.reports.versions, tc.exclude...)
			must.Eq(t, !tc.want.IsZero(), ok)
			must.Eq(t, tc.want, got.Snapshot)
		})
	}
}

// TestChooseCoversMost compares the choice with an exhaustive search over all
// snapshots.
func TestChooseCoversMost(t *testing.T) {
	type candidate struct {
		version             rrunit.IndexVersion
		share               float64
		layout, minReplicas int
	}
	rapid.Check(t, func(t *rapid.T) {
		s := service(rapid.IntRange(1, 4).Draw(t, "first"), rapid.IntRange(1, 4).Draw(t, "second"))
		r := reports{}
		for l := range s.Layouts {
			for j := range s.Layouts[l].Shards {
				r[key(l, j)] = rapid.SliceOfN(rapid.SampledFrom([]rrunit.IndexVersion{1, 2, 3}), 0, 6).Draw(t, "versions")
			}
		}
		got, ok := rrsnapshot.Choose(s, r.versions)

		var all []candidate
		share, replicas := 0.0, 0
		for l := range s.Layouts {
			for v := rrunit.IndexVersion(1); v <= 3; v++ {
				n, least := 0, 0
				for j := range s.Layouts[l].Shards {
					replicas := 0
					for _, have := range r[key(l, j)] {
						if have == v {
							replicas++
						}
					}
					if replicas > 0 {
						n++
						least = min(replicas, cmp.Or(least, replicas))
					}
				}
				if n > 0 {
					c := candidate{v, float64(n) / float64(len(s.Layouts[l].Shards)), l, least}
					all = append(all, c)
					share = max(share, c.share)
				}
			}
		}
		must.Eq(t, len(all) > 0, ok)
		if !ok {
			return
		}
		for _, c := range all {
			if c.share == share {
				replicas = max(replicas, c.minReplicas)
			}
		}
		var want candidate
		for _, c := range all {
			newer := cmp.Or(cmp.Compare(c.version, want.version), cmp.Compare(c.minReplicas, want.minReplicas)) > 0
			if c.share == share && 3*c.minReplicas >= 2*replicas && newer {
				want = c
			}
		}
		must.Eq(t, rrunit.Snapshot{Version: want.version, Layout: s.Layouts[want.layout].Name}, got.Snapshot)
		must.Eq(t, want.minReplicas, got.Replicas)
		must.Eq(t, share, float64(got.Covered)/float64(got.Shards))
	})
}
