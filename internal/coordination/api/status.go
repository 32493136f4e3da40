package api

import (
	"context"
	"fmt"
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// jobStatus reads a job's state. Final states come from memory; anything else is
// read through, since another controller may have told the user more.
func (srv *Server) jobStatus(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	st := protocol.JobStatus{ID: id}
	known := false
	srv.loop.Do(func() { known = srv.describe(&st) })
	if st.Ended() {
		return st, true, nil
	}
	if srv.store.Down() {
		return st, false, storage.ErrRefused
	}
	if known {
		absent, err := srv.store.UserKeyAbsent(ctx, storage.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		if absent {
			return srv.unfinished(ctx, st)
		}
		item, err := srv.store.UserGet(ctx, storage.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		srv.loop.Do(func() {
			srv.jobs.ApplyFinalRecord(id, item.Value)
			srv.describe(&st)
		})
		return st, true, nil
	}
	list, err := srv.store.UserList(ctx, storage.JobPrefix(id))
	if err != nil {
		return st, false, err
	}
	if len(list.Items) == 0 {
		return st, false, nil
	}
	srv.loop.Do(func() {
		for _, it := range list.Items {
			if it.Key == storage.FinalKey(id) {
				srv.jobs.ApplyFinalRecord(id, it.Value)
			}
		}
		for _, it := range list.Items {
			if it.Key == storage.JobKey(id) {
				srv.jobs.ApplyJobRecord(id, it.Value)
			}
		}
		known = srv.describe(&st)
	})
	if known && !st.Ended() {
		return srv.unfinished(ctx, st)
	}
	return st, known, nil
}

// StaleLimit is how old what this controller knows may be for it to call a job
// with unfinished dependencies queued: the user of one of them may have been
// told since that it is withdrawn (22).
func (srv *Server) StaleLimit() time.Duration {
	return max(3*time.Second, srv.CancelBound-2*cluster.ClockMargin)
}

// unfinished answers for a job that is not on record as ended. One that is to
// be withdrawn, since something that it needs was, is withdrawn first: the
// answer must come from a record, not from what only this controller knows (23).
func (srv *Server) unfinished(ctx context.Context, st protocol.JobStatus) (protocol.JobStatus, bool, error) {
	doomed, stale := false, false
	srv.loop.Do(func() {
		j := srv.Jobs[st.ID]
		doomed = srv.Dependencies.DoomedJobs[st.ID] != nil
		stale = j != nil && j.Blocked && (time.Since(srv.RecordsCurrentAt) > srv.StaleLimit() || srv.Dependencies.HasUnseenDependency(st.ID))
	})
	switch {
	case doomed:
		status, err := srv.cancelNow(ctx, st.ID, nil)
		return protocol.JobStatus{ID: st.ID, Status: status}, err == nil, err
	case stale:
		return st, false, fmt.Errorf("%w: changes not followed", storage.ErrRefused)
	}
	return st, true, nil
}

// describe fills in what memory knows of a job.
func (srv *Server) describe(st *protocol.JobStatus) bool {
	if f := srv.FinalStates[st.ID]; f != "" {
		st.Status = f
		return true
	}
	j := srv.Jobs[st.ID]
	if j == nil {
		return false
	}
	st.Done, st.Running = j.DoneCount, j.RunningCount
	if !j.Loaded {
		for _, ps := range srv.Peers {
			if ps.Summary == nil {
				continue
			}
			for _, jp := range ps.Summary.Jobs {
				if jp.Id == st.ID {
					st.Done, st.Running = int(jp.Done), int(jp.Running)
				}
			}
		}
	}
	st.Status = protocol.StatusQueued
	if st.Running > 0 {
		st.Status = protocol.StatusRunning
	}
	return true
}

func (srv *Server) poll(ctx context.Context, who *auth.Caller, id string) transport.Response {
	q, refused := srv.auth.AuthorizeJob(ctx, who, rights.View, id)
	if refused != nil {
		return *refused
	}
	st, refusal := srv.lookUpJob(ctx, id)
	if refusal != nil {
		return *refusal
	}
	srv.auth.NoteRead(who, "view", q, "")
	return statusResponse(200, st)
}

// lookUpJob reads the state of the job that a user names, or says why it can't.
func (srv *Server) lookUpJob(ctx context.Context, id string) (protocol.JobStatus, *transport.Response) {
	var refusal transport.Response
	if !protocol.ValidID(id) {
		refusal = respond.Refuse(404, "no such job", 0)
		return protocol.JobStatus{}, &refusal
	}
	st, found, err := srv.jobStatus(ctx, id)
	switch {
	case err != nil:
		refusal = respond.Unavailable(err)
	case !found:
		refusal = respond.Refuse(404, "no such job", 0)
	default:
		return st, nil
	}
	return st, &refusal
}
