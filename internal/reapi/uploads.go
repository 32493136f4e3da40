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

// A write that broke may be gone on with: at this gate, also when it was killed and
// started again meanwhile, or at another one, which then fetches what has come
// here. What comes compressed is kept as it came, and unpacked at the end.

// uploads are writes that may be resumed, by their team and resource names.
type uploads struct {
	mu   sync.Mutex
	open map[string]*partial
}

// partial is a write that has begun. One call at a time has it.
type partial struct {
	busy bool
	last time.Time
	key  blobstore.Key
	// One of the two takes the bytes.
	upload *blobstore.Upload
	packed *blobstore.Spool
	// received is how many bytes have come, compressed or not.
	received atomic.Int64
}

const (
	maxUploads = 1024
	// resumeFor is how long a broken write may be gone on with.
	resumeFor = 5 * time.Minute
)

// expire drops broken writes that nobody goes on with, with the lock held.
func (u *uploads) expire(now time.Time) {
	for n, p := range u.open {
		if !p.busy && now.Sub(p.last) > resumeFor {
			p.drop()
			delete(u.open, n)
		}
	}
}

func (u *uploads) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
}

// take gives a write to a call, begun if there is none.
func (u *uploads) take(name string, begin func() (*partial, error)) (*partial, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	p := u.open[name]
	if p != nil && p.busy {
		return nil, status.Error(codes.Aborted, "another call writes this upload")
	}
	if p == nil {
		if len(u.open) >= maxUploads {
			return nil, retryLater(codes.ResourceExhausted, time.Second, "%d uploads are under way", maxUploads)
		}
		var err error
		if p, err = begin(); err != nil {
			return nil, failure(err)
		}
		u.open[name] = p
	}
	p.busy = true
	return p, nil
}

// put back gives a write up; whether it may be resumed is for keep to say.
func (u *uploads) putBack(name string, p *partial, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.busy, p.last = false, time.Now()
	if !keep {
		p.drop()
		delete(u.open, name)
	}
}

func (p *partial) drop() {
	if p.packed != nil {
		p.packed.Drop()
		return
	}
	p.upload.Abort()
}

// begin opens an upload under its name, or goes on with what a process before this
// one has left of it.
func (g *FrontEnd) begin(own string, k blobstore.Key, compressed bool) (*partial, error) {
	p := &partial{key: k}
	var err error
	if compressed {
		// Data that does not shrink grows by a few bytes for each block of it.
		if err := k.Check(); err != nil {
			return nil, err
		}
		if k.Size > g.config.MaxBlob {
			return nil, blobstore.ErrTooLarge
		}
		if p.packed, err = g.store.Spool(own, k.Space, k.Size+k.Size/128+chunk); err == nil {
			p.received.Store(p.packed.Size())
		}
		return p, err
	}
	if p.upload, err = g.store.Resume(own, k); err == nil {
		p.received.Store(p.upload.Size())
	}
	return p, err
}

// add takes bytes as they come.
func (p *partial) add(data []byte) error {
	var to io.Writer = p.upload
	if p.packed != nil {
		to = p.packed
	}
	n, err := to.Write(data)
	p.received.Add(int64(n))
	return err
}

// finish checks and commits. Without room to unpack in, the write may be finished
// again later.
func (p *partial) finish(store *blobstore.Store) error {
	if p.packed == nil {
		return p.upload.Commit()
	}
	u, err := store.Create(p.key)
	if err != nil {
		return err
	}
	defer u.Abort()
	dec, err := zstd.NewReader(p.packed.Reader(), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindow))
	if err != nil {
		return errors.Join(blobstore.ErrMismatch, err)
	}
	defer dec.Close()
	if _, err := io.CopyBuffer(struct{ io.Writer }{u}, struct{ io.Reader }{dec}, make([]byte, chunk)); err != nil {
		if !errors.Is(err, blobstore.ErrMismatch) {
			err = errors.Join(blobstore.ErrMismatch, err)
		}
		return err
	}
	return u.Commit()
}

// ownName is an upload's name among those of all teams.
func ownName(space, resource string) string { return space + "\x00" + resource }

// begun says how much of a write has come here.
func (g *FrontEnd) begun(own string) int64 {
	g.uploads.mu.Lock()
	defer g.uploads.mu.Unlock()
	if p := g.uploads.open[own]; p != nil {
		if p.busy {
			return 0
		}
		return p.received.Load()
	}
	return g.store.Begun(own)
}

// begunElsewhere asks the other gates how much of a write has come there; nil:
// nothing, at those that answer. sure says whether all did.
func (g *FrontEnd) begunElsewhere(ctx context.Context, instance, resource string) (at *peerGate, size int64, sure bool) {
	sure = true
	if g.peers == nil || g.fromPeer(ctx) {
		return nil, 0, sure
	}
	for _, p := range g.peers.reach(resource) {
		err := p.call(ctx, p.timeFor(peerTime), func(ctx context.Context) error {
			s, err := p.mates.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Look: true})
			if err != nil {
				return err
			}
			first, err := s.Recv()
			if err == nil && first.GetSize() > size {
				at, size = p, first.GetSize()
			}
			return err
		})
		if err != nil {
			g.log.Debug("peer not asked for a write", "peer", p.addr, "reason", err)
			sure = false
		}
	}
	return at, size, sure
}

// catchUp fetches from the gate where a write was begun what has come there, up to
// where the client goes on with it here. If no gate has that much, the write's own
// error will say so.
func (g *FrontEnd) catchUp(ctx context.Context, instance, resource string, p *partial, to int64) error {
	gone := retryLater(codes.Unavailable, time.Second, "the write was begun at a gate that does not answer now; ask how much of it has come")
	from, size, sure := g.begunElsewhere(ctx, instance, resource)
	if size < to {
		if sure {
			return nil
		}
		return gone
	}
	err := from.call(ctx, transferTime(to), func(ctx context.Context) error {
		s, err := from.mates.Begun(ctx, &inspection.BegunRequest{Instance: instance, Resource: resource, Offset: p.received.Load()})
		for err == nil && p.received.Load() < to {
			var m *inspection.BegunReply
			if m, err = s.Recv(); err == nil {
				data := m.GetData()
				err = p.add(data[:min(int64(len(data)), to-p.received.Load())])
			}
		}
		return err
	})
	if err != nil {
		g.log.Info("write not gone on with", "peer", from.addr, "reason", err)
		return gone
	}
	return nil
}

// Begun tells another gate how much of a write has come here, and what.
func (n neighbours) Begun(req *inspection.BegunRequest, out inspection.Neighbours_BegunServer) error {
	ctx, g := out.Context(), n.g
	if !g.fromPeer(ctx) {
		return status.Error(codes.PermissionDenied, "gates ask this of each other only")
	}
	team, ok := g.config.Instances[req.GetInstance()]
	if !ok || req.GetOffset() < 0 {
		return status.Errorf(codes.InvalidArgument, "there is no instance %q, or the offset is below 0", clip(req.GetInstance()))
	}
	own := ownName(team, req.GetResource())
	size := g.store.Begun(own)
	if err := out.Send(&inspection.BegunReply{Size: size}); err != nil || req.GetLook() || size == 0 {
		return err
	}
	r, err := g.store.ReadBegun(own, req.GetOffset())
	if err != nil {
		return failure(err)
	}
	defer r.Close() //nolint:errcheck // only read
	buf := make([]byte, chunk)
	for {
		m, err := r.Read(buf)
		if m > 0 {
			if err := out.Send(&inspection.BegunReply{Size: size, Data: buf[:m]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return failure(err)
		}
	}
}
