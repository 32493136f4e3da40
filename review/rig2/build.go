package rig2

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/buildtool"
)

// BuildClient is a client of the Remote Execution API at one front end.
type BuildClient struct {
	Conn     *grpc.ClientConn
	Instance string
	// Timeout, if set, is how long an action may take.
	Timeout time.Duration
}

// Dial connects to one front end of a cluster without identities.
func Dial(addr, instance string) (*BuildClient, error) {
	conn, err := buildtool.Dial([]string{addr}, nil, "")
	if err != nil {
		return nil, err
	}
	return &BuildClient{Conn: conn, Instance: instance}, nil
}

// Upload uploads an action that runs a shell script without inputs, and returns its digest.
func (b *BuildClient) Upload(ctx context.Context, script string) (*repb.Digest, error) {
	root := encode(&repb.Directory{})
	command := encode(&repb.Command{
		Arguments:            []string{"/bin/sh", "-c", script},
		OutputPaths:          []string{"out"},
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}},
	})
	description := &repb.Action{CommandDigest: digestOf(command), InputRootDigest: digestOf(root), Platform: &repb.Platform{}}
	if b.Timeout > 0 {
		description.Timeout = durationpb.New(b.Timeout)
	}
	action := encode(description)
	req := &repb.BatchUpdateBlobsRequest{InstanceName: b.Instance}
	for _, data := range [][]byte{root, command, action} {
		req.Requests = append(req.Requests, &repb.BatchUpdateBlobsRequest_Request{Digest: digestOf(data), Data: data})
	}
	resp, err := repb.NewContentAddressableStorageClient(b.Conn).BatchUpdateBlobs(ctx, req)
	if err != nil {
		return nil, err
	}
	for _, r := range resp.GetResponses() {
		if r.GetStatus().GetCode() != 0 {
			return nil, fmt.Errorf("upload of %s: %s", r.GetDigest().GetHash(), r.GetStatus().GetMessage())
		}
	}
	return digestOf(action), nil
}

// Follow reads the states of an operation until it is done, and passes each to seen. The stream is
// that of an Execute or a WaitExecution call.
func Follow(stream grpc.ServerStreamingClient[longrunningpb.Operation], seen func(name, stage string)) (*repb.ExecuteResponse, error) {
	for {
		operation, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		metadata := new(repb.ExecuteOperationMetadata)
		if err := operation.GetMetadata().UnmarshalTo(metadata); err == nil {
			seen(operation.GetName(), metadata.GetStage().String())
		}
		if !operation.GetDone() {
			continue
		}
		response := new(repb.ExecuteResponse)
		if err := operation.GetResponse().UnmarshalTo(response); err != nil {
			return nil, err
		}
		return response, nil
	}
}

// CachedResult asks a front end for the result of an action. The answer is empty if it has none.
func (b *BuildClient) CachedResult(ctx context.Context, action *repb.Digest) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	result, err := repb.NewActionCacheClient(b.Conn).GetActionResult(ctx, &repb.GetActionResultRequest{InstanceName: b.Instance, ActionDigest: action})
	if err != nil {
		return "", err
	}
	return Outcome(result)
}

// Outcome returns the digest of the result's only output file.
func Outcome(result *repb.ActionResult) (string, error) {
	if files := result.GetOutputFiles(); result.GetExitCode() == 0 && len(files) == 1 {
		return files[0].GetDigest().GetHash(), nil
	}
	return "", errors.New("the result is not of exit code 0 with one output file: " + result.String())
}

func encode(message proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // the messages of this package can be encoded
	}
	return raw
}

func digestOf(data []byte) *repb.Digest {
	digest := blobstore.Of(data)
	return &repb.Digest{Hash: digest.Hash, SizeBytes: digest.Size}
}

// Put uploads one blob.
func (b *BuildClient) Put(ctx context.Context, data []byte) error {
	resp, err := repb.NewContentAddressableStorageClient(b.Conn).BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{
		InstanceName: b.Instance,
		Requests:     []*repb.BatchUpdateBlobsRequest_Request{{Digest: digestOf(data), Data: data}},
	})
	if err == nil && len(resp.GetResponses()) == 1 {
		err = status.FromProto(resp.Responses[0].GetStatus()).Err()
	}
	return err
}

// Missing asks the front end whether a blob is missing.
func (b *BuildClient) Missing(ctx context.Context, digest *repb.Digest) (bool, error) {
	resp, err := repb.NewContentAddressableStorageClient(b.Conn).FindMissingBlobs(ctx, &repb.FindMissingBlobsRequest{
		InstanceName: b.Instance,
		BlobDigests:  []*repb.Digest{digest},
	})
	return len(resp.GetMissingBlobDigests()) > 0, err
}
