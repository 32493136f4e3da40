package binpack

import (
	"math/bits"

	"micaspindle/internal/protocol"
)

// TypeSetSize is how many types of a catalog a TypeSet distinguishes: the first so many.
const TypeSetSize = 64

// TypeSet is the set of machine types that a task fits, as bits by their places in the
// catalog.
func TypeSet(c Constraints, need Resources, catalog []protocol.MachineType) uint64 {
	set := uint64(0)
	for i := range min(len(catalog), TypeSetSize) {
		if FitsOffered(c, need, &catalog[i]) {
			set |= 1 << i
		}
	}
	return set
}

// TypeCount is how many types are in a set.
func TypeCount(set uint64) int { return bits.OnesCount64(set) }

// Scarcity says, for each machine type, on how few types the unfinished work can run that fits
// it and has the fewest choices.
type Scarcity map[string]int

// Note takes in work that fits a type, and as many types as breadth in all.
func (s Scarcity) Note(machineType string, breadth int) {
	if least := s[machineType]; least == 0 || breadth < least {
		s[machineType] = breadth
	}
}

// Contested reports whether work with fewer choices than breadth needs a type.
func (s Scarcity) Contested(machineType string, breadth int) bool {
	least, needed := s[machineType]
	return needed && least < breadth
}
