package reapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/blobstore"
)

// maxResult bounds an action's result as it is kept.
const maxResult = 1 << 20

// GetActionResult tells an action's result, if all that it names is here; these
// blobs stay for as long as the store promises.
func (g *FrontEnd) GetActionResult(ctx context.Context, req *repb.GetActionResultRequest) (*repb.ActionResult, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return nil, err
	}
	action := digestIn(function, req.GetActionDigest())
	result, err := g.stored(space, action)
	if g.fromPeer(ctx) {
		return result, failure(err) // whoever asks looks whether it is whole
	}
	if err == nil {
		err = g.whole(ctx, req.GetInstanceName(), space, function, result)
	}
	if errors.Is(err, blobstore.ErrNotFound) {
		if theirs := g.peerResult(ctx, req.GetInstanceName(), action); theirs != nil && g.whole(ctx, req.GetInstanceName(), space, function, theirs) == nil {
			return theirs, nil
		}
	}
	if err != nil {
		return nil, failure(err)
	}
	return result, nil
}

// stored reads a result of this gate.
func (g *FrontEnd) stored(space string, action blobstore.Digest) (*repb.ActionResult, error) {
	raw, err := g.results.Get(space, action)
	if err != nil {
		return nil, err
	}
	result := new(repb.ActionResult)
	if err := proto.Unmarshal(raw, result); err != nil {
		return nil, blobstore.ErrNotFound
	}
	return result, nil
}

// whole says whether all that a result names is on some gate, and has it
// promised there.
func (g *FrontEnd) whole(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) error {
	named, err := g.named(ctx, instance, space, function, result)
	if err != nil {
		return err
	}
	if missing := g.missing(ctx, instance, space, named); len(missing) > 0 {
		return fmt.Errorf("%w: %d blobs of the result, %s first", blobstore.ErrNotFound, len(missing), missing[0])
	}
	return nil
}

// named are the blobs that a result needs: its files, its streams, and its
// trees with all that they hold.
func (g *FrontEnd) named(ctx context.Context, instance, space string, function blobstore.Function, r *repb.ActionResult) ([]blobstore.Digest, error) {
	var out []blobstore.Digest
	add := func(d *repb.Digest) error {
		if d == nil {
			return nil
		}
		digest := digestIn(function, d)
		out = append(out, digest)
		return digest.Check()
	}
	errs := []error{add(r.GetStdoutDigest()), add(r.GetStderrDigest())}
	for _, f := range r.GetOutputFiles() {
		errs = append(errs, add(f.GetDigest()))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	for _, d := range r.GetOutputDirectories() {
		if root := d.GetRootDirectoryDigest(); root != nil {
			if err := g.walk(ctx, instance, space, digestIn(function, root), func(at blobstore.Digest, dir *repb.Directory) error {
				out = append(out, at)
				for _, f := range dir.GetFiles() {
					if err := add(f.GetDigest()); err != nil {
						return err
					}
				}
				return nil
			}, nil); err != nil {
				return nil, err
			}
		}
		if d.GetTreeDigest() == nil {
			if d.GetRootDirectoryDigest() == nil {
				return nil, fmt.Errorf("%w: output directory %q has neither a tree nor a root", blobstore.ErrInvalid, clip(d.GetPath()))
			}
			continue
		}
		if err := add(d.GetTreeDigest()); err != nil {
			return nil, err
		}
		raw, err := g.read(ctx, instance, blobstore.Key{Space: space, Digest: digestIn(function, d.GetTreeDigest())}, maxTreeNode)
		if err != nil {
			return nil, err
		}
		tree := new(repb.Tree)
		if err := proto.Unmarshal(raw, tree); err != nil {
			return nil, blobstore.ErrNotFound
		}
		for _, dir := range append([]*repb.Directory{tree.GetRoot()}, tree.GetChildren()...) {
			for _, f := range dir.GetFiles() {
				if err := add(f.GetDigest()); err != nil {
					return nil, err
				}
			}
		}
	}
	return out, nil
}

// walk reads the directories below a root, each once. Those that are nowhere go to
// lost; nil: the first one ends the walk.
func (g *FrontEnd) walk(ctx context.Context, instance, space string, root blobstore.Digest, see func(blobstore.Digest, *repb.Directory) error, lost func(blobstore.Digest)) error {
	queue := []blobstore.Digest{root}
	seen := map[blobstore.Digest]bool{root: true}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		raw, err := g.read(ctx, instance, blobstore.Key{Space: space, Digest: at}, maxTreeNode)
		if errors.Is(err, blobstore.ErrNotFound) && lost != nil {
			lost(at)
			continue
		}
		if err != nil {
			return err
		}
		dir := new(repb.Directory)
		if err := proto.Unmarshal(raw, dir); err != nil {
			if lost == nil {
				return blobstore.ErrNotFound // a result that names it is worth nothing
			}
			return fmt.Errorf("%w: blob %s is no directory", blobstore.ErrInvalid, at)
		}
		if err := see(at, dir); err != nil {
			return err
		}
		for _, sub := range dir.GetDirectories() {
			next := digestIn(at.Function, sub.GetDigest())
			if err := next.Check(); err != nil {
				return err
			}
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
		if len(seen) > maxDigests {
			return fmt.Errorf("%w: a tree of more than %d directories", blobstore.ErrInvalid, maxDigests)
		}
	}
	return nil
}

// UpdateActionResult keeps a result that a client has made itself. The first one
// stays for as long as all that it names is here.
func (g *FrontEnd) UpdateActionResult(ctx context.Context, req *repb.UpdateActionResultRequest) (*repb.ActionResult, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, req.GetInstanceName(), verbWrite)
	if err != nil {
		return nil, err
	}
	if md, _ := metadata.FromIncomingContext(ctx); (g.fromWorker(ctx) || g.fromPeer(ctx)) && len(md.Get(ExecutionMark)) == 1 {
		return g.executed(ctx, req, space, md.Get(ExecutionMark)[0])
	}
	if !g.config.ClientResults && !g.fromPeer(ctx) {
		return nil, status.Error(codes.PermissionDenied, "clients write no results here")
	}
	action := digestIn(function, req.GetActionDigest())
	if err := action.Check(); err != nil {
		return nil, failure(err)
	}
	if req.GetActionResult() == nil {
		return nil, status.Error(codes.InvalidArgument, "the result is missing")
	}
	raw, err := proto.Marshal(req.GetActionResult())
	if err != nil || len(raw) > maxResult {
		return nil, status.Errorf(codes.InvalidArgument, "the result is larger than %d bytes", maxResult)
	}
	md, _ := metadata.FromIncomingContext(ctx)
	first, err := g.stored(space, action)
	if err == nil && !(g.fromPeer(ctx) && len(md.Get(replaceMark)) > 0) && (g.fromPeer(ctx) || g.whole(ctx, req.GetInstanceName(), space, function, first) == nil) {
		return first, nil
	}
	// A gate that copies its result here has looked that it is whole.
	if !g.fromPeer(ctx) {
		err := g.whole(ctx, req.GetInstanceName(), space, function, req.GetActionResult())
		if errors.Is(err, blobstore.ErrNotFound) {
			return nil, status.Errorf(codes.FailedPrecondition, "%v; upload them before the result", err)
		}
		if err != nil {
			return nil, failure(err)
		}
	}
	if err := g.results.Put(space, action, raw); err != nil {
		return nil, failure(err)
	}
	g.spreadResult(ctx, req.GetInstanceName(), action, req.GetActionResult())
	return req.GetActionResult(), nil
}

// executed records what a worker's execution came to.
func (g *FrontEnd) executed(ctx context.Context, req *repb.UpdateActionResultRequest, space, execution string) (*repb.ActionResult, error) {
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return nil, err
	}
	e := entryOf(execution, digestIn(function, req.GetActionDigest()))
	if err := errors.Join(e.Action().Check(), (blobstore.Digest{Hash: execution}).Check()); err != nil {
		return nil, failure(err)
	}
	if req.GetActionResult() == nil {
		return nil, status.Error(codes.InvalidArgument, "the result is missing")
	}
	if !g.fromPeer(ctx) {
		if decided, err := g.decidedElsewhere(ctx, req, execution); decided != nil || err != nil {
			return decided, err
		}
	}
	// A peer's question goes no further, but what it takes to answer it may.
	ctx = asOwn(ctx)
	raw, err := g.read(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: e.Action()}, maxTreeNode)
	if err != nil {
		return nil, failure(err)
	}
	action := new(repb.Action)
	if err := proto.Unmarshal(raw, action); err != nil {
		return nil, status.Error(codes.InvalidArgument, "that is no action")
	}
	if s := g.startedBefore(ctx, req.GetInstanceName(), space, execution); s != nil && s.Queued > 0 && req.GetActionResult().GetExecutionMetadata() != nil {
		req.ActionResult.ExecutionMetadata.QueuedTimestamp = timestamppb.New(time.UnixMilli(s.Queued))
	}
	first, err := g.RecordResult(ctx, req.GetInstanceName(), space, e, req.GetActionResult(), !action.GetDoNotCache())
	if err != nil {
		return nil, failure(err)
	}
	if !first {
		g.log.Info("late result discarded", "execution", execution, "discarded", g.discarded.Load())
	}
	return req.GetActionResult(), nil
}
