// Package auth knows who sends a request and what they may do: identities, the policy as the
// watch has delivered it, and the audit of what was allowed and denied. It owns the policy's
// records and the queue of each known job. Until Enable, everybody may do everything.
package auth

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/identity"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Auth authenticates callers and authorizes what they ask for. The event loop applies the
// policy's records and publishes them as a PolicyView, which the connections' goroutines
// read. Until Enable, everybody may do everything.
type Auth struct {
	*cluster.State
	loop   *eventloop.Loop
	store  *storage.Store
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	// Set by Enable, before the loop starts.
	enabled    bool
	enabledAt  time.Time
	tokens     *identity.Tokens
	bootstrap  string
	clockBound time.Duration
	auditLog   *audit.Log

	// policy is what was published last; nil before the policy was read.
	policy atomic.Pointer[PolicyView]
	// freshSince is when the policy was last known to be up to date, in nanoseconds since
	// enabledAt.
	freshSince atomic.Int64
	// UnknownJobLimiters bounds how often an identity may make this controller look for jobs
	// that it does not know, by the identity's name.
	UnknownJobLimiters *lru.Cache[string, *rate.Limiter]

	// Owned by the event loop.
	records   policyRecords
	jobQueues jobQueueIndex
}

// New returns an Auth that allows everything until Enable is called.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Auth {
	return &Auth{State: state, loop: loop, store: store, log: log, bounds: bounds}
}

// Identities is what a controller needs to authenticate callers, to limit what they may do,
// and to audit it. Without it everybody may do everything.
type Identities struct {
	// Tokens checks the tokens that callers present.
	Tokens *identity.Tokens
	// Signer returns the key that signs the audit, as it is at that moment.
	Signer func() audit.Signer
	// Bootstrap names who may write the first policy.
	Bootstrap string
	// ClockBound is how far off this process's clock may be.
	ClockBound time.Duration
}

// Caller is who sends a request.
type Caller struct {
	Name       string
	Credential string
	RemoteAddr string
	// Service is the service that vouches for the caller; empty if the caller asks itself.
	Service string
}

const (
	// AuditChanges is how many changes the audit may add to a transaction: a batch, its
	// chain's head and its signer's certificate.
	AuditChanges = 3
	// minTransactionChanges is the largest transaction of users, a reassignment, with these.
	minTransactionChanges = 2 + AuditChanges
)

// Enable makes the controller authenticate who sends a request. It is called before the
// loop starts.
func (a *Auth) Enable(ids Identities) error {
	if changes := a.Settings.Params.State.Lower().TxnOps; changes < minTransactionChanges {
		return fmt.Errorf("identities need transactions of %d changes; params.state allows %d", minTransactionChanges, changes)
	}
	limiters, err := lru.NewWithEvict(UnknownJobLimitersLimit, func(string, *rate.Limiter) { a.bounds.Met(telemetry.Callers, 1) })
	if err != nil {
		return err
	}
	a.enabled, a.enabledAt, a.UnknownJobLimiters = true, time.Now(), limiters
	a.tokens, a.bootstrap, a.clockBound = ids.Tokens, ids.Bootstrap, ids.ClockBound
	a.auditLog = audit.NewLog(a.store, a.Settings.Label, ids.Signer, a.log)
	a.freshSince.Store(-int64(neverFresh))
	a.records.init()
	a.jobQueues.init()
	return nil
}

// Enabled reports whether requests need an identity.
func (a *Auth) Enabled() bool { return a.enabled }
