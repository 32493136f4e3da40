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

// maxAuditText bounds what a caller's text takes of an audit record, in bytes.
const maxAuditText = 100

// The answers to callers say no more than this; the audit has the reason.
var (
	errBadCredential = apierror.New(http.StatusUnauthorized, "no good credential")
	errNotAllowed    = apierror.New(http.StatusForbidden, "not allowed")
)

// RunAudit writes the audit until ctx ends.
func (a *Auth) RunAudit(ctx context.Context) { a.auditLog.Run(ctx) }

// SealAudit signs what the audit holds now.
func (a *Auth) SealAudit(ctx context.Context) (*audit.Seal, error) { return a.auditLog.Seal(ctx) }

// AuditBatches reads the batches of an audit chain that come after a number, up to size
// bytes of them.
func (a *Auth) AuditBatches(ctx context.Context, chain string, after uint64, size int) ([]audit.NumberedBatch, error) {
	return a.auditLog.Batches(ctx, chain, after, size)
}

// AuditRecord returns the audit record of what a caller does, as allowed; nil while requests
// need no identity.
func (a *Auth) AuditRecord(caller *Caller, verb string, queue rights.Queue, job string) *audit.Record {
	if !a.enabled {
		return nil
	}
	record := &audit.Record{At: time.Now().UTC(), BoundMS: float64(a.clockBound) / float64(time.Millisecond), Verb: verb,
		Team: Clip(queue.Team), Class: Clip(queue.Class), Job: Clip(job), Outcome: audit.Allowed}
	if caller != nil {
		record.Who, record.How, record.From = caller.Name, caller.Credential, caller.RemoteAddr
	}
	return record
}

// Clip bounds what a caller's text takes of an audit record.
func Clip(text string) string { return text[:min(len(text), maxAuditText)] }

// Deny audits that a caller was not allowed to do something, and returns the error that
// refuses the request.
func (a *Auth) Deny(caller *Caller, verb string, queue rights.Queue, job, reason string) error {
	a.noteDenied(caller, verb, queue, job, reason)
	return errNotAllowed
}

// rejectCredential audits that a request proved no identity, and returns the error that
// refuses it.
func (a *Auth) rejectCredential(caller *Caller, verb, reason string) error {
	a.noteDenied(caller, verb, rights.Queue{}, "", reason)
	return errBadCredential
}

// noteDenied audits that a caller was not allowed to do something.
func (a *Auth) noteDenied(caller *Caller, verb string, queue rights.Queue, job, reason string) {
	record := a.AuditRecord(caller, verb, queue, job)
	record.Outcome, record.Reason = audit.Denied, reason
	a.auditLog.Note(*record)
}

// NoteRead audits that a caller has read something.
func (a *Auth) NoteRead(caller *Caller, verb string, queue rights.Queue, job string) {
	if a.enabled {
		a.auditLog.Note(*a.AuditRecord(caller, verb, queue, job))
	}
}

// Commit commits a caller's transaction, and its audit record with it unless that is nil.
func (a *Auth) Commit(ctx context.Context, txn *protocol.Transaction, record *audit.Record) (uint64, error) {
	if record == nil {
		return a.store.UserCommit(ctx, txn)
	}
	return a.auditLog.Commit(ctx, txn, *record)
}
