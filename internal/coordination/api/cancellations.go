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
	// cancelAllLimit is how many jobs a request to cancel all of somebody's jobs cancels.
	cancelAllLimit = 200
	// cancelAllWorkers is how many of them are cancelled at a time.
	cancelAllWorkers = 8
	// cancelAllTimeout is how long it may take.
	cancelAllTimeout = 3 * time.Second
)

// cancelJob cancels a job, unless it has ended already.
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
		status.Status, err = s.cancelNow(ctx, req.job, s.auth.AuditRecord(req.caller, verbCancel, queue, req.job))
		if err != nil {
			return transport.Response{}, err
		}
	}
	return success(http.StatusOK, protocol.JobStatus{ID: req.job, Status: status.Status}), nil
}

// cancelNow cancels a job for somebody who waits for the answer, and returns the final state
// of the job, which is another one if it ended before.
func (s *Server) cancelNow(ctx context.Context, id string, record *audit.Record) (string, error) {
	var txn protocol.Transaction
	jobs.AddCancellation(&txn, id, time.Now())
	_, err := s.auth.Commit(ctx, &txn, record)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		s.loop.Do(func() { s.jobs.SetFinal(id, protocol.StatusCancelled, time.Now()) })
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
		return "", fmt.Errorf("%w: final record can't be read", storage.ErrUnknown)
	}
	return status, nil
}

// queuedJob is a job with its queue.
type queuedJob struct {
	id    string
	queue rights.Queue
}

// cancelAllOf cancels the unfinished jobs that somebody has submitted, as far as the
// caller administers their queues. It answers after a while with how many are left;
// the caller asks again.
func (s *Server) cancelAllOf(ctx context.Context, req request) (transport.Response, error) {
	var body protocol.CancelAll
	if err := protocol.Decode(req.Body, &body); err != nil || body.By == "" {
		return transport.Response{}, apierror.New(http.StatusBadRequest, "by: whose jobs are to be withdrawn")
	}
	unfinished := s.unfinishedJobsOf(body.By)
	allowed := slices.DeleteFunc(unfinished, func(job queuedJob) bool { return !s.mayCancelAll(req.caller, job) })
	// Of what is deleted, the elements are cleared and the length stays.
	result := protocol.CancelAllResult{NotAllowed: len(unfinished) - len(allowed)}
	slices.SortFunc(allowed, func(a, b queuedJob) int { return strings.Compare(a.id, b.id) })
	s.cancelJobs(ctx, req.caller, body.By, allowed, &result)
	return success(http.StatusOK, result), nil
}

// unfinishedJobsOf lists the unfinished jobs that somebody has submitted.
func (s *Server) unfinishedJobsOf(submitter string) (list []queuedJob) {
	s.loop.Do(func() {
		for id, job := range s.Jobs {
			if job.Spec.By == submitter && s.FinalStates[id] == "" {
				list = append(list, queuedJob{id, rights.Queue{Team: job.Spec.Team, Class: job.Spec.Class}})
			}
		}
	})
	return list
}

// mayCancelAll reports whether a caller may cancel a job as one of somebody's, and audits it
// if not.
func (s *Server) mayCancelAll(caller *auth.Caller, job queuedJob) bool {
	if caller.Service == "" && s.auth.Allows(caller, rights.Administer, job.queue) {
		return true
	}
	_ = s.auth.Deny(caller, verbCancelAll, job.queue, job.id, "does not administer this queue")
	return false
}

// cancelJobs cancels jobs in their order, several at a time, within the limits of a request,
// and counts them.
func (s *Server) cancelJobs(ctx context.Context, caller *auth.Caller, submitter string, list []queuedJob, result *protocol.CancelAllResult) {
	ctx, cancel := context.WithTimeout(ctx, cancelAllTimeout)
	defer cancel()
	var mu sync.Mutex // guards result
	var workers sync.WaitGroup
	work := make(chan queuedJob)
	for range cancelAllWorkers {
		workers.Go(func() {
			for job := range work {
				record := s.auth.AuditRecord(caller, verbCancelAll, job.queue, job.id)
				record.Detail = "submitted by " + auth.Clip(submitter)
				status, err := s.cancelNow(ctx, job.id, record)
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
