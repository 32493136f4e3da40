package reapi

import (
	"context"
	"encoding/binary"
	"errors"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

const (
	// maxTreeDirectories is the maximum number of directories in a tree that GetTree walks.
	maxTreeDirectories = maxDigests * 10
	// pageTokenLength is the length of a page token in bytes: a big-endian 64-bit count.
	pageTokenLength = 8
)

// GetTree streams the directories of a tree in pages, breadth-first. The page token is the
// number of directories sent so far. That suffices to resume, because a tree never changes
// and each walk visits its directories in the same order.
func (f *FrontEnd) GetTree(req *repb.GetTreeRequest, out grpc.ServerStreamingServer[repb.GetTreeResponse]) error {
	function, err := digestFunctionOf(req.GetDigestFunction())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(out.Context(), callTimeout)
	defer cancel()
	space, err := f.authorize(ctx, req.GetInstanceName(), verbRead)
	if err != nil {
		return err
	}
	skip, err := parsePageToken(req.GetPageToken())
	if err != nil {
		return err
	}
	pages := &treePages{out: out, size: pageSize(req), page: new(repb.GetTreeResponse)}
	queue := newDirectoryQueue(digestFromProto(function, req.GetRootDigest()))
	for visited := uint64(0); !queue.empty(); visited++ {
		if err := ctx.Err(); err != nil {
			return statusError(err)
		}
		if len(queue.seen) > maxTreeDirectories {
			return status.Errorf(codes.InvalidArgument, "the tree has more than %d directories", maxTreeDirectories)
		}
		directory, size, err := f.readDirectory(ctx, req.GetInstanceName(), blobstore.Key{Space: space, Digest: queue.next()})
		if err != nil {
			return err
		}
		if err := queue.addChildren(directory); err != nil {
			return statusError(err)
		}
		if visited < skip {
			pages.sent = visited + 1
			continue
		}
		if err := pages.add(directory, size); err != nil {
			return err
		}
	}
	pages.page.NextPageToken = ""
	return out.Send(pages.page)
}

// parsePageToken returns the number of directories in earlier pages.
func parsePageToken(token string) (uint64, error) {
	if token == "" {
		return 0, nil
	}
	if len(token) != pageTokenLength {
		return 0, status.Error(codes.InvalidArgument, "the page token is none of ours")
	}
	return binary.BigEndian.Uint64([]byte(token)), nil
}

// pageSize returns the maximum number of directories in a page.
func pageSize(req *repb.GetTreeRequest) int {
	if n := int(req.GetPageSize()); n > 0 {
		return min(n, maxPageDirectories)
	}
	return maxPageDirectories
}

// readDirectory returns a directory and the size of its encoding. Its errors are gRPC statuses.
func (f *FrontEnd) readDirectory(ctx context.Context, instance string, key blobstore.Key) (*repb.Directory, int, error) {
	data, err := f.read(ctx, instance, key, maxMessageBlobBytes)
	if errors.Is(err, blobstore.ErrNotFound) {
		return nil, 0, status.Errorf(codes.NotFound, "directory %s is not here", key.Digest)
	}
	if err != nil {
		return nil, 0, statusError(err)
	}
	directory := new(repb.Directory)
	if err := proto.Unmarshal(data, directory); err != nil {
		return nil, 0, status.Errorf(codes.InvalidArgument, "blob %s is no directory", key.Digest)
	}
	return directory, len(data), nil
}

// treePages sends directories in pages of bounded size.
type treePages struct {
	out   grpc.ServerStreamingServer[repb.GetTreeResponse]
	size  int // maximum number of directories in a page
	page  *repb.GetTreeResponse
	bytes int    // total size of the encoded directories in page
	sent  uint64 // number of directories that were sent, skipped or added to page
}

// add adds a directory to the page. If that would exceed the page's limits, add first sends the
// page and begins a new one.
func (p *treePages) add(directory *repb.Directory, size int) error {
	if len(p.page.Directories) > 0 && (len(p.page.Directories) >= p.size || p.bytes+size > maxBatchBytes) {
		if err := p.flush(); err != nil {
			return err
		}
	}
	p.page.Directories = append(p.page.Directories, directory)
	p.bytes += size
	p.sent++
	return nil
}

// flush sends the page and begins the next one.
func (p *treePages) flush() error {
	p.page.NextPageToken = string(binary.BigEndian.AppendUint64(nil, p.sent))
	err := p.out.Send(p.page)
	p.page, p.bytes = new(repb.GetTreeResponse), 0
	return err
}
