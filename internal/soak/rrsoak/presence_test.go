package rrsoak

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrcatalog"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

func TestComparePresence(t *testing.T) {
	entry := func(isDoubted bool) rrcatalog.Entry[rrcatalog.Instance] {
		return rrcatalog.Entry[rrcatalog.Instance]{Value: &rrcatalog.Instance{Doubted: isDoubted}}
	}
	absent, others := comparePresence([]rrunit.InstanceID{"d0", "d1", "d2", "d3"}, map[rrunit.InstanceID]rrcatalog.Entry[rrcatalog.Instance]{
		"d0": entry(false), "d1": entry(true), "d2": {Removed: true}, "d0-old": entry(false),
	})
	must.Eq(t, []rrunit.InstanceID{"d1", "d2", "d3"}, absent)
	must.Eq(t, []rrunit.InstanceID{"d0-old"}, others)
}
