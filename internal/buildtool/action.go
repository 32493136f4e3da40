package buildtool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// outputFile is the path of the only output of each action.
const outputFile = "out"

// maxUploadAttempts is the maximum number of uploads of an action's blobs; after that, the
// action fails.
const maxUploadAttempts = 20

// action is a REAPI action with the blobs to upload before it is executed.
type action struct {
	digest *repb.Digest
	blobs  map[string][]byte // by hash
}

// addBlob adds a blob and returns its digest.
func (a *action) addBlob(b *Builder, data []byte) *repb.Digest {
	digest := b.Digest(data)
	a.blobs[digest.Hash] = data
	return digest
}

// addMessage adds a blob that holds an encoded message and returns its digest.
func (a *action) addMessage(b *Builder, message proto.Message) (*repb.Digest, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	return a.addBlob(b, raw), nil
}

// runAction executes the action of a node and records its output.
func (r *run) runAction(ctx context.Context, node *Node) error {
	a, err := r.newAction(node)
	if err != nil {
		return err
	}
	requested := time.Now()
	resp, operation, err := r.uploadAndExecute(ctx, a)
	if err != nil {
		return err
	}
	if failure := resp.GetStatus(); failure.GetCode() != 0 {
		return status.FromProto(failure).Err()
	}
	if code := resp.GetResult().GetExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	for _, file := range resp.GetResult().GetOutputFiles() {
		if file.GetPath() == outputFile {
			r.recordResult(node, file.GetDigest(), resp.GetCachedResult(), operation, time.Since(requested))
			return nil
		}
	}
	return errors.New(`output file "out" is missing from the result`)
}

// newAction creates the action of a node. The nodes that it depends on must be done.
func (r *run) newAction(node *Node) (*action, error) {
	b := r.builder
	a := &action{blobs: map[string][]byte{}}
	root := &repb.Directory{}
	for _, name := range slices.Sorted(maps.Keys(node.Sources)) {
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: a.addBlob(b, node.Sources[name])})
	}
	r.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(node.Inputs)) {
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: r.report.Outputs[node.Inputs[name]]})
	}
	r.mu.Unlock()
	slices.SortFunc(root.Files, func(a, b *repb.FileNode) int { return cmp.Compare(a.Name, b.Name) })
	command := &repb.Command{
		Arguments:            []string{"/bin/sh", "-c", node.Script},
		OutputPaths:          []string{outputFile},
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}},
	}
	message := &repb.Action{}
	var err error
	if message.InputRootDigest, err = a.addMessage(b, root); err != nil {
		return nil, err
	}
	if message.CommandDigest, err = a.addMessage(b, command); err != nil {
		return nil, err
	}
	if a.digest, err = a.addMessage(b, message); err != nil {
		return nil, err
	}
	return a, nil
}

// uploadAndExecute uploads an action's blobs and executes the action. If the front end
// reports missing blobs, for example because the front end that stores them is restarting,
// it uploads all blobs again.
func (r *run) uploadAndExecute(ctx context.Context, a *action) (resp *repb.ExecuteResponse, operation string, err error) {
	for attempt := range maxUploadAttempts {
		if attempt > 0 {
			select {
			case <-time.After(minRetryDelay * time.Duration(attempt)):
			case <-ctx.Done():
				return nil, "", context.Cause(ctx)
			}
		}
		if err = r.upload(ctx, a.blobs, attempt > 0); err != nil {
			return nil, "", err
		}
		resp, operation, err = r.execute(ctx, a.digest)
		if status.Code(err) != codes.FailedPrecondition || !isMissingBlobsError(err) {
			break
		}
		r.countRetry()
	}
	return resp, operation, err
}

// isMissingBlobsError reports whether an error has a precondition failure for a missing blob.
func isMissingBlobsError(err error) bool {
	for _, detail := range status.Convert(err).Details() {
		if failure, ok := detail.(*errdetails.PreconditionFailure); ok {
			return slices.ContainsFunc(failure.GetViolations(), func(v *errdetails.PreconditionFailure_Violation) bool { return v.GetType() == "MISSING" })
		}
	}
	return false
}

// recordResult records the output of a node and reports progress.
func (r *run) recordResult(node *Node, output *repb.Digest, cached bool, operation string, waitTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.report
	report.Outputs[node.Name] = output
	report.Actions++
	if cached {
		report.Cached++
	}
	_ = report.WaitTimes.RecordValue(max(1, min(waitTime.Milliseconds(), report.WaitTimes.HighestTrackableValue())))
	if waitTime > report.longestWait {
		report.longestWait, report.SlowestAction, report.SlowestOperation = waitTime, node.Name, operation
	}
	if r.progress != nil {
		r.progress(Progress{report.Actions, report.Cached, r.totalActions})
	}
}
