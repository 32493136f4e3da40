// Package binpack says what fits where: resources that tasks need against those that machines
// have, and tasks' constraints against kinds of machines. It knows no job, machine or
// controller.
package binpack

import (
	"slices"

	"micaspindle/internal/protocol"
)

// Epsilon is the tolerance for rounding errors in sums of resources.
const Epsilon = 1e-6

// UnboundedSlots bounds how many tasks that need nothing a machine is taken to hold.
const UnboundedSlots = 1000

// Resources are what a task needs or a machine has.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Holds reports whether these resources suffice for a need.
func (r Resources) Holds(need Resources) bool {
	return need.CPUs <= r.CPUs+Epsilon && need.GPUs <= r.GPUs+Epsilon && need.MemGB <= r.MemGB+Epsilon
}

// Plus adds another amount so many times; negative times subtract.
func (r Resources) Plus(other Resources, times float64) Resources {
	return Resources{
		CPUs:  r.CPUs + times*other.CPUs,
		GPUs:  r.GPUs + times*other.GPUs,
		MemGB: r.MemGB + times*other.MemGB,
	}
}

// Slots is how many tasks with a need these resources hold, at most limit.
func (r Resources) Slots(need Resources, limit int) int {
	slots := limit
	for _, resource := range [...]struct{ need, room float64 }{{need.CPUs, r.CPUs}, {need.GPUs, r.GPUs}, {need.MemGB, r.MemGB}} {
		if resource.need > 0 {
			slots = min(slots, int((resource.room+Epsilon)/resource.need))
		}
	}
	return max(slots, 0)
}

// Compute is what a team uses, or may use: the resources that are divided among teams.
type Compute struct{ CPUs, GPUs float64 }

// Add adds a need so many times; negative times subtract.
func (c *Compute) Add(need Resources, times float64) {
	c.CPUs += times * need.CPUs
	c.GPUs += times * need.GPUs
}

// Allows reports whether one more task keeps a team within this limit. A limit of 0 is none.
func (c Compute) Allows(used Compute, need Resources) bool {
	return (c.CPUs <= 0 || used.CPUs+need.CPUs <= c.CPUs+Epsilon) &&
		(c.GPUs <= 0 || used.GPUs+need.GPUs <= c.GPUs+Epsilon)
}

// Size is what an empty machine of a type has.
func Size(t *protocol.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// MachineKind is what the cloud distinguishes machines by.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Constraints are what a task demands of a machine's kind.
type Constraints struct {
	// Types are the machine types that will do; empty: any.
	Types []string
	// Zone is the zone that will do; empty: any.
	Zone string
	// Spot: spot machines will do, too.
	Spot bool
}

// Allows reports whether a machine of a kind will do. Agents don't check it.
func (c Constraints) Allows(kind MachineKind) bool {
	return c.allowsType(kind.Type) && (c.Zone == "" || c.Zone == kind.Zone) && (!kind.Spot || c.Spot)
}

func (c Constraints) allowsType(name string) bool {
	return len(c.Types) == 0 || slices.Contains(c.Types, name)
}

// FitsType reports whether a task fits an empty machine of a type, in any zone.
func FitsType(c Constraints, need Resources, t *protocol.MachineType) bool {
	return c.allowsType(t.Name) && Size(t).Holds(need)
}

// FitsOffered reports whether a task fits an empty machine of a type, in a zone where the cloud
// offers it.
func FitsOffered(c Constraints, need Resources, t *protocol.MachineType) bool {
	offered := c.Zone == "" || len(t.ZonesOffered) == 0 || slices.Contains(t.ZonesOffered, c.Zone)
	return offered && FitsType(c, need, t)
}
