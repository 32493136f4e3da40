// Package runner is a fake of a worker that executes build actions: it fetches the inputs
// of a task from a front end, runs the command in a directory of its own, and records the
// result. It provides no isolation.
package runner

import (
	"context"
	"fmt"
	"path"
	"path/filepath"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi"
)

// Runner executes one action through one front end.
type Runner struct {
	bytes       bytestream.ByteStreamClient
	actionCache repb.ActionCacheClient
	instance    string
	machine     string
	// function is the digest function of the action.
	function blobstore.Function
	// properties are the node properties that the command asks for of its outputs.
	properties []string
}

// Run executes a task of a job with the given image in an empty directory, and records its
// result. An error means that there is no result, and that the task can be retried.
func Run(ctx context.Context, conn grpc.ClientConnInterface, machine, image string, index int, dir string) error {
	ctx = metadata.AppendToOutgoingContext(ctx, reapi.WorkerMark, "1")
	manifestDigest, instance, ok := reapi.ParseImage(image)
	if !ok {
		return fmt.Errorf("runner: %q is no image of actions", image)
	}
	r := &Runner{
		bytes:       bytestream.NewByteStreamClient(conn),
		actionCache: repb.NewActionCacheClient(conn),
		instance:    instance,
		machine:     machine,
		function:    blobstore.SHA256,
	}
	raw, err := r.read(ctx, manifestDigest)
	if err != nil {
		return err
	}
	manifest, err := reapi.ParseManifest(raw)
	if err != nil || index >= len(manifest.Tasks) {
		return fmt.Errorf("runner: the manifest has no task %d", index)
	}
	entry := manifest.Tasks[index]
	r.function = entry.Action().Function
	action, command := new(repb.Action), new(repb.Command)
	if err := r.readMessage(ctx, entry.Action(), action); err != nil {
		return err
	}
	if err := r.readMessage(ctx, r.digest(action.GetCommandDigest()), command); err != nil {
		return err
	}
	r.properties = command.GetOutputNodeProperties()
	result, err := r.execute(ctx, action, command, dir)
	if err != nil {
		return err
	}
	ctx = metadata.AppendToOutgoingContext(ctx, reapi.ExecutionMark, entry.Execution)
	_, err = r.actionCache.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{
		InstanceName:   instance,
		ActionDigest:   &repb.Digest{Hash: entry.Hash, SizeBytes: entry.Size},
		ActionResult:   result,
		DigestFunction: reapi.FunctionOnWire(r.function),
	})
	return err
}

// digest converts a digest of the action's messages.
func (r *Runner) digest(d *repb.Digest) blobstore.Digest {
	return blobstore.Digest{Hash: d.GetHash(), Size: d.GetSizeBytes(), Function: r.function}
}

// Dir returns the directory of a task's attempt below that of its machine.
func Dir(root, task string, attempt uint64) string {
	return filepath.Join(root, strings.ReplaceAll(path.Clean(task), "/", "-")+fmt.Sprintf("-%d", attempt))
}
