package api

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// reassign moves a job that has not started to another queue. A job's record is
// never rewritten, and a controller of the former version must not run it where
// it was: so in one transaction the job is withdrawn and its successor, under a
// new id, is accepted. That none of its tasks was started is a condition on its
// run records: every start is written there first.
func (srv *Server) reassign(ctx context.Context, who *auth.Caller, id string, req *transport.Request) transport.Response {
	from, refusal := srv.auth.AuthorizeJob(ctx, who, rights.Reassign, id)
	if refusal != nil {
		return *refusal
	}
	var body protocol.Reassignment
	if err := protocol.Decode(req.Body, &body); err != nil {
		return respond.Refuse(400, respond.FirstLine(err), 0)
	}
	if !protocol.ValidID(body.As) || body.As == id {
		return respond.Refuse(400, "as: the successor needs an id of its own", 0)
	}
	if body.Team == "" {
		return respond.Refuse(400, "owner: the new team is missing", 0)
	}
	if body.Class == "" {
		body.Class = from.Class
	}
	to := rights.Queue{Team: body.Team, Class: body.Class}
	if !srv.auth.Allows(who, rights.Reassign, to) {
		return *srv.auth.Deny(who, rights.Reassign.String(), to, id, 403, "may not move jobs to this queue")
	}
	spec, err := srv.auth.ReadSpec(ctx, nil, id)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return respond.Refuse(404, "no such job", 0)
	case err != nil:
		return respond.Unavailable(err)
	}
	part, reason := 0, ""
	next := *spec
	next.ID, next.Team, next.Class, next.Replaces = body.As, body.Team, body.Class, id
	srv.loop.Do(func() {
		team, ok := srv.TeamIndex[spec.Team]
		if !ok {
			reason = "its team is not in the settings any more"
			return
		}
		part = srv.TeamPartition[team]
		reason = srv.checkFeasible(&next)
		if reason == "" && srv.Dependencies.HasDependents(id) {
			reason = "other jobs wait for this one; withdraw and submit the pipeline again"
		}
	})
	chunks := (spec.Tasks + storage.ChunkTasks - 1) / storage.ChunkTasks
	// The audit's batch takes one condition.
	if most := 4*srv.store.TxnOps() - 3; reason == "" && chunks > most {
		reason = fmt.Sprintf("has more than %d tasks; withdraw it and submit it again", most*storage.ChunkTasks)
	}
	if reason != "" {
		return respond.Refuse(422, reason, 0)
	}
	final := storage.Final{Status: protocol.StatusCancelled, AtMS: time.Now().UnixMilli(), Successor: body.As}
	value := storage.Encode(&next)
	txn := &protocol.Transaction{
		If: []protocol.Condition{{Key: storage.FinalKey(id)}, {Key: storage.JobKey(body.As)}},
		Then: []protocol.Change{{Put: storage.FinalKey(id), Value: storage.Encode(final)},
			{Put: storage.JobKey(body.As), Value: value}}}
	for k := range chunks {
		txn.If = append(txn.If, protocol.Condition{Key: storage.RunKey(part, id, k)})
	}
	r := srv.auth.AuditRecord(who, rights.Reassign.String(), from, id)
	r.Detail = fmt.Sprintf("to team %s, class %s as %s", auth.Clip(to.Team), auth.Clip(to.Class), body.As)
	_, err = srv.auth.Commit(ctx, txn, r)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return srv.notReassigned(ctx, id, body.As)
	case errors.Is(err, storage.ErrTooLarge):
		return respond.Refuse(422, "too large for the state service; withdraw it and submit it again", 0)
	case err != nil:
		return respond.Unavailable(err)
	}
	srv.loop.Do(func() {
		srv.jobs.SetFinal(id, protocol.StatusCancelled, time.Now())
		srv.jobs.ApplyJobRecord(body.As, value)
	})
	return statusResponse(200, protocol.JobStatus{ID: body.As, Status: protocol.StatusQueued})
}

// notReassigned says why a job could not be moved, or that it was already.
func (srv *Server) notReassigned(ctx context.Context, id, as string) transport.Response {
	item, err := srv.store.UserGet(ctx, storage.FinalKey(id))
	var final storage.Final
	switch {
	case errors.Is(err, storage.ErrNotFound):
		if _, err := srv.store.UserGet(ctx, storage.JobKey(as)); err == nil {
			return respond.Refuse(409, "the id for the successor is taken", 0)
		}
		return respond.Refuse(409, "the job has started", 0)
	case err != nil:
		return respond.Unavailable(err)
	case storage.Decode(item.Value, &final) != nil:
		return respond.Unavailable(storage.ErrUnknown)
	case final.Successor == as:
		st, found, err := srv.jobStatus(ctx, as)
		if err != nil || !found {
			return respond.Unavailable(errors.Join(storage.ErrUnknown, err))
		}
		return statusResponse(200, st)
	}
	return respond.Refuse(409, "the job is "+final.Status+" already", 0)
}

// Of a sweep: how many jobs at a time, and for how long.
const cancelAllLimit = 200

const cancelAllWorkers = 8

const cancelAllTimeout = 3 * time.Second

// cancelAllOf withdraws the unfinished jobs that somebody has submitted, as far as the
// caller administers their queues. It answers after a while with what is left;
// the caller asks again.
func (srv *Server) cancelAllOf(ctx context.Context, who *auth.Caller, req *transport.Request) transport.Response {
	var body protocol.CancelAll
	if err := protocol.Decode(req.Body, &body); err != nil || body.By == "" {
		return respond.Refuse(400, "by: whose jobs are to be withdrawn", 0)
	}
	type found struct {
		id    string
		queue rights.Queue
	}
	var jobs []found
	srv.loop.Do(func() {
		for id, j := range srv.Jobs {
			if j.Spec.By == body.By && srv.FinalStates[id] == "" {
				jobs = append(jobs, found{id, rights.Queue{Team: j.Spec.Team, Class: j.Spec.Class}})
			}
		}
	})
	answer := protocol.CancelAllResult{}
	jobs = slices.DeleteFunc(jobs, func(f found) bool {
		if who.Service == "" && srv.auth.Allows(who, rights.Administer, f.queue) {
			return false
		}
		answer.NotAllowed++
		srv.auth.Deny(who, "withdraw-all", f.queue, f.id, 403, "does not administer this queue")
		return true
	})
	slices.SortFunc(jobs, func(a, b found) int { return strings.Compare(a.id, b.id) })
	ctx, cancel := context.WithTimeout(ctx, cancelAllTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	work := make(chan found)
	for range cancelAllWorkers {
		wg.Go(func() {
			for f := range work {
				r := srv.auth.AuditRecord(who, "withdraw-all", f.queue, f.id)
				r.Detail = "submitted by " + auth.Clip(body.By)
				status, err := srv.cancelNow(ctx, f.id, r)
				mu.Lock()
				switch {
				case err != nil:
					answer.Remaining++
				case status == protocol.StatusCancelled:
					answer.Cancelled++
				}
				mu.Unlock()
			}
		})
	}
	for i, f := range jobs {
		if i >= cancelAllLimit || ctx.Err() != nil {
			mu.Lock()
			answer.Remaining += len(jobs) - i
			mu.Unlock()
			break
		}
		work <- f
	}
	close(work)
	wg.Wait()
	return transport.Response{Status: 200, Body: protocol.Encode(answer)}
}

// arguments tells what a job was submitted with.
func (srv *Server) arguments(ctx context.Context, who *auth.Caller, id string) transport.Response {
	q, refusal := srv.auth.AuthorizeJob(ctx, who, rights.ViewArguments, id)
	if refusal != nil {
		return *refusal
	}
	spec, err := srv.auth.ReadSpec(ctx, nil, id)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return respond.Refuse(404, "no such job", 0)
	case err != nil:
		return respond.Unavailable(err)
	}
	// Looking at arguments is rare and matters: it is recorded by itself.
	if _, err := srv.auth.Commit(ctx, &protocol.Transaction{}, srv.auth.AuditRecord(who, rights.ViewArguments.String(), q, id)); err != nil {
		return respond.Unavailable(err)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(spec.Arguments())}
}
