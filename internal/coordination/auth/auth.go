// Package auth knows who sends a request and what they may do: identities, the policy as the
// watch has brought it, and the audit of what was allowed and refused. It owns the policy's
// records and the queue of each known job. Until Enable, everybody may do everything.
package auth

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Auth knows who sends a request and what they may do. Its policy is followed by the loop
// and read by the connections. Until Enable, everybody may do everything.
type Auth struct {
	*cluster.State
	loop   *eventloop.Loop
	store  *storage.Store
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	enabled    bool
	enabledAt  time.Time
	tokens     *identity.Tokens
	bootstrap  string
	clockBound time.Duration
	auditLog   *audit.Log
	policy     atomic.Pointer[PolicyView]
	// freshSince is when the policy was last known to be up to date, since enabledAt.
	freshSince atomic.Int64
	// UnknownJobLimiters bounds how often an identity may make this controller look for jobs
	// that it does not know.
	UnknownJobLimiters *lru.Cache[string, *rate.Limiter]
	records            policyRecords
	jobQueues          jobQueueIndex
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Auth {
	return &Auth{State: state, loop: loop, store: store, log: log, bounds: bounds}
}

// Identities is what a controller needs to ask who comes, to bound what they
// may do, and to keep the record of it. Without it everybody may do everything.
type Identities struct {
	Tokens *identity.Tokens
	Signer func() audit.Signer
	// Bootstrap names who may write the first policy.
	Bootstrap string
	// ClockBound is how far off this process's clock may be.
	ClockBound time.Duration
}

// PolicyView is the policy at one version; it does not change.
type PolicyView struct {
	Version uint64
	// HeadRevision is the revision of the head record.
	HeadRevision uint64
	Document     *rights.Document
	Rights       *rights.Policy
}

// policyMaxAge is how old the policy may be for anything to be allowed by
// it: a revocation must hold everywhere within 3 s.
const policyMaxAge = 2500 * time.Millisecond

// PolicyWatchWait is how long a watch waits where the policy must be fresh.
const PolicyWatchWait = 500 * time.Millisecond

// An identity may ask for unknown jobs this often, and in such bursts.
const unknownJobRate = 5

const UnknownJobBurst = 20

// UnknownJobLimitersLimit is how many identities that is counted for, some 300 bytes each.
const UnknownJobLimitersLimit = 4096

// Enable makes the controller ask who sends a request. It is called before the loop starts.
func (au *Auth) Enable(ids Identities) error {
	if ops := au.Settings.Params.State.Lower().TxnOps; ops < minTransactionChanges {
		return fmt.Errorf("identities need transactions of %d changes; params.state allows %d", minTransactionChanges, ops)
	}
	limiters, err := lru.NewWithEvict(UnknownJobLimitersLimit, func(string, *rate.Limiter) { au.bounds.Met(telemetry.Callers, 1) })
	if err != nil {
		return err
	}
	au.enabled, au.enabledAt, au.UnknownJobLimiters = true, time.Now(), limiters
	au.tokens, au.bootstrap, au.clockBound = ids.Tokens, ids.Bootstrap, ids.ClockBound
	au.auditLog = audit.NewLog(au.store, au.Settings.Label, ids.Signer, au.log)
	au.freshSince.Store(-int64(time.Hour))
	au.records.init()
	au.jobQueues.init()
	return nil
}

// Enabled says whether requests need an identity.
func (au *Auth) Enabled() bool { return au.enabled }

// Policy is the policy as it was last published; nil before it was read.
func (au *Auth) Policy() *PolicyView { return au.policy.Load() }

// RunAudit writes the audit until ctx ends.
func (au *Auth) RunAudit(ctx context.Context) { au.auditLog.Run(ctx) }

// SealAudit signs what the audit holds now.
func (au *Auth) SealAudit(ctx context.Context) (*audit.Seal, error) { return au.auditLog.Seal(ctx) }

// AuditBatches reads batches of a chain of the audit, up to so many bytes.
func (au *Auth) AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error) {
	return au.auditLog.Batches(ctx, chain, after, size)
}

// PolicyRevision is the revision of the policy's head record, for the loop.
func (au *Auth) PolicyRevision() uint64 { return au.records.headRevision }

// ApplyPolicyRecord takes in a record of the policy.
func (au *Auth) ApplyPolicyRecord(kind storage.Kind, name string, e protocol.Event) error {
	return au.records.apply(kind, name, e)
}

// DropUnlistedPolicy drops the policy's records that a listing no longer holds.
func (au *Auth) DropUnlistedPolicy(listed map[string]bool) { au.records.dropUnlisted(listed) }

// NoteJob remembers the queue of an accepted job, from its record.
func (au *Auth) NoteJob(id string, record []byte) {
	if !au.enabled {
		return
	}
	if _, known := au.jobQueues.queueOf(id); known {
		return
	}
	var spec protocol.JobSpec
	if storage.Decode(record, &spec) == nil {
		au.jobQueues.add(&spec)
	}
}

// JobQueue is the queue of a job that this controller knows, for the loop.
func (au *Auth) JobQueue(id string) (q rights.Queue, known bool) { return au.jobQueues.queueOf(id) }

// AuditChanges is what the audit may add to a change: a batch, its chain's head
// and its signer's certificate.
const AuditChanges = 3

// minTransactionChanges is the largest change of users, a reassignment, with these.
const minTransactionChanges = 2 + AuditChanges

// Caller is who sends a request.
type Caller struct {
	Name       string
	Credential string
	RemoteAddr string
	// Service is the service that vouches for the caller; "": it asks itself.
	Service string
}

// AuditRecord begins the audit record of what a caller does; nil while nobody asks
// who comes.
func (au *Auth) AuditRecord(who *Caller, verb string, q rights.Queue, job string) *audit.Record {
	if !au.enabled {
		return nil
	}
	r := &audit.Record{At: time.Now().UTC(), BoundMS: float64(au.clockBound) / float64(time.Millisecond), Verb: verb,
		Team: Clip(q.Team), Class: Clip(q.Class), Job: Clip(job), Outcome: audit.Allowed}
	if who != nil {
		r.Who, r.How, r.From = who.Name, who.Credential, who.RemoteAddr
	}
	return r
}

// Clip bounds what a caller's text takes of a record.
func Clip(s string) string { return s[:min(len(s), 100)] }

// Deny refuses and notes it.
func (au *Auth) Deny(who *Caller, verb string, q rights.Queue, job string, status int, reason string) *transport.Response {
	r := au.AuditRecord(who, verb, q, job)
	r.Outcome, r.Reason = audit.Denied, reason
	au.auditLog.Note(*r)
	said := "not allowed"
	if status == 401 {
		said = "no good credential"
	}
	resp := respond.Refuse(status, said, 0)
	return &resp
}

// Authenticate says who sends a request, or refuses it.
func (au *Auth) Authenticate(req *transport.Request, verb string) (*Caller, *transport.Response) {
	if !au.enabled {
		return nil, nil
	}
	who := &Caller{RemoteAddr: req.From}
	var name identity.Name
	var issued time.Time
	switch scheme, token, _ := strings.Cut(req.Authorization, " "); {
	case req.Authorization != "":
		if !strings.EqualFold(scheme, "Bearer") {
			return nil, au.Deny(who, verb, rights.Queue{}, "", 401, "authorization is not of the kind Bearer")
		}
		tok, err := au.tokens.Check(strings.TrimSpace(token))
		if err != nil {
			return nil, au.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		name, issued, who.Credential = tok.Name, tok.Issued, "token "+tok.ID
	case req.Peer != nil:
		var err error
		if name, err = au.certificateName(req); err != nil {
			return nil, au.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		who.Credential = "certificate " + identity.Fingerprint(req.Peer)
	default:
		return nil, au.Deny(who, verb, rights.Queue{}, "", 401, "no credential")
	}
	who.Name = name.String()
	if req.OnBehalfOf != "" {
		refusal := au.authenticateOnBehalf(who, name, issued.IsZero(), req.OnBehalfOf, verb)
		return who, refusal
	}
	if !name.Caller() {
		return nil, au.Deny(who, verb, rights.Queue{}, "", 403, "a "+string(name.Kind)+" sends no users' requests")
	}
	view := au.policy.Load()
	if view == nil || !au.policyFresh() {
		resp := respond.Refuse(503, "policy is not up to date here", 1)
		return nil, &resp
	}
	if !issued.IsZero() && view.Rights.Voids(who.Name, issued) {
		return nil, au.Deny(who, verb, rights.Queue{}, "", 401, "token was issued before it was voided")
	}
	if !view.Rights.Known(who.Name) && !au.isBootstrap(view, who.Name) {
		return nil, au.Deny(who, verb, rights.Queue{}, "", 403, "not in the policy, or revoked")
	}
	return who, nil
}

// authenticateOnBehalf makes a service's request that of whom it names. The service must have
// shown its certificate and hold the right to vouch; what may be done is decided
// by the rights of the one who is named.
func (au *Auth) authenticateOnBehalf(who *Caller, service identity.Name, certified bool, behalf, verb string) *transport.Response {
	view := au.policy.Load()
	if view == nil || !au.policyFresh() {
		resp := respond.Refuse(503, "policy is not up to date here", 1)
		return &resp
	}
	if !certified || service.Kind != identity.Service || !view.Rights.HoldsAny(who.Name, rights.Vouch) {
		return au.Deny(who, verb, rights.Queue{}, "", 403, "vouches for "+Clip(behalf)+", which it may not")
	}
	name, err := identity.ParseName(behalf)
	if err != nil || !name.Caller() {
		return au.Deny(who, verb, rights.Queue{}, "", 403, "vouches for "+Clip(behalf)+", who can be no caller")
	}
	who.Service, who.Name = who.Name, name.String()
	who.Credential = "vouched for by " + who.Service + ", " + who.Credential
	return nil
}

// certificateName reads the name in a certificate that the handshake has verified. The
// connection may have been open for longer than the certificate is good.
func (au *Auth) certificateName(req *transport.Request) (identity.Name, error) {
	if now := time.Now().Add(au.clockBound); !now.Before(req.Peer.NotAfter) {
		return identity.Name{}, errors.New("certificate expired")
	}
	return identity.FromCertificate(req.Peer)
}

// policyFresh says whether the policy is fresh enough to allow anything by.
func (au *Auth) policyFresh() bool {
	return time.Since(au.enabledAt)-time.Duration(au.freshSince.Load()) <= policyMaxAge
}

// isBootstrap says whether somebody may write the first policy.
func (au *Auth) isBootstrap(view *PolicyView, name string) bool {
	return view.Version == 0 && au.bootstrap != "" && name == au.bootstrap
}

// serviceOwnVerbs are the rights that a service uses of its own even where it says
// for whom: it follows and ends what it was allowed to begin, whatever has become
// of those for whom it did.
const serviceOwnVerbs = rights.View | rights.Cancel

// Allows says whether a caller holds a verb on a queue.
func (au *Auth) Allows(who *Caller, v rights.Verb, q rights.Queue) bool {
	p := au.policy.Load().Rights
	if who.Service == "" {
		return p.Allows(who.Name, v, q)
	}
	return p.Allows(who.Name, v, q) && p.Allows(who.Service, rights.Vouch, q) || v&serviceOwnVerbs != 0 && p.Allows(who.Service, v, q)
}

// HoldsAny says whether a caller holds a verb on some queue.
func (au *Auth) HoldsAny(who *Caller, v rights.Verb) bool {
	p := au.policy.Load().Rights
	return p.HoldsAny(who.Name, v) || who.Service != "" && v&serviceOwnVerbs != 0 && p.HoldsAny(who.Service, v)
}

// AllowsEverywhere says whether a caller holds a verb on every queue.
func (au *Auth) AllowsEverywhere(who *Caller, v rights.Verb) bool {
	p := au.policy.Load().Rights
	return p.AllowsEverywhere(who.Name, v) && (who.Service == "" || p.AllowsEverywhere(who.Service, rights.Vouch))
}

// Administers says whether a caller may change the policy and read the audit.
func (au *Auth) Administers(who *Caller) bool {
	// Nobody administers through a service.
	view := au.policy.Load()
	return who.Service == "" && (view.Rights.AllowsEverywhere(who.Name, rights.Administer) || au.isBootstrap(view, who.Name))
}

// AuthorizeJob says whether a caller may do something with a job, and refuses with
// the same words, after the same reading, whether the job exists or not. Only
// who may do it with every job is told that there is none.
func (au *Auth) AuthorizeJob(ctx context.Context, who *Caller, v rights.Verb, id string) (rights.Queue, *transport.Response) {
	var q rights.Queue
	if !au.enabled {
		return q, nil
	}
	verb := v.String()
	if !au.HoldsAny(who, v) {
		return q, au.Deny(who, verb, q, id, 403, "holds this right on no queue")
	}
	everywhere := au.AllowsEverywhere(who, v)
	known := false
	au.loop.Do(func() { q, known = au.jobQueues.queueOf(id) })
	if known && au.Allows(who, v, q) {
		return q, nil
	}
	// Somebody else's job is read like one that this controller does not know,
	// so that neither the time nor the budget for unknown jobs tells them apart.
	spec, err := &protocol.JobSpec{}, error(storage.ErrNotFound)
	if protocol.ValidID(id) {
		spec, err = au.ReadSpec(ctx, who, id)
	}
	switch {
	case errors.Is(err, storage.ErrNotFound) && everywhere:
		return q, nil
	case errors.Is(err, storage.ErrNotFound):
	case errors.Is(err, errUnknownJobBudget):
		au.Deny(who, verb, rights.Queue{}, id, 403, "asks too often for jobs that are not in its queues")
		resp := respond.Unavailable(err)
		return q, &resp
	case err != nil:
		resp := respond.Unavailable(err)
		return q, &resp
	default:
		if q = (rights.Queue{Team: spec.Team, Class: spec.Class}); au.Allows(who, v, q) {
			return q, nil
		}
	}
	return q, au.Deny(who, verb, q, id, 403, "no such job in a queue of this right")
}

// errUnknownJobBudget refuses who asks too often for jobs that nobody knows.
var errUnknownJobBudget = fmt.Errorf("%w: over the budget for unknown jobs", storage.ErrRefused)

// ReadSpec reads a job's record; who, if told, is held to the budget for
// unknown jobs.
func (au *Auth) ReadSpec(ctx context.Context, who *Caller, id string) (*protocol.JobSpec, error) {
	if who != nil {
		limiter, ok := au.UnknownJobLimiters.Get(who.Name)
		if !ok {
			limiter = rate.NewLimiter(unknownJobRate, UnknownJobBurst)
			au.UnknownJobLimiters.Add(who.Name, limiter)
		}
		if !limiter.Allow() {
			return nil, errUnknownJobBudget
		}
	}
	if au.store.Down() {
		return nil, storage.ErrRefused
	}
	item, err := au.store.UserGet(ctx, storage.JobKey(id))
	if err != nil {
		return nil, err
	}
	spec := new(protocol.JobSpec)
	if err := storage.Decode(item.Value, spec); err != nil {
		return nil, fmt.Errorf("%w: %w", storage.ErrUnknown, err)
	}
	return spec, nil
}

// Commit commits what a user asked for, together with its record if one is
// to be kept.
func (au *Auth) Commit(ctx context.Context, txn *protocol.Transaction, r *audit.Record) (uint64, error) {
	if r == nil {
		return au.store.UserCommit(ctx, txn)
	}
	return au.auditLog.Commit(ctx, txn, *r)
}

// NoteRead notes that a caller has looked at something.
func (au *Auth) NoteRead(who *Caller, verb string, q rights.Queue, id string) {
	if au.enabled {
		au.auditLog.Note(*au.AuditRecord(who, verb, q, id))
	}
}

// AuthenticateWorker says which worker sends a report, or refuses it.
func (au *Auth) AuthenticateWorker(req *transport.Request) (*Caller, *transport.Response) {
	return au.authenticateMachine(req, "report", func(n identity.Name) bool { return n.Kind == identity.Worker })
}

// authenticateMachine says which worker or controller sends a message. Only a
// certificate proves that, and only one that accept takes.
func (au *Auth) authenticateMachine(req *transport.Request, verb string, accept func(identity.Name) bool) (*Caller, *transport.Response) {
	if !au.enabled {
		return nil, nil
	}
	who := &Caller{RemoteAddr: req.From}
	var name identity.Name
	err := errors.New("no certificate")
	if req.Peer != nil {
		name, err = au.certificateName(req)
	}
	if err != nil {
		return nil, au.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
	}
	who.Name, who.Credential = name.String(), "certificate "+identity.Fingerprint(req.Peer)
	if !accept(name) {
		return nil, au.Deny(who, verb, rights.Queue{}, "", 403, "of the wrong kind, or not of this cluster")
	}
	return who, nil
}

// CheckSender says whether a message comes from the worker or controller that it
// names, and refuses it if not.
func (au *Auth) CheckSender(who *Caller, verb string, named identity.Name) *transport.Response {
	if !au.enabled || who.Name == named.String() || who.Name == (identity.Name{Kind: identity.Worker, ID: AnyWorker}).String() {
		return nil
	}
	return au.Deny(who, verb, rights.Queue{}, "", 403, "speaks for "+Clip(named.String()))
}

// AnyWorker is the id in certificates that machines share, where the cloud
// hands out names only when it rents.
const AnyWorker = "any"

// AuthenticatePeer says which controller sends a message, or refuses it.
func (au *Auth) AuthenticatePeer(req *transport.Request) (*Caller, *transport.Response) {
	return au.authenticateMachine(req, "peer", func(n identity.Name) bool { return n.Kind == identity.Controller && au.Peers[n.ID] != nil })
}

// jobQueueIndex remembers the queue of every job, over dense indices. It belongs to
// the loop.
type jobQueueIndex struct {
	index map[rights.Queue]uint32
	list  []rights.Queue
	jobs  map[string]uint32
}

func (b *jobQueueIndex) init() {
	b.index, b.jobs = map[rights.Queue]uint32{}, map[string]uint32{}
}

// add remembers a job's queue.
func (b *jobQueueIndex) add(spec *protocol.JobSpec) {
	q := rights.Queue{Team: spec.Team, Class: spec.Class}
	i, ok := b.index[q]
	if !ok {
		i = uint32(len(b.list))
		b.index[q] = i
		b.list = append(b.list, q)
	}
	b.jobs[spec.ID] = i
}

func (b *jobQueueIndex) queueOf(id string) (rights.Queue, bool) {
	i, ok := b.jobs[id]
	if !ok {
		return rights.Queue{}, false
	}
	return b.list[i], true
}
