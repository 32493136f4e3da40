package api

import (
	"context"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Agents handles the heartbeats of agents on worker machines.
type Agents interface {
	// HandleHeartbeat returns the response to a heartbeat; raw is the encoded heartbeat. It
	// must be called in the event loop.
	HandleHeartbeat(heartbeat *protocol.Heartbeat, raw []byte) transport.Response
}

// Leases computes the answer bounds of former leaders, and reads the controllers' incarnation records.
type Leases interface {
	// SuccessorConditions returns the conditions under which a job may be reassigned, and the
	// controllers that run a version which cancels the dependents of reassigned jobs. It must be
	// called in the event loop.
	SuccessorConditions() (conditions []protocol.Condition, missing []string)
	// FormerLeaderBounds returns the present answer bounds of a partition's former leaders. It
	// must be called in the event loop.
	FormerLeaderBounds(p *cluster.Partition) []failover.AnswerBound
}

// Auth authenticates callers, authorizes their requests and writes the audit log.
type Auth interface {
	// Enabled reports whether authentication is enabled.
	Enabled() bool

	// Authenticate returns the caller of a request, or the error that rejects the request. The
	// caller is nil if authentication is disabled.
	Authenticate(req *transport.Request, verb string) (*auth.Caller, error)
	// AuthenticateWorker returns the worker that sent a heartbeat, or the error that rejects it.
	AuthenticateWorker(req *transport.Request) (*auth.Caller, error)
	// CheckWorker rejects a heartbeat whose sender isn't the machine named in it.
	CheckWorker(caller *auth.Caller, machine string) error

	// Allows reports whether a caller has a permission on a queue.
	Allows(caller *auth.Caller, verb rights.Verb, queue rights.Queue) bool
	// AllowsEverywhere reports whether a caller has a permission on every queue.
	AllowsEverywhere(caller *auth.Caller, verb rights.Verb) bool
	// HoldsAny reports whether a caller has a permission on at least one queue.
	HoldsAny(caller *auth.Caller, verb rights.Verb) bool
	// IsAdministrator reports whether a caller may change the policy and read the audit log.
	IsAdministrator(caller *auth.Caller) bool
	// AuthorizeJob returns the queue of a job if a caller has a permission on that queue. The
	// error for a caller without it doesn't reveal whether the job exists.
	AuthorizeJob(ctx context.Context, caller *auth.Caller, verb rights.Verb, id string) (rights.Queue, error)
	// JobQueue returns the queue of a job, and whether the job is in this controller's index.
	// It must be called in the event loop.
	JobQueue(id string) (queue rights.Queue, known bool)
	// ReadSpec reads a job's record from the state store.
	ReadSpec(ctx context.Context, id string) (*protocol.JobSpec, error)

	// AuditRecord returns the audit record of an allowed request, or nil if authentication is
	// disabled.
	AuditRecord(caller *auth.Caller, verb string, queue rights.Queue, job string) *audit.Record
	// Commit commits a caller's transaction together with its audit record, if that isn't nil.
	Commit(ctx context.Context, txn *protocol.Transaction, record *audit.Record) (uint64, error)
	// Deny records a denied request in the audit log and returns an error with status 403.
	Deny(caller *auth.Caller, verb string, queue rights.Queue, job, reason string) error
	// AuditRead records an allowed read in the audit log, unless authentication is disabled.
	AuditRead(caller *auth.Caller, verb string, queue rights.Queue, job string)
	// AuditBatches returns the batches of an audit chain whose numbers are greater than after,
	// up to size bytes in total.
	AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error)
	// SealAudit returns a signed statement of the current end of each audit chain.
	SealAudit(ctx context.Context) (*audit.Seal, error)

	// Policy returns the policy published last; nil until the policy was read.
	Policy() *auth.PolicyView
	// PolicyRevision returns the revision of the policy's head record; 0 if there is none. It
	// must be called in the event loop.
	PolicyRevision() uint64
	// PublishPolicy makes the applied policy records effective. requestedAt is the time of the
	// request for the listing or watch response that delivered the records. PublishPolicy must
	// be called in the event loop.
	PublishPolicy(requestedAt time.Time)
}

// Cloud reports the state of the cloud provider's API.
type Cloud interface {
	// Unavailable reports whether requests to the cloud are suspended because earlier ones were
	// not answered.
	Unavailable(now time.Time) bool
}

// Proxy reports which controllers the machines are connected to.
type Proxy interface {
	// Load returns the number of machines connected to this controller and its capacity.
	Load(now time.Time) delegation.Load
	// Overview lists the delegates of a partition that this controller leads.
	Overview(p *cluster.Partition, now time.Time) (list []overview.Delegate)
	// RecentMoves lists the last moves of shards between delegates, with their ages.
	RecentMoves(now time.Time) []overview.ShardMove
}

// Replicator reports the progress of the replicas that this controller holds.
type Replicator interface {
	// Overview lists the replicas.
	Overview(now time.Time) (list []overview.Replica)
}

// Jobs applies the records of jobs. Its methods must be called in the event loop.
type Jobs interface {
	// ApplyFinalRecord applies the record with a job's final state.
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord applies the record of an accepted job. The record is immutable.
	ApplyJobRecord(id string, raw []byte)
	// SetFinalState marks a job as done or cancelled. at is the earliest time at which the job
	// may have ended.
	SetFinalState(id, status string, at time.Time)
}

// EventApplier applies changes that this controller has committed, before the watch delivers them.
type EventApplier interface {
	// ApplyEvent applies a state store event. It must be called in the event loop.
	ApplyEvent(e protocol.Event)
}
