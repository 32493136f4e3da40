// Package partition decides which part each team's work is in. It is a pure function of
// the settings, so that all controllers agree without a word.
package partition

import (
	"cmp"
	"slices"

	"micaspindle/internal/settings"
)

// Assign maps teams to as many parts as controllers, balanced by
// guarantee. Teams with neither a guarantee nor a limit stay together in the
// part that is left lightest: no quota needs them apart, and splitting what
// they all borrow only leaves machines half empty (docs/design.md).
func Assign(teams []settings.Team, count int) []int {
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	weight := func(i int) float64 { return teams[i].CPUs + 16*teams[i].GPUs }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	load := make([]float64, count)
	lightest := func() int { return slices.Index(load, slices.Min(load)) }
	parts := make([]int, len(teams))
	var free []int
	for _, i := range order {
		if t := teams[i]; t.CPUs == 0 && t.GPUs == 0 && t.CPUsMax == 0 && t.GPUsMax == 0 {
			free = append(free, i)
			continue
		}
		parts[i] = lightest()
		load[parts[i]] += weight(i) + 1
	}
	for _, i := range free {
		parts[i] = lightest()
	}
	return parts
}
