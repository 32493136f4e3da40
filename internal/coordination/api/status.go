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

// minStaleLimit is the smallest value of StaleLimit.
const minStaleLimit = 3 * time.Second

// poll returns a job's state.
func (s *Server) poll(ctx context.Context, req request) (transport.Response, error) {
	queue, err := s.auth.AuthorizeJob(ctx, req.caller, rights.View, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	status, err := s.lookUpJob(ctx, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	s.auth.AuditRead(req.caller, verbView, queue, "")
	return success(http.StatusOK, status), nil
}

// lookUpJob returns the state of a job. The error is errNoSuchJob if there is no such job.
func (s *Server) lookUpJob(ctx context.Context, id string) (protocol.JobStatus, error) {
	if !protocol.ValidJobID(id) {
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

// jobStatus returns a job's state and whether there is such a job. Final states are taken from
// memory. Otherwise the state store is read, since another controller may have already reported
// a newer state to the user.
func (s *Server) jobStatus(ctx context.Context, id string) (status protocol.JobStatus, found bool, err error) {
	status.ID = id
	known := false
	s.loop.Do(func() { known = s.fillStatus(&status) })
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

// knownJobStatus returns the state of a job that is unfinished in memory. It first checks in the
// state store whether the job has ended.
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
		s.fillStatus(&status)
	})
	return status, true, nil
}

// unknownJobStatus returns the state of a job that is not in memory. It reads and applies the job's
// records.
func (s *Server) unknownJobStatus(ctx context.Context, status protocol.JobStatus) (protocol.JobStatus, bool, error) {
	list, err := s.store.UserList(ctx, storage.JobPrefix(status.ID))
	if err != nil || len(list.Items) == 0 {
		return status, false, err
	}
	known := false
	s.loop.Do(func() {
		s.applyJobRecords(status.ID, list.Items)
		known = s.fillStatus(&status)
	})
	if known && !status.Ended() {
		return s.unfinishedJobStatus(ctx, status)
	}
	return status, known, nil
}

// applyJobRecords applies the records of a job, the final one first. It must be called in the
// event loop.
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

// StaleLimit returns the maximum age of this controller's records for reporting a job with
// unfinished dependencies as queued. Another controller may have reported a cancelled dependency
// since the records were read (rule 22).
func (s *Server) StaleLimit() time.Duration {
	return max(minStaleLimit, s.CancelBound-2*cluster.ClockMargin)
}

// unfinishedJobStatus returns the state of a job without a final record. If the job must be
// cancelled because of a cancelled dependency, that is committed first: a job is reported as
// cancelled only after its final record was written (rule 23).
func (s *Server) unfinishedJobStatus(ctx context.Context, status protocol.JobStatus) (protocol.JobStatus, bool, error) {
	mustCancel, stale := false, false
	s.loop.Do(func() {
		job := s.Jobs[status.ID]
		mustCancel = s.Dependencies.JobsToCancel[status.ID] != nil
		stale = job != nil && job.Blocked && (time.Since(s.RecordsCurrentAt) > s.StaleLimit() || s.Dependencies.HasUnseenDependency(status.ID))
	})
	switch {
	case mustCancel:
		final, err := s.commitCancellation(ctx, status.ID, nil)
		return protocol.JobStatus{ID: status.ID, Status: final}, err == nil, err
	case stale:
		return status, false, fmt.Errorf("%w: cached records are too old or incomplete", storage.ErrRefused)
	}
	return status, true, nil
}

// fillStatus fills in a job's state from memory and reports whether the job is known. It must be
// called in the event loop.
func (s *Server) fillStatus(status *protocol.JobStatus) bool {
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
		s.fillStatusFromPeers(status)
	}
	status.Status = protocol.StatusQueued
	if status.Running > 0 {
		status.Status = protocol.StatusRunning
	}
	return true
}

// fillStatusFromPeers fills in a job's task counts from the summary of the controller that reports
// the job's progress.
func (s *Server) fillStatusFromPeers(status *protocol.JobStatus) {
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
