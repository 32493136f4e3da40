package reapi

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
)

// transferTime returns the timeout of a transfer of the given size.
func transferTime(bytes int64) time.Duration {
	return callTimeout + time.Duration(float64(bytes)/minTransferRate*float64(time.Second))
}

// Read streams a blob or a part of it, compressed if the resource name requests that.
func (f *FrontEnd) Read(req *bytestream.ReadRequest, out bytestream.ByteStream_ReadServer) error {
	r, err := parseResource(req.GetResourceName(), false)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(out.Context(), transferTime(r.digest.Size))
	defer cancel()
	addTransferCost(ctx, r.digest.Size)
	space, err := f.authorize(ctx, r.instance, verbRead)
	if err != nil {
		return err
	}
	switch {
	case req.GetReadOffset() < 0 || req.GetReadOffset() > r.digest.Size:
		return status.Errorf(codes.OutOfRange, "offset %d of %d bytes", req.GetReadOffset(), r.digest.Size)
	case req.GetReadLimit() < 0:
		return status.Error(codes.InvalidArgument, "the limit is negative")
	case r.compressed && req.GetReadLimit() != 0:
		return status.Error(codes.InvalidArgument, "a compressed read has no limit")
	}
	blob, err := f.open(ctx, r.instance, blobstore.Key{Space: space, Digest: r.digest})
	if err != nil {
		return statusError(err)
	}
	defer blob.Close() //nolint:errcheck // only read
	if _, err := blob.Seek(req.GetReadOffset(), io.SeekStart); err != nil {
		return statusError(err)
	}
	var from io.Reader = blob
	if limit := req.GetReadLimit(); limit > 0 {
		from = io.LimitReader(blob, limit)
	}
	to := &messageWriter{ctx: ctx, throttle: f.throttle, out: out}
	if !r.compressed {
		return statusError(copyChunks(to, from))
	}
	encoder, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return statusError(err)
	}
	if err := copyChunks(encoder, from); err != nil {
		_ = encoder.Close()
		return statusError(err)
	}
	return statusError(encoder.Close())
}

// messageWriter is an io.Writer that sends data to a client in messages of at most chunkSize
// bytes.
type messageWriter struct {
	ctx      context.Context // the call's context
	throttle func(ctx context.Context, bytes int) error
	out      bytestream.ByteStream_ReadServer
}

// Write implements io.Writer. It fails at the call's deadline, which depends on the size of
// the blob, if the client reads too slowly.
func (w *messageWriter) Write(data []byte) (int, error) {
	n := 0
	for n < len(data) {
		if err := w.ctx.Err(); err != nil {
			return n, err
		}
		message := data[n:min(len(data), n+chunkSize)]
		if err := w.throttle(w.ctx, len(message)); err != nil {
			return n, err
		}
		if err := w.out.Send(&bytestream.ReadResponse{Data: message}); err != nil {
			return n, err
		}
		n += len(message)
	}
	return n, nil
}

// Write receives a blob. An interrupted write can be resumed under the same resource name,
// here or on a peer, at the offset that QueryWriteStatus returns.
func (f *FrontEnd) Write(in bytestream.ByteStream_WriteServer) error {
	first, err := in.Recv()
	if err != nil {
		return err
	}
	r, err := parseResource(first.GetResourceName(), true)
	if err != nil {
		return err
	}
	addTransferCost(in.Context(), r.digest.Size)
	space, err := f.authorize(in.Context(), r.instance, verbWrite)
	if err != nil {
		return err
	}
	key := blobstore.Key{Space: space, Digest: r.digest}
	if r.digest.IsEmpty() || f.store.Has(key) {
		// The client need not send the blob. As the API defines, the committed size is that
		// of the whole blob, or -1 if the write is compressed.
		size := r.digest.Size
		if r.compressed {
			size = -1
		}
		return in.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
	}
	name := uploadKey(space, first.GetResourceName())
	upload, err := f.acquireUpload(in.Context(), name, first, key, r)
	if err != nil {
		return err
	}
	resumable, err := f.receive(in, first, upload, r)
	if err != nil {
		f.uploads.release(name, upload, resumable)
		return statusError(err)
	}
	size := upload.received.Load()
	err = upload.finish(f.store)
	var full *blobstore.FullError
	f.uploads.release(name, upload, errors.As(err, &full))
	if err != nil {
		return statusError(err)
	}
	f.replicate(in.Context(), r.instance, space, []blobstore.Digest{r.digest})
	return in.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
}

// acquireUpload opens a write and reserves it for the calling handler. If the client resumes the
// write at an offset beyond the bytes that this front end has received, acquireUpload fetches
// the missing bytes from a peer.
func (f *FrontEnd) acquireUpload(ctx context.Context, name string, first *bytestream.WriteRequest, key blobstore.Key, r resource) (*pendingUpload, error) {
	begin := func() (*pendingUpload, error) { return f.openUpload(name, key, r.compressed) }
	upload, err := f.uploads.acquire(name, begin)
	if err == nil && first.GetWriteOffset() == 0 && upload.received.Load() > 0 {
		// A client that starts at offset 0 restarts the write.
		f.uploads.release(name, upload, false)
		upload, err = f.uploads.acquire(name, begin)
	}
	if err != nil {
		return nil, err
	}
	if first.GetWriteOffset() > upload.received.Load() && first.GetWriteOffset() <= r.digest.Size {
		if err := f.fetchReceived(ctx, r.instance, first.GetResourceName(), upload, first.GetWriteOffset()); err != nil {
			f.uploads.release(name, upload, upload.received.Load() > 0)
			return nil, err
		}
	}
	return upload, nil
}

// receive stores messages until the client finishes the write. resumable reports whether the
// write can be resumed after an error.
func (f *FrontEnd) receive(in bytestream.ByteStream_WriteServer, message *bytestream.WriteRequest, upload *pendingUpload, r resource) (resumable bool, err error) {
	deadline := time.Now().Add(transferTime(r.digest.Size))
	name := message.GetResourceName()
	for {
		if message.GetResourceName() != "" && message.GetResourceName() != name {
			return true, status.Error(codes.InvalidArgument, "the resource name changes in the middle")
		}
		if message.GetWriteOffset() != upload.received.Load() {
			return true, status.Errorf(codes.InvalidArgument, "offset %d, but %d bytes have come", message.GetWriteOffset(), upload.received.Load())
		}
		if err := f.throttle(in.Context(), len(message.GetData())); err != nil {
			return true, err
		}
		if err := upload.write(message.GetData()); err != nil {
			return false, err
		}
		if message.GetFinishWrite() {
			return false, nil
		}
		if time.Now().After(deadline) {
			return true, status.Error(codes.DeadlineExceeded, "the write takes too long")
		}
		if message, err = in.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return true, status.Error(codes.InvalidArgument, "the write ended without being finished")
			}
			return true, err
		}
	}
}

// QueryWriteStatus returns the number of bytes of a write that this front end or a peer has
// received.
func (f *FrontEnd) QueryWriteStatus(ctx context.Context, req *bytestream.QueryWriteStatusRequest) (*bytestream.QueryWriteStatusResponse, error) {
	r, err := parseResource(req.GetResourceName(), true)
	if err != nil {
		return nil, err
	}
	space, err := f.authorize(ctx, r.instance, verbWrite)
	if err != nil {
		return nil, err
	}
	if r.digest.IsEmpty() || f.store.Has(blobstore.Key{Space: space, Digest: r.digest}) {
		return &bytestream.QueryWriteStatusResponse{CommittedSize: r.digest.Size, Complete: true}, nil
	}
	size := f.receivedLocally(uploadKey(space, req.GetResourceName()))
	if size == 0 {
		_, size, _ = f.receivedByPeers(ctx, r.instance, req.GetResourceName())
	}
	return &bytestream.QueryWriteStatusResponse{CommittedSize: size}, nil
}
