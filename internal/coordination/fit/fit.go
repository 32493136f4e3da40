// Package fit says what fits where: needs of tasks against room, and their wishes
// against kinds of machines. It knows no job, machine or controller.
package fit

import (
	"math/bits"
	"slices"

	"micaspindle/internal/protocol"
)

// Epsilon is by how much sums of amounts may be off.
const Epsilon = 1e-6

// Many bounds what a machine is taken to hold of tasks that need nothing.
const Many = 1000

// Amounts are what tasks need and machines have.
type Amounts struct{ CPUs, GPUs, MemGB float64 }

// Holds says whether a room holds a need.
func (room Amounts) Holds(need Amounts) bool {
	return need.CPUs <= room.CPUs+Epsilon && need.GPUs <= room.GPUs+Epsilon && need.MemGB <= room.MemGB+Epsilon
}

// Plus is the sum with so many times the other.
func (room Amounts) Plus(other Amounts, times float64) Amounts {
	return Amounts{room.CPUs + times*other.CPUs, room.GPUs + times*other.GPUs, room.MemGB + times*other.MemGB}
}

// Slots is how many tasks with a need a room holds, at most most.
func (room Amounts) Slots(need Amounts, most int) int {
	for _, p := range [3][2]float64{{need.CPUs, room.CPUs}, {need.GPUs, room.GPUs}, {need.MemGB, room.MemGB}} {
		if p[0] > 0 {
			most = min(most, int((p[1]+Epsilon)/p[0]))
		}
	}
	return max(most, 0)
}

// Share is what a team uses, or may use, of what is shared out.
type Share struct{ CPUs, GPUs float64 }

// Add adds so many times a need.
func (s *Share) Add(need Amounts, times float64) {
	s.CPUs, s.GPUs = s.CPUs+times*need.CPUs, s.GPUs+times*need.GPUs
}

// Allows says whether one more task keeps a team within this limit; 0 is none.
func (s Share) Allows(used Share, need Amounts) bool {
	return (s.CPUs <= 0 || used.CPUs+need.CPUs <= s.CPUs+Epsilon) &&
		(s.GPUs <= 0 || used.GPUs+need.GPUs <= s.GPUs+Epsilon)
}

// Size is what an empty machine of a type has.
func Size(t *protocol.MachineType) Amounts { return Amounts{t.CPUs, t.GPUs, t.MemGB} }

// Kind is what the cloud calls a machine.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Wish is what a task asks of a machine's kind. An empty list of types, or an empty
// zone, is any; Spot says that it may run on a spot machine.
type Wish struct {
	Types []string
	Zone  string
	Spot  bool
}

// Allows says whether a machine of a kind will do, which workers don't check.
func (w Wish) Allows(k Kind) bool {
	return (len(w.Types) == 0 || slices.Contains(w.Types, k.Type)) && (w.Zone == "" || w.Zone == k.Zone) && (!k.Spot || w.Spot)
}

// Offered says whether a task fits an empty machine of a type, in a zone where it
// is offered.
func Offered(w Wish, need Amounts, t *protocol.MachineType) bool {
	return (w.Zone == "" || len(t.ZonesOffered) == 0 || slices.Contains(t.ZonesOffered, w.Zone)) && OfType(w, need, t)
}

// OfType is Offered, whatever the zone.
func OfType(w Wish, need Amounts, t *protocol.MachineType) bool {
	return (len(w.Types) == 0 || slices.Contains(w.Types, t.Name)) && Size(t).Holds(need)
}

// Types is the set of types that a task fits, as bits.
func Types(w Wish, need Amounts, catalog []protocol.MachineType) uint64 {
	set := uint64(0)
	for i := range min(len(catalog), 64) {
		if Offered(w, need, &catalog[i]) {
			set |= 1 << i
		}
	}
	return set
}

// Breadth is how many types are in a set.
func Breadth(types uint64) int { return bits.OnesCount64(types) }

// Scarcity holds, for each machine type, how few types the choosiest unfinished
// work that fits it can run on.
type Scarcity map[string]int

// Needs notes work that fits a type, and so many in all.
func (s Scarcity) Needs(typ string, breadth int) {
	if least := s[typ]; least == 0 || breadth < least {
		s[typ] = breadth
	}
}

// Contested says that work with fewer choices than breadth needs the type.
func (s Scarcity) Contested(typ string, breadth int) bool {
	least, needed := s[typ]
	return needed && least < breadth
}
