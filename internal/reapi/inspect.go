package reapi

import (
	"context"
	"errors"
	"fmt"
	"maps"
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

// verbLook is what it takes to see how a team's builds stand.
const verbLook = "view"

// inspector serves what operators and users may see.
type inspector struct {
	inspection.UnimplementedInspectionServer
	g *FrontEnd
}

// GetStore says what the gate holds, of the teams that the caller may view.
func (i inspector) GetStore(ctx context.Context, _ *inspection.StoreRequest) (*inspection.StoreReply, error) {
	g := i.g
	instances := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(g.config.Instances)) {
		team := g.config.Instances[name]
		instances[team] = append(instances[team], name)
	}
	stats := g.store.Stats()
	var actions map[string]float64
	if w := g.config.Shares.Waiting; w != nil {
		actions = w.Held()
	}
	calls, transfers := queueStats(g.config.Shares.Calls), queueStats(g.config.Shares.Transfers)
	reply, hidden := &inspection.StoreReply{}, false
	var refusal error
	for _, team := range slices.Sorted(maps.Keys(instances)) {
		_, err := g.access.Allows(ctx, g.credential(ctx), verbLook, team)
		if status.Code(err) == codes.PermissionDenied {
			hidden, refusal = true, err
			continue
		}
		if err != nil {
			return nil, err
		}
		sp := stats.Spaces[team]
		reply.Teams = append(reply.Teams, &inspection.Team{Name: team, Instances: instances[team], Blobs: int64(sp.Blobs), Bytes: sp.Bytes, Promised: sp.Promised,
			Pinned: sp.Pinned, Quota: sp.Quota, WaitingActions: int64(actions[team]), WaitingCalls: int64(calls.ByTeam[team] + transfers.ByTeam[team])})
	}
	if len(reply.Teams) == 0 {
		return nil, refusal
	}
	if hidden {
		return reply, nil
	}
	jobs, all := g.Gathered()
	reply.Totals = &inspection.Totals{Blobs: int64(stats.Blobs), Bytes: stats.Bytes, MaxBytes: stats.MaxBytes, Evicted: stats.Evicted, Corrupt: stats.Corrupt,
		Jobs: jobs, Actions: all, Discarded: g.Discarded(), CallsInside: int64(calls.Inside), CallsRefused: calls.Refused,
		TransfersInside: int64(transfers.Inside), TransfersRefused: transfers.Refused}
	if g.peers != nil {
		reply.Totals.ShortCopies = g.peers.Short.Load()
	}
	if r := g.repairer.Load(); r != nil {
		p := r.Progress()
		reply.Totals.Repair = &inspection.Repair{Pass: int64(p.Pass), Done: int64(p.Done), Of: int64(p.Of), Read: p.Read, Corrupt: p.Corrupt,
			Restored: p.Restored, Copied: p.Copied, Short: p.Short, Gone: p.Gone}
	}
	return reply, nil
}

func queueStats(q *admission.Queue) admission.Stats {
	if q == nil {
		return admission.Stats{}
	}
	return q.Stats()
}

// GetAction says how an action stands: by an operation's name, or by the action's
// digest, which finds the task that it became last.
func (i inspector) GetAction(ctx context.Context, req *inspection.ActionRequest) (*inspection.ActionReply, error) {
	g := i.g
	if g.jobs == nil {
		return nil, status.Error(codes.Unimplemented, "this gate runs nothing")
	}
	var t *task
	var err error
	if req.GetName() != "" {
		if t, err = parseOperation(req.GetName()); err != nil {
			return nil, err
		}
	} else {
		d := blobstore.Digest{Hash: req.GetHash(), Size: req.GetSizeBytes()}
		if name, hash, _ := strings.Cut(d.Hash, ":"); hash != "" {
			if function, known := blobstore.Named(name); known {
				d.Function, d.Hash = function, hash
			}
		}
		if err := d.Check(); err != nil {
			return nil, failure(err)
		}
		t = &task{instance: req.GetInstance(), entry: *entryOf(executionKey(d, ""), d)}
	}
	if t.space, err = g.space(ctx, t.instance, verbLook); err != nil {
		return nil, err
	}
	reply := &inspection.ActionReply{State: "unknown", WaitsFor: "nothing is noted of it here or at a gate that answers"}
	if result := g.anywhere(ctx, t.instance, t.space, t.entry.Action()); result != nil {
		reply.Cached = g.whole(ctx, t.instance, t.space, t.entry.Action().Function, result) == nil
		if reply.Cached {
			reply.State, reply.WaitsFor, reply.Result = "done", "", resultView(result)
		}
	}
	if t.job == "" {
		g.gather.mu.Lock()
		here := g.gather.running[t.space+"/"+t.entry.Execution]
		placed := here != nil
		if here != nil {
			select {
			case <-here.placed:
				t.job, t.index = here.job, here.index
			default:
				placed = false
			}
		}
		g.gather.mu.Unlock()
		if here != nil && !placed {
			reply.State, reply.WaitsFor = "waiting", "others that gather into the same job, its client's turn while enough of the team waits in the cluster, or the controllers' acceptance"
			return reply, nil
		}
		if t.job == "" {
			s := g.startedBefore(ctx, t.instance, t.space, t.entry.Execution)
			if s == nil {
				return reply, nil
			}
			t.job, t.index = s.Job, s.Index
		}
	}
	reply.Operation, reply.Job, reply.Task = t.operation(), t.job, int64(t.index)
	st, err := g.jobs.Status(ctx, g.credential(ctx), t.job)
	var r *client.Refusal
	switch {
	case errors.As(err, &r) && r.Status == 404:
		reply.JobState = "never accepted"
	case err != nil:
		return nil, submitFailure(err)
	default:
		reply.JobState, reply.JobDone, reply.JobRunning = st.Status, int64(st.Done), int64(st.Running)
	}
	if result := g.anywhere(ctx, t.instance, t.space, blobstore.Digest{Hash: t.entry.Execution}); result != nil {
		reply.State, reply.WaitsFor, reply.Result = "done", "", resultView(result)
		return reply, nil
	}
	switch reply.JobState {
	case protocol.StatusRunning:
		reply.State, reply.WaitsFor = "running", fmt.Sprintf("its task, or a machine for it: %d tasks of its job run, %d are done", reply.JobRunning, reply.JobDone)
	case protocol.StatusQueued:
		reply.State, reply.WaitsFor = "queued", "a machine with room, in the order of urgency, within the team's limit"
	case protocol.StatusCancelled:
		reply.State, reply.WaitsFor = "withdrawn", "nothing: its job was withdrawn; execute it again"
	case protocol.StatusDone:
		if !reply.Cached {
			reply.State, reply.WaitsFor = "unknown", "nothing: its result was lost with a gate; execute it again"
		}
	default:
		if !reply.Cached {
			reply.State, reply.WaitsFor = "waiting", "the controllers' acceptance of its job"
		}
	}
	return reply, nil
}

// resultView is what a result comes to in few words.
func resultView(r *repb.ActionResult) *inspection.Result {
	m := r.GetExecutionMetadata()
	between := func(a, b *timestamppb.Timestamp) float64 {
		if a == nil || b == nil {
			return 0
		}
		return max(0, b.AsTime().Sub(a.AsTime()).Round(time.Millisecond).Seconds())
	}
	v := &inspection.Result{ExitCode: r.GetExitCode(), Worker: m.GetWorker(),
		FetchS:  between(m.GetInputFetchStartTimestamp(), m.GetInputFetchCompletedTimestamp()),
		RunS:    between(m.GetExecutionStartTimestamp(), m.GetExecutionCompletedTimestamp()),
		UploadS: between(m.GetOutputUploadStartTimestamp(), m.GetOutputUploadCompletedTimestamp())}
	for _, f := range r.GetOutputFiles() {
		v.Outputs = append(v.Outputs, f.GetPath())
	}
	for _, d := range r.GetOutputDirectories() {
		v.Outputs = append(v.Outputs, d.GetPath()+"/")
	}
	for _, l := range r.GetOutputSymlinks() {
		v.Outputs = append(v.Outputs, l.GetPath())
	}
	if bad := endedBadly(r); bad != nil {
		v.Failure = strings.TrimSpace(codes.Code(bad.GetCode()).String() + " " + bad.GetMessage())
	}
	return v
}
