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

// transferTime is how long a transfer of so many bytes may take.
func transferTime(n int64) time.Duration {
	return callTime + time.Duration(float64(n)/slowest*float64(time.Second))
}

// Read sends a blob, or a part of it, compressed if the name asks for it.
func (g *FrontEnd) Read(req *bytestream.ReadRequest, out bytestream.ByteStream_ReadServer) error {
	r, err := parseResource(req.GetResourceName(), false)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(out.Context(), transferTime(r.digest.Size))
	defer cancel()
	weigh(ctx, r.digest.Size)
	space, err := g.space(ctx, r.instance, verbRead)
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
	blob, err := g.open(ctx, r.instance, blobstore.Key{Space: space, Digest: r.digest})
	if err != nil {
		return failure(err)
	}
	defer blob.Close() //nolint:errcheck // only read
	if _, err := blob.Seek(req.GetReadOffset(), io.SeekStart); err != nil {
		return failure(err)
	}
	var from io.Reader = blob
	if limit := req.GetReadLimit(); limit > 0 {
		from = io.LimitReader(blob, limit)
	}
	to := &sender{ctx: ctx, pace: g.pace, out: out}
	if !r.compressed {
		_, err = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, chunk))
		return failure(err)
	}
	enc, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return failure(err)
	}
	if _, err := io.CopyBuffer(struct{ io.Writer }{enc}, struct{ io.Reader }{from}, make([]byte, chunk)); err != nil {
		_ = enc.Close()
		return failure(err)
	}
	return failure(enc.Close())
}

// sender writes to a stream in messages of bounded size, for as long as the call
// has time.
type sender struct {
	ctx  context.Context
	pace func(ctx context.Context, bytes int) error
	out  bytestream.ByteStream_ReadServer
}

// Write sends bytes. A client that reads too slowly has its call ended by the
// time that a transfer of this size may take.
func (s *sender) Write(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if err := s.ctx.Err(); err != nil {
			return n, err
		}
		part := p[n:min(len(p), n+chunk)]
		if err := s.pace(s.ctx, len(part)); err != nil {
			return n, err
		}
		if err := s.out.Send(&bytestream.ReadResponse{Data: part}); err != nil {
			return n, err
		}
		n += len(part)
	}
	return n, nil
}

// Write receives a blob. A broken write can be gone on with under the same name
// at the offset that QueryWriteStatus tells, here or at another gate.
func (g *FrontEnd) Write(in bytestream.ByteStream_WriteServer) error {
	first, err := in.Recv()
	if err != nil {
		return err
	}
	name := first.GetResourceName()
	r, err := parseResource(name, true)
	if err != nil {
		return err
	}
	weigh(in.Context(), r.digest.Size)
	space, err := g.space(in.Context(), r.instance, verbWrite)
	if err != nil {
		return err
	}
	key := blobstore.Key{Space: space, Digest: r.digest}
	if r.digest.IsEmpty() || g.store.Has(key) {
		// There already: the client need not go on. The size told is that of the
		// whole blob, or -1 where it came compressed.
		size := r.digest.Size
		if r.compressed {
			size = -1
		}
		return in.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
	}
	own := ownName(space, name)
	begin := func() (*partial, error) { return g.begin(own, key, r.compressed) }
	p, err := g.uploads.take(own, begin)
	if err == nil && first.GetWriteOffset() == 0 && p.received.Load() > 0 {
		// Who does not ask how much has come begins anew.
		g.uploads.putBack(own, p, false)
		p, err = g.uploads.take(own, begin)
	}
	if err != nil {
		return err
	}
	if first.GetWriteOffset() > p.received.Load() && first.GetWriteOffset() <= r.digest.Size {
		if err := g.catchUp(in.Context(), r.instance, name, p, first.GetWriteOffset()); err != nil {
			g.uploads.putBack(own, p, p.received.Load() > 0)
			return err
		}
	}
	keep, err := g.receive(in, first, p, r)
	if err != nil {
		g.uploads.putBack(own, p, keep)
		return failure(err)
	}
	size := p.received.Load()
	err = p.finish(g.store)
	var full *blobstore.FullError
	g.uploads.putBack(own, p, errors.As(err, &full))
	if err != nil {
		return failure(err)
	}
	g.spread(in.Context(), r.instance, space, []blobstore.Digest{r.digest})
	return in.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
}

// receive takes messages until the client finishes the write; keep says whether
// it may be gone on with after an error.
func (g *FrontEnd) receive(in bytestream.ByteStream_WriteServer, msg *bytestream.WriteRequest, p *partial, r resource) (keep bool, err error) {
	end := time.Now().Add(transferTime(r.digest.Size))
	name := msg.GetResourceName()
	for {
		if msg.GetResourceName() != "" && msg.GetResourceName() != name {
			return true, status.Error(codes.InvalidArgument, "the resource name changes in the middle")
		}
		if msg.GetWriteOffset() != p.received.Load() {
			return true, status.Errorf(codes.InvalidArgument, "offset %d, but %d bytes have come", msg.GetWriteOffset(), p.received.Load())
		}
		if err := g.pace(in.Context(), len(msg.GetData())); err != nil {
			return true, err
		}
		if err := p.add(msg.GetData()); err != nil {
			return false, err
		}
		if msg.GetFinishWrite() {
			return false, nil
		}
		if time.Now().After(end) {
			return true, status.Error(codes.DeadlineExceeded, "the write takes too long")
		}
		if msg, err = in.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return true, status.Error(codes.InvalidArgument, "the write ended without being finished")
			}
			return true, err
		}
	}
}

// QueryWriteStatus says how much of a write has come.
func (g *FrontEnd) QueryWriteStatus(ctx context.Context, req *bytestream.QueryWriteStatusRequest) (*bytestream.QueryWriteStatusResponse, error) {
	r, err := parseResource(req.GetResourceName(), true)
	if err != nil {
		return nil, err
	}
	space, err := g.space(ctx, r.instance, verbWrite)
	if err != nil {
		return nil, err
	}
	if r.digest.IsEmpty() || g.store.Has(blobstore.Key{Space: space, Digest: r.digest}) {
		return &bytestream.QueryWriteStatusResponse{CommittedSize: r.digest.Size, Complete: true}, nil
	}
	size := g.begun(ownName(space, req.GetResourceName()))
	if size == 0 {
		_, size, _ = g.begunElsewhere(ctx, r.instance, req.GetResourceName())
	}
	return &bytestream.QueryWriteStatusResponse{CommittedSize: size}, nil
}
