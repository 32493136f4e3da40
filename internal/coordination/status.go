package coordination

// What users are told of a job's state.

import (
	"context"
	"fmt"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// jobStatus reads a job's state. Final states come from memory; anything else is
// read through, since another controller may have told the user more.
func (c *Controller) jobStatus(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	st := protocol.JobStatus{ID: id}
	known := false
	c.loop.Do(func() { known = c.describe(&st) })
	if st.Ended() {
		return st, true, nil
	}
	if c.store.Down() {
		return st, false, storage.ErrRefused
	}
	if known {
		absent, err := c.store.UserKeyAbsent(ctx, storage.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		if absent {
			return c.unfinished(ctx, st)
		}
		item, err := c.store.UserGet(ctx, storage.FinalKey(id))
		if err != nil {
			return st, false, err
		}
		c.loop.Do(func() {
			c.ApplyFinalRecord(id, item.Value)
			c.describe(&st)
		})
		return st, true, nil
	}
	list, err := c.store.UserList(ctx, storage.JobPrefix(id))
	if err != nil {
		return st, false, err
	}
	if len(list.Items) == 0 {
		return st, false, nil
	}
	c.loop.Do(func() {
		for _, it := range list.Items {
			if it.Key == storage.FinalKey(id) {
				c.ApplyFinalRecord(id, it.Value)
			}
		}
		for _, it := range list.Items {
			if it.Key == storage.JobKey(id) {
				c.ApplyJobRecord(id, it.Value)
			}
		}
		known = c.describe(&st)
	})
	if known && !st.Ended() {
		return c.unfinished(ctx, st)
	}
	return st, known, nil
}

// staleLimit is how old what this controller knows may be for it to call a job
// with unfinished dependencies queued: the user of one of them may have been
// told since that it is withdrawn (22).
func (c *Controller) staleLimit() time.Duration {
	return max(3*time.Second, c.CancelBound-2*ClockMargin)
}

// unfinished answers for a job that is not on record as ended. One that is to
// be withdrawn, since something that it needs was, is withdrawn first: the
// answer must come from a record, not from what only this controller knows (23).
func (c *Controller) unfinished(ctx context.Context, st protocol.JobStatus) (protocol.JobStatus, bool, error) {
	doomed, stale := false, false
	c.loop.Do(func() {
		j := c.Jobs[st.ID]
		doomed = c.Dependencies.DoomedJobs[st.ID] != nil
		stale = j != nil && j.Blocked && (time.Since(c.RecordsAsOf) > c.staleLimit() || c.Dependencies.HasUnseenDependency(st.ID))
	})
	switch {
	case doomed:
		status, err := c.cancelNow(ctx, st.ID, nil)
		return protocol.JobStatus{ID: st.ID, Status: status}, err == nil, err
	case stale:
		return st, false, fmt.Errorf("%w: changes not followed", storage.ErrRefused)
	}
	return st, true, nil
}

// describe fills in what memory knows of a job.
func (c *Controller) describe(st *protocol.JobStatus) bool {
	if f := c.FinalStates[st.ID]; f != "" {
		st.Status = f
		return true
	}
	j := c.Jobs[st.ID]
	if j == nil {
		return false
	}
	st.Done, st.Running = j.DoneCount, j.RunningCount
	if !j.Loaded {
		for _, ps := range c.Peers {
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

func (c *Controller) poll(ctx context.Context, who *Caller, id string) transport.Response {
	q, refused := c.AuthorizeJob(ctx, who, rights.View, id)
	if refused != nil {
		return *refused
	}
	st, refusal := c.lookUpJob(ctx, id)
	if refusal != nil {
		return *refusal
	}
	c.NoteRead(who, "view", q, "")
	return statusResponse(200, st)
}

// lookUpJob reads the state of the job that a user names, or says why it can't.
func (c *Controller) lookUpJob(ctx context.Context, id string) (protocol.JobStatus, *transport.Response) {
	var refusal transport.Response
	if !protocol.ValidID(id) {
		refusal = Refuse(404, "no such job", 0)
		return protocol.JobStatus{}, &refusal
	}
	st, found, err := c.jobStatus(ctx, id)
	switch {
	case err != nil:
		refusal = unavailableResponse(err)
	case !found:
		refusal = Refuse(404, "no such job", 0)
	default:
		return st, nil
	}
	return st, &refusal
}
