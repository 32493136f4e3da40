package reapi

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

// Many wait at once. So a job is asked about once for all that wait for its tasks,
// by whoever of them comes first, and other gates are asked in one call what they
// know of all executions that are waited for here.

const (
	// lookEvery is how often results are looked for that another gate may have,
	// and statusEvery whether a job still is.
	lookEvery   = 250 * time.Millisecond
	statusEvery = 2 * time.Second
	// askResults is how many executions are asked about in one call.
	askResults = 5000
)

// seeker is an execution whose result is waited for here.
type seeker struct {
	instance, execution string
	waiting             int
	// found is closed once another gate said that it has the result.
	found chan struct{}
}

// seek begins to look for a result.
func (g *FrontEnd) seek(t *task) *seeker {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	key := t.instance + "/" + t.entry.Execution
	s := g.gather.seekers[key]
	if s == nil {
		s = &seeker{instance: t.instance, execution: t.entry.Execution, found: make(chan struct{})}
		g.gather.seekers[key] = s
	}
	s.waiting++
	return s
}

// seen ends it.
func (g *FrontEnd) seen(s *seeker) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	key := s.instance + "/" + s.execution
	if s.waiting--; s.waiting == 0 && g.gather.seekers[key] == s {
		delete(g.gather.seekers, key)
	}
}

// lookAround asks the other gates what they have of what is waited for here. One
// of a version that does not know the call has its followers ask it themselves.
func (g *FrontEnd) lookAround(ctx context.Context) {
	if g.peers == nil {
		return
	}
	asked := map[string][]*seeker{} // by instance
	g.gather.mu.Lock()
	for _, s := range g.gather.seekers {
		asked[s.instance] = append(asked[s.instance], s)
	}
	g.gather.mu.Unlock()
	for _, p := range g.peers.inOrder("") {
		for _, instance := range slices.Sorted(maps.Keys(asked)) {
			for list := asked[instance]; len(list) > 0; {
				part := list[:min(len(list), askResults)]
				list = list[len(part):]
				req := &inspection.KnownRequest{Instance: instance}
				for _, s := range part {
					req.Executions = append(req.Executions, s.execution)
				}
				var reply *inspection.KnownReply
				err := p.call(ctx, peerTime, func(ctx context.Context) (err error) {
					reply, err = p.mates.Known(ctx, req)
					return err
				})
				if status.Code(err) == codes.Unimplemented {
					reply, err = &inspection.KnownReply{Executions: req.Executions}, nil
				}
				if err != nil {
					g.log.Debug("results not asked for", "peer", p.addr, "reason", err)
					break
				}
				g.find(instance, reply.GetExecutions())
			}
		}
	}
}

// find wakes those who wait for executions that another gate has.
func (g *FrontEnd) find(instance string, executions []string) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	for _, e := range executions {
		if s := g.gather.seekers[instance+"/"+e]; s != nil {
			delete(g.gather.seekers, instance+"/"+e)
			close(s.found)
		}
	}
}

// Known says of which executions this gate has the result.
func (n neighbours) Known(ctx context.Context, req *inspection.KnownRequest) (*inspection.KnownReply, error) {
	g := n.g
	if !g.fromPeer(ctx) {
		return nil, status.Error(codes.PermissionDenied, "gates ask this of each other only")
	}
	team, ok := g.config.Instances[req.GetInstance()]
	if !ok || len(req.GetExecutions()) > askResults {
		return nil, status.Errorf(codes.InvalidArgument, "there is no instance %q, or more than %d executions", clip(req.GetInstance()), askResults)
	}
	reply := &inspection.KnownReply{}
	for _, e := range req.GetExecutions() {
		if g.results.Has(team, blobstore.Digest{Hash: e}) {
			reply.Executions = append(reply.Executions, e)
		}
	}
	return reply, nil
}

// standing says what the controllers last said of a job that is waited for. Whoever
// finds that too old asks, with what proves who he is; a refusal is his own.
func (g *FrontEnd) standing(ctx context.Context, job string, cred *string, who string) (st protocol.JobStatus, known bool, err error) {
	g.gather.mu.Lock()
	w := g.gather.wanted[job]
	if w == nil || w.asking || time.Since(w.asked) < statusEvery {
		if w != nil {
			st, known = w.status, w.known
		}
		g.gather.mu.Unlock()
		return st, known, nil
	}
	w.asking = true
	g.gather.mu.Unlock()
	err = g.persist(cred, who, func(cred string) (err error) {
		st, err = g.jobs.Status(ctx, cred, job)
		return err
	})
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	w.asking, w.asked = false, time.Now()
	if err != nil {
		return st, false, err
	}
	w.status, w.known = st, true
	g.stands(job, st)
	return st, true, nil
}

// operationSender is what both calls send to.
type operationSender interface {
	Send(*longrunningpb.Operation) error
}

// follow tells a client how its task stands until it has its result.
func (g *FrontEnd) follow(ctx context.Context, out operationSender, t *task) error {
	cred, who := g.credential(ctx), ""
	if v := visitOf(ctx); v != nil {
		who = knownName(v.who)
	}
	g.join(t.job, cred, who)
	defer g.leave(t.job)
	s := g.seek(t)
	defer func() { g.seen(s) }()
	name, action := t.operation(), t.entry.Action()
	stage := repb.ExecutionStage_QUEUED
	if err := out.Send(staged(name, action, stage, t.queued)); err != nil {
		return err
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	key := blobstore.Digest{Hash: t.entry.Execution}
	done := t.done
	around := true // other gates may have it from before
	for {
		result, err := g.stored(t.space, key)
		if err != nil && around {
			result = g.anywhere(ctx, t.instance, t.space, key)
		}
		around = false
		if result != nil {
			g.forgetTask(t)
			if err := g.whole(ctx, t.instance, t.space, action.Function, result); err == nil {
				return out.Send(completed(name, action, &repb.ExecuteResponse{Result: result, Status: endedBadly(result)}))
			}
			return retryLater(codes.Unavailable, time.Second, "the result's outputs are gone; execute it again")
		}
		st, known, err := g.standing(ctx, t.job, &cred, who)
		var r *client.Refusal
		switch {
		case errors.As(err, &r) && (r.Status == 401 || r.Status == 403):
			return submitFailure(err)
		case !known:
		case st.Status == protocol.StatusCancelled:
			g.forgetTask(t)
			return out.Send(completed(name, action, &repb.ExecuteResponse{Status: status.New(codes.Aborted, "its job was withdrawn").Proto()}))
		case st.Status == protocol.StatusDone:
			// The result is written before the task ends, so it is somewhere.
			if g.anywhere(ctx, t.instance, t.space, key) == nil {
				g.forgetTask(t)
				return retryLater(codes.Unavailable, time.Second, "its result was lost with a gate; execute it again")
			}
			continue
		case st.Status == protocol.StatusRunning && stage == repb.ExecutionStage_QUEUED:
			stage = repb.ExecutionStage_EXECUTING
			if err := out.Send(staged(name, action, stage, t.queued)); err != nil {
				return err
			}
		}
		select {
		case <-done:
			done = nil // it is read now, or never
		case <-s.found:
			g.seen(s)
			s, around = g.seek(t), true
			// Not sooner than usual: it may be gone again, or only be thought there.
			select {
			case <-look.C:
			case <-ctx.Done():
				return failure(ctx.Err())
			}
		case <-look.C:
		case <-ctx.Done():
			return failure(ctx.Err())
		}
	}
}

// forgetTask ends a task whose result was seen, or won't come.
func (g *FrontEnd) forgetTask(t *task) {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if g.gather.running[t.key()] == t {
		delete(g.gather.running, t.key())
		g.served(t.job, time.Now())
	}
}
