package reapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// RecordResult stores the result of an execution that has none yet, and reports whether it was
// stored. A recorded result is replaced only if a blob that it references is on no front end.
// cache is set if the action allows caching.
func (f *FrontEnd) RecordResult(ctx context.Context, instance, space string, entry *ManifestEntry, result *repb.ActionResult, cache bool) (bool, error) {
	function := entry.Action().Function
	if err := f.checkComplete(ctx, instance, space, function, result); err != nil {
		return false, err
	}
	if proto.Size(result) > maxResultBytes {
		return false, fmt.Errorf("%w: the result is larger than %d bytes", blobstore.ErrTooLarge, maxResultBytes)
	}
	key := blobstore.Digest{Hash: entry.Execution}
	stripe := sha256.Sum256([]byte(space + "/" + entry.Execution))[0]
	f.recordLocks[stripe].Lock()
	defer f.recordLocks[stripe].Unlock()
	replace := false
	var err error
	if first := f.findResult(ctx, instance, space, key); first != nil {
		if replace, err = f.resultLost(ctx, instance, space, function, first); err != nil {
			return false, err
		}
		if !replace {
			f.discardedResults.Add(1)
			// A front end may have been killed after recording the first result and before
			// caching it.
			if cacheable(first, cache) && f.findResult(ctx, instance, space, entry.Action()) == nil {
				return false, f.publish(ctx, instance, space, key, entry.Action(), first, cache, false)
			}
			return false, nil
		}
		f.log.Warn("replacing result whose blobs are lost", "execution", entry.Execution)
	}
	if err := f.publish(ctx, instance, space, key, entry.Action(), result, cache, replace); err != nil {
		return false, err
	}
	f.executions.mu.Lock()
	t := f.executions.running[space+"/"+entry.Execution]
	f.executions.mu.Unlock()
	if t != nil {
		t.once.Do(func() { close(t.done) })
	}
	return true, nil
}

// cacheable reports whether a result may be stored in the action cache.
func cacheable(r *repb.ActionResult, cache bool) bool {
	return cache && r.GetExitCode() == 0 && failureStatus(r) == nil
}

// publish stores a result here and at peers: first as the result of the execution, then, if it
// is cacheable, in the action cache.
func (f *FrontEnd) publish(ctx context.Context, instance, space string, key, action blobstore.Digest, result *repb.ActionResult, cache, replace bool) error {
	raw, err := proto.Marshal(result)
	if err != nil {
		return err
	}
	if err := f.results.Put(space, key, raw); err != nil {
		return err
	}
	f.replicateRecord(ctx, instance, key, result, replace)
	if !cacheable(result, cache) {
		return nil
	}
	if err := f.results.Put(space, action, raw); err != nil {
		return err
	}
	f.replicateRecord(ctx, instance, action, result, true)
	return nil
}

// resultLost reports whether some blob that a result references is on no front end. It fails
// while a peer that may only be restarting does not answer, since that peer may have the blob.
func (f *FrontEnd) resultLost(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) (bool, error) {
	err := f.checkComplete(ctx, instance, space, function, result)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, blobstore.ErrNotFound) {
		return false, err
	}
	if f.peers == nil {
		return true, nil
	}
	for _, p := range f.peers.ranked("") {
		if p.outage.exceeds(time.Now(), f.grace()) {
			continue
		}
		if err := p.ping(ctx, instance); err != nil {
			p.outage.failed(time.Now(), f.grace())
			return false, retryLater(codes.Unavailable, time.Second, "a front end that may have the first result's blobs does not answer")
		}
	}
	// All peers answer. The blobs are looked up again, since a peer may have restarted after
	// the first lookup.
	return f.checkComplete(ctx, instance, space, function, result) != nil, nil
}

// ping checks that a peer answers, with a query for an empty list of blobs.
func (p *peer) ping(ctx context.Context, instance string) error {
	return p.call(ctx, peerTimeout, func(ctx context.Context) error {
		_, err := p.cas.FindMissingBlobs(ctx, &repb.FindMissingBlobsRequest{InstanceName: instance})
		return err
	})
}
