package reapi

import (
	"context"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// Many calls may wait for tasks of the same job at once. They share the job's status: the
// first call that finds it outdated requests it for all of them. They also share the lookups
// at peers: one call asks a peer about many executions whose results are awaited here.

// statusInterval is the minimum interval between status requests for an awaited job.
const statusInterval = 2 * time.Second

// jobStatus returns the last known status of an awaited job. The call that finds it outdated
// requests it with its own credential; if the request is refused, only that call fails.
func (f *FrontEnd) jobStatus(ctx context.Context, job string, credential *string, name string) (jobStatus protocol.JobStatus, known bool, err error) {
	f.executions.mu.Lock()
	interest := f.executions.interests[job]
	if interest == nil || interest.refreshing || time.Since(interest.refreshedAt) < statusInterval {
		if interest != nil {
			jobStatus, known = interest.status, interest.statusKnown
		}
		f.executions.mu.Unlock()
		return jobStatus, known, nil
	}
	interest.refreshing = true
	f.executions.mu.Unlock()
	err = f.withCredential(credential, name, func(credential string) (err error) {
		jobStatus, err = f.jobs.Status(ctx, credential, job)
		return err
	})
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	interest.refreshing, interest.refreshedAt = false, time.Now()
	if err != nil {
		return jobStatus, false, err
	}
	interest.status, interest.statusKnown = jobStatus, true
	f.updateJob(job, jobStatus)
	return jobStatus, true, nil
}

// operationSender is the stream of an Execute or WaitExecution call.
type operationSender interface {
	Send(*longrunningpb.Operation) error
}

// operationStream sends the stages of a task and finally its result to a client.
type operationStream struct {
	frontEnd *FrontEnd
	out      operationSender
	task     *task
	// credential and name identify the client.
	credential, name string
	stage            repb.ExecutionStage_Value
	lookup           *resultLookup
	ticker           *time.Ticker
	// done is the task's done channel, or nil once the stream has found it closed.
	done <-chan struct{}
	// askPeers is set while a peer may have the result.
	askPeers bool
}

// streamStep is the next step of a stream.
type streamStep int

const (
	stepWait       streamStep = iota // wait until the result or the job's status may have changed
	stepReadResult                   // read the result, which has been stored meanwhile
	stepEnd                          // end the call
)

// streamOperation streams the stages of a task to a client and ends with the result.
func (f *FrontEnd) streamOperation(ctx context.Context, out operationSender, t *task) error {
	s := &operationStream{frontEnd: f, out: out, task: t, credential: f.credential(ctx), done: t.done,
		askPeers: true, // one may have stored the result already
	}
	if slot := callSlotOf(ctx); slot != nil {
		s.name = knownName(slot.client)
	}
	f.addWaiter(t.job, s.credential, s.name)
	defer f.removeWaiter(t.job)
	s.lookup = f.startLookup(t)
	defer func() { f.endLookup(s.lookup) }()
	if err := s.sendStage(repb.ExecutionStage_QUEUED); err != nil {
		return err
	}
	s.ticker = time.NewTicker(lookupInterval)
	defer s.ticker.Stop()
	for {
		if result := s.readResult(ctx); result != nil {
			return s.sendResult(ctx, result)
		}
		step, err := s.checkJob(ctx)
		switch step {
		case stepEnd:
			return err
		case stepReadResult:
			continue
		}
		if err := s.wait(ctx); err != nil {
			return err
		}
	}
}

// sendStage sends the client the stage that the task has reached.
func (s *operationStream) sendStage(stage repb.ExecutionStage_Value) error {
	s.stage = stage
	return s.out.Send(operationAt(s.task.operation(), s.task.entry.Action(), stage, s.task.queued))
}

// sendCompleted sends the client the completed operation.
func (s *operationStream) sendCompleted(response *repb.ExecuteResponse) error {
	return s.out.Send(completedOperation(s.task.operation(), s.task.entry.Action(), response))
}

// resultKey returns the key under which the task's result is stored.
func (s *operationStream) resultKey() blobstore.Digest {
	return blobstore.Digest{Hash: s.task.entry.Execution}
}

// readResult returns the task's result, or nil if there is none yet.
func (s *operationStream) readResult(ctx context.Context) *repb.ActionResult {
	askPeers := s.askPeers
	s.askPeers = false
	result, err := s.frontEnd.localResult(s.task.space, s.resultKey())
	if err != nil && askPeers {
		return s.frontEnd.findResult(ctx, s.task.instance, s.task.space, s.resultKey())
	}
	return result
}

// sendResult completes the operation with a result.
func (s *operationStream) sendResult(ctx context.Context, result *repb.ActionResult) error {
	s.frontEnd.forgetTask(s.task)
	if err := s.frontEnd.checkComplete(ctx, s.task.instance, s.task.space, s.task.entry.Action().Function, result); err != nil {
		return retryLater(codes.Unavailable, time.Second, "the result's outputs are gone; execute it again")
	}
	return s.sendCompleted(&repb.ExecuteResponse{Result: result, Status: failureStatus(result)})
}

// checkJob sends the client the changes of the job's status and returns the next step.
func (s *operationStream) checkJob(ctx context.Context) (streamStep, error) {
	jobStatus, known, err := s.frontEnd.jobStatus(ctx, s.task.job, &s.credential, s.name)
	if denial := denialStatus(err); denial != nil {
		return stepEnd, denial
	}
	if !known {
		return stepWait, nil
	}
	switch jobStatus.Status {
	case protocol.StatusCancelled:
		s.frontEnd.forgetTask(s.task)
		return stepEnd, s.sendCompleted(&repb.ExecuteResponse{Status: status.New(codes.Aborted, "its job was withdrawn").Proto()})
	case protocol.StatusDone:
		// Results are stored before their tasks end, so some front end should have it.
		if s.frontEnd.findResult(ctx, s.task.instance, s.task.space, s.resultKey()) == nil {
			s.frontEnd.forgetTask(s.task)
			return stepEnd, retryLater(codes.Unavailable, time.Second, "its result was lost with a front end; execute it again")
		}
		return stepReadResult, nil
	case protocol.StatusRunning:
		if s.stage == repb.ExecutionStage_QUEUED {
			if err := s.sendStage(repb.ExecutionStage_EXECUTING); err != nil {
				return stepEnd, err
			}
		}
	}
	return stepWait, nil
}

// wait returns once the result or the job's status may have changed.
func (s *operationStream) wait(ctx context.Context) error {
	select {
	case <-s.done:
		s.done = nil
		return nil
	case <-s.lookup.found:
		s.frontEnd.endLookup(s.lookup)
		s.lookup, s.askPeers = s.frontEnd.startLookup(s.task), true
		// The peer may lose the result before it is read. Waiting for the ticker keeps that
		// from becoming a busy loop.
		select {
		case <-s.ticker.C:
			return nil
		case <-ctx.Done():
		}
	case <-s.ticker.C:
		return nil
	case <-ctx.Done():
	}
	return statusError(ctx.Err())
}

// forgetTask removes a task whose result was read or will not arrive.
func (f *FrontEnd) forgetTask(t *task) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if f.executions.running[t.key()] == t {
		delete(f.executions.running, t.key())
		f.countResult(t.job, time.Now())
	}
}
