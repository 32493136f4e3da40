package api

import (
	"context"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/identity"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// Agents is what Server asks of its collaborator.
type Agents interface {
	// HandleHeartbeat answers a worker's report, of which raw is the body.
	HandleHeartbeat(r *protocol.Heartbeat, raw []byte) transport.Response
}

// Auth is what Server asks of its collaborator.
type Auth interface {
	// Administers says whether a caller may change the policy and read the audit.
	Administers(who *auth.Caller) bool
	// Allows says whether a caller holds a verb on a queue.
	Allows(who *auth.Caller, v rights.Verb, q rights.Queue) bool
	// AllowsEverywhere says whether a caller holds a verb on every queue.
	AllowsEverywhere(who *auth.Caller, v rights.Verb) bool
	// AuditBatches reads batches of a chain of the audit, up to so many bytes.
	AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error)
	// AuditRecord begins the audit record of what a caller does; nil while nobody asks
	// who comes.
	AuditRecord(who *auth.Caller, verb string, q rights.Queue, job string) *audit.Record
	// Authenticate says who sends a request, or refuses it.
	Authenticate(req *transport.Request, verb string) (*auth.Caller, *transport.Response)
	// AuthenticateWorker says which worker sends a report, or refuses it.
	AuthenticateWorker(req *transport.Request) (*auth.Caller, *transport.Response)
	// AuthorizeJob says whether a caller may do something with a job, and refuses with
	// the same words, after the same reading, whether the job exists or not. Only
	// who may do it with every job is told that there is none.
	AuthorizeJob(ctx context.Context, who *auth.Caller, v rights.Verb, id string) (rights.Queue, *transport.Response)
	// CheckSender says whether a message comes from the worker or controller that it
	// names, and refuses it if not.
	CheckSender(who *auth.Caller, verb string, named identity.Name) *transport.Response
	// Commit commits what a user asked for, together with its record if one is
	// to be kept.
	Commit(ctx context.Context, txn *protocol.Transaction, r *audit.Record) (uint64, error)
	// Deny refuses and notes it.
	Deny(who *auth.Caller, verb string, q rights.Queue, job string, status int, reason string) *transport.Response
	// Enabled says whether requests need an identity.
	Enabled() bool
	// HoldsAny says whether a caller holds a verb on some queue.
	HoldsAny(who *auth.Caller, v rights.Verb) bool
	// JobQueue is the queue of a job that this controller knows, for the loop.
	JobQueue(id string) (q rights.Queue, known bool)
	// NoteRead notes that a caller has looked at something.
	NoteRead(who *auth.Caller, verb string, q rights.Queue, id string)
	// Policy is the policy as it was last published; nil before it was read.
	Policy() *auth.PolicyView
	// PolicyRevision is the revision of the policy's head record, for the loop.
	PolicyRevision() uint64
	// PublishPolicy gives the connections what the watch has brought, once for all
	// records that came together. asked is when the listing or watch was sent that
	// brought it.
	PublishPolicy(asked time.Time)
	// ReadSpec reads a job's record; who, if told, is held to the budget for
	// unknown jobs.
	ReadSpec(ctx context.Context, who *auth.Caller, id string) (*protocol.JobSpec, error)
	// SealAudit signs what the audit holds now.
	SealAudit(ctx context.Context) (*audit.Seal, error)
}

// Cloud is what Server asks of its collaborator.
type Cloud interface {
	// Unavailable says whether the interface is left alone since it did not answer.
	Unavailable(now time.Time) bool
}

// Proxy is what Server asks of its collaborator.
type Proxy interface {
	// Load is how many machines keep their connections here.
	Load(now time.Time) delegation.Load
	// Overview says who carries what of a part.
	Overview(p *cluster.Partition, now time.Time) (list []overview.Delegate)
	// RecentMoves is the last moves with how long ago they were.
	RecentMoves(now time.Time) []overview.ShardMove
}

// Replicator is what Server asks of its collaborator.
type Replicator interface {
	// Overview is how the copies stand.
	Overview(now time.Time) (list []overview.Replica)
}

// Jobs is what Server asks of its collaborator.
type Jobs interface {
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord takes up an accepted job. Records never change.
	ApplyJobRecord(id string, raw []byte)
	// SetFinal notes that a job is done or withdrawn, for good, and when it was at the earliest.
	SetFinal(id, status string, at time.Time)
}

// Records is what Server asks of its collaborator.
type Records interface {
	ApplyEvent(e protocol.Event)
}
