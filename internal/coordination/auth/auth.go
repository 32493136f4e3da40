// Package auth authenticates the senders of requests, authorizes the requests by the access
// policy, and records the decisions in the audit log. It caches the policy's records, as
// delivered by the state store's watch, and the queue of each known job. Until Enable is
// called, every request is allowed.
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

// Auth authenticates callers and authorizes their requests. The event loop applies the policy's
// records and publishes them as an immutable PolicyView, which the goroutines that serve
// connections read.
type Auth struct {
	*cluster.State
	loop   *eventloop.Loop
	store  *storage.Store
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	// The following fields are set by Enable before the event loop starts.
	enabled           bool
	enabledAt         time.Time
	tokens            *identity.TokenVerifier
	bootstrapIdentity string
	clockBound        time.Duration
	auditLog          *audit.Log

	// policy is the view published last; nil until the policy was read.
	policy atomic.Pointer[PolicyView]
	// policyCurrentAt is the last time at which the published policy was known to be up to
	// date, in nanoseconds since enabledAt.
	policyCurrentAt atomic.Int64
	// UnknownJobLimiters are the rate limiters for lookups of jobs that are not in this
	// controller's memory, by identity name.
	UnknownJobLimiters *lru.Cache[string, *rate.Limiter]

	// The following fields are owned by the event loop.
	records   policyRecords
	jobQueues jobQueueIndex
}

// New returns an Auth that allows everything until Enable is called.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Auth {
	return &Auth{State: state, loop: loop, store: store, log: log, bounds: bounds}
}

// Config configures authentication, authorization and the audit log.
type Config struct {
	// Tokens verifies the callers' bearer tokens.
	Tokens *identity.TokenVerifier
	// Signer returns the current key for signing the audit log.
	Signer func() audit.Signer
	// BootstrapIdentity is the name of the identity that may write the first policy.
	BootstrapIdentity string
	// ClockBound is the maximum error of this machine's clock.
	ClockBound time.Duration
}

// Caller is the authenticated sender of a request, or the user on whose behalf a service sent it.
type Caller struct {
	Name string
	// Credential describes the credential for the audit log.
	Credential string
	RemoteAddr string
	// Service is the service that acts on behalf of the caller; empty for a direct request.
	Service string
}

const (
	// AuditChanges is the maximum number of changes that the audit log adds to a transaction:
	// a batch, the head of its chain and the signer's certificate.
	AuditChanges = 3
	// minTransactionChanges is the number of changes in the largest transaction of a user
	// request: two of a reassignment, and AuditChanges.
	minTransactionChanges = 2 + AuditChanges
)

// Enable turns on authentication, authorization and the audit log. It must be called before
// the event loop starts.
func (a *Auth) Enable(ids Config) error {
	if changes := a.Settings.Params.State.Lower().TxnOps; changes < minTransactionChanges {
		return fmt.Errorf("authentication needs transactions of up to %d changes, but params.state allows only %d", minTransactionChanges, changes)
	}
	limiters, err := lru.NewWithEvict(MaxUnknownJobLimiters, func(string, *rate.Limiter) { a.bounds.ReportExceeded(telemetry.Callers, 1) })
	if err != nil {
		return err
	}
	a.enabled, a.enabledAt, a.UnknownJobLimiters = true, time.Now(), limiters
	a.tokens, a.bootstrapIdentity, a.clockBound = ids.Tokens, ids.BootstrapIdentity, ids.ClockBound
	a.auditLog = audit.NewLog(a.store, a.Settings.Label, ids.Signer, a.log)
	a.policyCurrentAt.Store(-int64(initialPolicyAge))
	a.records.init()
	a.jobQueues.init()
	return nil
}

// Enabled reports whether authentication is enabled.
func (a *Auth) Enabled() bool { return a.enabled }
