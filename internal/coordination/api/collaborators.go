package api

import (
	"context"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Agents takes the heartbeats of the workers' agents.
type Agents interface {
	// HandleHeartbeat answers a heartbeat, of which raw is the encoded body. It runs in the
	// loop.
	HandleHeartbeat(heartbeat *protocol.Heartbeat, raw []byte) transport.Response
}

// Auth authenticates and authorizes callers and audits what they do.
type Auth interface {
	// Enabled reports whether requests need an identity.
	Enabled() bool

	// Authenticate returns who sends a request, or the error that refuses it.
	Authenticate(req *transport.Request, verb string) (*auth.Caller, error)
	// AuthenticateWorker returns which worker sends a heartbeat, or the error that refuses it.
	AuthenticateWorker(req *transport.Request) (*auth.Caller, error)
	// CheckWorker refuses a heartbeat that does not come from the machine that it names.
	CheckWorker(caller *auth.Caller, machine string) error

	// Allows reports whether a caller holds a verb on a queue.
	Allows(caller *auth.Caller, verb rights.Verb, queue rights.Queue) bool
	// AllowsEverywhere reports whether a caller holds a verb on every queue.
	AllowsEverywhere(caller *auth.Caller, verb rights.Verb) bool
	// HoldsAny reports whether a caller holds a verb on some queue.
	HoldsAny(caller *auth.Caller, verb rights.Verb) bool
	// Administers reports whether a caller may change the policy and read the audit.
	Administers(caller *auth.Caller) bool
	// AuthorizeJob returns the queue of a job if a caller holds a verb on it, or the error
	// that refuses the request, which is the same whether the job exists or not.
	AuthorizeJob(ctx context.Context, caller *auth.Caller, verb rights.Verb, id string) (rights.Queue, error)
	// JobQueue returns the queue of a job, and whether this controller knows the job. It runs
	// in the loop.
	JobQueue(id string) (queue rights.Queue, known bool)
	// ReadSpec reads a job's record from the state store.
	ReadSpec(ctx context.Context, id string) (*protocol.JobSpec, error)

	// AuditRecord returns the audit record of what a caller does, as allowed; nil while
	// requests need no identity.
	AuditRecord(caller *auth.Caller, verb string, queue rights.Queue, job string) *audit.Record
	// Commit commits a caller's transaction, and its audit record with it unless that is nil.
	Commit(ctx context.Context, txn *protocol.Transaction, record *audit.Record) (uint64, error)
	// Deny audits that a caller was not allowed to do something, and returns the error that
	// refuses the request.
	Deny(caller *auth.Caller, verb string, queue rights.Queue, job, reason string) error
	// NoteRead audits that a caller has read something.
	NoteRead(caller *auth.Caller, verb string, queue rights.Queue, job string)
	// AuditBatches reads the batches of an audit chain that come after a number, up to size
	// bytes of them.
	AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error)
	// SealAudit signs what the audit holds now.
	SealAudit(ctx context.Context) (*audit.Seal, error)

	// Policy is the policy as it was last published; nil before it was read.
	Policy() *auth.PolicyView
	// PolicyRevision is the revision of the policy's head record. It is called in the loop.
	PolicyRevision() uint64
	// PublishPolicy gives the connections the policy as it is now. requestedAt is when the listing
	// or watch was sent that brought it. It is called in the loop.
	PublishPolicy(requestedAt time.Time)
}

// Cloud knows how the cloud's interface does.
type Cloud interface {
	// Unavailable reports whether the cloud is not asked for now since it did not answer.
	Unavailable(now time.Time) bool
}

// Proxy knows which controllers have the machines' connections.
type Proxy interface {
	// Load is how many machines are connected here.
	Load(now time.Time) delegation.Load
	// Overview lists the controllers that have connections of a partition's machines.
	Overview(p *cluster.Partition, now time.Time) (list []overview.Delegate)
	// RecentMoves lists the last moves of shards, with how long ago they were.
	RecentMoves(now time.Time) []overview.ShardMove
}

// Replicator knows how far the replicas are that this controller has.
type Replicator interface {
	// Overview lists the replicas.
	Overview(now time.Time) (list []overview.Replica)
}

// Jobs applies the records of jobs. All of it runs in the loop.
type Jobs interface {
	// ApplyFinalRecord applies the record of a job's final state.
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord applies the record of an accepted job, which never changes.
	ApplyJobRecord(id string, raw []byte)
	// SetFinal sets that a job is done or cancelled, for good, and when it was at the
	// earliest.
	SetFinal(id, status string, at time.Time)
}

// Records applies events of the state store before the watch delivers them.
type Records interface {
	// ApplyEvent applies an event. It runs in the loop.
	ApplyEvent(e protocol.Event)
}
