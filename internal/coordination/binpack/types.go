package binpack

import (
	"math/bits"

	"micaspindle/internal/protocol"
)

// TypeSetSize is the maximum number of machine types in a TypeSet. Further types of the catalog
// are ignored.
const TypeSetSize = 64

// TypeSet returns the set of machine types that a task fits, as a bit mask: bit i is the type at
// index i of the catalog.
func TypeSet(c Constraints, need Resources, catalog []protocol.MachineType) uint64 {
	set := uint64(0)
	for i := range min(len(catalog), TypeSetSize) {
		if FitsOffered(c, need, &catalog[i]) {
			set |= 1 << i
		}
	}
	return set
}

// TypeCount returns the number of types in a set.
func TypeCount(set uint64) int { return bits.OnesCount64(set) }

// Scarcity maps each machine type to the smallest TypeCount among the unfinished jobs that fit it:
// the number of types that the least flexible of these jobs fits.
type Scarcity map[string]int

// Record adds a job that fits a machine type. typeCount is the TypeCount of the job.
func (s Scarcity) Record(machineType string, typeCount int) {
	if least := s[machineType]; least == 0 || typeCount < least {
		s[machineType] = typeCount
	}
}

// Contested reports whether a machine type is needed by a job that fits fewer than typeCount types.
func (s Scarcity) Contested(machineType string, typeCount int) bool {
	least, needed := s[machineType]
	return needed && least < typeCount
}
