package rrbudget_test

import (
	"testing"

	"pgregory.net/rapid"

	"rhubarbreel.example/rhubarbreel/internal/policy/rrbudget"
)

func TestExtraWorkIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, burst, maxOverdraft = 0.1, 5, 3
		b := rrbudget.NewBucket(share, burst, maxOverdraft)
		own, extra := 0, 0
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 300).Draw(t, "ops") {
			taken := false
			switch op {
			case 0:
				b.Earn()
				own++
			case 1:
				taken = b.Spend(0)
			case 2:
				taken = b.Spend(2)
				if taken && b.Tokens() < 2 {
					t.Fatalf("%g tokens are left, want at least 2", b.Tokens())
				}
			case 3:
				taken = b.Overdraw(0)
			}
			if taken {
				extra++
			}
			if float64(extra) > share*float64(own)+burst+maxOverdraft+1e-9 {
				t.Fatalf("%d units of extra work for %d units of own work", extra, own)
			}
		}
	})
}
