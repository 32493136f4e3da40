// Package scaling decides, for the cluster's leader, on the machines of all partitions: which
// are adopted, terminated and moved, and how the fleet scales out and in. It is a pure function
// of a view; the leader gathers that, and does what the plan says.
package scaling

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

const (
	// moveRest is how long a machine that was moved is left alone.
	moveRest = 3 * time.Second
	// retryRest is how long after an adoption or a termination was started the same is not
	// started again.
	retryRest = 5 * time.Second
	// adoptionMemory is beyond how long ago an adoption that was tried counts as never tried.
	adoptionMemory = time.Hour
	// minLifetime is how long a machine is kept in any case: its first minute is paid.
	minLifetime = 55 * time.Second
	// spotSlackS is how many seconds a task must have left, beyond its run and the boot, to
	// wait for spot capacity instead of paying the ordinary price.
	spotSlackS = 10.0
)

// View is all that the decisions depend on.
type View struct {
	Now time.Time
	// Partitions are by their numbers.
	Partitions []Partition
	// Machines are those on record, by name.
	Machines []Machine
	Catalog  []protocol.MachineType
	Scarcity binpack.Scarcity
	// RefusedCapacity says until when what the cloud refused is not asked for.
	RefusedCapacity map[binpack.MachineKind]time.Time
	// ScalingOut are the partitions for which a scale-out is under way.
	ScalingOut map[int]bool
	Unrecorded []Unrecorded
	// IdleSpot and IdleOrdinary are how long machines may be idle before they are scaled in.
	IdleSpot, IdleOrdinary time.Duration
}

// Partition is what the leader of a partition last said of it.
type Partition struct {
	// Known: it has said something lately.
	Known bool
	// Demands are the pending tasks that find no room, in queue order.
	Demands []Demand
}

// Demand is a number of pending tasks that are alike.
type Demand struct {
	Constraints binpack.Constraints
	Resources   binpack.Resources
	Count       int
	// EstimateS is how many seconds a task runs, SlackS in how many it should be done, and
	// WaitedS for how many it has waited.
	EstimateS, SlackS, WaitedS float64
}

// Machine is a machine on record.
type Machine struct {
	Name      string
	Partition int
	Kind      binpack.MachineKind
	Type      *protocol.MachineType // nil: not in the catalog
	// Serving: it is neither lost nor quarantined, for all that the cluster's leader itself
	// knows.
	Serving bool
	// What the leader of its partition says of it. NeverUp: it has sent no heartbeat for
	// longer than it takes to boot. Retiring: it gets no more tasks.
	Idle, Lost, Quarantined, NeverUp, Retiring bool
	// IdleS is for how many seconds it has been idle.
	IdleS float64
	// Failed is what the cloud says of it.
	Failed bool
	// RecordedAt is when it came on record, MovedAt when it was last moved, and
	// DeletingSince when its deletion was last started.
	RecordedAt, MovedAt, DeletingSince time.Time
}

// Unrecorded is a machine without a record.
type Unrecorded struct {
	Name string
	Kind binpack.MachineKind
	// TriedAt is when its adoption was last started.
	TriedAt time.Time
}

// Plan is what is to be done.
type Plan struct {
	Adopt []Adoption
	// AdoptLater are unrecorded machines that may be the answer to a scale-out under way.
	AdoptLater []string
	Terminate  []Termination
	Moves      []Move
	ScaleOuts  []ScaleOut
	// ScaleIns are names of machines.
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

// TerminationReason says why a machine is terminated.
type TerminationReason string

// Reasons of terminations.
const (
	reasonLost        TerminationReason = "lost"
	reasonQuarantined TerminationReason = "faulty"
	reasonFailed      TerminationReason = "failed"
	reasonNeverUp     TerminationReason = "never came up"
)

// Move moves an idle machine between partitions.
type Move struct {
	Name     string
	From, To int
}

// ScaleOut is a request for machines of one kind.
type ScaleOut struct {
	Kind      binpack.MachineKind
	Partition int
	Count     int
}

// Decide makes a plan. The view is not changed.
func Decide(v View) Plan {
	r := newRound(v)
	r.adopt()
	r.terminate()
	r.move()
	r.scaleOut()
	r.scaleIn()
	return r.plan
}

// round is the state of one call of Decide.
type round struct {
	View
	// demands are those of the partitions. They shrink as they are served.
	demands [][]Demand
	// movable are the idle machines that may be moved, by partition.
	movable [][]int
	// moved and terminated are machines that the plan has something for.
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

// recently reports whether a moment lies less than a duration back.
func (r *round) recently(at time.Time, within time.Duration) bool { return r.Now.Sub(at) < within }

// wants reports whether a partition has pending work for a machine.
func (r *round) wants(partition int, machine *Machine) bool {
	return slices.ContainsFunc(r.demands[partition], func(d Demand) bool {
		return d.Count > 0 && d.Constraints.Allows(machine.Kind) && binpack.Size(machine.Type).Slots(d.Resources, d.Count) > 0
	})
}
