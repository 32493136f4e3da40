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

// An interrupted write can be resumed: at this front end, also after a restart, or at a
// peer, which then fetches what was received here. Compressed data is stored as it
// arrives and decompressed at the end.

// uploads are the writes in progress and the interrupted ones, by uploadKey.
type uploads struct {
	mu   sync.Mutex
	open map[string]*pendingUpload
}

// pendingUpload is a write that has begun. One call at a time owns it.
type pendingUpload struct {
	busy bool
	last time.Time // when a call last released it
	key  blobstore.Key
	// One of the two receives the bytes: upload if they are the blob's, packed if they
	// are compressed.
	upload *blobstore.Upload
	packed *blobstore.Spool
	// received is how many bytes have arrived, compressed or not.
	received atomic.Int64
}

const (
	// maxUploads bounds the writes in progress and the interrupted ones.
	maxUploads = 1024
	// resumeFor is how long an interrupted write can be resumed.
	resumeFor = 5 * time.Minute
	// expansionDivisor bounds how much compression may enlarge a blob: data that does not
	// compress grows by a few bytes per block.
	expansionDivisor = 128
)

// expire discards interrupted writes that were not resumed in time. The lock is held.
func (u *uploads) expire(now time.Time) {
	for name, upload := range u.open {
		if !upload.busy && now.Sub(upload.last) > resumeFor {
			upload.discard()
			delete(u.open, name)
		}
	}
}

// sweep discards interrupted writes that were not resumed in time.
func (u *uploads) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
}

// take makes the caller the owner of a write, which begin opens if there is none.
func (u *uploads) take(name string, begin func() (*pendingUpload, error)) (*pendingUpload, error) {
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
			return nil, failure(err)
		}
		u.open[name] = upload
	}
	upload.busy = true
	return upload, nil
}

// putBack ends the ownership of a write. keep says whether it can be resumed.
func (u *uploads) putBack(name string, upload *pendingUpload, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upload.busy, upload.last = false, time.Now()
	if !keep {
		upload.discard()
		delete(u.open, name)
	}
}

// discard deletes what was received.
func (p *pendingUpload) discard() {
	if p.packed != nil {
		p.packed.Abort()
		return
	}
	p.upload.Abort()
}

// openUpload opens a write, with what an earlier process received of it.
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
		if upload.packed, err = f.store.Spool(name, key.Space, key.Size+key.Size/expansionDivisor+chunkSize); err == nil {
			upload.received.Store(upload.packed.Size())
		}
		return upload, err
	}
	if upload.upload, err = f.store.Resume(name, key); err == nil {
		upload.received.Store(upload.upload.Size())
	}
	return upload, err
}

// add stores bytes as they arrive.
func (p *pendingUpload) add(data []byte) error {
	var to io.Writer = p.upload
	if p.packed != nil {
		to = p.packed
	}
	n, err := to.Write(data)
	p.received.Add(int64(n))
	return err
}

// finish verifies the blob and commits it. If the store has no room to decompress it, the
// write can be finished again later.
func (p *pendingUpload) finish(store *blobstore.Store) error {
	if p.packed == nil {
		return p.upload.Commit()
	}
	upload, err := store.Create(p.key)
	if err != nil {
		return err
	}
	defer upload.Abort()
	decoder, err := zstd.NewReader(p.packed.Reader(), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindow))
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

// copyChunks copies with a buffer of chunkSize. It hides ReaderFrom and WriterTo, which
// would choose chunks of their own.
func copyChunks(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, chunkSize))
	return err
}

// uploadKey is the key of a write among those of all teams.
func uploadKey(space, resource string) string { return space + "\x00" + resource }

// receivedHere returns how many bytes of a write were received here; 0 while a call is
// writing it.
func (f *FrontEnd) receivedHere(key string) int64 {
	f.uploads.mu.Lock()
	defer f.uploads.mu.Unlock()
	if upload := f.uploads.open[key]; upload != nil {
		if upload.busy {
			return 0
		}
		return upload.received.Load()
	}
	return f.store.Received(key)
}

// receivedElsewhere asks the peers how many bytes of a write they received and returns the
// one with the most, nil if none has any. sure says that all peers answered.
func (f *FrontEnd) receivedElsewhere(ctx context.Context, instance, resource string) (at *peer, size int64, sure bool) {
	sure = true
	if f.peers == nil || f.fromPeer(ctx) {
		return nil, 0, sure
	}
	for _, p := range f.peers.reachableFirst(resource) {
		err := p.call(ctx, p.timeFor(peerTimeout), func(ctx context.Context) error {
			stream, err := p.service.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Look: true})
			if err != nil {
				return err
			}
			first, err := stream.Recv()
			if err == nil && first.GetSize() > size {
				at, size = p, first.GetSize()
			}
			return err
		})
		if err != nil {
			f.log.Debug("query for write at peer failed", "peer", p.addr, "error", err)
			sure = false
		}
	}
	return at, size, sure
}

// fetchReceived fetches what a peer received of a write, up to the offset at which the
// client resumes it here. If no peer received that much, it fetches nothing, and the
// write fails by its offset.
func (f *FrontEnd) fetchReceived(ctx context.Context, instance, resource string, upload *pendingUpload, offset int64) error {
	unavailable := retryLater(codes.Unavailable, time.Second, "the write was begun at a front end that does not answer now; ask how much of it has come")
	from, size, sure := f.receivedElsewhere(ctx, instance, resource)
	if size < offset {
		if sure {
			return nil
		}
		return unavailable
	}
	err := from.call(ctx, transferTime(offset), func(ctx context.Context) error {
		stream, err := from.service.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Offset: upload.received.Load()})
		for err == nil && upload.received.Load() < offset {
			var reply *inspection.BegunReply
			if reply, err = stream.Recv(); err == nil {
				data := reply.GetData()
				err = upload.add(data[:min(int64(len(data)), offset-upload.received.Load())])
			}
		}
		return err
	})
	if err != nil {
		f.log.Info("resumption of write from peer failed", "peer", from.addr, "error", err)
		return unavailable
	}
	return nil
}
