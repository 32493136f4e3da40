package coordination

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"micaspindle/internal/audit"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

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

// authorizer stands at the door. Its policy is followed by the loop and read by the
// connections.
type authorizer struct {
	tokens     *identity.Tokens
	bootstrap  string
	clockBound time.Duration
	log        *audit.Log
	policy     atomic.Pointer[policyView]
	// freshSince is when the policy was last known to be up to date, since started.
	freshSince atomic.Int64
	started    time.Time
	// unknownJobLimiters bounds how often an identity may make this controller look for
	// jobs that it does not know.
	unknownJobLimiters *lru.Cache[string, *rate.Limiter]
}

// policyView is the policy at one version; it does not change.
type policyView struct {
	version      uint64
	headRevision uint64 // of the head record
	doc          *rights.Document
	rights       *rights.Policy
}

const (
	// policyMaxAge is how old the policy may be for anything to be allowed by
	// it: a revocation must hold everywhere within 3 s.
	policyMaxAge = 2500 * time.Millisecond
	// policyWatchWait is how long a watch waits where the policy must be fresh.
	policyWatchWait = 500 * time.Millisecond
	// An identity may ask for unknown jobs this often, and in such bursts.
	unknownJobRate  = 5
	unknownJobBurst = 20
	// unknownJobLimitersLimit is how many identities that is counted for, some 300 bytes each.
	unknownJobLimitersLimit = 4096
)

// Identify makes the controller ask who comes. It is called before Run.
func (c *Controller) Identify(ids Identities) error {
	if ops := c.Settings.Params.State.Lower().TxnOps; ops < minTransactionChanges {
		return fmt.Errorf("identities need transactions of %d changes; params.state allows %d", minTransactionChanges, ops)
	}
	misses, err := lru.NewWithEvict(unknownJobLimitersLimit, func(string, *rate.Limiter) { c.bounds.Met(telemetry.Callers, 1) })
	if err != nil {
		return err
	}
	c.guard = &authorizer{tokens: ids.Tokens, bootstrap: ids.Bootstrap, clockBound: ids.ClockBound, started: time.Now(), unknownJobLimiters: misses,
		log: audit.NewLog(c.store, c.Settings.Label, ids.Signer, c.log)}
	c.guard.freshSince.Store(-int64(time.Hour))
	c.policy.init()
	c.jobQueues.init()
	return nil
}

const (
	// auditChanges is what the audit may add to a change: a batch, its chain's head
	// and its signer's certificate.
	auditChanges = 3
	// minTransactionChanges is the largest change of users, a reassignment, with these.
	minTransactionChanges = 2 + auditChanges
)

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
func (c *Controller) AuditRecord(who *Caller, verb string, q rights.Queue, job string) *audit.Record {
	if c.guard == nil {
		return nil
	}
	r := &audit.Record{At: time.Now().UTC(), BoundMS: float64(c.guard.clockBound) / float64(time.Millisecond), Verb: verb,
		Team: clipText(q.Team), Class: clipText(q.Class), Job: clipText(job), Outcome: audit.Allowed}
	if who != nil {
		r.Who, r.How, r.From = who.Name, who.Credential, who.RemoteAddr
	}
	return r
}

// clipText bounds what a caller's text takes of a record.
func clipText(s string) string { return s[:min(len(s), 100)] }

// Deny refuses and notes it.
func (c *Controller) Deny(who *Caller, verb string, q rights.Queue, job string, status int, reason string) *transport.Response {
	r := c.AuditRecord(who, verb, q, job)
	r.Outcome, r.Reason = audit.Denied, reason
	c.guard.log.Note(*r)
	said := "not allowed"
	if status == 401 {
		said = "no good credential"
	}
	resp := Refuse(status, said, 0)
	return &resp
}

// Authenticate says who sends a request, or refuses it.
func (c *Controller) Authenticate(req *transport.Request, verb string) (*Caller, *transport.Response) {
	g := c.guard
	if g == nil {
		return nil, nil
	}
	who := &Caller{RemoteAddr: req.From}
	var name identity.Name
	var issued time.Time
	switch scheme, token, _ := strings.Cut(req.Authorization, " "); {
	case req.Authorization != "":
		if !strings.EqualFold(scheme, "Bearer") {
			return nil, c.Deny(who, verb, rights.Queue{}, "", 401, "authorization is not of the kind Bearer")
		}
		tok, err := g.tokens.Check(strings.TrimSpace(token))
		if err != nil {
			return nil, c.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		name, issued, who.Credential = tok.Name, tok.Issued, "token "+tok.ID
	case req.Peer != nil:
		var err error
		if name, err = c.certificateName(req); err != nil {
			return nil, c.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		who.Credential = "certificate " + identity.Fingerprint(req.Peer)
	default:
		return nil, c.Deny(who, verb, rights.Queue{}, "", 401, "no credential")
	}
	who.Name = name.String()
	if req.OnBehalfOf != "" {
		refusal := c.authenticateOnBehalf(who, name, issued.IsZero(), req.OnBehalfOf, verb)
		return who, refusal
	}
	if !name.Caller() {
		return nil, c.Deny(who, verb, rights.Queue{}, "", 403, "a "+string(name.Kind)+" sends no users' requests")
	}
	view := g.policy.Load()
	if view == nil || !g.policyFresh() {
		resp := Refuse(503, "policy is not up to date here", 1)
		return nil, &resp
	}
	if !issued.IsZero() && view.rights.Voids(who.Name, issued) {
		return nil, c.Deny(who, verb, rights.Queue{}, "", 401, "token was issued before it was voided")
	}
	if !view.rights.Known(who.Name) && !g.isBootstrap(view, who.Name) {
		return nil, c.Deny(who, verb, rights.Queue{}, "", 403, "not in the policy, or revoked")
	}
	return who, nil
}

// authenticateOnBehalf makes a service's request that of whom it names. The service must have
// shown its certificate and hold the right to vouch; what may be done is decided
// by the rights of the one who is named.
func (c *Controller) authenticateOnBehalf(who *Caller, service identity.Name, certified bool, behalf, verb string) *transport.Response {
	view := c.guard.policy.Load()
	if view == nil || !c.guard.policyFresh() {
		resp := Refuse(503, "policy is not up to date here", 1)
		return &resp
	}
	if !certified || service.Kind != identity.Service || !view.rights.HoldsAny(who.Name, rights.Vouch) {
		return c.Deny(who, verb, rights.Queue{}, "", 403, "vouches for "+clipText(behalf)+", which it may not")
	}
	name, err := identity.ParseName(behalf)
	if err != nil || !name.Caller() {
		return c.Deny(who, verb, rights.Queue{}, "", 403, "vouches for "+clipText(behalf)+", who can be no caller")
	}
	who.Service, who.Name = who.Name, name.String()
	who.Credential = "vouched for by " + who.Service + ", " + who.Credential
	return nil
}

// certificateName reads the name in a certificate that the handshake has verified. The
// connection may have been open for longer than the certificate is good.
func (c *Controller) certificateName(req *transport.Request) (identity.Name, error) {
	if now := time.Now().Add(c.guard.clockBound); !now.Before(req.Peer.NotAfter) {
		return identity.Name{}, errors.New("certificate expired")
	}
	return identity.FromCertificate(req.Peer)
}

// policyFresh says whether the policy is fresh enough to allow anything by.
func (g *authorizer) policyFresh() bool {
	return time.Since(g.started)-time.Duration(g.freshSince.Load()) <= policyMaxAge
}

// isBootstrap says whether somebody may write the first policy.
func (g *authorizer) isBootstrap(view *policyView, name string) bool {
	return view.version == 0 && g.bootstrap != "" && name == g.bootstrap
}

// serviceOwnVerbs are the rights that a service uses of its own even where it says
// for whom: it follows and ends what it was allowed to begin, whatever has become
// of those for whom it did.
const serviceOwnVerbs = rights.View | rights.Withdraw

// allows says whether a caller holds a verb on a queue.
func (g *authorizer) allows(who *Caller, v rights.Verb, q rights.Queue) bool {
	p := g.policy.Load().rights
	if who.Service == "" {
		return p.Allows(who.Name, v, q)
	}
	return p.Allows(who.Name, v, q) && p.Allows(who.Service, rights.Vouch, q) || v&serviceOwnVerbs != 0 && p.Allows(who.Service, v, q)
}

// holdsAny says whether a caller holds a verb on some queue.
func (g *authorizer) holdsAny(who *Caller, v rights.Verb) bool {
	p := g.policy.Load().rights
	return p.HoldsAny(who.Name, v) || who.Service != "" && v&serviceOwnVerbs != 0 && p.HoldsAny(who.Service, v)
}

// allowsEverywhere says whether a caller holds a verb on every queue.
func (g *authorizer) allowsEverywhere(who *Caller, v rights.Verb) bool {
	p := g.policy.Load().rights
	return p.AllowsEverywhere(who.Name, v) && (who.Service == "" || p.AllowsEverywhere(who.Service, rights.Vouch))
}

// administers says whether a caller may change the policy and read the audit.
func (g *authorizer) administers(who *Caller) bool {
	// Nobody administers through a service.
	view := g.policy.Load()
	return who.Service == "" && (view.rights.AllowsEverywhere(who.Name, rights.Administer) || g.isBootstrap(view, who.Name))
}

// AuthorizeJob says whether a caller may do something with a job, and refuses with
// the same words, after the same reading, whether the job exists or not. Only
// who may do it with every job is told that there is none.
func (c *Controller) AuthorizeJob(ctx context.Context, who *Caller, v rights.Verb, id string) (rights.Queue, *transport.Response) {
	var q rights.Queue
	g := c.guard
	if g == nil {
		return q, nil
	}
	verb := v.String()
	if !g.holdsAny(who, v) {
		return q, c.Deny(who, verb, q, id, 403, "holds this right on no queue")
	}
	everywhere := g.allowsEverywhere(who, v)
	known := false
	c.loop.Do(func() { q, known = c.jobQueues.queueOf(id) })
	if known && g.allows(who, v, q) {
		return q, nil
	}
	// Somebody else's job is read like one that this controller does not know,
	// so that neither the time nor the budget for unknown jobs tells them apart.
	spec, err := &protocol.JobSpec{}, error(storage.ErrNotFound)
	if protocol.ValidID(id) {
		spec, err = c.ReadSpec(ctx, who, id)
	}
	switch {
	case errors.Is(err, storage.ErrNotFound) && everywhere:
		return q, nil
	case errors.Is(err, storage.ErrNotFound):
	case errors.Is(err, errUnknownJobBudget):
		c.Deny(who, verb, rights.Queue{}, id, 403, "asks too often for jobs that are not in its queues")
		resp := unavailableResponse(err)
		return q, &resp
	case err != nil:
		resp := unavailableResponse(err)
		return q, &resp
	default:
		if q = (rights.Queue{Team: spec.Team, Class: spec.Class}); g.allows(who, v, q) {
			return q, nil
		}
	}
	return q, c.Deny(who, verb, q, id, 403, "no such job in a queue of this right")
}

// errUnknownJobBudget refuses who asks too often for jobs that nobody knows.
var errUnknownJobBudget = fmt.Errorf("%w: over the budget for unknown jobs", storage.ErrRefused)

// ReadSpec reads a job's record; who, if told, is held to the budget for
// unknown jobs.
func (c *Controller) ReadSpec(ctx context.Context, who *Caller, id string) (*protocol.JobSpec, error) {
	if who != nil {
		limiter, ok := c.guard.unknownJobLimiters.Get(who.Name)
		if !ok {
			limiter = rate.NewLimiter(unknownJobRate, unknownJobBurst)
			c.guard.unknownJobLimiters.Add(who.Name, limiter)
		}
		if !limiter.Allow() {
			return nil, errUnknownJobBudget
		}
	}
	if c.store.Down() {
		return nil, storage.ErrRefused
	}
	item, err := c.store.UserGet(ctx, storage.JobKey(id))
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
func (c *Controller) Commit(ctx context.Context, txn *protocol.Transaction, r *audit.Record) (uint64, error) {
	if r == nil {
		return c.store.UserCommit(ctx, txn)
	}
	return c.guard.log.Commit(ctx, txn, *r)
}

// NoteRead notes that a caller has looked at something.
func (c *Controller) NoteRead(who *Caller, verb string, q rights.Queue, id string) {
	if c.guard != nil {
		c.guard.log.Note(*c.AuditRecord(who, verb, q, id))
	}
}

// AuthenticateWorker says which worker sends a report, or refuses it.
func (c *Controller) AuthenticateWorker(req *transport.Request) (*Caller, *transport.Response) {
	return c.authenticateMachine(req, "report", func(n identity.Name) bool { return n.Kind == identity.Worker })
}

// authenticateMachine says which worker or controller sends a message. Only a
// certificate proves that, and only one that accept takes.
func (c *Controller) authenticateMachine(req *transport.Request, verb string, accept func(identity.Name) bool) (*Caller, *transport.Response) {
	if c.guard == nil {
		return nil, nil
	}
	who := &Caller{RemoteAddr: req.From}
	var name identity.Name
	err := errors.New("no certificate")
	if req.Peer != nil {
		name, err = c.certificateName(req)
	}
	if err != nil {
		return nil, c.Deny(who, verb, rights.Queue{}, "", 401, err.Error())
	}
	who.Name, who.Credential = name.String(), "certificate "+identity.Fingerprint(req.Peer)
	if !accept(name) {
		return nil, c.Deny(who, verb, rights.Queue{}, "", 403, "of the wrong kind, or not of this cluster")
	}
	return who, nil
}

// CheckSender says whether a message comes from the worker or controller that it
// names, and refuses it if not.
func (c *Controller) CheckSender(who *Caller, verb string, named identity.Name) *transport.Response {
	if c.guard == nil || who.Name == named.String() || who.Name == (identity.Name{Kind: identity.Worker, ID: AnyWorker}).String() {
		return nil
	}
	return c.Deny(who, verb, rights.Queue{}, "", 403, "speaks for "+clipText(named.String()))
}

// AnyWorker is the id in certificates that machines share, where the cloud
// hands out names only when it rents.
const AnyWorker = "any"

// AuthenticatePeer says which controller sends a message, or refuses it.
func (c *Controller) AuthenticatePeer(req *transport.Request) (*Caller, *transport.Response) {
	return c.authenticateMachine(req, "peer", func(n identity.Name) bool { return n.Kind == identity.Controller && c.Peers[n.ID] != nil })
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

// whoami tells a caller who it is taken for.
func (c *Controller) whoami(who *Caller) transport.Response {
	view := c.guard.policy.Load()
	var held []string
	for _, v := range []rights.Verb{rights.Submit, rights.View, rights.ViewArguments, rights.Withdraw, rights.Reassign, rights.Administer, rights.Vouch} {
		if c.guard.holdsAny(who, v) {
			held = append(held, v.String())
		}
	}
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.Name, How: who.Credential, Verbs: held, PolicyVersion: view.version})}
}

// may tells a caller whether it holds a right on a queue. Front doors ask it for
// their clients, with the client's own credential, so that there is one place
// that decides and one record of what was refused.
func (c *Controller) may(who *Caller, req *transport.Request) transport.Response {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return Refuse(400, "bad query", 0)
	}
	verb, err := rights.ParseVerb(query.Get("verb"))
	if err != nil {
		return Refuse(400, firstLine(err), 0)
	}
	q := rights.Queue{Team: query.Get("team"), Class: query.Get("class")}
	if q.Team == "" || q.Class == "" {
		return Refuse(400, "team and class are needed", 0)
	}
	if !c.guard.allows(who, verb, q) {
		return *c.Deny(who, verb.String(), q, "", 403, "asked through a front door")
	}
	c.NoteRead(who, verb.String()+"-asked", q, "")
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.Name, How: who.Credential, Verbs: []string{verb.String()},
		PolicyVersion: c.guard.policy.Load().version})}
}

// auditBody bounds an answer with batches of the audit.
const auditBody = 32 << 10

// readAudit answers an administrator who reads the audit.
func (c *Controller) readAudit(ctx context.Context, who *Caller, req *transport.Request) transport.Response {
	q, err := url.ParseQuery(req.Query)
	if err != nil {
		return Refuse(400, "bad query", 0)
	}
	switch req.Path {
	case "/audit/seal":
		seal, err := c.guard.log.Seal(ctx)
		if err != nil {
			return unavailableResponse(err)
		}
		c.NoteRead(who, "read-audit", rights.Queue{}, "")
		return transport.Response{Status: 200, Body: protocol.Encode(seal)}
	case "/audit/batches":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		if err != nil || q.Get("chain") == "" {
			return Refuse(400, "chain and after are needed", 0)
		}
		batches, err := c.guard.log.Batches(ctx, q.Get("chain"), after, auditBody)
		if err != nil {
			return unavailableResponse(err)
		}
		return transport.Response{Status: 200, Body: protocol.Encode(map[string]any{"batches": batches})}
	}
	return Refuse(404, "no such path", 0)
}
