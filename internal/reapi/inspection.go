package reapi

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

// inspector serves the Inspection service, through which operators and users see the
// state of the store and of executions.
type inspector struct {
	inspection.UnimplementedInspectionServer
	frontEnd *FrontEnd
}

// GetStore returns the store statistics of the teams that the caller may view. The totals
// are included only if the caller may view every team.
func (i inspector) GetStore(ctx context.Context, _ *inspection.StoreRequest) (*inspection.StoreReply, error) {
	f := i.frontEnd
	instances := map[string][]string{} // by team
	for _, name := range slices.Sorted(maps.Keys(f.config.Instances)) {
		team := f.config.Instances[name]
		instances[team] = append(instances[team], name)
	}
	stats := f.store.Stats()
	var actions map[string]float64
	if ledger := f.config.Shares.Waiting; ledger != nil {
		actions = ledger.Held()
	}
	calls, transfers := queueStats(f.config.Shares.Calls), queueStats(f.config.Shares.Transfers)
	reply, hidden := &inspection.StoreReply{}, false
	var refusal error
	for _, team := range slices.Sorted(maps.Keys(instances)) {
		_, err := f.access.Allows(ctx, f.credential(ctx), verbView, team)
		if status.Code(err) == codes.PermissionDenied {
			hidden, refusal = true, err
			continue
		}
		if err != nil {
			return nil, err
		}
		space := stats.Spaces[team]
		reply.Teams = append(reply.Teams, &inspection.Team{
			Name:           team,
			Instances:      instances[team],
			Blobs:          int64(space.Blobs),
			Bytes:          space.Bytes,
			Promised:       space.Retained,
			Pinned:         space.Pinned,
			Quota:          space.Quota,
			WaitingActions: int64(actions[team]),
			WaitingCalls:   int64(calls.ByTeam[team] + transfers.ByTeam[team]),
		})
	}
	if len(reply.Teams) == 0 {
		return nil, refusal
	}
	if !hidden {
		reply.Totals = f.totals(stats, calls, transfers)
	}
	return reply, nil
}

// totals returns the statistics of the whole front end.
func (f *FrontEnd) totals(stats blobstore.Stats, calls, transfers admission.Stats) *inspection.Totals {
	jobs, actions := f.Submitted()
	totals := &inspection.Totals{
		Blobs:            int64(stats.Blobs),
		Bytes:            stats.Bytes,
		MaxBytes:         stats.MaxBytes,
		Evicted:          stats.Evicted,
		Corrupt:          stats.Corrupt,
		Jobs:             jobs,
		Actions:          actions,
		Discarded:        f.DiscardedResults(),
		CallsInside:      int64(calls.Active),
		CallsRefused:     calls.Refused,
		TransfersInside:  int64(transfers.Active),
		TransfersRefused: transfers.Refused,
	}
	if f.peers != nil {
		totals.ShortCopies = f.peers.UnderReplicated.Load()
	}
	if repairer := f.repairer.Load(); repairer != nil {
		progress := repairer.Progress()
		totals.Repair = &inspection.Repair{
			Pass:     int64(progress.Pass),
			Done:     int64(progress.Done),
			Of:       int64(progress.Total),
			Read:     progress.Verified,
			Corrupt:  progress.Corrupt,
			Restored: progress.Restored,
			Copied:   progress.Copied,
			Short:    progress.UnderReplicated,
			Gone:     progress.Gone,
		}
	}
	return totals
}

// queueStats returns the statistics of a queue; q may be nil.
func queueStats(q *admission.Queue) admission.Stats {
	if q == nil {
		return admission.Stats{}
	}
	return q.Stats()
}

// The states of an action in the replies of GetAction.
const (
	stateUnknown   = "unknown"
	stateWaiting   = "waiting"
	stateQueued    = "queued"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "withdrawn"
)

// jobNeverAccepted is reported as the state of a job for which the controllers have no record.
const jobNeverAccepted = "never accepted"

// GetAction returns the state of an action. The request names an operation or an action
// digest; a digest refers to the latest task of the action.
func (i inspector) GetAction(ctx context.Context, req *inspection.ActionRequest) (*inspection.ActionReply, error) {
	f := i.frontEnd
	if f.jobs == nil {
		return nil, errNotExecuting
	}
	t, err := requestedTask(req)
	if err != nil {
		return nil, err
	}
	if t.space, err = f.authorize(ctx, t.instance, verbView); err != nil {
		return nil, err
	}
	reply := &inspection.ActionReply{State: stateUnknown, WaitsFor: "nothing is noted of it here or at a front end that answers"}
	if result := f.findResult(ctx, t.instance, t.space, t.entry.Action()); result != nil {
		reply.Cached = f.checkComplete(ctx, t.instance, t.space, t.entry.Action().Function, result) == nil
		if reply.Cached {
			replyDone(reply, result)
		}
	}
	if t.job == "" {
		if waiting := f.findJob(ctx, t); waiting {
			reply.State, reply.WaitsFor = stateWaiting, "others that gather into the same job, its client's turn while enough of the team waits in the cluster, or the controllers' acceptance"
			return reply, nil
		}
		if t.job == "" {
			return reply, nil
		}
	}
	reply.Operation, reply.Job, reply.Task = t.operation(), t.job, int64(t.index)
	if err := f.addJobState(ctx, reply); err != nil {
		return nil, err
	}
	if result := f.findResult(ctx, t.instance, t.space, blobstore.Digest{Hash: t.entry.Execution}); result != nil {
		replyDone(reply, result)
		return reply, nil
	}
	describeState(reply)
	return reply, nil
}

// requestedTask returns the task that a request names. The task's job is empty if the request
// names an action digest.
func requestedTask(req *inspection.ActionRequest) (*task, error) {
	if req.GetName() != "" {
		return parseOperation(req.GetName())
	}
	digest := blobstore.Digest{Hash: req.GetHash(), Size: req.GetSizeBytes()}
	if name, hash, _ := strings.Cut(digest.Hash, ":"); hash != "" {
		if function, known := blobstore.FunctionNamed(name); known {
			digest.Function, digest.Hash = function, hash
		}
	}
	if err := digest.Check(); err != nil {
		return nil, statusError(err)
	}
	return &task{instance: req.GetInstance(), entry: *entryOf(executionKey(digest, ""), digest)}, nil
}

// findJob sets the job of a task from the running executions or from its start record. The
// job stays empty if neither has one. findJob reports whether the task still waits for its
// job to be submitted.
func (f *FrontEnd) findJob(ctx context.Context, t *task) (waiting bool) {
	f.executions.mu.Lock()
	running := f.executions.running[t.key()]
	if running != nil {
		select {
		case <-running.assigned:
			t.job, t.index = running.job, running.index
		default:
			waiting = true
		}
	}
	f.executions.mu.Unlock()
	if waiting || t.job != "" {
		return waiting
	}
	if record := f.findStartRecord(ctx, t.instance, t.space, t.entry.Execution); record != nil {
		t.job, t.index = record.Job, record.Index
	}
	return false
}

// addJobState queries the controllers for the state of the job and adds it to the reply.
func (f *FrontEnd) addJobState(ctx context.Context, reply *inspection.ActionReply) error {
	jobStatus, err := f.jobs.Status(ctx, f.credential(ctx), reply.Job)
	var refusal *client.Refusal
	if errors.As(err, &refusal) && refusal.Status == http.StatusNotFound {
		reply.JobState = jobNeverAccepted
		return nil
	}
	if err != nil {
		return submitFailure(err)
	}
	reply.JobState, reply.JobDone, reply.JobRunning = jobStatus.Status, int64(jobStatus.Done), int64(jobStatus.Running)
	return nil
}

// replyDone sets the state of a reply to done and adds the result.
func replyDone(reply *inspection.ActionReply, result *repb.ActionResult) {
	reply.State, reply.WaitsFor, reply.Result = stateDone, "", resultView(result)
}

// describeState derives the state of an action that has no result yet, and what it waits
// for, from the state of its job.
func describeState(reply *inspection.ActionReply) {
	switch reply.JobState {
	case protocol.StatusRunning:
		reply.State, reply.WaitsFor = stateRunning, fmt.Sprintf("its task, or a machine for it: %d tasks of its job run, %d are done", reply.JobRunning, reply.JobDone)
	case protocol.StatusQueued:
		reply.State, reply.WaitsFor = stateQueued, "a machine with room, in the order of urgency, within the team's limit"
	case protocol.StatusCancelled:
		reply.State, reply.WaitsFor = stateCancelled, "nothing: its job was withdrawn; execute it again"
	case protocol.StatusDone:
		if !reply.Cached {
			reply.State, reply.WaitsFor = stateUnknown, "nothing: its result was lost with a front end; execute it again"
		}
	default:
		if !reply.Cached {
			reply.State, reply.WaitsFor = stateWaiting, "the controllers' acceptance of its job"
		}
	}
}

// resultView summarizes a result.
func resultView(result *repb.ActionResult) *inspection.Result {
	metadata := result.GetExecutionMetadata()
	view := &inspection.Result{
		ExitCode: result.GetExitCode(),
		Worker:   metadata.GetWorker(),
		FetchS:   secondsBetween(metadata.GetInputFetchStartTimestamp(), metadata.GetInputFetchCompletedTimestamp()),
		RunS:     secondsBetween(metadata.GetExecutionStartTimestamp(), metadata.GetExecutionCompletedTimestamp()),
		UploadS:  secondsBetween(metadata.GetOutputUploadStartTimestamp(), metadata.GetOutputUploadCompletedTimestamp()),
	}
	for _, file := range result.GetOutputFiles() {
		view.Outputs = append(view.Outputs, file.GetPath())
	}
	for _, directory := range result.GetOutputDirectories() {
		view.Outputs = append(view.Outputs, directory.GetPath()+"/")
	}
	for _, link := range result.GetOutputSymlinks() {
		view.Outputs = append(view.Outputs, link.GetPath())
	}
	if failed := failureStatus(result); failed != nil {
		view.Failure = strings.TrimSpace(codes.Code(failed.GetCode()).String() + " " + failed.GetMessage())
	}
	return view
}

// secondsBetween returns the time between two timestamps in seconds, rounded to
// milliseconds. It returns 0 if either is unset or if end is before start.
func secondsBetween(start, end *timestamppb.Timestamp) float64 {
	if start == nil || end == nil {
		return 0
	}
	return max(0, end.AsTime().Sub(start.AsTime()).Round(time.Millisecond).Seconds())
}
