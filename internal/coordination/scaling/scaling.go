// Package scaling plans the changes of the fleet for the cluster leader: which machines are adopted,
// terminated or moved between partitions, and how the fleet scales out and in. It works on a
// snapshot; the leader collects the snapshot and executes the plan.
package scaling

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

const (
	// moveCooldown is the time after a move during which a machine is neither moved again nor
	// scaled in.
	moveCooldown = 3 * time.Second
	// retryInterval is the minimum time between attempts to adopt or to delete the same machine.
	retryInterval = 5 * time.Second
	// adoptionAttemptTTL is the age from which an adoption attempt is ignored.
	adoptionAttemptTTL = time.Hour
	// minLifetime is the age before which machines are not scaled in: the cloud bills the first
	// minute in any case.
	minLifetime = 55 * time.Second
	// minSpotSlackS is the slack in seconds, after waiting, boot and run time, above which a task
	// waits for spot capacity and does not use ordinary machines.
	minSpotSlackS = 10.0
)

// View is a snapshot of the cluster.
type View struct {
	Now time.Time
	// Partitions are indexed by partition number.
	Partitions []Partition
	// Machines are the machines with a record, sorted by name.
	Machines []Machine
	Catalog  []protocol.MachineType
	Scarcity binpack.Scarcity
	// RefusedCapacity maps each machine kind that the cloud refused to the time before which it
	// is not requested again.
	RefusedCapacity map[binpack.MachineKind]time.Time
	// ScalingOut holds the partitions with a scale-out in progress.
	ScalingOut map[int]bool
	Unrecorded []Unrecorded
	// IdleSpot and IdleOrdinary are the idle times after which spot and ordinary machines are
	// scaled in.
	IdleSpot, IdleOrdinary time.Duration
}

// Partition is the state of a partition according to the last report of its leader.
type Partition struct {
	// Reporting is set if the leader has reported recently.
	Reporting bool
	// Demands are the pending tasks that need additional machines, in queue order.
	Demands []Demand
}

// Demand is a group of pending tasks of the same job.
type Demand struct {
	Constraints binpack.Constraints
	Resources   binpack.Resources
	Count       int
	// EstimateS is the estimated run time of a task, SlackS the time left until it should be
	// done, and WaitedS the time that it has waited, all in seconds.
	EstimateS, SlackS, WaitedS float64
}

// Machine is a machine with a record.
type Machine struct {
	Name      string
	Partition int
	Kind      binpack.MachineKind
	Type      *protocol.MachineType // nil if not in the catalog
	// Serving is set unless the cluster leader's own state marks the machine as lost or
	// quarantined.
	Serving bool
	// The fields from Idle to Retiring are as reported by the partition's leader. NeverUp is set if no
	// heartbeat arrived within the expected boot time, Retiring if the machine gets no further
	// tasks.
	Idle, Lost, Quarantined, NeverUp, Retiring bool
	// IdleS is the time in seconds for which the machine has been idle.
	IdleS float64
	// Failed is set if the cloud reports the machine as failed.
	Failed bool
	// RecordedAt is the time at which the record was created, MovedAt that of the machine's last
	// move, and DeletingSince that of the last attempt to delete it.
	RecordedAt, MovedAt, DeletingSince time.Time
}

// Unrecorded is a machine without a record.
type Unrecorded struct {
	Name string
	Kind binpack.MachineKind
	// TriedAt is the time of the last adoption attempt, including postponed ones.
	TriedAt time.Time
}

// Plan lists the changes of the fleet.
type Plan struct {
	Adopt []Adoption
	// AdoptLater are the names of unrecorded machines that may belong to a scale-out in
	// progress. Their adoption is postponed.
	AdoptLater []string
	Terminate  []Termination
	Moves      []Move
	ScaleOuts  []ScaleOut
	// ScaleIns are the names of the machines to release.
	ScaleIns []string
}

// Adoption assigns an unrecorded machine to a partition.
type Adoption struct {
	Name      string
	Partition int
}

// Termination deletes an unhealthy machine.
type Termination struct {
	Name   string
	Reason TerminationReason
}

// TerminationReason is the reason for terminating a machine.
type TerminationReason string

const (
	reasonLost        TerminationReason = "lost"
	reasonQuarantined TerminationReason = "faulty"
	reasonFailed      TerminationReason = "failed"
	reasonNeverUp     TerminationReason = "never came up"
)

// Move moves an idle machine from one partition to another.
type Move struct {
	Name     string
	From, To int
}

// ScaleOut requests new machines of one kind for a partition.
type ScaleOut struct {
	Kind      binpack.MachineKind
	Partition int
	Count     int
}

// Decide plans the changes of the fleet. It does not modify the view.
func Decide(v View) Plan {
	r := newRound(v)
	r.adopt()
	r.terminate()
	r.move()
	r.scaleOut()
	r.scaleIn()
	return r.plan
}

// round is the working state of one call of Decide.
type round struct {
	View
	// demands are the unmet demands by partition. Their counts shrink as the plan grows.
	demands [][]Demand
	// movable holds the idle machines that may be moved, by partition.
	movable [][]int
	// moved and terminated are the machines that the plan moves or terminates.
	moved, terminated map[int]bool
	plan              Plan
}

func newRound(v View) round {
	r := round{
		View:       v,
		demands:    make([][]Demand, len(v.Partitions)),
		movable:    make([][]int, len(v.Partitions)),
		moved:      map[int]bool{},
		terminated: map[int]bool{},
	}
	for i, partition := range v.Partitions {
		r.demands[i] = slices.Clone(partition.Demands)
	}
	return r
}

// recently reports whether a time is less than a duration ago.
func (r *round) recently(at time.Time, within time.Duration) bool { return r.Now.Sub(at) < within }

// hasDemandFor reports whether a partition has an unmet demand that a machine could serve.
func (r *round) hasDemandFor(partition int, machine *Machine) bool {
	return slices.ContainsFunc(r.demands[partition], func(d Demand) bool {
		return d.Count > 0 && d.Constraints.Allows(machine.Kind) && binpack.Size(machine.Type).Slots(d.Resources, d.Count) > 0
	})
}
