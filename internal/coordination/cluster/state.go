// Package cluster is the state that a controller's event loop owns: partitions, jobs,
// attempts, machines, peers and the graph of dependencies. It holds data and what follows
// from it; the components around it change it, each its own part, and only in the loop.
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
	Settings *settings.Settings
	Operator settings.Operator
	// Nonce tells this process's incarnation from earlier ones of the same label.
	Nonce     string
	StartedAt time.Time

	// Derived from the settings once.
	TeamIndex                                  map[string]int
	TeamPartition                              []int
	Labels                                     []string // of all controllers, sorted
	SelfIndex                                  int
	AgentLease, CancelBound, HeartbeatInterval time.Duration

	// Synced: the shared records were read at least once.
	Synced bool
	// RecordsAsOf is when a listing or watch was asked for whose answer is taken in: every
	// shared record up to then is known. RecordsRevision is the revision of that answer.
	RecordsAsOf     time.Time
	RecordsRevision uint64

	Partitions  []*Partition
	Jobs        map[string]*Job   // unfinished ones, and ended ones that still hold something
	FinalStates map[string]string // of ended jobs, by id
	// ListedEnds is when jobs ended, while a listing is taken in.
	ListedEnds    map[string]time.Time
	Dependencies  DependencyGraph
	Cancellations CancellationNotices

	Machines        map[string]*Machine
	DeletedMachines map[string]time.Time // when they were deleted, for late heartbeats
	// UnregisteredMachines have sent heartbeats without being on record.
	UnregisteredMachines map[string]*peer.UnregisteredMachine
	// DivertedMachines are machines of other leaders that came here, with when they did.
	DivertedMachines map[string]time.Time
	MachineTypes     map[string]*protocol.MachineType
	Catalog          []protocol.MachineType

	Peers map[string]*Peer
	// LeaseID is the state store's lease that this controller's claims hang on;
	// LeaseRenewedAt is when its last confirmed renewal was sent.
	LeaseID        uint64
	LeaseRenewedAt time.Time
	ResignedAt     time.Time
	// LeaseWakeup lets wanted leases be acquired before the next turn.
	LeaseWakeup      chan struct{}
	Leadership       Leadership
	LastLeaderUpdate LeaderUpdate
	// Draining: this controller is about to end and hands over what it holds.
	Draining bool
	// WriteDemand is how many changes a second this controller wants.
	WriteDemand float64
}

// NewState makes the state of a controller that knows nothing yet.
func NewState(set *settings.Settings, op settings.Operator) *State {
	p := set.Params
	s := &State{Settings: set, Operator: op, Nonce: rand.Text(), StartedAt: time.Now(),
		TeamIndex: map[string]int{}, TeamPartition: partition.Assign(p.Teams, p.Count),
		AgentLease: settings.Seconds(p.Workers.LeaseS), CancelBound: settings.Seconds(p.Workers.CancelS),
		HeartbeatInterval: settings.Seconds(p.Workers.ReportS),

		Jobs: map[string]*Job{}, FinalStates: map[string]string{}, Machines: map[string]*Machine{},
		DeletedMachines: map[string]time.Time{}, MachineTypes: map[string]*protocol.MachineType{},
		Peers: map[string]*Peer{}, UnregisteredMachines: map[string]*peer.UnregisteredMachine{},
		DivertedMachines: map[string]time.Time{}, LeaseWakeup: make(chan struct{}, 1)}
	for i, t := range p.Teams {
		s.TeamIndex[t.Name] = i
	}
	s.Labels = append(s.Labels, set.Label)
	for _, other := range set.Others {
		s.Labels = append(s.Labels, other.Label)
		s.Peers[other.Label] = &Peer{Addr: other.PeerAddr}
	}
	slices.Sort(s.Labels)
	s.SelfIndex = slices.Index(s.Labels, set.Label)
	for i := range p.Count {
		s.Partitions = append(s.Partitions, &Partition{Index: i, Wakeup: make(chan struct{}, 1),
			Usage: make([]binpack.Compute, len(p.Teams)), DoneTallies: map[int]*fairshare.Tally{}})
	}
	for _, i := range s.TeamPartition {
		s.Partitions[i].HasTeams = true
	}
	s.Cancellations.SetLimit(s.CancelBound, p.State)
	s.Leadership.Wakeup = make(chan struct{}, 1)
	s.Leadership.Reset()
	return s
}
