package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// submit validates a submission and commits the job's record, which accepts the job.
func (s *Server) submit(ctx context.Context, req request) (transport.Response, error) {
	var submission protocol.Submission
	malformed := protocol.Decode(req.Body, &submission)
	queue, err := s.authorizeSubmission(req.caller, &submission)
	if err != nil {
		return transport.Response{}, err
	}
	var spec *protocol.JobSpec
	if malformed == nil {
		spec, malformed = submission.Check()
	}
	var id string
	if malformed == nil {
		id = spec.ID
	} else if id = protocol.SubmissionID(req.Body); id == "" {
		return transport.Response{}, apierror.Invalid(http.StatusBadRequest, malformed)
	}
	check := submissionCheck{malformed: malformed}
	s.checkSubmission(ctx, &check, req.caller, id, spec)
	// A repeated submission of an accepted job must never get status 400 or 422, so the job is
	// looked up before a submission is rejected.
	if refusal := check.refusal(); check.known || refusal != nil {
		status, found, err := s.jobStatus(ctx, id)
		switch {
		case err != nil:
			return transport.Response{}, err
		case found:
			return s.answerRepeated(ctx, req.caller, status)
		case refusal != nil:
			return transport.Response{}, refusal
		}
	}
	if !check.machineTypesKnown {
		return transport.Response{}, errMachineTypesUnknown
	}
	if s.store.Down() {
		return transport.Response{}, errStateStoreDown
	}
	return s.commitSubmission(ctx, req.caller, queue, id, check.record)
}

// errMachineTypesUnknown rejects submissions while the machine types are unknown, since a job may
// fit none of them.
var errMachineTypesUnknown = apierror.NotReady("machine types are not known yet", retryMachineTypes)

// submissionCheck is the result of validating a submission.
type submissionCheck struct {
	// malformed is the error from decoding or validating the body, or nil.
	malformed error
	// known is set if the job was accepted before.
	known bool
	// machineTypesKnown is set if the machine types are known. Until then, no job is accepted.
	machineTypesKnown bool
	// infeasible is the reason why the job can't be accepted, or "" if there is none.
	infeasible string
	// readErr is the error from the lookup of the dependencies, or nil.
	readErr error
	// record is the encoded record of the job.
	record []byte
}

// refusal returns the error with which a submission of a new job is rejected, or nil.
func (c *submissionCheck) refusal() error {
	switch {
	case c.malformed != nil:
		return apierror.Invalid(http.StatusBadRequest, c.malformed)
	case c.infeasible != "":
		return apierror.New(http.StatusUnprocessableEntity, c.infeasible)
	}
	return c.readErr
}

// checkSubmission validates a submission against memory and the state store, and fills in
// check. spec is nil if the body is malformed.
func (s *Server) checkSubmission(ctx context.Context, check *submissionCheck, caller *auth.Caller, id string, spec *protocol.JobSpec) {
	s.loop.Do(func() {
		check.known = s.Jobs[id] != nil || s.FinalStates[id] != ""
		check.machineTypesKnown = len(s.Catalog) > 0
		if spec != nil {
			check.infeasible = s.checkFeasible(spec)
		}
	})
	if spec == nil || check.infeasible != "" || check.known {
		return
	}
	spec.SubmittedMS = time.Now().UnixMilli()
	if caller != nil {
		spec.SubmittedBy = caller.Name
	}
	check.record = storage.Encode(spec)
	if size, limit := protocol.JSONSize(check.record), s.store.ValueBytes(); size > limit {
		check.infeasible = tooLargeReason(size, limit)
	} else if check.machineTypesKnown {
		check.infeasible, check.readErr = s.checkDependencies(ctx, spec)
	}
}

// commitSubmission commits a job's record and returns the response.
func (s *Server) commitSubmission(ctx context.Context, caller *auth.Caller, queue rights.Queue, id string, record []byte) (transport.Response, error) {
	_, err := s.auth.Commit(ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.JobKey(id), Version: 0}},
		Then: []protocol.Change{{Put: storage.JobKey(id), Value: record}},
	}, s.auth.AuditRecord(caller, verbSubmit, queue, id))
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return s.answerUncommitted(ctx, caller, id, storage.ErrUnknown)
	case errors.Is(err, storage.ErrTooLarge):
		// The state store may reject a record for its size before it checks that the key is
		// new. So this may be a repeated submission, which must not be rejected.
		refusal := apierror.New(http.StatusUnprocessableEntity, tooLargeReason(protocol.JSONSize(record), s.store.ValueBytes()))
		return s.answerUncommitted(ctx, caller, id, refusal)
	case err != nil:
		return transport.Response{}, err
	}
	s.loop.Do(func() { s.jobs.ApplyJobRecord(id, record) })
	return success(http.StatusCreated, protocol.JobStatus{ID: id, Status: protocol.StatusQueued}), nil
}

// answerUncommitted responds to a submission whose record was not committed. It returns the state
// of the job if the job was accepted before, and the error notFound otherwise.
func (s *Server) answerUncommitted(ctx context.Context, caller *auth.Caller, id string, notFound error) (transport.Response, error) {
	status, found, err := s.jobStatus(ctx, id)
	switch {
	case err != nil:
		return transport.Response{}, err
	case !found:
		return transport.Response{}, notFound
	}
	return s.answerRepeated(ctx, caller, status)
}

// authorizeSubmission returns the queue of a submission if the caller may submit to it. If the
// submission lacks a team or class, the caller must be able to submit to at least one queue.
func (s *Server) authorizeSubmission(caller *auth.Caller, submission *protocol.Submission) (rights.Queue, error) {
	if !s.auth.Enabled() {
		return rights.Queue{}, nil
	}
	id := ""
	if submission.ID != nil {
		id = *submission.ID
	}
	if submission.Team == nil || submission.Class == nil {
		if !s.auth.HoldsAny(caller, rights.Submit) {
			return rights.Queue{}, s.auth.Deny(caller, verbSubmit, rights.Queue{}, id, "holds this right on no queue")
		}
		return rights.Queue{}, nil
	}
	queue := rights.Queue{Team: *submission.Team, Class: *submission.Class}
	if !s.auth.Allows(caller, rights.Submit, queue) {
		return queue, s.auth.Deny(caller, verbSubmit, queue, id, "may not submit to this queue")
	}
	return queue, nil
}

// answerRepeated responds to a submission of a known job with the job's state. The caller needs
// the Submit or View permission on the job's queue. All queues share one namespace of job ids, so
// the id may belong to a job in another queue.
func (s *Server) answerRepeated(ctx context.Context, caller *auth.Caller, status protocol.JobStatus) (transport.Response, error) {
	if s.auth.Enabled() {
		queue, err := s.queueOf(ctx, status.ID)
		if err != nil {
			return transport.Response{}, err
		}
		if !s.auth.Allows(caller, rights.Submit, queue) && !s.auth.Allows(caller, rights.View, queue) {
			return transport.Response{}, s.auth.Deny(caller, verbSubmit, queue, status.ID, "the id is another queue's")
		}
		s.auth.AuditRead(caller, verbRepeat, queue, "")
	}
	return success(http.StatusOK, status), nil
}

// queueOf returns the queue of an accepted job.
func (s *Server) queueOf(ctx context.Context, id string) (rights.Queue, error) {
	var queue rights.Queue
	known := false
	s.loop.Do(func() { queue, known = s.auth.JobQueue(id) })
	if known {
		return queue, nil
	}
	// The index lacks jobs that ended before this controller read their records.
	spec, err := s.auth.ReadSpec(ctx, id)
	if err != nil {
		return rights.Queue{}, err
	}
	return rights.Queue{Team: spec.Team, Class: spec.Class}, nil
}
