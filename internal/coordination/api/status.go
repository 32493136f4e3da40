package api

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// minStaleLimit is the least that StaleLimit is.
const minStaleLimit = 3 * time.Second

// poll answers with a job's state.
func (s *Server) poll(ctx context.Context, req request) (transport.Response, error) {
	queue, err := s.auth.AuthorizeJob(ctx, req.caller, rights.View, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	status, err := s.lookUpJob(ctx, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	s.auth.NoteRead(req.caller, verbView, queue, "")
	return success(http.StatusOK, status), nil
}

// lookUpJob returns the state of the job that a caller names, or the error that refuses the
// request.
func (s *Server) lookUpJob(ctx context.Context, id string) (protocol.JobStatus, error) {
	if !protocol.ValidID(id) {
		return protocol.JobStatus{}, errNoSuchJob
	}
	status, found, err := s.jobStatus(ctx, id)
	switch {
	case err != nil:
		return protocol.JobStatus{}, err
	case !found:
		return protocol.JobStatus{}, errNoSuchJob
	}
	return status, nil
}

// jobStatus returns a job's state and whether there is such a job. Final states come from
// memory; anything else is read from the state store, since another controller may have answered
// the user with more.
func (s *Server) jobStatus(ctx context.Context, id string) (status protocol.JobStatus, found bool, err error) {
	status.ID = id
	known := false
	s.loop.Do(func() { known = s.describe(&status) })
	switch {
	case status.Ended():
		return status, true, nil
	case s.store.Down():
		return status, false, storage.ErrRefused
	case known:
		return s.knownJobStatus(ctx, status)
	}
	return s.unknownJobStatus(ctx, status)
}

// knownJobStatus reads whether a job that memory has as unfinished has ended.
func (s *Server) knownJobStatus(ctx context.Context, status protocol.JobStatus) (protocol.JobStatus, bool, error) {
	finalKey := storage.FinalKey(status.ID)
	unfinished, err := s.store.UserKeyAbsent(ctx, finalKey)
	if err != nil {
		return status, false, err
	}
	if unfinished {
		return s.unfinishedJobStatus(ctx, status)
	}
	item, err := s.store.UserGet(ctx, finalKey)
	if err != nil {
		return status, false, err
	}
	s.loop.Do(func() {
		s.jobs.ApplyFinalRecord(status.ID, item.Value)
		s.describe(&status)
	})
	return status, true, nil
}

// unknownJobStatus reads the records of a job that memory does not have, and applies them.
func (s *Server) unknownJobStatus(ctx context.Context, status protocol.JobStatus) (protocol.JobStatus, bool, error) {
	list, err := s.store.UserList(ctx, storage.JobPrefix(status.ID))
	if err != nil || len(list.Items) == 0 {
		return status, false, err
	}
	known := false
	s.loop.Do(func() {
		s.applyJobRecords(status.ID, list.Items)
		known = s.describe(&status)
	})
	if known && !status.Ended() {
		return s.unfinishedJobStatus(ctx, status)
	}
	return status, known, nil
}

// applyJobRecords applies the records of a job, the final one first. It runs in the loop.
func (s *Server) applyJobRecords(id string, items []protocol.Item) {
	for _, item := range items {
		if item.Key == storage.FinalKey(id) {
			s.jobs.ApplyFinalRecord(id, item.Value)
		}
	}
	for _, item := range items {
		if item.Key == storage.JobKey(id) {
			s.jobs.ApplyJobRecord(id, item.Value)
		}
	}
}

// StaleLimit is how old what this controller knows may be for it to call a job
// with unfinished dependencies queued: the user of one of them may have been
// answered since that it is cancelled (rule 22).
func (s *Server) StaleLimit() time.Duration {
	return max(minStaleLimit, s.CancelBound-2*cluster.ClockMargin)
}

// unfinishedJobStatus returns the state of a job that has no final record. One that is to
// be cancelled, since something that it depends on was, is cancelled first: the
// answer must come from a record, not from what only this controller knows (rule 23).
func (s *Server) unfinishedJobStatus(ctx context.Context, status protocol.JobStatus) (protocol.JobStatus, bool, error) {
	doomed, stale := false, false
	s.loop.Do(func() {
		job := s.Jobs[status.ID]
		doomed = s.Dependencies.JobsToCancel[status.ID] != nil
		stale = job != nil && job.Blocked && (time.Since(s.RecordsCurrentAt) > s.StaleLimit() || s.Dependencies.HasUnseenDependency(status.ID))
	})
	switch {
	case doomed:
		final, err := s.cancelNow(ctx, status.ID, nil)
		return protocol.JobStatus{ID: status.ID, Status: final}, err == nil, err
	case stale:
		return status, false, fmt.Errorf("%w: changes not followed", storage.ErrRefused)
	}
	return status, true, nil
}

// describe fills in what memory has of a job, and reports whether it has the job. It runs in
// the loop.
func (s *Server) describe(status *protocol.JobStatus) bool {
	if final := s.FinalStates[status.ID]; final != "" {
		status.Status = final
		return true
	}
	job := s.Jobs[status.ID]
	if job == nil {
		return false
	}
	status.Done, status.Running = job.DoneCount, job.RunningCount
	if !job.HasRunState {
		s.describeFromPeers(status)
	}
	status.Status = protocol.StatusQueued
	if status.Running > 0 {
		status.Status = protocol.StatusRunning
	}
	return true
}

// describeFromPeers fills in what another controller's summary has of a job.
func (s *Server) describeFromPeers(status *protocol.JobStatus) {
	for _, peer := range s.Peers {
		if peer.Summary == nil {
			continue
		}
		for _, job := range peer.Summary.Jobs {
			if job.Id == status.ID {
				status.Done, status.Running = int(job.Done), int(job.Running)
			}
		}
	}
}
