// Package partition decides which partition each team's work is in. It is a pure function of
// the settings, so that all controllers agree without exchanging a message.
package partition

import (
	"cmp"
	"slices"

	"micaspindle/internal/settings"
)

// cpusPerGPU is how many CPUs a GPU counts for where guarantees are balanced.
const cpusPerGPU = 16

// Assign gives the partition of each team, of as many as there are controllers, balanced by
// the teams' guarantees. Teams with neither a guarantee nor a limit stay together in the
// partition that is left lightest: no quota needs them apart, and splitting what they all
// borrow only leaves machines half empty (docs/design.md).
func Assign(teams []settings.Team, count int) []int {
	load := make([]float64, count)
	lightest := func() int { return slices.Index(load, slices.Min(load)) }
	partitions := make([]int, len(teams))
	var unbounded []int
	for _, i := range byWeight(teams) {
		if hasNoQuota(teams[i]) {
			unbounded = append(unbounded, i)
			continue
		}
		partitions[i] = lightest()
		load[partitions[i]] += weight(teams[i]) + 1 // so that teams without a guarantee spread too
	}
	for _, i := range unbounded {
		partitions[i] = lightest()
	}
	return partitions
}

// byWeight lists the teams' indices, the heaviest first.
func byWeight(teams []settings.Team) []int {
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(teams[b]), weight(teams[a])) })
	return order
}

// weight is a team's guarantee in CPUs.
func weight(team settings.Team) float64 { return team.CPUs + cpusPerGPU*team.GPUs }

// hasNoQuota says whether a team has neither a guarantee nor a limit.
func hasNoQuota(team settings.Team) bool {
	return team.CPUs == 0 && team.GPUs == 0 && team.CPUsMax == 0 && team.GPUsMax == 0
}
