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
	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/identity"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
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

// guard stands at the door. Its policy is followed by the loop and read by the
// connections.
type guard struct {
	who       *identity.Tokens
	bootstrap string
	bound     time.Duration
	log       *audit.Log
	policy    atomic.Pointer[policyView]
	// fresh is when the policy was last known to be up to date, since started.
	fresh   atomic.Int64
	started time.Time
	// misses bounds how often an identity may make this controller look for
	// jobs that it does not know.
	misses *lru.Cache[string, *rate.Limiter]
}

// policyView is the policy at one version; it does not change.
type policyView struct {
	version uint64
	stamp   uint64 // of the head record
	doc     *rights.Document
	rights  *rights.Policy
}

const (
	// policyBound is how old the policy may be for anything to be allowed by
	// it: a revocation must hold everywhere within 3 s.
	policyBound = 2500 * time.Millisecond
	// policyWait is how long a watch waits where the policy must be fresh.
	policyWait = 500 * time.Millisecond
	// An identity may ask for unknown jobs this often, and in such bursts.
	missRate  = 5
	missBurst = 20
	// missLimit is how many identities that is counted for, some 300 bytes each.
	missLimit = 4096
)

// Identify makes the controller ask who comes. It is called before Run.
func (c *Controller) Identify(ids Identities) error {
	if ops := c.set.Params.State.Lower().TxnOps; ops < minAuditOps {
		return fmt.Errorf("identities need transactions of %d changes; params.state allows %d", minAuditOps, ops)
	}
	misses, err := lru.NewWithEvict(missLimit, func(string, *rate.Limiter) { c.boundMet(observe.Callers, 1) })
	if err != nil {
		return err
	}
	c.guard = &guard{who: ids.Tokens, bootstrap: ids.Bootstrap, bound: ids.ClockBound, started: time.Now(), misses: misses,
		log: audit.NewLog(c.store, c.set.Label, ids.Signer, c.log)}
	c.guard.fresh.Store(-int64(time.Hour))
	c.policy.init()
	c.queues.init()
	return nil
}

const (
	// auditOps is what the audit may add to a change: a batch, its chain's head
	// and its signer's certificate.
	auditOps = 3
	// minAuditOps is the largest change of users, a reassignment, with these.
	minAuditOps = 2 + auditOps
)

// caller is who sends a request.
type caller struct {
	name string
	how  string
	from string
	// through is the service that vouches for the caller; "": it asks itself.
	through string
}

// record begins the audit record of what a caller does; nil while nobody asks
// who comes.
func (c *Controller) record(who *caller, verb string, q rights.Queue, job string) *audit.Record {
	if c.guard == nil {
		return nil
	}
	r := &audit.Record{At: time.Now().UTC(), BoundMS: float64(c.guard.bound) / float64(time.Millisecond), Verb: verb,
		Team: clip(q.Team), Class: clip(q.Class), Job: clip(job), Outcome: audit.Allowed}
	if who != nil {
		r.Who, r.How, r.From = who.name, who.how, who.from
	}
	return r
}

// clip bounds what a caller's text takes of a record.
func clip(s string) string { return s[:min(len(s), 100)] }

// deny refuses and notes it.
func (c *Controller) deny(who *caller, verb string, q rights.Queue, job string, status int, reason string) *transport.Response {
	r := c.record(who, verb, q, job)
	r.Outcome, r.Reason = audit.Denied, reason
	c.guard.log.Note(*r)
	said := "not allowed"
	if status == 401 {
		said = "no good credential"
	}
	resp := refuse(status, said, 0)
	return &resp
}

// authenticate says who sends a request, or refuses it.
func (c *Controller) authenticate(req *transport.Request, verb string) (*caller, *transport.Response) {
	g := c.guard
	if g == nil {
		return nil, nil
	}
	who := &caller{from: req.From}
	var name identity.Name
	var issued time.Time
	switch scheme, token, _ := strings.Cut(req.Authorization, " "); {
	case req.Authorization != "":
		if !strings.EqualFold(scheme, "Bearer") {
			return nil, c.deny(who, verb, rights.Queue{}, "", 401, "authorization is not of the kind Bearer")
		}
		tok, err := g.who.Check(strings.TrimSpace(token))
		if err != nil {
			return nil, c.deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		name, issued, who.how = tok.Name, tok.Issued, "token "+tok.ID
	case req.Peer != nil:
		var err error
		if name, err = c.certified(req); err != nil {
			return nil, c.deny(who, verb, rights.Queue{}, "", 401, err.Error())
		}
		who.how = "certificate " + identity.Fingerprint(req.Peer)
	default:
		return nil, c.deny(who, verb, rights.Queue{}, "", 401, "no credential")
	}
	who.name = name.String()
	if req.OnBehalfOf != "" {
		refusal := c.vouched(who, name, issued.IsZero(), req.OnBehalfOf, verb)
		return who, refusal
	}
	if !name.Caller() {
		return nil, c.deny(who, verb, rights.Queue{}, "", 403, "a "+string(name.Kind)+" sends no users' requests")
	}
	view := g.policy.Load()
	if view == nil || !g.current() {
		resp := refuse(503, "policy is not up to date here", 1)
		return nil, &resp
	}
	if !issued.IsZero() && view.rights.Voids(who.name, issued) {
		return nil, c.deny(who, verb, rights.Queue{}, "", 401, "token was issued before it was voided")
	}
	if !view.rights.Known(who.name) && !g.bootstraps(view, who.name) {
		return nil, c.deny(who, verb, rights.Queue{}, "", 403, "not in the policy, or revoked")
	}
	return who, nil
}

// vouched makes a service's request that of whom it names. The service must have
// shown its certificate and hold the right to vouch; what may be done is decided
// by the rights of the one who is named.
func (c *Controller) vouched(who *caller, service identity.Name, certified bool, behalf, verb string) *transport.Response {
	view := c.guard.policy.Load()
	if view == nil || !c.guard.current() {
		resp := refuse(503, "policy is not up to date here", 1)
		return &resp
	}
	if !certified || service.Kind != identity.Service || !view.rights.HoldsAny(who.name, rights.Vouch) {
		return c.deny(who, verb, rights.Queue{}, "", 403, "vouches for "+clip(behalf)+", which it may not")
	}
	name, err := identity.ParseName(behalf)
	if err != nil || !name.Caller() {
		return c.deny(who, verb, rights.Queue{}, "", 403, "vouches for "+clip(behalf)+", who can be no caller")
	}
	who.through, who.name = who.name, name.String()
	who.how = "vouched for by " + who.through + ", " + who.how
	return nil
}

// certified reads the name in a certificate that the handshake has verified. The
// connection may have been open for longer than the certificate is good.
func (c *Controller) certified(req *transport.Request) (identity.Name, error) {
	if now := time.Now().Add(c.guard.bound); !now.Before(req.Peer.NotAfter) {
		return identity.Name{}, errors.New("certificate expired")
	}
	return identity.FromCertificate(req.Peer)
}

// current says whether the policy is fresh enough to allow anything by.
func (g *guard) current() bool {
	return time.Since(g.started)-time.Duration(g.fresh.Load()) <= policyBound
}

// bootstraps says whether somebody may write the first policy.
func (g *guard) bootstraps(view *policyView, name string) bool {
	return view.version == 0 && g.bootstrap != "" && name == g.bootstrap
}

// ownOfService are the rights that a service uses of its own even where it says
// for whom: it follows and ends what it was allowed to begin, whatever has become
// of those for whom it did.
const ownOfService = rights.View | rights.Withdraw

// allows says whether a caller holds a verb on a queue.
func (g *guard) allows(who *caller, v rights.Verb, q rights.Queue) bool {
	p := g.policy.Load().rights
	if who.through == "" {
		return p.Allows(who.name, v, q)
	}
	return p.Allows(who.name, v, q) && p.Allows(who.through, rights.Vouch, q) || v&ownOfService != 0 && p.Allows(who.through, v, q)
}

// holdsAny says whether a caller holds a verb on some queue.
func (g *guard) holdsAny(who *caller, v rights.Verb) bool {
	p := g.policy.Load().rights
	return p.HoldsAny(who.name, v) || who.through != "" && v&ownOfService != 0 && p.HoldsAny(who.through, v)
}

// everywhere says whether a caller holds a verb on every queue.
func (g *guard) everywhere(who *caller, v rights.Verb) bool {
	p := g.policy.Load().rights
	return p.AllowsEverywhere(who.name, v) && (who.through == "" || p.AllowsEverywhere(who.through, rights.Vouch))
}

// administers says whether a caller may change the policy and read the audit.
func (g *guard) administers(who *caller) bool {
	// Nobody administers through a service.
	view := g.policy.Load()
	return who.through == "" && (view.rights.AllowsEverywhere(who.name, rights.Administer) || g.bootstraps(view, who.name))
}

// admitJob says whether a caller may do something with a job, and refuses with
// the same words, after the same reading, whether the job exists or not. Only
// who may do it with every job is told that there is none.
func (c *Controller) admitJob(ctx context.Context, who *caller, v rights.Verb, id string) (rights.Queue, *transport.Response) {
	var q rights.Queue
	g := c.guard
	if g == nil {
		return q, nil
	}
	verb := v.String()
	if !g.holdsAny(who, v) {
		return q, c.deny(who, verb, q, id, 403, "holds this right on no queue")
	}
	everywhere := g.everywhere(who, v)
	known := false
	c.do(func() { q, known = c.queues.of(id) })
	if known && g.allows(who, v, q) {
		return q, nil
	}
	// Somebody else's job is read like one that this controller does not know,
	// so that neither the time nor the budget for unknown jobs tells them apart.
	spec, err := &protocol.JobSpec{}, error(bookkeeping.ErrNotFound)
	if protocol.ValidID(id) {
		spec, err = c.readSpec(ctx, who, id)
	}
	switch {
	case errors.Is(err, bookkeeping.ErrNotFound) && everywhere:
		return q, nil
	case errors.Is(err, bookkeeping.ErrNotFound):
	case errors.Is(err, errMisses):
		c.deny(who, verb, rights.Queue{}, id, 403, "asks too often for jobs that are not in its queues")
		resp := unavailable(err)
		return q, &resp
	case err != nil:
		resp := unavailable(err)
		return q, &resp
	default:
		if q = (rights.Queue{Team: spec.Team, Class: spec.Class}); g.allows(who, v, q) {
			return q, nil
		}
	}
	return q, c.deny(who, verb, q, id, 403, "no such job in a queue of this right")
}

// errMisses refuses who asks too often for jobs that nobody knows.
var errMisses = fmt.Errorf("%w: over the budget for unknown jobs", bookkeeping.ErrRefused)

// readSpec reads a job's record; who, if told, is held to the budget for
// unknown jobs.
func (c *Controller) readSpec(ctx context.Context, who *caller, id string) (*protocol.JobSpec, error) {
	if who != nil {
		limiter, ok := c.guard.misses.Get(who.name)
		if !ok {
			limiter = rate.NewLimiter(missRate, missBurst)
			c.guard.misses.Add(who.name, limiter)
		}
		if !limiter.Allow() {
			return nil, errMisses
		}
	}
	if c.store.Down() {
		return nil, bookkeeping.ErrRefused
	}
	item, err := c.store.UserGet(ctx, bookkeeping.JobKey(id))
	if err != nil {
		return nil, err
	}
	spec := new(protocol.JobSpec)
	if err := bookkeeping.Decode(item.Value, spec); err != nil {
		return nil, fmt.Errorf("%w: %w", bookkeeping.ErrUnknown, err)
	}
	return spec, nil
}

// userCommit commits what a user asked for, together with its record if one is
// to be kept.
func (c *Controller) userCommit(ctx context.Context, txn *protocol.Transaction, r *audit.Record) (uint64, error) {
	if r == nil {
		return c.store.UserCommit(ctx, txn)
	}
	return c.guard.log.Commit(ctx, txn, *r)
}

// looked notes that a caller has looked at something.
func (c *Controller) looked(who *caller, verb string, q rights.Queue, id string) {
	if c.guard != nil {
		c.guard.log.Note(*c.record(who, verb, q, id))
	}
}

// worker says which worker sends a report, or refuses it.
func (c *Controller) worker(req *transport.Request) (*caller, *transport.Response) {
	return c.machineIdentity(req, "report", func(n identity.Name) bool { return n.Kind == identity.Worker })
}

// machineIdentity says which worker or controller sends a message. Only a
// certificate proves that, and only one that accept takes.
func (c *Controller) machineIdentity(req *transport.Request, verb string, accept func(identity.Name) bool) (*caller, *transport.Response) {
	if c.guard == nil {
		return nil, nil
	}
	who := &caller{from: req.From}
	var name identity.Name
	err := errors.New("no certificate")
	if req.Peer != nil {
		name, err = c.certified(req)
	}
	if err != nil {
		return nil, c.deny(who, verb, rights.Queue{}, "", 401, err.Error())
	}
	who.name, who.how = name.String(), "certificate "+identity.Fingerprint(req.Peer)
	if !accept(name) {
		return nil, c.deny(who, verb, rights.Queue{}, "", 403, "of the wrong kind, or not of this cluster")
	}
	return who, nil
}

// speaksFor says whether a message comes from the worker or controller that it
// names, and refuses it if not.
func (c *Controller) speaksFor(who *caller, verb string, named identity.Name) *transport.Response {
	if c.guard == nil || who.name == named.String() || who.name == (identity.Name{Kind: identity.Worker, ID: AnyWorker}).String() {
		return nil
	}
	return c.deny(who, verb, rights.Queue{}, "", 403, "speaks for "+clip(named.String()))
}

// AnyWorker is the id in certificates that machines share, where the cloud
// hands out names only when it rents.
const AnyWorker = "any"

// peer says which controller sends a message, or refuses it.
func (c *Controller) peer(req *transport.Request) (*caller, *transport.Response) {
	return c.machineIdentity(req, "peer", func(n identity.Name) bool { return n.Kind == identity.Controller && c.peers[n.ID] != nil })
}

// queueBook remembers the queue of every job, over dense indices. It belongs to
// the loop.
type queueBook struct {
	index map[rights.Queue]uint32
	list  []rights.Queue
	jobs  map[string]uint32
}

func (b *queueBook) init() {
	b.index, b.jobs = map[rights.Queue]uint32{}, map[string]uint32{}
}

// note remembers a job's queue.
func (b *queueBook) note(spec *protocol.JobSpec) {
	q := rights.Queue{Team: spec.Team, Class: spec.Class}
	i, ok := b.index[q]
	if !ok {
		i = uint32(len(b.list))
		b.index[q] = i
		b.list = append(b.list, q)
	}
	b.jobs[spec.ID] = i
}

func (b *queueBook) of(id string) (rights.Queue, bool) {
	i, ok := b.jobs[id]
	if !ok {
		return rights.Queue{}, false
	}
	return b.list[i], true
}

// whoami tells a caller who it is taken for.
func (c *Controller) whoami(who *caller) transport.Response {
	view := c.guard.policy.Load()
	var held []string
	for _, v := range []rights.Verb{rights.Submit, rights.View, rights.ViewArguments, rights.Withdraw, rights.Reassign, rights.Administer, rights.Vouch} {
		if c.guard.holdsAny(who, v) {
			held = append(held, v.String())
		}
	}
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.name, How: who.how, Verbs: held, PolicyVersion: view.version})}
}

// may tells a caller whether it holds a right on a queue. Front doors ask it for
// their clients, with the client's own credential, so that there is one place
// that decides and one record of what was refused.
func (c *Controller) may(who *caller, req *transport.Request) transport.Response {
	query, err := url.ParseQuery(req.Query)
	if err != nil {
		return refuse(400, "bad query", 0)
	}
	verb, err := rights.ParseVerb(query.Get("verb"))
	if err != nil {
		return refuse(400, oneLine(err), 0)
	}
	q := rights.Queue{Team: query.Get("team"), Class: query.Get("class")}
	if q.Team == "" || q.Class == "" {
		return refuse(400, "team and class are needed", 0)
	}
	if !c.guard.allows(who, verb, q) {
		return *c.deny(who, verb.String(), q, "", 403, "asked through a front door")
	}
	c.looked(who, verb.String()+"-asked", q, "")
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.WhoAmI{Name: who.name, How: who.how, Verbs: []string{verb.String()},
		PolicyVersion: c.guard.policy.Load().version})}
}

// auditBody bounds an answer with batches of the audit.
const auditBody = 32 << 10

// readAudit answers an administrator who reads the audit.
func (c *Controller) readAudit(ctx context.Context, who *caller, req *transport.Request) transport.Response {
	q, err := url.ParseQuery(req.Query)
	if err != nil {
		return refuse(400, "bad query", 0)
	}
	switch req.Path {
	case "/audit/seal":
		seal, err := c.guard.log.Seal(ctx)
		if err != nil {
			return unavailable(err)
		}
		c.looked(who, "read-audit", rights.Queue{}, "")
		return transport.Response{Status: 200, Body: protocol.Encode(seal)}
	case "/audit/batches":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		if err != nil || q.Get("chain") == "" {
			return refuse(400, "chain and after are needed", 0)
		}
		batches, err := c.guard.log.Batches(ctx, q.Get("chain"), after, auditBody)
		if err != nil {
			return unavailable(err)
		}
		return transport.Response{Status: 200, Body: protocol.Encode(map[string]any{"batches": batches})}
	}
	return refuse(404, "no such path", 0)
}
