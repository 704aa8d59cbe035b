package rrroute

import "slices"

// MaxRank is the least urgent rank of a built table.
const MaxRank = 63

// compactRanks replaces the ranks by their places among those in use if any is above MaxRank.
// The operators' numbers have no limit, but queues are kept for each rank up to the greatest.
// Beyond MaxRank+1 different ranks the least urgent ones share the last place.
func (t *Table) compactRanks() {
	var used []int
	for i := range t.Routes {
		used = append(used, t.Routes[i].Rank)
	}
	if len(used) == 0 || slices.Max(used) <= MaxRank {
		return
	}
	slices.Sort(used)
	used = slices.Compact(used)
	for i := range t.Routes {
		place, _ := slices.BinarySearch(used, t.Routes[i].Rank)
		t.Routes[i].Rank = min(place, MaxRank)
	}
}
