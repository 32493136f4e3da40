// Package cluster is the state that a controller's event loop owns: partitions, jobs,
// attempts, machines, peers and the graph of dependencies. It holds data and what follows
// from it by itself. The components around it change it, each the fields that it owns, and
// only in the loop.
//
// A time.Time that is zero means that the event has not happened, unless the field's
// comment says otherwise. Durations and times without a unit suffix are Go's own; a suffix
// S is seconds, MS milliseconds.
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

// State is what the components of a controller share. It belongs to the event loop: only
// functions that run in it touch it.
type State struct {
	// The process and its configuration; none of it changes after NewState.

	Settings *settings.Settings
	Operator settings.Operator
	// Nonce tells this process's incarnation from earlier ones of the same label.
	Nonce     string
	StartedAt time.Time

	// Derived from the settings by NewState.

	// TeamIndex gives a team's index in the settings by its name.
	TeamIndex map[string]int
	// TeamPartition gives the partition of each team, by team index.
	TeamPartition []int
	// Labels are those of all controllers, sorted; SelfIndex is this controller's own.
	Labels    []string
	SelfIndex int
	// AgentLease is how long an agent lets its tasks run after its last answered heartbeat.
	AgentLease time.Duration
	// CancelBound is for how long a task may outlive its job's cancellation.
	CancelBound time.Duration
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval time.Duration

	// The shared records, which package records follows.

	// Synced: the shared records were listed at least once.
	Synced bool
	// RecordsCurrentAt is when the newest applied listing or watch was requested: every shared
	// record up to then is known. RecordsRevision is the revision of its answer.
	RecordsCurrentAt time.Time
	RecordsRevision  uint64

	// Partitions are indexed by Partition.Index.
	Partitions []*Partition

	// Jobs, by id: the unfinished ones, and ended ones whose attempts or run records are
	// still to be cleared away.
	Jobs map[string]*Job
	// FinalStates are the statuses of ended jobs, by id. An entry never changes.
	FinalStates map[string]string
	// ListedEndTimes is when jobs ended, by id; nil except while a listing is applied.
	ListedEndTimes map[string]time.Time
	Dependencies   DependencyGraph
	Cancellations  CancellationNotices

	// Machines are all machines on record, by name.
	Machines map[string]*Machine
	// DeletedMachines is when machines were deleted, by name: late heartbeats of them are
	// recognized for a while.
	DeletedMachines map[string]time.Time
	// UnregisteredMachines have sent heartbeats without being on record.
	UnregisteredMachines map[string]*peer.UnregisteredMachine
	// DivertedMachines is when machines that another controller leads last sent a heartbeat
	// to this one, by name.
	DivertedMachines map[string]time.Time
	// Catalog is the cloud's list of machine types, MachineTypes the same by name; both are
	// empty until the catalog is known.
	Catalog      []protocol.MachineType
	MachineTypes map[string]*protocol.MachineType

	// Peers are the other controllers, by label. The set never changes.
	Peers map[string]*Peer

	// This controller's leases, which package lease maintains.

	// LeaseID is the state store's lease that this controller's partition leases and its
	// cluster leadership depend on; 0: none.
	LeaseID uint64
	// LeaseRenewedAt is when the last confirmed renewal of it was sent.
	LeaseRenewedAt time.Time
	// ResignedAt is when this controller last gave its lease up because no agent reached it.
	ResignedAt time.Time
	// LeaseWakeup lets wanted leases be acquired ahead of the next turn.
	LeaseWakeup chan struct{}

	Leadership Leadership
	// LastLeaderUpdate is what the cluster leader sent last.
	LastLeaderUpdate LeaderUpdate
	// Draining: this controller is about to end and hands over what it leads.
	Draining bool
	// WriteDemand is how many writes a second to the state store this controller wants.
	WriteDemand float64
}

// NewState makes the state of a controller that knows nothing yet.
func NewState(set *settings.Settings, operator settings.Operator) *State {
	workers := set.Params.Workers
	s := &State{
		Settings:  set,
		Operator:  operator,
		Nonce:     rand.Text(),
		StartedAt: time.Now(),

		TeamIndex:         map[string]int{},
		TeamPartition:     partition.Assign(set.Params.Teams, set.Params.Count),
		AgentLease:        settings.Seconds(workers.LeaseS),
		CancelBound:       settings.Seconds(workers.CancelS),
		HeartbeatInterval: settings.Seconds(workers.ReportS),

		Jobs:                 map[string]*Job{},
		FinalStates:          map[string]string{},
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

// addControllers makes the list of all controllers and a peer for each other one.
func (s *State) addControllers() {
	s.Labels = append(s.Labels, s.Settings.Label)
	for _, other := range s.Settings.Others {
		s.Labels = append(s.Labels, other.Label)
		s.Peers[other.Label] = &Peer{Addr: other.PeerAddr}
	}
	slices.Sort(s.Labels)
	s.SelfIndex = slices.Index(s.Labels, s.Settings.Label)
}

// addPartitions makes the partitions, as many as there are controllers.
func (s *State) addPartitions() {
	for i := range s.Settings.Params.Count {
		s.Partitions = append(s.Partitions, &Partition{
			Index:       i,
			Wakeup:      make(chan struct{}, 1),
			Usage:       make([]binpack.Compute, len(s.Settings.Params.Teams)),
			DoneTallies: map[int]*fairshare.Tally{},
		})
	}
	for _, i := range s.TeamPartition {
		s.Partitions[i].HasTeams = true
	}
}

// SetCatalog sets the machine types, also those of the machines that are known already.
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

// AnswerBound is for how long a controller goes on answering its agents' heartbeats after
// UpToDateAt, so that their tasks survive an outage of the state store, yet a task whose
// job is cancelled elsewhere has ended within CancelBound (rules 12 and 42).
func (s *State) AnswerBound() time.Duration {
	return max(0, s.CancelBound-s.AgentLease-2*ClockMargin)
}

// UpToDateAt is the moment up to which this controller provably knows every cancellation
// that was confirmed to any user, and held its leases. A lease renewal alone does not show the
// first: it may succeed while the watch brings nothing (rule 42).
func (s *State) UpToDateAt() time.Time {
	if s.RecordsCurrentAt.Before(s.LeaseRenewedAt) {
		return s.RecordsCurrentAt
	}
	return s.LeaseRenewedAt
}

// MayAnswerHeartbeats says whether this controller may answer heartbeats of a partition's agents as
// the partition's leader.
func (s *State) MayAnswerHeartbeats(p *Partition, now time.Time) bool {
	return p.Held && now.Sub(s.UpToDateAt()) < s.AnswerBound()
}
