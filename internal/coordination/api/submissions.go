package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// submit accepts a job once its record is committed.
func (srv *Server) submit(ctx context.Context, who *auth.Caller, req *transport.Request) transport.Response {
	var sub protocol.Submission
	err := protocol.Decode(req.Body, &sub)
	queue, refused := srv.authorizeSubmission(who, &sub)
	if refused != nil {
		return *refused
	}
	var spec *protocol.JobSpec
	if err == nil {
		spec, err = sub.Check()
	}
	id := ""
	if err == nil {
		id = spec.ID
	} else if id = protocol.SubmissionID(req.Body); id == "" {
		return respond.Refuse(400, respond.FirstLine(err), 0)
	}
	// A known id is looked up before anything else is said about the body, so
	// that a repeat of an accepted job never gets 400 or 422.
	judged := srv.checkSubmission(ctx, who, id, spec)
	if judged.known || err != nil || judged.refusal != "" || judged.readErr != nil {
		st, found, rerr := srv.jobStatus(ctx, id)
		switch {
		case rerr != nil:
			return respond.Unavailable(rerr)
		case found:
			return srv.answerRepeated(ctx, who, st)
		case err != nil:
			return respond.Refuse(400, respond.FirstLine(err), 0)
		case judged.refusal != "":
			return respond.Refuse(422, judged.refusal, 0)
		case judged.readErr != nil:
			return respond.Unavailable(judged.readErr)
		}
	}
	if !judged.typesKnown {
		return respond.Refuse(503, "machine types are not known yet", 2)
	}
	if srv.store.Down() {
		return respond.Refuse(503, "state service unavailable", 1)
	}
	return srv.commitSubmission(ctx, who, queue, id, judged.value)
}

// submissionCheck is what memory, and reads of what a submission depends on, say of it.
type submissionCheck struct {
	// known: the job was accepted before.
	known bool
	// typesKnown: so are the machine types, without which nothing is accepted.
	typesKnown bool
	// refusal is why the job can never run, "" if it can; unread why that can't be told.
	refusal string
	readErr error
	// value is the record that accepts the job.
	value []byte
}

// checkSubmission looks at a submission; spec is nil if its body is malformed.
func (srv *Server) checkSubmission(ctx context.Context, who *auth.Caller, id string, spec *protocol.JobSpec) (j submissionCheck) {
	srv.loop.Do(func() {
		j.known = srv.Jobs[id] != nil || srv.FinalStates[id] != ""
		j.typesKnown = len(srv.Catalog) > 0
		if spec != nil {
			j.refusal = srv.checkFeasible(spec)
		}
	})
	if spec == nil || j.refusal != "" || j.known {
		return j
	}
	spec.SubmittedMS = time.Now().UnixMilli()
	if who != nil {
		spec.By = who.Name
	}
	j.value = storage.Encode(spec)
	if size, limit := protocol.JSONSize(j.value), srv.store.ValueBytes(); size > limit {
		j.refusal = tooLarge(size, limit)
	} else if j.typesKnown {
		j.refusal, j.readErr = srv.checkDependencies(ctx, spec)
	}
	return j
}

// commitSubmission commits a job's record, and answers by what became of that.
func (srv *Server) commitSubmission(ctx context.Context, who *auth.Caller, queue rights.Queue, id string, value []byte) transport.Response {
	_, err := srv.auth.Commit(ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.JobKey(id), Version: 0}},
		Then: []protocol.Change{{Put: storage.JobKey(id), Value: value}},
	}, srv.auth.AuditRecord(who, "submit", queue, id))
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict), errors.Is(err, storage.ErrTooLarge):
		// The service may look at the size before it looks whether the job is
		// known: an accepted one must not be refused.
		st, found, rerr := srv.jobStatus(ctx, id)
		switch {
		case rerr == nil && found:
			return srv.answerRepeated(ctx, who, st)
		case rerr == nil && conflict == nil:
			return respond.Refuse(422, tooLarge(protocol.JSONSize(value), srv.store.ValueBytes()), 0)
		}
		return respond.Unavailable(rerr)
	case err != nil:
		return respond.Unavailable(err)
	}
	srv.loop.Do(func() { srv.jobs.ApplyJobRecord(id, value) })
	return statusResponse(201, protocol.JobStatus{ID: id, Status: protocol.StatusQueued})
}

// authorizeSubmission says whether a caller may submit what it does: to the queue it
// names, or if it names none, to any at all.
func (srv *Server) authorizeSubmission(who *auth.Caller, sub *protocol.Submission) (rights.Queue, *transport.Response) {
	var q rights.Queue
	if !srv.auth.Enabled() {
		return q, nil
	}
	id := ""
	if sub.ID != nil {
		id = *sub.ID
	}
	if sub.Team == nil || sub.Class == nil {
		if !srv.auth.HoldsAny(who, rights.Submit) {
			return q, srv.auth.Deny(who, "submit", q, id, 403, "holds this right on no queue")
		}
		return q, nil
	}
	q = rights.Queue{Team: *sub.Team, Class: *sub.Class}
	if !srv.auth.Allows(who, rights.Submit, q) {
		return q, srv.auth.Deny(who, "submit", q, id, 403, "may not submit to this queue")
	}
	return q, nil
}

// answerRepeated answers a submission of a known job with its state, to those who may
// submit to its queue or look at it. Ids are one for all queues, so the id of
// somebody else's job can't be told from one that is not free.
func (srv *Server) answerRepeated(ctx context.Context, who *auth.Caller, st protocol.JobStatus) transport.Response {
	if srv.auth.Enabled() {
		var q rights.Queue
		known := false
		srv.loop.Do(func() { q, known = srv.auth.JobQueue(st.ID) })
		if !known { // a job that ended before this controller heard of it
			spec, err := srv.auth.ReadSpec(ctx, nil, st.ID)
			if err != nil {
				return respond.Unavailable(err)
			}
			q = rights.Queue{Team: spec.Team, Class: spec.Class}
		}
		if !srv.auth.Allows(who, rights.Submit, q) && !srv.auth.Allows(who, rights.View, q) {
			return *srv.auth.Deny(who, "submit", q, st.ID, 403, "the id is another queue's")
		}
		srv.auth.NoteRead(who, "repeat", q, "")
	}
	return statusResponse(200, st)
}

func tooLarge(size, limit int) string {
	return fmt.Sprintf("job is too large to record: %d bytes of at most %d", size, limit)
}

// dependencyLookupTimeout bounds how long a submission's dependencies are looked up.
const dependencyLookupTimeout = 3 * time.Second

// checkDependencies says why a job can't depend on what it names, or nothing. Being
// accepted is for ever, so memory proves it; what memory lacks is read, since
// another controller may have accepted it a moment ago (20).
func (srv *Server) checkDependencies(ctx context.Context, s *protocol.JobSpec) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, dependencyLookupTimeout)
	defer cancel()
	for _, id := range s.Dependencies {
		if id == s.ID || !protocol.ValidID(id) {
			return "depends on a job that was never accepted", nil
		}
		known, service := false, false
		srv.loop.Do(func() {
			j := srv.Jobs[id]
			// Of a withdrawn job, the record tells whether it was a service.
			known = j != nil || srv.FinalStates[id] == protocol.StatusDone
			service = j != nil && j.Spec.Standing
		})
		if !known {
			if srv.store.Down() {
				return "", storage.ErrRefused
			}
			item, err := srv.store.UserGet(ctx, storage.JobKey(id))
			switch {
			case errors.Is(err, storage.ErrNotFound):
				return "depends on a job that was never accepted", nil
			case err != nil:
				return "", err
			}
			var spec protocol.JobSpec
			if err := storage.Decode(item.Value, &spec); err != nil {
				return "", err
			}
			service = spec.Standing
		}
		if service {
			return "depends on a service, which is never done", nil
		}
	}
	return "", nil
}

// checkFeasible says why a job can never run, or nothing.
func (srv *Server) checkFeasible(s *protocol.JobSpec) string {
	team, ok := srv.TeamIndex[s.Team]
	if !ok {
		return "unknown team"
	}
	t := srv.Settings.Params.Teams[team]
	n := 1.0
	if s.Standing || s.Gang {
		n = float64(s.Tasks)
	}
	if t.CPUsMax > 0 && n*s.CPUs > t.CPUsMax+binpack.Epsilon || t.GPUsMax > 0 && n*s.GPUs > t.GPUsMax+binpack.Epsilon {
		return "more than the team's limit"
	}
	if (s.Standing || s.Gang) && s.Tasks > 1 && s.Spread && (s.OneZone || s.Zone != "") {
		return "its tasks can't run together in one zone and be apart"
	}
	if len(srv.Catalog) == 0 {
		return ""
	}
	for i := range srv.Catalog {
		if binpack.FitsOffered(cluster.ConstraintsOf(s), cluster.ResourcesOf(s), &srv.Catalog[i]) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}
