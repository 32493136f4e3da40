package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const (
	// conditionsPerChange is how many conditions a transaction may have for each change that
	// it may have.
	conditionsPerChange = 4
	// otherReassignConditions are the conditions of a reassignment that are not on run
	// records: the final record, the successor's record, and the audit's batch.
	otherReassignConditions = 3
)

// reassignment is a job that is about to be moved to another queue.
type reassignment struct {
	id       string
	from, to rights.Queue
	// partition has the job's run records.
	partition int
	// spec is the job's, successor that of the job which replaces it.
	spec, successor *protocol.JobSpec
	// value is the successor's record.
	value []byte
}

// reassign moves a job that has not started to another queue. A job's record is
// never rewritten, and a controller of the former version must not run it where
// it was: so in one transaction the job is cancelled and its successor, under a
// new id, is accepted. That none of its tasks was started is a condition on its
// run records: every start is written there first.
func (s *Server) reassign(ctx context.Context, req request) (transport.Response, error) {
	move, err := s.prepareReassignment(ctx, req)
	if err != nil {
		return transport.Response{}, err
	}
	record := s.auth.AuditRecord(req.caller, verbReassign, move.from, move.id)
	record.Detail = fmt.Sprintf("to team %s, class %s as %s", auth.Clip(move.to.Team), auth.Clip(move.to.Class), move.successor.ID)
	_, err = s.auth.Commit(ctx, move.transaction(time.Now()), record)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return s.answerConflictingReassignment(ctx, move.id, move.successor.ID)
	case errors.Is(err, storage.ErrTooLarge):
		return transport.Response{}, apierror.New(http.StatusUnprocessableEntity, "too large for the state service; withdraw it and submit it again")
	case err != nil:
		return transport.Response{}, err
	}
	s.loop.Do(func() {
		s.jobs.SetFinal(move.id, protocol.StatusCancelled, time.Now())
		s.jobs.ApplyJobRecord(move.successor.ID, move.value)
	})
	return success(http.StatusOK, protocol.JobStatus{ID: move.successor.ID, Status: protocol.StatusQueued}), nil
}

// prepareReassignment checks everything of a reassignment that can be checked before the
// transaction.
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
	if reason := s.checkReassignable(move); reason != "" {
		return nil, apierror.New(http.StatusUnprocessableEntity, reason)
	}
	move.value = storage.Encode(&successor)
	return move, nil
}

// decodeReassignment reads the body of a reassignment. The class is the job's own unless
// another one is named.
func decodeReassignment(req request, from rights.Queue) (*protocol.Reassignment, error) {
	body := new(protocol.Reassignment)
	if err := protocol.Decode(req.Body, body); err != nil {
		return nil, apierror.Invalid(http.StatusBadRequest, err)
	}
	if !protocol.ValidID(body.As) || body.As == req.job {
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

// checkReassignable returns why a job can't be moved, "" if it can, and fills in its
// partition.
func (s *Server) checkReassignable(move *reassignment) (reason string) {
	s.loop.Do(func() {
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
	})
	if reason != "" {
		return reason
	}
	if limit := conditionsPerChange*s.store.TxnOps() - otherReassignConditions; move.chunks() > limit {
		return fmt.Sprintf("has more than %d tasks; withdraw it and submit it again", limit*storage.ChunkTasks)
	}
	return ""
}

// chunks is how many run records the job may have.
func (r *reassignment) chunks() int {
	return (r.spec.Tasks + storage.ChunkTasks - 1) / storage.ChunkTasks
}

// transaction cancels the job and accepts its successor, if no task was started.
func (r *reassignment) transaction(now time.Time) *protocol.Transaction {
	final := storage.Final{Status: protocol.StatusCancelled, AtMS: now.UnixMilli(), Successor: r.successor.ID}
	txn := &protocol.Transaction{
		If: []protocol.Condition{{Key: storage.FinalKey(r.id)}, {Key: storage.JobKey(r.successor.ID)}},
		Then: []protocol.Change{
			{Put: storage.FinalKey(r.id), Value: storage.Encode(final)},
			{Put: storage.JobKey(r.successor.ID), Value: r.value},
		},
	}
	for chunk := range r.chunks() {
		txn.If = append(txn.If, protocol.Condition{Key: storage.RunKey(r.partition, r.id, chunk)})
	}
	return txn
}

// answerConflictingReassignment says why a job could not be moved, or that it was already.
func (s *Server) answerConflictingReassignment(ctx context.Context, id, successor string) (transport.Response, error) {
	item, err := s.store.UserGet(ctx, storage.FinalKey(id))
	if errors.Is(err, storage.ErrNotFound) {
		if _, err := s.store.UserGet(ctx, storage.JobKey(successor)); err == nil {
			return transport.Response{}, apierror.New(http.StatusConflict, "the id for the successor is taken")
		}
		return transport.Response{}, apierror.New(http.StatusConflict, "the job has started")
	}
	if err != nil {
		return transport.Response{}, err
	}
	var final storage.Final
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

// arguments answers with what a job was submitted with.
func (s *Server) arguments(ctx context.Context, req request) (transport.Response, error) {
	queue, err := s.auth.AuthorizeJob(ctx, req.caller, rights.ViewArguments, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	spec, err := s.readSpec(ctx, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	// Reading arguments is rare and matters: each time has an audit record of its own.
	record := s.auth.AuditRecord(req.caller, verbViewArguments, queue, req.job)
	if _, err := s.auth.Commit(ctx, &protocol.Transaction{}, record); err != nil {
		return transport.Response{}, err
	}
	return success(http.StatusOK, spec.Arguments()), nil
}

// readSpec reads the record of a job that a caller names.
func (s *Server) readSpec(ctx context.Context, id string) (*protocol.JobSpec, error) {
	spec, err := s.auth.ReadSpec(ctx, id)
	if errors.Is(err, storage.ErrNotFound) {
		return nil, errNoSuchJob
	}
	return spec, err
}
