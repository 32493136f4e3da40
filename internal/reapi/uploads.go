package reapi

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi/inspection"
)

// An interrupted write can be resumed on this front end, also after a restart, or on a peer,
// which then fetches the bytes that were received here. Compressed data is spooled as it
// arrives and decompressed when the write is finished.

// uploads holds the writes in progress and the interrupted ones, by uploadKey.
type uploads struct {
	mu   sync.Mutex
	open map[string]*pendingUpload
}

// pendingUpload is an unfinished write. At most one call at a time uses it.
type pendingUpload struct {
	busy       bool
	releasedAt time.Time // last release by a call
	key        blobstore.Key
	// Uncompressed data is written to upload, compressed data to spool. The other is nil.
	upload *blobstore.Upload
	spool  *blobstore.Spool
	// received is the number of bytes received, before any decompression.
	received atomic.Int64
}

const (
	// maxUploads is the maximum number of unfinished writes, interrupted ones included.
	maxUploads = 1024
	// resumeWindow is the time for which an interrupted write can be resumed.
	resumeWindow = 5 * time.Minute
	// Compressed data may exceed the size of its blob by 1/expansionDivisor, since
	// incompressible data grows by a few bytes per block.
	expansionDivisor = 128
)

// expire discards interrupted writes that were not resumed in time. The caller holds mu.
func (u *uploads) expire(now time.Time) {
	for name, upload := range u.open {
		if !upload.busy && now.Sub(upload.releasedAt) > resumeWindow {
			upload.discard()
			delete(u.open, name)
		}
	}
}

// sweep locks mu and calls expire.
func (u *uploads) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
}

// acquire reserves a write for the caller. If the write is not open, begin opens it.
func (u *uploads) acquire(name string, begin func() (*pendingUpload, error)) (*pendingUpload, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	upload := u.open[name]
	if upload != nil && upload.busy {
		return nil, status.Error(codes.Aborted, "another call writes this upload")
	}
	if upload == nil {
		if len(u.open) >= maxUploads {
			return nil, retryLater(codes.ResourceExhausted, time.Second, "%d uploads are under way", maxUploads)
		}
		var err error
		if upload, err = begin(); err != nil {
			return nil, statusError(err)
		}
		u.open[name] = upload
	}
	upload.busy = true
	return upload, nil
}

// release ends the caller's use of a write. Unless the write is resumable, it is discarded.
func (u *uploads) release(name string, upload *pendingUpload, resumable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upload.busy, upload.releasedAt = false, time.Now()
	if !resumable {
		upload.discard()
		delete(u.open, name)
	}
}

// discard deletes the received data.
func (p *pendingUpload) discard() {
	if p.spool != nil {
		p.spool.Abort()
		return
	}
	p.upload.Abort()
}

// openUpload opens a write. It continues with the data that an earlier process received, if any.
func (f *FrontEnd) openUpload(name string, key blobstore.Key, compressed bool) (*pendingUpload, error) {
	upload := &pendingUpload{key: key}
	var err error
	if compressed {
		if err := key.Check(); err != nil {
			return nil, err
		}
		if key.Size > f.config.MaxBlob {
			return nil, blobstore.ErrTooLarge
		}
		if upload.spool, err = f.store.Spool(name, key.Space, key.Size+key.Size/expansionDivisor+chunkSize); err == nil {
			upload.received.Store(upload.spool.Size())
		}
		return upload, err
	}
	if upload.upload, err = f.store.Resume(name, key); err == nil {
		upload.received.Store(upload.upload.Size())
	}
	return upload, err
}

// write appends received bytes to the upload or the spool.
func (p *pendingUpload) write(data []byte) error {
	var dst io.Writer = p.upload
	if p.spool != nil {
		dst = p.spool
	}
	n, err := dst.Write(data)
	p.received.Add(int64(n))
	return err
}

// finish verifies the blob and commits it. A compressed write can be finished again after a
// FullError, which means that the store has no space for the decompressed blob.
func (p *pendingUpload) finish(store *blobstore.Store) error {
	if p.spool == nil {
		return p.upload.Commit()
	}
	upload, err := store.Create(p.key)
	if err != nil {
		return err
	}
	defer upload.Abort()
	decoder, err := zstd.NewReader(p.spool.Reader(), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindowBytes))
	if err != nil {
		return errors.Join(blobstore.ErrMismatch, err)
	}
	defer decoder.Close()
	if err := copyChunks(upload, decoder); err != nil {
		if !errors.Is(err, blobstore.ErrMismatch) {
			err = errors.Join(blobstore.ErrMismatch, err)
		}
		return err
	}
	return upload.Commit()
}

// copyChunks copies with a buffer of chunkSize bytes. The wrappers hide the io.ReaderFrom and
// io.WriterTo implementations, which would use buffers of other sizes.
func copyChunks(dst io.Writer, src io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, make([]byte, chunkSize))
	return err
}

// uploadKey returns the key of a write in uploads, which is unique across teams.
func uploadKey(space, resource string) string { return space + "\x00" + resource }

// receivedLocally returns the number of bytes of a write that this front end has received, or 0
// while a call uses the write.
func (f *FrontEnd) receivedLocally(key string) int64 {
	f.uploads.mu.Lock()
	defer f.uploads.mu.Unlock()
	if upload := f.uploads.open[key]; upload != nil {
		if upload.busy {
			return 0
		}
		return upload.received.Load()
	}
	return f.store.ReceivedBytes(key)
}

// receivedByPeers queries the peers for the number of bytes of a write that they have received.
// It returns the peer with the most bytes, or nil if none has any. allAnswered is false if a
// peer failed to answer.
func (f *FrontEnd) receivedByPeers(ctx context.Context, instance, resource string) (holder *peer, size int64, allAnswered bool) {
	allAnswered = true
	if f.peers == nil || f.fromPeer(ctx) {
		return nil, 0, allAnswered
	}
	for _, p := range f.peers.reachableFirst(resource) {
		err := p.call(ctx, p.effectiveTimeout(peerTimeout), func(ctx context.Context) error {
			stream, err := p.service.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Look: true})
			if err != nil {
				return err
			}
			first, err := stream.Recv()
			if err == nil && first.GetSize() > size {
				holder, size = p, first.GetSize()
			}
			return err
		})
		if err != nil {
			f.log.Debug("could not query upload status from peer", "peer", p.addr, "error", err)
			allAnswered = false
		}
	}
	return holder, size, allAnswered
}

// fetchReceived fetches the bytes of a write that a peer has received, up to the offset at
// which the client resumes the write. If all peers answer and none has that many bytes, it
// fetches nothing, and the caller rejects the offset.
func (f *FrontEnd) fetchReceived(ctx context.Context, instance, resource string, upload *pendingUpload, offset int64) error {
	unavailable := retryLater(codes.Unavailable, time.Second, "the write was begun at a front end that does not answer now; ask how much of it has come")
	holder, size, allAnswered := f.receivedByPeers(ctx, instance, resource)
	if size < offset {
		if allAnswered {
			return nil
		}
		return unavailable
	}
	err := holder.call(ctx, transferTime(offset), func(ctx context.Context) error {
		stream, err := holder.service.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Offset: upload.received.Load()})
		for err == nil && upload.received.Load() < offset {
			var reply *inspection.BegunReply
			if reply, err = stream.Recv(); err == nil {
				data := reply.GetData()
				err = upload.write(data[:min(int64(len(data)), offset-upload.received.Load())])
			}
		}
		return err
	})
	if err != nil {
		f.log.Info("could not fetch upload data from peer", "peer", holder.addr, "error", err)
		return unavailable
	}
	return nil
}
