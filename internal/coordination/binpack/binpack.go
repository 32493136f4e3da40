// Package binpack says what fits where: needs of tasks against room, and their wishes
// against kinds of machines. It knows no job, machine or controller.
package binpack

import (
	"math/bits"
	"slices"

	"micaspindle/internal/protocol"
)

// Epsilon is by how much sums of amounts may be off.
const Epsilon = 1e-6

// UnboundedSlots bounds what a machine is taken to hold of tasks that need nothing.
const UnboundedSlots = 1000

// Resources are what tasks need and machines have.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Holds says whether a room holds a need.
func (room Resources) Holds(need Resources) bool {
	return need.CPUs <= room.CPUs+Epsilon && need.GPUs <= room.GPUs+Epsilon && need.MemGB <= room.MemGB+Epsilon
}

// Plus is the sum with so many times the other.
func (room Resources) Plus(other Resources, times float64) Resources {
	return Resources{room.CPUs + times*other.CPUs, room.GPUs + times*other.GPUs, room.MemGB + times*other.MemGB}
}

// Slots is how many tasks with a need a room holds, at most most.
func (room Resources) Slots(need Resources, most int) int {
	for _, p := range [3][2]float64{{need.CPUs, room.CPUs}, {need.GPUs, room.GPUs}, {need.MemGB, room.MemGB}} {
		if p[0] > 0 {
			most = min(most, int((p[1]+Epsilon)/p[0]))
		}
	}
	return max(most, 0)
}

// Compute is what a team uses, or may use, of what is shared out.
type Compute struct{ CPUs, GPUs float64 }

// Add adds so many times a need.
func (s *Compute) Add(need Resources, times float64) {
	s.CPUs, s.GPUs = s.CPUs+times*need.CPUs, s.GPUs+times*need.GPUs
}

// Allows says whether one more task keeps a team within this limit; 0 is none.
func (s Compute) Allows(used Compute, need Resources) bool {
	return (s.CPUs <= 0 || used.CPUs+need.CPUs <= s.CPUs+Epsilon) &&
		(s.GPUs <= 0 || used.GPUs+need.GPUs <= s.GPUs+Epsilon)
}

// Size is what an empty machine of a type has.
func Size(t *protocol.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemGB} }

// MachineKind is what the cloud calls a machine.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Constraints is what a task asks of a machine's kind. An empty list of types, or an empty
// zone, is any; Spot says that it may run on a spot machine.
type Constraints struct {
	Types []string
	Zone  string
	Spot  bool
}

// Allows says whether a machine of a kind will do, which workers don't check.
func (w Constraints) Allows(k MachineKind) bool {
	return (len(w.Types) == 0 || slices.Contains(w.Types, k.Type)) && (w.Zone == "" || w.Zone == k.Zone) && (!k.Spot || w.Spot)
}

// FitsOffered says whether a task fits an empty machine of a type, in a zone where it
// is offered.
func FitsOffered(w Constraints, need Resources, t *protocol.MachineType) bool {
	return (w.Zone == "" || len(t.ZonesOffered) == 0 || slices.Contains(t.ZonesOffered, w.Zone)) && FitsType(w, need, t)
}

// FitsType is Offered, whatever the zone.
func FitsType(w Constraints, need Resources, t *protocol.MachineType) bool {
	return (len(w.Types) == 0 || slices.Contains(w.Types, t.Name)) && Size(t).Holds(need)
}

// TypeSetSize is how many types of a catalog a TypeSet tells apart: the first so many.
const TypeSetSize = 64

// TypeSet is the set of types that a task fits, as bits.
func TypeSet(w Constraints, need Resources, catalog []protocol.MachineType) uint64 {
	set := uint64(0)
	for i := range min(len(catalog), TypeSetSize) {
		if FitsOffered(w, need, &catalog[i]) {
			set |= 1 << i
		}
	}
	return set
}

// TypeCount is how many types are in a set.
func TypeCount(types uint64) int { return bits.OnesCount64(types) }

// Scarcity holds, for each machine type, how few types the choosiest unfinished
// work that fits it can run on.
type Scarcity map[string]int

// Note notes work that fits a type, and so many in all.
func (s Scarcity) Note(typ string, breadth int) {
	if least := s[typ]; least == 0 || breadth < least {
		s[typ] = breadth
	}
}

// Contested says that work with fewer choices than breadth needs the type.
func (s Scarcity) Contested(typ string, breadth int) bool {
	least, needed := s[typ]
	return needed && least < breadth
}
