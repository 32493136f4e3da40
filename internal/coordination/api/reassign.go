package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const (
	// reassignTries is the number of tries of a reassignment while incarnation records change.
	reassignTries = 3
	// retryMixedVersions is the Retry-After of a reassignment while an older version runs, in
	// seconds.
	retryMixedVersions = 30
)

// errIncarnationsChanged is returned if the incarnation record of a controller changed while a
// reassignment was committed.
var errIncarnationsChanged = errors.New("incarnation record of a controller has changed")

// reassign moves a job that has not started to another queue. Job records are immutable, and a
// controller of an older version must not run the job in its former queue. So one transaction
// cancels the job and accepts a successor with a new id. Every start of a task is first written
// to a run record, so the transaction is conditional on the absence of run records. Jobs that depend on
// the job, whenever they are accepted, wait for its successor (rule 60).
func (s *Server) reassign(ctx context.Context, req request) (transport.Response, error) {
	move, err := s.prepareReassignment(ctx, req)
	if err != nil {
		return transport.Response{}, err
	}
	if response, err := s.answerEndedReassignment(ctx, move.id, move.successor.ID); !errors.Is(err, storage.ErrNotFound) {
		return response, err
	}
	for range reassignTries {
		response, err := s.tryReassignment(ctx, req, move)
		if !errors.Is(err, errIncarnationsChanged) {
			return response, err
		}
	}
	return transport.Response{}, apierror.NotReady("controllers are being restarted", retrySoon)
}

// tryReassignment checks a reassignment against all jobs accepted so far, and commits it.
func (s *Server) tryReassignment(ctx context.Context, req request, move *reassignment) (transport.Response, error) {
	if err := s.catchUpJobs(ctx); err != nil {
		return transport.Response{}, err
	}
	if err := s.checkReassignable(move); err != nil {
		return transport.Response{}, err
	}
	record := s.auth.AuditRecord(req.caller, verbReassign, move.from, move.id)
	record.Detail = fmt.Sprintf("to team %s, class %s as %s", auth.TruncateForAudit(move.to.Team), auth.TruncateForAudit(move.to.Class), move.successor.ID)
	txn, final := move.transaction(time.Now())
	_, err := s.auth.Commit(ctx, txn, record)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict) && move.onlyIncarnations(conflict.Failed):
		return transport.Response{}, errIncarnationsChanged
	case errors.As(err, &conflict):
		return s.answerConflictingReassignment(ctx, move.id, move.successor.ID)
	case errors.Is(err, storage.ErrTooLarge):
		return transport.Response{}, apierror.New(http.StatusUnprocessableEntity, "too large for the state service; withdraw it and submit it again")
	case err != nil:
		return transport.Response{}, err
	}
	s.loop.Do(func() {
		s.log.Info("job reassigned", s.reassignmentAttributes(move)...)
		s.jobs.ApplyJobRecord(move.successor.ID, move.value)
		s.jobs.ApplyFinalRecord(move.id, final)
	})
	return success(http.StatusOK, protocol.JobStatus{ID: move.successor.ID, Status: protocol.StatusQueued}), nil
}

// prepareReassignment authorizes and validates a reassignment, as far as that is possible before
// the transaction.
func (s *Server) prepareReassignment(ctx context.Context, req request) (*reassignment, error) {
	from, err := s.auth.AuthorizeJob(ctx, req.caller, rights.Reassign, req.job)
	if err != nil {
		return nil, err
	}
	body, err := decodeReassignment(req, from)
	if err != nil {
		return nil, err
	}
	to := rights.Queue{Team: body.Team, Class: body.Class}
	if !s.auth.Allows(req.caller, rights.Reassign, to) {
		return nil, s.auth.Deny(req.caller, verbReassign, to, req.job, "may not move jobs to this queue")
	}
	spec, err := s.readSpec(ctx, req.job)
	if err != nil {
		return nil, err
	}
	successor := *spec
	successor.ID, successor.Team, successor.Class, successor.Replaces = body.As, to.Team, to.Class, req.job
	move := &reassignment{id: req.job, from: from, to: to, spec: spec, successor: &successor}
	move.value = storage.Encode(&successor)
	return move, nil
}

// decodeReassignment decodes and validates the body of a reassignment. Without a class in the
// body, the job keeps its class.
func decodeReassignment(req request, from rights.Queue) (*protocol.Reassignment, error) {
	body := new(protocol.Reassignment)
	if err := protocol.Decode(req.Body, body); err != nil {
		return nil, apierror.Invalid(http.StatusBadRequest, err)
	}
	if !protocol.ValidJobID(body.As) || body.As == req.job {
		return nil, apierror.New(http.StatusBadRequest, "as: the successor needs an id of its own")
	}
	if body.Team == "" {
		return nil, apierror.New(http.StatusBadRequest, "owner: the new team is missing")
	}
	if body.Class == "" {
		body.Class = from.Class
	}
	return body, nil
}

// checkReassignable returns an error if a job can't be moved. It sets the partition of move and the
// conditions on the controllers' versions.
func (s *Server) checkReassignable(move *reassignment) error {
	reason, missing := "", []string(nil)
	s.loop.Do(func() {
		move.successorConditions, missing = s.leases.SuccessorConditions()
		team, ok := s.TeamIndex[move.spec.Team]
		if !ok {
			reason = "its team is not in the settings any more"
			return
		}
		move.partition = s.TeamPartition[team]
		reason = s.checkFeasible(move.successor)
		if reason == "" && s.Dependencies.HasDependents(move.id) {
			reason = "other jobs wait for this one; withdraw and submit the pipeline again"
		}
		if reason != "" {
			s.log.With(s.reassignmentAttributes(move)...).Info("reassignment refused", "reason", reason)
		}
	})
	limit := conditionsPerChange*s.store.TxnOps() - otherReassignConditions - len(move.successorConditions)
	switch {
	case reason != "":
		return apierror.New(http.StatusUnprocessableEntity, reason)
	case move.chunks() > limit:
		return apierror.Newf(http.StatusUnprocessableEntity, "has more than %d tasks; withdraw it and submit it again", limit*storage.ChunkTasks)
	case len(missing) > 0:
		return apierror.NotReady(fmt.Sprintf("not while a controller has an older version, or has not started yet: %s", strings.Join(missing, ", ")), retryMixedVersions)
	}
	return nil
}

// reassignmentAttributes returns the log attributes of a decision on a reassignment, with the state on which
// it is based: the number of jobs in this controller's memory that depend on the job, and the revision and
// age of its records. It must be called in the event loop.
func (s *Server) reassignmentAttributes(move *reassignment) []any {
	return []any{"job", move.id, "successor", move.successor.ID, "count", s.Dependencies.DependentsOf(move.id),
		"records_revision", s.RecordsRevision, "records_age", time.Since(s.RecordsCurrentAt)}
}

// answerConflictingReassignment returns the reason for a conflict of a reassignment. If the job
// was already moved to the same successor, it returns the state of the successor.
func (s *Server) answerConflictingReassignment(ctx context.Context, id, successor string) (transport.Response, error) {
	response, err := s.answerEndedReassignment(ctx, id, successor)
	if !errors.Is(err, storage.ErrNotFound) {
		return response, err
	}
	if _, err := s.store.UserGet(ctx, storage.JobKey(successor)); err == nil {
		return transport.Response{}, apierror.New(http.StatusConflict, "the id for the successor is taken")
	}
	return transport.Response{}, apierror.New(http.StatusConflict, "the job has started")
}

// answerEndedReassignment answers a reassignment of a job that has ended: with the state of the successor
// if the job was moved to the same one, so that a repeated request gets the same answer whatever has
// changed since. If the job has not ended, the error is storage.ErrNotFound.
func (s *Server) answerEndedReassignment(ctx context.Context, id, successor string) (transport.Response, error) {
	item, err := s.store.UserGet(ctx, storage.FinalKey(id))
	if err != nil {
		return transport.Response{}, err
	}
	var final storage.FinalRecord
	if err := storage.Decode(item.Value, &final); err != nil {
		return transport.Response{}, storage.ErrUnknown
	}
	if final.Successor != successor {
		return transport.Response{}, apierror.Newf(http.StatusConflict, "the job is %s already", final.Status)
	}
	status, found, err := s.jobStatus(ctx, successor)
	if err != nil || !found {
		return transport.Response{}, errors.Join(storage.ErrUnknown, err)
	}
	return success(http.StatusOK, status), nil
}
