package reapi

import (
	"context"
	"errors"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// loadAction reads and validates an action and its command. It also checks that every blob of
// the input tree is on some front end, which pins it for the retention period.
func (f *FrontEnd) loadAction(ctx context.Context, instance, space string, digest blobstore.Digest) (*repb.Action, *repb.Command, error) {
	if err := digest.Check(); err != nil {
		return nil, nil, statusError(err)
	}
	action, command := new(repb.Action), new(repb.Command)
	if err := f.readMessage(ctx, instance, blobstore.Key{Space: space, Digest: digest}, action); err != nil {
		return nil, nil, err
	}
	commandDigest := digestFromProto(digest.Function, action.GetCommandDigest())
	if err := f.readMessage(ctx, instance, blobstore.Key{Space: space, Digest: commandDigest}, command); err != nil {
		return nil, nil, err
	}
	if err := checkCommand(command); err != nil {
		return nil, nil, err
	}
	if err := f.checkInputs(ctx, instance, space, digestFromProto(digest.Function, action.GetInputRootDigest())); err != nil {
		return nil, nil, err
	}
	return action, command, nil
}

// readMessage reads a blob that holds a protobuf message. Its errors are gRPC statuses.
func (f *FrontEnd) readMessage(ctx context.Context, instance string, key blobstore.Key, message proto.Message) error {
	raw, err := f.read(ctx, instance, key, maxMessageBlobBytes)
	if errors.Is(err, blobstore.ErrNotFound) {
		return missingBlobs([]blobstore.Digest{key.Digest})
	}
	if err != nil {
		return statusError(err)
	}
	if err := proto.Unmarshal(raw, message); err != nil {
		return status.Errorf(codes.InvalidArgument, "blob %s is no %s", key.Digest, message.ProtoReflect().Descriptor().Name())
	}
	return nil
}

// checkInputs validates the directories of an input tree and checks that each of its blobs is
// on this front end or a peer.
func (f *FrontEnd) checkInputs(ctx context.Context, instance, space string, root blobstore.Digest) error {
	var files, missing []blobstore.Digest
	collect := func(_ blobstore.Digest, directory *repb.Directory) error {
		for _, file := range directory.GetFiles() {
			files = append(files, digestFromProto(root.Function, file.GetDigest()))
		}
		if len(files) > maxDigests {
			return status.Errorf(codes.InvalidArgument, "the input root has more than %d files", maxDigests)
		}
		return checkDirectory(directory)
	}
	addMissing := func(digest blobstore.Digest) { missing = append(missing, digest) }
	if err := f.walkDirectories(ctx, instance, space, root, collect, addMissing); err != nil {
		return statusError(err)
	}
	missing = append(missing, f.missing(ctx, instance, space, files)...)
	if len(missing) > 0 {
		return missingBlobs(missing)
	}
	return nil
}

// checkDirectory validates an input directory. Names must be valid and unique, digests must be
// well-formed, and symlinks must not point outside the directory.
func checkDirectory(directory *repb.Directory) error {
	names := map[string]bool{}
	checkNode := func(name string) error {
		if names[name] {
			return status.Errorf(codes.InvalidArgument, "%q stands twice in a directory", clip(name))
		}
		names[name] = true
		return CheckName(name)
	}
	for _, p := range properties(directory) {
		if len(p.GetProperties()) > 0 {
			return status.Errorf(codes.InvalidArgument, "node property %q is not served; %s and %s are", clip(p.GetProperties()[0].GetName()), PropertyMtime, PropertyMode)
		}
	}
	for _, file := range directory.GetFiles() {
		if err := errors.Join(checkNode(file.GetName()), digestFromProto(blobstore.SHA256, file.GetDigest()).Check()); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
	for _, child := range directory.GetDirectories() {
		if err := errors.Join(checkNode(child.GetName()), digestFromProto(blobstore.SHA256, child.GetDigest()).Check()); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
	for _, link := range directory.GetSymlinks() {
		if err := checkNode(link.GetName()); err != nil {
			return err
		}
		if strings.HasPrefix(link.GetTarget(), "/") || strings.Contains("/"+link.GetTarget()+"/", "/../") || link.GetTarget() == "" {
			return status.Errorf(codes.InvalidArgument, "link %q leads out of its directory", clip(link.GetName()))
		}
	}
	return nil
}

// properties returns the node properties of a directory and of its entries.
func properties(directory *repb.Directory) []*repb.NodeProperties {
	out := []*repb.NodeProperties{directory.GetNodeProperties()}
	for _, file := range directory.GetFiles() {
		out = append(out, file.GetNodeProperties())
	}
	for _, link := range directory.GetSymlinks() {
		out = append(out, link.GetNodeProperties())
	}
	return out
}
