// Package cluster holds the state that a controller's event loop owns: partitions, jobs,
// attempts, machines, peers and the dependency graph. It contains data and functions that
// compute values from the data. Other components change the data. Each component changes
// only its own fields, and only in the loop.
//
// A zero time.Time means that the event has not happened, unless the field's comment says
// otherwise. In names of plain numbers, the suffix S stands for seconds and MS for
// milliseconds.
package cluster

import (
	"crypto/rand"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/coordination/partition"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// State is the state that the components of a controller share. It belongs to the event
// loop and may be accessed only by functions that run in the loop.
type State struct {
	// The process and its configuration, which do not change after NewState.

	Settings *settings.Settings
	Operator settings.Operator
	// Nonce distinguishes this process from earlier ones with the same label.
	Nonce     string
	StartedAt time.Time

	// Derived from the settings by NewState.

	// TeamIndex maps a team's name to its index in the settings.
	TeamIndex map[string]int
	// TeamPartition is the partition of each team, by team index.
	TeamPartition []int
	// Labels are the labels of all controllers, sorted; SelfIndex is the index of this
	// controller's label.
	Labels    []string
	SelfIndex int
	// AgentLease is the time for which an agent's tasks may run after its last answered
	// heartbeat.
	AgentLease time.Duration
	// CancelBound is the longest time for which a task may outlive its job's cancellation.
	CancelBound time.Duration
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration

	// The shared records, which package records keeps up to date.

	// Synced is set once the shared records were listed.
	Synced bool
	// RecordsCurrentAt is the time of the request for the newest applied listing or
	// watch response: all shared records written before are applied. RecordsRevision is
	// the revision of that response.
	RecordsCurrentAt time.Time
	RecordsRevision  uint64

	// Partitions are indexed by Partition.Index.
	Partitions []*Partition

	// Jobs are the unfinished jobs, and the ended ones whose attempts or run records are
	// still to be cleaned up, by id.
	Jobs map[string]*Job
	// FinalStates are the final statuses of ended jobs, by id. An entry never changes.
	FinalStates map[string]string
	// Successors are the ids of the jobs that reassigned jobs became, by the ids of the reassigned
	// ones, whose final status is cancelled.
	Successors map[string]string
	// NoticedCancellations are the jobs whose cancellation is known from another controller's notice
	// only. Whether such a job was reassigned is in its final record.
	NoticedCancellations map[string]bool
	// ListedEndTimes are the times at which jobs ended, by id. It is nil except while a
	// listing is applied.
	ListedEndTimes map[string]time.Time
	Dependencies   DependencyGraph
	Cancellations  CancellationNotices

	// Machines are all machines on record, by name.
	Machines map[string]*Machine
	// DeletedMachines are the times at which machines were deleted, by name. Entries
	// are kept for a while, to recognize late heartbeats.
	DeletedMachines map[string]time.Time
	// UnregisteredMachines are machines that have sent heartbeats without being on record,
	// by name.
	UnregisteredMachines map[string]*peer.UnregisteredMachine
	// DivertedMachines are the machines of other leaders' partitions that sent a
	// heartbeat to this controller, with the time of the last one, by name.
	DivertedMachines map[string]time.Time
	// Catalog is the cloud's list of machine types, and MachineTypes maps their names
	// to them. Both are empty until the catalog was received.
	Catalog      []protocol.MachineType
	MachineTypes map[string]*protocol.MachineType

	// Peers are the other controllers, by label. The set never changes.
	Peers map[string]*Peer

	// This controller's leases, which package lease maintains.

	// LeaseID is the state store's lease on which this controller's partition leases and
	// cluster leadership depend, or 0 if there is none.
	LeaseID uint64
	// LeaseRenewedAt is the time at which the last confirmed renewal of the lease LeaseID
	// was sent.
	LeaseRenewedAt time.Time
	// ResignedAt is the time at which this controller last gave up its lease because no
	// agent reached it.
	ResignedAt time.Time
	// LeaseWakeup triggers the acquisition of wanted leases early.
	LeaseWakeup chan struct{}

	Leadership Leadership
	// LastLeaderUpdate is the last update received from a cluster leader.
	LastLeaderUpdate LeaderUpdate
	// Draining is set while this controller hands over its partitions and the cluster
	// leadership before it exits.
	Draining bool
	// WriteDemand is the number of writes per second to the state store that this
	// controller needs.
	WriteDemand float64
}

// NewState returns the state of a controller that has not read any records yet.
func NewState(set *settings.Settings, operator settings.Operator) *State {
	workers := set.Params.AgentTimes
	s := &State{
		Settings:  set,
		Operator:  operator,
		Nonce:     rand.Text(),
		StartedAt: time.Now(),

		TeamIndex:         map[string]int{},
		TeamPartition:     partition.Assign(set.Params.Teams, set.Params.ControllerCount),
		AgentLease:        settings.Seconds(workers.LeaseS),
		CancelBound:       settings.Seconds(workers.CancelS),
		HeartbeatInterval: settings.Seconds(workers.HeartbeatS),

		Jobs:                 map[string]*Job{},
		FinalStates:          map[string]string{},
		Successors:           map[string]string{},
		NoticedCancellations: map[string]bool{},
		Machines:             map[string]*Machine{},
		DeletedMachines:      map[string]time.Time{},
		UnregisteredMachines: map[string]*peer.UnregisteredMachine{},
		DivertedMachines:     map[string]time.Time{},
		MachineTypes:         map[string]*protocol.MachineType{},
		Peers:                map[string]*Peer{},
		LeaseWakeup:          make(chan struct{}, 1),
	}
	for i, team := range set.Params.Teams {
		s.TeamIndex[team.Name] = i
	}
	s.addControllers()
	s.addPartitions()
	s.Cancellations.SetLimit(s.CancelBound, set.Params.State)
	s.Leadership.Wakeup = make(chan struct{}, 1)
	s.Leadership.Reset()
	return s
}

// addControllers sets the labels of all controllers and adds a peer for each other one.
func (s *State) addControllers() {
	s.Labels = append(s.Labels, s.Settings.Label)
	for _, other := range s.Settings.Others {
		s.Labels = append(s.Labels, other.Label)
		s.Peers[other.Label] = &Peer{Addr: other.PeerAddr}
	}
	slices.Sort(s.Labels)
	s.SelfIndex = slices.Index(s.Labels, s.Settings.Label)
}

// addPartitions adds the partitions, one for each controller.
func (s *State) addPartitions() {
	for i := range s.Settings.Params.ControllerCount {
		s.Partitions = append(s.Partitions, &Partition{
			Index:       i,
			Wakeup:      make(chan struct{}, 1),
			Usage:       make([]binpack.TeamResources, len(s.Settings.Params.Teams)),
			DoneTallies: map[int]*fairshare.Tally{},
		})
	}
	for _, i := range s.TeamPartition {
		s.Partitions[i].HasTeams = true
	}
}

// SetCatalog sets the machine types, and the Type of all known machines.
func (s *State) SetCatalog(types []protocol.MachineType) {
	s.Catalog = types
	s.MachineTypes = map[string]*protocol.MachineType{}
	for i := range types {
		s.MachineTypes[types[i].Name] = &types[i]
	}
	for _, m := range s.Machines {
		m.Type = s.MachineTypes[m.Record.Type]
	}
}

// AnswerBound returns the time after UpToDateAt for which a controller may still answer its
// agents' heartbeats. With this bound, tasks survive an outage of the state store, and yet
// a task ends within CancelBound if another controller cancels its job (rules 12 and 42).
func (s *State) AnswerBound() time.Duration {
	return max(0, s.CancelBound-s.AgentLease-2*ClockMargin)
}

// AgentLeaseBound returns the time after which an agent's lease has certainly expired, counted by this
// controller's clock from the last answer to a heartbeat.
func (s *State) AgentLeaseBound() time.Duration {
	return time.Duration(float64(s.AgentLease)*ClockDriftFactor) + ClockMargin
}

// UpToDateAt returns the latest time at which this controller provably held its leases and
// had received every cancellation confirmed to users so far. A lease renewal does not prove
// that all cancellations were received, since it may succeed while the watch delivers no
// events (rule 42).
func (s *State) UpToDateAt() time.Time {
	if s.RecordsCurrentAt.Before(s.LeaseRenewedAt) {
		return s.RecordsCurrentAt
	}
	return s.LeaseRenewedAt
}

// MayAnswerHeartbeats reports whether this controller may answer the heartbeats of a
// partition's agents as the partition's leader.
func (s *State) MayAnswerHeartbeats(p *Partition, now time.Time) bool {
	return p.Held && now.Sub(s.UpToDateAt()) < s.AnswerBound()
}
