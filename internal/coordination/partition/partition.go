// Package partition assigns teams to partitions. The assignment is a pure function of the settings,
// so that all controllers agree without exchanging messages.
package partition

import (
	"cmp"
	"slices"

	"micaspindle/internal/settings"
)

// cpusPerGPU is the number of CPUs that a GPU counts as when guarantees are balanced.
const cpusPerGPU = 16

// Assign returns the partition of each team, from 0 to count-1. Partitions are balanced by the
// teams' guarantees. All teams with neither a guarantee nor a limit go to the partition with the
// smallest load: since they have no quotas, they can share a partition, and spreading them over
// partitions would leave machines half empty (docs/design.md).
func Assign(teams []settings.Team, count int) []int {
	load := make([]float64, count)
	lightest := func() int { return slices.Index(load, slices.Min(load)) }
	partitions := make([]int, len(teams))
	var withoutQuota []int
	for _, i := range byWeight(teams) {
		if hasNoQuota(teams[i]) {
			withoutQuota = append(withoutQuota, i)
			continue
		}
		partitions[i] = lightest()
		load[partitions[i]] += weight(teams[i]) + 1 // so that teams without a guarantee are spread too
	}
	for _, i := range withoutQuota {
		partitions[i] = lightest()
	}
	return partitions
}

// byWeight returns the teams' indexes in order of weight, heaviest first.
func byWeight(teams []settings.Team) []int {
	order := make([]int, len(teams))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(teams[b]), weight(teams[a])) })
	return order
}

// weight returns a team's guarantee in CPUs.
func weight(team settings.Team) float64 { return team.CPUs + cpusPerGPU*team.GPUs }

// hasNoQuota reports whether a team has neither a guarantee nor a limit.
func hasNoQuota(team settings.Team) bool {
	return team.CPUs == 0 && team.GPUs == 0 && team.CPUsMax == 0 && team.GPUsMax == 0
}
