package cluster

import (
	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// ResourcesOf returns the resources that one task of a job takes.
func ResourcesOf(spec *protocol.JobSpec) binpack.Resources {
	return binpack.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemGB: spec.MemGB}
}

// ConstraintsOf returns the constraints on the machines on which a job's tasks may run.
func ConstraintsOf(spec *protocol.JobSpec) binpack.Constraints {
	return binpack.Constraints{Types: spec.Types, Zone: spec.Zone, Spot: spec.Spot}
}

// TeamLimit returns the limit on the resources that a team uses at a time.
func TeamLimit(team settings.Team) binpack.TeamResources {
	return binpack.TeamResources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
}

// MachineKindOf returns the kind of a machine on record.
func MachineKindOf(rec storage.Machine) binpack.MachineKind {
	return binpack.MachineKind{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
}
