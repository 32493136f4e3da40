package reapi

import (
	"context"
	"errors"
	"fmt"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// checkComplete checks that every blob that a result references is on some front end, and
// makes that front end pin it for the retention time. If a blob is missing, the error is
// blobstore.ErrNotFound.
func (f *FrontEnd) checkComplete(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) error {
	references, err := f.referencedBlobs(ctx, instance, space, function, result)
	if err != nil {
		return err
	}
	if missing := f.missing(ctx, instance, space, references); len(missing) > 0 {
		return fmt.Errorf("%w: %d blobs of the result, %s first", blobstore.ErrNotFound, len(missing), missing[0])
	}
	return nil
}

// references collects the digests that a result references.
type references struct {
	function blobstore.Function
	digests  []blobstore.Digest
}

// add adds a digest. It ignores nil, which stands for an unset digest.
func (r *references) add(d *repb.Digest) error {
	if d == nil {
		return nil
	}
	digest := digestFromProto(r.function, d)
	r.digests = append(r.digests, digest)
	return digest.Check()
}

// addFiles adds the digests of the files of a directory.
func (r *references) addFiles(directory *repb.Directory) error {
	for _, file := range directory.GetFiles() {
		if err := r.add(file.GetDigest()); err != nil {
			return err
		}
	}
	return nil
}

// referencedBlobs returns the digests of all blobs that a result references: its files,
// its output streams, and its output directories with their contents.
func (f *FrontEnd) referencedBlobs(ctx context.Context, instance, space string, function blobstore.Function, result *repb.ActionResult) ([]blobstore.Digest, error) {
	refs := &references{function: function}
	errs := []error{refs.add(result.GetStdoutDigest()), refs.add(result.GetStderrDigest())}
	for _, file := range result.GetOutputFiles() {
		errs = append(errs, refs.add(file.GetDigest()))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	for _, directory := range result.GetOutputDirectories() {
		if err := f.addOutputDirectory(ctx, instance, space, refs, directory); err != nil {
			return nil, err
		}
	}
	return refs.digests, nil
}

// addOutputDirectory adds the blobs of an output directory, which is given by its root
// directory, by a Tree message, or by both.
func (f *FrontEnd) addOutputDirectory(ctx context.Context, instance, space string, refs *references, directory *repb.OutputDirectory) error {
	root, treeDigest := directory.GetRootDirectoryDigest(), directory.GetTreeDigest()
	if root == nil && treeDigest == nil {
		return fmt.Errorf("%w: output directory %q has neither a tree nor a root", blobstore.ErrInvalid, clip(directory.GetPath()))
	}
	if root != nil {
		collect := func(digest blobstore.Digest, directory *repb.Directory) error {
			refs.digests = append(refs.digests, digest)
			return refs.addFiles(directory)
		}
		if err := f.walkDirectories(ctx, instance, space, digestFromProto(refs.function, root), collect, nil); err != nil {
			return err
		}
	}
	if treeDigest == nil {
		return nil
	}
	if err := refs.add(treeDigest); err != nil {
		return err
	}
	raw, err := f.read(ctx, instance, blobstore.Key{Space: space, Digest: digestFromProto(refs.function, treeDigest)}, maxMessageBlobBytes)
	if err != nil {
		return err
	}
	tree := new(repb.Tree)
	if err := proto.Unmarshal(raw, tree); err != nil {
		return blobstore.ErrNotFound // the result is unusable, like one with a missing blob
	}
	for _, directory := range append([]*repb.Directory{tree.GetRoot()}, tree.GetChildren()...) {
		if err := refs.addFiles(directory); err != nil {
			return err
		}
	}
	return nil
}

// walkDirectories visits a root and the directories below it breadth-first, each once.
// Directories that no front end has are passed to lost; if lost is nil, the first one
// ends the walk with blobstore.ErrNotFound.
func (f *FrontEnd) walkDirectories(ctx context.Context, instance, space string, root blobstore.Digest, visit func(blobstore.Digest, *repb.Directory) error, lost func(blobstore.Digest)) error {
	queue := newDirectoryQueue(root)
	for !queue.empty() {
		digest := queue.next()
		raw, err := f.read(ctx, instance, blobstore.Key{Space: space, Digest: digest}, maxMessageBlobBytes)
		if errors.Is(err, blobstore.ErrNotFound) && lost != nil {
			lost(digest)
			continue
		}
		if err != nil {
			return err
		}
		directory := new(repb.Directory)
		if err := proto.Unmarshal(raw, directory); err != nil {
			if lost == nil {
				return blobstore.ErrNotFound // a result that references it is unusable
			}
			return fmt.Errorf("%w: blob %s is no directory", blobstore.ErrInvalid, digest)
		}
		if err := visit(digest, directory); err != nil {
			return err
		}
		if err := queue.addChildren(directory); err != nil {
			return err
		}
		if len(queue.seen) > maxDigests {
			return fmt.Errorf("%w: a tree of more than %d directories", blobstore.ErrInvalid, maxDigests)
		}
	}
	return nil
}

// directoryQueue holds the directories of a tree that remain to be visited, in breadth-first
// order. A directory that occurs several times is visited once.
type directoryQueue struct {
	function blobstore.Function
	waiting  []blobstore.Digest
	seen     map[blobstore.Digest]bool
}

// newDirectoryQueue creates a queue that contains only the root.
func newDirectoryQueue(root blobstore.Digest) *directoryQueue {
	return &directoryQueue{function: root.Function, waiting: []blobstore.Digest{root}, seen: map[blobstore.Digest]bool{root: true}}
}

func (q *directoryQueue) empty() bool { return len(q.waiting) == 0 }

// next removes and returns the first directory. The queue must not be empty.
func (q *directoryQueue) next() blobstore.Digest {
	first := q.waiting[0]
	q.waiting = q.waiting[1:]
	return first
}

// addChildren queues the subdirectories that have not been queued before.
func (q *directoryQueue) addChildren(directory *repb.Directory) error {
	for _, child := range directory.GetDirectories() {
		digest := digestFromProto(q.function, child.GetDigest())
		if err := digest.Check(); err != nil {
			return err
		}
		if !q.seen[digest] {
			q.seen[digest] = true
			q.waiting = append(q.waiting, digest)
		}
	}
	return nil
}
