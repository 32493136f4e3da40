package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/jobs"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const (
	// cancelAllLimit is the maximum number of jobs that a cancel-all request cancels.
	cancelAllLimit = 200
	// cancelAllWorkers is the number of goroutines that cancel the jobs of a request.
	cancelAllWorkers = 8
	// cancelAllTimeout is the time limit of a cancel-all request.
	cancelAllTimeout = 3 * time.Second
)

// cancelJob cancels a job, unless it has already ended.
func (s *Server) cancelJob(ctx context.Context, req request) (transport.Response, error) {
	queue, err := s.auth.AuthorizeJob(ctx, req.caller, rights.Cancel, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	status, err := s.lookUpJob(ctx, req.job)
	if err != nil {
		return transport.Response{}, err
	}
	if !status.Ended() {
		status.Status, err = s.commitCancellation(ctx, req.job, s.auth.AuditRecord(req.caller, verbCancel, queue, req.job))
		if err != nil {
			return transport.Response{}, err
		}
	}
	return success(http.StatusOK, protocol.JobStatus{ID: req.job, Status: status.Status}), nil
}

// commitCancellation commits the cancellation of a job and returns the job's final state. If the
// job had already ended, that is the state in its final record.
func (s *Server) commitCancellation(ctx context.Context, id string, record *audit.Record) (string, error) {
	var txn protocol.Transaction
	jobs.AddCancellation(&txn, id, time.Now())
	_, err := s.auth.Commit(ctx, &txn, record)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		s.loop.Do(func() { s.jobs.SetFinalState(id, protocol.StatusCancelled, time.Now()) })
		return protocol.StatusCancelled, nil
	case !errors.As(err, &conflict):
		return "", err
	}
	item, err := s.store.UserGet(ctx, storage.FinalKey(id))
	if err != nil {
		return "", err
	}
	status := ""
	s.loop.Do(func() {
		s.jobs.ApplyFinalRecord(id, item.Value)
		status = s.FinalStates[id]
	})
	if status == "" {
		return "", fmt.Errorf("%w: the job's final record can't be decoded", storage.ErrUnknown)
	}
	return status, nil
}

// jobInQueue is a job's id and queue.
type jobInQueue struct {
	id    string
	queue rights.Queue
}

// cancelAll cancels the unfinished jobs of one submitter in the queues that the caller administers.
// A request cancels a limited number of jobs in a limited time. The response contains the number of
// remaining jobs; the caller repeats the request until there are none. Jobs accepted before the request are
// included, wherever they were accepted.
func (s *Server) cancelAll(ctx context.Context, req request) (transport.Response, error) {
	var body protocol.CancelAll
	if err := protocol.Decode(req.Body, &body); err != nil || body.SubmittedBy == "" {
		return transport.Response{}, apierror.New(http.StatusBadRequest, "by: whose jobs are to be withdrawn")
	}
	if err := s.catchUpJobs(ctx); err != nil {
		return transport.Response{}, err
	}
	unfinished := s.unfinishedJobsOf(body.SubmittedBy)
	allowed := slices.DeleteFunc(unfinished, func(job jobInQueue) bool { return !s.mayAdministerJob(req.caller, job) })
	// DeleteFunc zeroes the deleted elements, but the length of unfinished stays the same.
	result := protocol.CancelAllResult{NotAllowed: len(unfinished) - len(allowed)}
	slices.SortFunc(allowed, func(a, b jobInQueue) int { return strings.Compare(a.id, b.id) })
	s.cancelJobs(ctx, req.caller, body.SubmittedBy, allowed, &result)
	return success(http.StatusOK, result), nil
}

// unfinishedJobsOf returns the unfinished jobs of a submitter.
func (s *Server) unfinishedJobsOf(submitter string) (list []jobInQueue) {
	s.loop.Do(func() {
		for id, job := range s.Jobs {
			if job.Spec.SubmittedBy == submitter && s.FinalStates[id] == "" {
				list = append(list, jobInQueue{id, rights.Queue{Team: job.Spec.Team, Class: job.Spec.Class}})
			}
		}
	})
	return list
}

// mayAdministerJob reports whether a caller administers a job's queue and doesn't act through a
// service. A denial is recorded in the audit log.
func (s *Server) mayAdministerJob(caller *auth.Caller, job jobInQueue) bool {
	if caller.Service == "" && s.auth.Allows(caller, rights.Administer, job.queue) {
		return true
	}
	_ = s.auth.Deny(caller, verbCancelAll, job.queue, job.id, "does not administer this queue")
	return false
}

// cancelJobs cancels jobs concurrently, in the order of the list and within the limits of a
// cancel-all request, and counts them in result.
func (s *Server) cancelJobs(ctx context.Context, caller *auth.Caller, submitter string, list []jobInQueue, result *protocol.CancelAllResult) {
	ctx, cancel := context.WithTimeout(ctx, cancelAllTimeout)
	defer cancel()
	var mu sync.Mutex // guards result
	var workers sync.WaitGroup
	work := make(chan jobInQueue)
	for range cancelAllWorkers {
		workers.Go(func() {
			for job := range work {
				record := s.auth.AuditRecord(caller, verbCancelAll, job.queue, job.id)
				record.Detail = "submitted by " + auth.TruncateForAudit(submitter)
				status, err := s.commitCancellation(ctx, job.id, record)
				mu.Lock()
				switch {
				case err != nil:
					result.Remaining++
				case status == protocol.StatusCancelled:
					result.Cancelled++
				}
				mu.Unlock()
			}
		})
	}
	started := 0
	for started < min(len(list), cancelAllLimit) && ctx.Err() == nil {
		work <- list[started]
		started++
	}
	close(work)
	workers.Wait()
	result.Remaining += len(list) - started
}
