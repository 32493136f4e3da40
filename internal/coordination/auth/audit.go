package auth

import (
	"context"
	"net/http"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
)

// maxAuditTextBytes is the maximum size of each caller-supplied text in an audit record.
const maxAuditTextBytes = 100

// The responses give no further detail; the reason is only in the audit record.
var (
	errBadCredential = apierror.New(http.StatusUnauthorized, "no good credential")
	errNotAllowed    = apierror.New(http.StatusForbidden, "not allowed")
)

// RunAudit runs the audit log until ctx is done.
func (a *Auth) RunAudit(ctx context.Context) { a.auditLog.Run(ctx) }

// SealAudit returns a signed statement of the current end of each audit chain.
func (a *Auth) SealAudit(ctx context.Context) (*audit.Seal, error) { return a.auditLog.Seal(ctx) }

// AuditBatches returns the batches of an audit chain whose numbers are greater than after, up
// to size bytes in total.
func (a *Auth) AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error) {
	return a.auditLog.Batches(ctx, chain, after, size)
}

// AuditRecord returns the audit record of an allowed request, or nil if authentication is
// disabled.
func (a *Auth) AuditRecord(caller *Caller, verb string, queue rights.Queue, job string) *audit.Record {
	if !a.enabled {
		return nil
	}
	record := &audit.Record{At: time.Now().UTC(), ClockErrorMS: float64(a.clockBound) / float64(time.Millisecond), Verb: verb,
		Team: TruncateForAudit(queue.Team), Class: TruncateForAudit(queue.Class), Job: TruncateForAudit(job), Outcome: audit.Allowed}
	if caller != nil {
		record.Identity, record.Credential, record.Address = caller.Name, caller.Credential, caller.RemoteAddr
	}
	return record
}

// TruncateForAudit truncates a caller-supplied text to maxAuditTextBytes.
func TruncateForAudit(text string) string { return text[:min(len(text), maxAuditTextBytes)] }

// Deny records a denied request in the audit log and returns an error with status 403.
func (a *Auth) Deny(caller *Caller, verb string, queue rights.Queue, job, reason string) error {
	a.auditDenial(caller, verb, queue, job, reason)
	return errNotAllowed
}

// rejectCredential records in the audit log that a request had no valid credential, and
// returns an error with status 401.
func (a *Auth) rejectCredential(caller *Caller, verb, reason string) error {
	a.auditDenial(caller, verb, rights.Queue{}, "", reason)
	return errBadCredential
}

// auditDenial records a denied request in the audit log.
func (a *Auth) auditDenial(caller *Caller, verb string, queue rights.Queue, job, reason string) {
	record := a.AuditRecord(caller, verb, queue, job)
	record.Outcome, record.Reason = audit.Denied, reason
	a.auditLog.Aggregate(*record)
}

// AuditRead records an allowed read in the audit log, unless authentication is disabled.
func (a *Auth) AuditRead(caller *Caller, verb string, queue rights.Queue, job string) {
	if a.enabled {
		a.auditLog.Aggregate(*a.AuditRecord(caller, verb, queue, job))
	}
}

// Commit commits a caller's transaction together with its audit record, if that isn't nil.
func (a *Auth) Commit(ctx context.Context, txn *protocol.Transaction, record *audit.Record) (uint64, error) {
	if record == nil {
		return a.store.UserCommit(ctx, txn)
	}
	return a.auditLog.Commit(ctx, txn, *record)
}
