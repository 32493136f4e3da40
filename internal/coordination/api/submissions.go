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

// submit accepts a job once its record is committed.
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
	// A known id is looked up before anything else is said about the body, so
	// that a repeat of an accepted job never gets 400 or 422.
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
	if !check.typesKnown {
		return transport.Response{}, errTypesUnknown
	}
	if s.store.Down() {
		return transport.Response{}, errStateStoreDown
	}
	return s.commitSubmission(ctx, req.caller, queue, id, check.record)
}

// errTypesUnknown refuses submissions while it is unknown whether they can ever run.
var errTypesUnknown = apierror.NotReady("machine types are not known yet", retryTypesListed)

// submissionCheck is what a submission's body, memory, and reads of what it depends on say
// of it.
type submissionCheck struct {
	// malformed is what is wrong with the body.
	malformed error
	// known: the job was accepted before.
	known bool
	// typesKnown: so are the machine types, without which nothing is accepted.
	typesKnown bool
	// infeasible is why the job can never run, "" if it can; readErr is why that is
	// unknown.
	infeasible string
	readErr    error
	// record is what accepts the job.
	record []byte
}

// refusal is the error that refuses a submission of a new job, nil if nothing speaks
// against it.
func (c *submissionCheck) refusal() error {
	switch {
	case c.malformed != nil:
		return apierror.Invalid(http.StatusBadRequest, c.malformed)
	case c.infeasible != "":
		return apierror.New(http.StatusUnprocessableEntity, c.infeasible)
	}
	return c.readErr
}

// checkSubmission fills in what memory and the state store say of a submission; spec is nil
// if its body is malformed.
func (s *Server) checkSubmission(ctx context.Context, check *submissionCheck, caller *auth.Caller, id string, spec *protocol.JobSpec) {
	s.loop.Do(func() {
		check.known = s.Jobs[id] != nil || s.FinalStates[id] != ""
		check.typesKnown = len(s.Catalog) > 0
		if spec != nil {
			check.infeasible = s.checkFeasible(spec)
		}
	})
	if spec == nil || check.infeasible != "" || check.known {
		return
	}
	spec.SubmittedMS = time.Now().UnixMilli()
	if caller != nil {
		spec.By = caller.Name
	}
	check.record = storage.Encode(spec)
	if size, limit := protocol.JSONSize(check.record), s.store.ValueBytes(); size > limit {
		check.infeasible = tooLarge(size, limit)
	} else if check.typesKnown {
		check.infeasible, check.readErr = s.checkDependencies(ctx, spec)
	}
}

// commitSubmission commits a job's record, and answers by what became of that.
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
		// The service may look at the size before it looks whether the job is
		// known: an accepted one must not be refused.
		refusal := apierror.New(http.StatusUnprocessableEntity, tooLarge(protocol.JSONSize(record), s.store.ValueBytes()))
		return s.answerUncommitted(ctx, caller, id, refusal)
	case err != nil:
		return transport.Response{}, err
	}
	s.loop.Do(func() { s.jobs.ApplyJobRecord(id, record) })
	return success(http.StatusCreated, protocol.JobStatus{ID: id, Status: protocol.StatusQueued}), nil
}

// answerUncommitted answers a submission whose record was not committed: with the state of
// the job if it was accepted before, and with an error if not.
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

// authorizeSubmission returns the queue that a submission names if a caller may submit to
// it. One that names none passes if the caller may submit to any queue at all.
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

// answerRepeated answers a submission of a known job with its state, to those who may
// submit to its queue or view it. Ids are one name space for all queues, so the id of
// somebody else's job looks like one that is taken.
func (s *Server) answerRepeated(ctx context.Context, caller *auth.Caller, status protocol.JobStatus) (transport.Response, error) {
	if s.auth.Enabled() {
		queue, err := s.queueOf(ctx, status.ID)
		if err != nil {
			return transport.Response{}, err
		}
		if !s.auth.Allows(caller, rights.Submit, queue) && !s.auth.Allows(caller, rights.View, queue) {
			return transport.Response{}, s.auth.Deny(caller, verbSubmit, queue, status.ID, "the id is another queue's")
		}
		s.auth.NoteRead(caller, verbRepeat, queue, "")
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
	// The job ended before this controller knew of it.
	spec, err := s.auth.ReadSpec(ctx, id)
	if err != nil {
		return rights.Queue{}, err
	}
	return rights.Queue{Team: spec.Team, Class: spec.Class}, nil
}
