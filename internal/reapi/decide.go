package reapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// An execution has one result, whatever attempts of its task tell, and wherever
// they tell it. One gate decides: the first in the execution's own order, which
// all gates know. The others hand a result on to it, and while it does not answer
// the machine tries again; only when it has been silent for longer than the grace
// does the next one decide. What the others hold are copies of what was decided.

// decider is the gate that decides, nil: this one.
func (g *FrontEnd) decider(execution string, now time.Time) *peerGate {
	if g.peers == nil {
		return nil
	}
	own := weight(g.config.Self, execution)
	for _, p := range g.peers.rank(execution) {
		if weight(p.addr, execution) < own {
			return nil
		}
		if !p.silence.over(now, g.grace()) {
			return p
		}
	}
	return nil
}

// decidedElsewhere hands a result on to the gate that decides; nil: this one does.
func (g *FrontEnd) decidedElsewhere(ctx context.Context, req *repb.UpdateActionResultRequest, execution string) (*repb.ActionResult, error) {
	p := g.decider(execution, time.Now())
	if p == nil {
		return nil, nil
	}
	var decided *repb.ActionResult
	err := p.call(metadata.AppendToOutgoingContext(ctx, ExecutionMark, execution), callTime/2, func(ctx context.Context) (err error) {
		decided, err = p.ac.UpdateActionResult(ctx, req)
		return err
	})
	switch status.Code(err) {
	case codes.OK:
		return decided, nil
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		p.silence.failed(time.Now(), g.grace())
		return nil, retryLater(codes.Unavailable, time.Second, "the gate that decides on this result does not answer")
	}
	return nil, err
}

// asOwn is a call's context without what makes it a peer's.
func asOwn(ctx context.Context) context.Context {
	md, _ := metadata.FromIncomingContext(ctx)
	md = md.Copy()
	md.Delete(peerMark)
	return metadata.NewIncomingContext(ctx, md)
}

// RecordResult keeps the result of an execution, if there is none yet; the first
// stays for as long as what it names is anywhere. It says whether this one was it.
func (g *FrontEnd) RecordResult(ctx context.Context, instance, space string, e *ManifestEntry, result *repb.ActionResult, cache bool) (bool, error) {
	function := e.Action().Function
	if err := g.whole(ctx, instance, space, function, result); err != nil {
		return false, err
	}
	if proto.Size(result) > maxResult {
		return false, fmt.Errorf("%w: the result is larger than %d bytes", blobstore.ErrTooLarge, maxResult)
	}
	key := blobstore.Digest{Hash: e.Execution}
	sum := sha256.Sum256([]byte(space + "/" + e.Execution))
	own := &g.recording[sum[0]]
	own.Lock()
	defer own.Unlock()
	replace := false
	var err error
	if first := g.anywhere(ctx, instance, space, key); first != nil {
		if replace, err = g.lost(ctx, instance, space, function, first); err != nil {
			return false, err
		}
		if !replace {
			g.discarded.Add(1)
			// A kill may have come between the record and what follows from it.
			if cacheable(first, cache) && g.anywhere(ctx, instance, space, e.Action()) == nil {
				return false, g.publish(ctx, instance, space, key, e.Action(), first, cache, false)
			}
			return false, nil
		}
		g.log.Warn("a result whose blobs are lost is replaced", "execution", e.Execution)
	}
	if err := g.publish(ctx, instance, space, key, e.Action(), result, cache, replace); err != nil {
		return false, err
	}
	g.gather.mu.Lock()
	t := g.gather.running[space+"/"+e.Execution]
	g.gather.mu.Unlock()
	if t != nil {
		t.once.Do(func() { close(t.done) })
	}
	return true, nil
}

// cacheable says whether a result goes into the action cache.
func cacheable(r *repb.ActionResult, cache bool) bool {
	return cache && r.GetExitCode() == 0 && endedBadly(r) == nil
}

// publish writes down what was decided, here and as copies, first as the
// execution's result and then in the action cache.
func (g *FrontEnd) publish(ctx context.Context, instance, space string, key, action blobstore.Digest, result *repb.ActionResult, cache, replace bool) error {
	raw, err := proto.Marshal(result)
	if err != nil {
		return err
	}
	if err := g.results.Put(space, key, raw); err != nil {
		return err
	}
	g.spreadRecord(ctx, instance, key, result, replace)
	if !cacheable(result, cache) {
		return nil
	}
	if err := g.results.Put(space, action, raw); err != nil {
		return err
	}
	g.spreadRecord(ctx, instance, action, result, true)
	return nil
}

// lost says whether what a result names is on no gate. As long as a gate does not
// answer that may only be restarting, that is not known.
func (g *FrontEnd) lost(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) (bool, error) {
	err := g.whole(ctx, instance, space, function, result)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, blobstore.ErrNotFound) {
		return false, err
	}
	if g.peers != nil {
		for _, p := range g.peers.rank("") {
			if p.silence.over(time.Now(), g.grace()) {
				continue
			}
			err := p.call(ctx, peerTime, func(ctx context.Context) error {
				_, err := p.cas.FindMissingBlobs(ctx, &repb.FindMissingBlobsRequest{InstanceName: instance})
				return err
			})
			if err != nil {
				p.silence.failed(time.Now(), g.grace())
				return false, retryLater(codes.Unavailable, time.Second, "a gate that may have the first result's blobs does not answer")
			}
		}
		// All answer; they are asked once more, since one may have come back meanwhile.
		if g.whole(ctx, instance, space, function, result) == nil {
			return false, nil
		}
	}
	return true, nil
}
