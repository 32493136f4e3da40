// Package binpack checks which tasks fit on which machines: it compares the resources that tasks
// need with those that machines have, and the tasks' constraints with machine kinds. It is
// independent of the data types for jobs and machines.
package binpack

import (
	"slices"

	"micaspindle/internal/protocol"
)

// Epsilon is the tolerance for rounding errors in sums of resources.
const Epsilon = 1e-6

// UnboundedSlots is the limit to pass to Slots if the number of tasks is unknown. It keeps the result
// finite for tasks that need no resources.
const UnboundedSlots = 1000

// Resources are the resources that a task needs or a machine has.
type Resources struct{ CPUs, GPUs, MemGB float64 }

// Holds reports whether r is enough for need.
func (r Resources) Holds(need Resources) bool {
	return need.CPUs <= r.CPUs+Epsilon && need.GPUs <= r.GPUs+Epsilon && need.MemGB <= r.MemGB+Epsilon
}

// Plus returns r + times × other.
func (r Resources) Plus(other Resources, times float64) Resources {
	return Resources{
		CPUs:  r.CPUs + times*other.CPUs,
		GPUs:  r.GPUs + times*other.GPUs,
		MemGB: r.MemGB + times*other.MemGB,
	}
}

// Slots returns the number of tasks that fit into r if each needs the resources need, at most limit.
func (r Resources) Slots(need Resources, limit int) int {
	slots := limit
	for _, resource := range [...]struct{ need, available float64 }{{need.CPUs, r.CPUs}, {need.GPUs, r.GPUs}, {need.MemGB, r.MemGB}} {
		if resource.need > 0 {
			slots = min(slots, int((resource.available+Epsilon)/resource.need))
		}
	}
	return max(slots, 0)
}

// TeamResources is the usage or the limit of a team, in the resources that team limits apply to.
type TeamResources struct{ CPUs, GPUs float64 }

// Add adds times × need.
func (c *TeamResources) Add(need Resources, times float64) {
	c.CPUs += times * need.CPUs
	c.GPUs += times * need.GPUs
}

// Allows reports whether a team stays within the limit c when it starts one more task in addition to
// its present usage. A limit of 0 means no limit.
func (c TeamResources) Allows(used TeamResources, need Resources) bool {
	return (c.CPUs <= 0 || used.CPUs+need.CPUs <= c.CPUs+Epsilon) &&
		(c.GPUs <= 0 || used.GPUs+need.GPUs <= c.GPUs+Epsilon)
}

// Size returns the resources of an empty machine of a type.
func Size(t *protocol.MachineType) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
}

// MachineKind is the combination of properties by which machines are requested from the cloud.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// Constraints restrict the machine kinds on which a task may run.
type Constraints struct {
	// Types are the allowed machine types; empty allows all.
	Types []string
	// Zone is the allowed zone; empty allows all.
	Zone string
	// Spot allows spot machines in addition to ordinary ones.
	Spot bool
}

// Allows reports whether a task may run on a machine of a kind. Agents don't check this.
func (c Constraints) Allows(kind MachineKind) bool {
	return c.allowsType(kind.Type) && (c.Zone == "" || c.Zone == kind.Zone) && (!kind.Spot || c.Spot)
}

func (c Constraints) allowsType(name string) bool {
	return len(c.Types) == 0 || slices.Contains(c.Types, name)
}

// FitsType reports whether a task fits on an empty machine of a type, whatever its zone.
func FitsType(c Constraints, need Resources, t *protocol.MachineType) bool {
	return c.allowsType(t.Name) && Size(t).Holds(need)
}

// FitsOffered reports whether a task fits on an empty machine of a type and the cloud offers that
// type in the task's zone.
func FitsOffered(c Constraints, need Resources, t *protocol.MachineType) bool {
	offered := c.Zone == "" || len(t.Zones) == 0 || slices.Contains(t.Zones, c.Zone)
	return offered && FitsType(c, need, t)
}
