package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/blobstore"
)

// chunkSize is the number of bytes in each message of an upload.
const chunkSize = 256 << 10

// resourceName prefixes a ByteStream resource name with the instance.
func (r *Runner) resourceName(name string) string {
	if r.instance == "" {
		return name
	}
	return r.instance + "/" + name
}

// readMessage reads a blob and decodes it as a message.
func (r *Runner) readMessage(ctx context.Context, digest blobstore.Digest, message proto.Message) error {
	raw, err := r.readBlob(ctx, digest)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, message)
}

// readBlob returns the content of a blob.
func (r *Runner) readBlob(ctx context.Context, digest blobstore.Digest) ([]byte, error) {
	var data bytes.Buffer
	err := r.downloadBlob(ctx, &data, digest)
	return data.Bytes(), err
}

// downloadBlob writes a blob to w.
func (r *Runner) downloadBlob(ctx context.Context, w io.Writer, digest blobstore.Digest) error {
	if digest.IsEmpty() {
		return nil
	}
	stream, err := r.byteStream.Read(ctx, &bytestream.ReadRequest{ResourceName: r.resourceName("blobs/" + digest.String())})
	if err != nil {
		return err
	}
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("runner: download blob %s: %w", digest, err)
		}
		if _, err := w.Write(message.GetData()); err != nil {
			return err
		}
	}
}

// uploadBlob uploads a blob and returns its digest.
func (r *Runner) uploadBlob(ctx context.Context, data []byte) (*repb.Digest, error) {
	digest := r.digestFunction.Of(data)
	stream, err := r.byteStream.Write(ctx)
	if err != nil {
		return nil, err
	}
	name := r.resourceName(fmt.Sprintf("uploads/%s-%d/blobs/%s", r.machine, time.Now().UnixNano(), digest))
	for offset, first := 0, true; first || offset < len(data); first = false {
		end := min(offset+chunkSize, len(data))
		if err := stream.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(offset), Data: data[offset:end], FinishWrite: end == len(data)}); err != nil {
			break // CloseAndRecv returns the error, or success if the blob already exists
		}
		offset = end
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return nil, fmt.Errorf("runner: upload blob: %w", err)
	}
	return &repb.Digest{Hash: digest.Hash, SizeBytes: digest.Size}, nil
}

// uploadMessage uploads an encoded message and returns its digest.
func (r *Runner) uploadMessage(ctx context.Context, message proto.Message) (*repb.Digest, error) {
	raw, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return r.uploadBlob(ctx, raw)
}

// uploadFile uploads a file and returns its digest.
func (r *Runner) uploadFile(ctx context.Context, path string) (*repb.Digest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return r.uploadBlob(ctx, data)
}
