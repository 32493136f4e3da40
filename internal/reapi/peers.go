package reapi

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi/inspection"
	"micaspindle/internal/retry"
)

// peerMark is in the metadata of calls between gates. Such a call is answered
// from this gate's own folder only, so that gates never ask in circles.
const peerMark = "micaspindle-peer"

// replaceMark is in the metadata of a record that replaces one whose blobs are
// lost.
const replaceMark = "micaspindle-replace"

// lookMark is in the metadata of a gate's question what another one holds, where
// nobody relies on the answer: nothing is promised.
const lookMark = "micaspindle-look"

const (
	// peerTime bounds a small call to another gate; one that does not answer is
	// passed over.
	peerTime = 2 * time.Second
)

// peerRest is for how long a gate that did not answer is left alone; the longer it
// does not, the longer.
var peerRest = retry.Backoff{First: 3 * time.Second, Most: 6 * time.Second}

// Peers are the other gates. A blob is written to some of them before the client
// is answered, and read from any that has it.
type Peers struct {
	// Copies is how many gates hold a blob, this one among them, as long as so
	// many can be reached.
	Copies int
	gates  []*peerGate
	log    *slog.Logger
	// Short counts what was answered with fewer copies.
	Short atomic.Int64
}

type peerGate struct {
	addr    string
	cas     repb.ContentAddressableStorageClient
	ac      repb.ActionCacheClient
	bytes   bytestream.ByteStreamClient
	mates   inspection.NeighboursClient
	circuit retry.Circuit
	silence silence
}

// silence is for how long a gate has not answered, as far as it was asked.
type silence struct {
	mu          sync.Mutex
	since, last time.Time
}

// failed notes that it did not answer now. What is not asked for long proves
// nothing, so that its silence begins anew.
func (s *silence) failed(now time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.last) > grace/2 {
		s.since = now
	}
	s.last = now
}

func (s *silence) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// over says whether a gate has been silent for longer than the grace.
func (s *silence) over(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.since.IsZero() && now.Sub(s.since) > grace
}

// grace is how long a gate may be silent before it counts as gone.
func (g *FrontEnd) grace() time.Duration {
	if g.config.Grace > 0 {
		return g.config.Grace
	}
	return defaultGrace
}

// defaultGrace is for gates whose settings say nothing.
const defaultGrace = 2 * time.Minute

// brief bounds a call to a gate that did not answer a moment ago.
const brief = 200 * time.Millisecond

// reach are the other gates in the digest's order; those that did not answer a
// moment ago come last, and are given little time.
func (p *Peers) reach(hash string) []*peerGate {
	active := p.inOrder(hash)
	if p == nil {
		return nil
	}
	for _, g := range p.rank(hash) {
		if !slices.Contains(active, g) {
			active = append(active, g)
		}
	}
	return active
}

// timeFor is how long a call to a gate may take that would have a limit.
func (g *peerGate) timeFor(limit time.Duration) time.Duration {
	if g.circuit.Open(time.Now()) {
		return min(limit, brief)
	}
	return limit
}

// weight is a gate's place in the order of a hash.
func weight(addr, hash string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, addr+" "+hash)
	return h.Sum64()
}

// DialPeer connects to another gate. One that comes back is reached again within a
// second: gRPC's own pauses between tries grow to two minutes.
func DialPeer(addr string, secure credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(secure),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: peerTime,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}))
}

// NewPeers speaks to other gates; conns are by address.
func NewPeers(copies int, conns map[string]*grpc.ClientConn, log *slog.Logger) *Peers {
	p := &Peers{Copies: copies, log: log}
	for addr, c := range conns {
		p.gates = append(p.gates, &peerGate{addr: addr, circuit: retry.Circuit{Rest: peerRest, Who: addr}, cas: repb.NewContentAddressableStorageClient(c), ac: repb.NewActionCacheClient(c), bytes: bytestream.NewByteStreamClient(c), mates: inspection.NewNeighboursClient(c)})
	}
	return p
}

// inOrder are the other gates that are not left alone, in an order that is the
// digest's own and the same on every gate.
func (p *Peers) inOrder(hash string) []*peerGate {
	if p == nil {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(p.rank(hash), func(g *peerGate) bool { return g.circuit.Open(now) })
}

// rank are all other gates in the digest's order.
func (p *Peers) rank(hash string) []*peerGate {
	type weighed struct {
		gate   *peerGate
		weight uint64
	}
	var list []weighed
	for _, g := range p.gates {
		list = append(list, weighed{g, weight(g.addr, hash)})
	}
	slices.SortFunc(list, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*peerGate, len(list))
	for i, w := range list {
		out[i] = w.gate
	}
	return out
}

// call makes a call to another gate and leaves it alone for a while if it does
// not answer.
func (g *peerGate) call(ctx context.Context, limit time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, peerMark, "1"), limit)
	defer cancel()
	err := f(ctx)
	if c := status.Code(err); c == codes.Unavailable || c == codes.DeadlineExceeded && ctx.Err() != nil {
		g.circuit.Done(time.Now(), false)
	} else if err == nil {
		g.circuit.Done(time.Now(), true)
		g.silence.answered()
	}
	return err
}

// fromPeer says whether a call comes from another gate.
func (g *FrontEnd) fromPeer(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(peerMark)) > 0 && g.config.IsPeer != nil && g.config.IsPeer(ctx)
}

// missing says which blobs neither this gate nor another one has. Whoever has
// one promises it.
func (g *FrontEnd) missing(ctx context.Context, instance, space string, digests []blobstore.Digest) []blobstore.Digest {
	if g.fromPeer(ctx) {
		if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(lookMark)) > 0 {
			return g.store.Lacks(space, digests)
		}
		return g.store.Missing(space, digests)
	}
	left := g.store.Missing(space, digests)
	for _, p := range g.peers.reach("") {
		if len(left) == 0 {
			break
		}
		function := left[0].Function // that of the call they come with
		req := &repb.FindMissingBlobsRequest{InstanceName: instance, DigestFunction: FunctionOnWire(function)}
		for _, d := range left {
			req.BlobDigests = append(req.BlobDigests, wire(d))
		}
		err := p.call(ctx, p.timeFor(peerTime), func(ctx context.Context) error {
			resp, err := p.cas.FindMissingBlobs(ctx, req)
			if err != nil {
				return err
			}
			left = left[:0:0]
			for _, d := range resp.GetMissingBlobDigests() {
				left = append(left, digestIn(function, d))
			}
			return nil
		})
		if err != nil {
			g.log.Debug("peer not asked", "peer", p.addr, "reason", err)
		}
	}
	return left
}

// open opens a blob, fetched from another gate if it is not here.
func (g *FrontEnd) open(ctx context.Context, instance string, k blobstore.Key) (*blobstore.Reader, error) {
	r, err := g.store.Open(k)
	if !errors.Is(err, blobstore.ErrNotFound) || g.fromPeer(ctx) {
		return r, err
	}
	for _, p := range g.peers.reach(k.Hash) {
		ferr := p.call(ctx, p.timeFor(transferTime(k.Size)), func(ctx context.Context) error { return g.fetch(ctx, p, instance, k) })
		if ferr == nil {
			return g.store.Open(k)
		}
		var full *blobstore.FullError
		if errors.As(ferr, &full) {
			return nil, ferr
		}
		if status.Code(ferr) != codes.NotFound {
			g.log.Debug("blob not fetched", "peer", p.addr, "reason", ferr)
		}
	}
	return nil, err
}

// read reads a whole blob, fetched from another gate if it is not here.
func (g *FrontEnd) read(ctx context.Context, instance string, k blobstore.Key, limit int64) ([]byte, error) {
	if k.Size > limit {
		return g.store.Read(k, limit) // says so
	}
	r, err := g.open(ctx, instance, k)
	if err != nil {
		return nil, err
	}
	defer r.Close() //nolint:errcheck // only read
	return io.ReadAll(r)
}

// fetch copies a blob from another gate.
func (g *FrontEnd) fetch(ctx context.Context, p *peerGate, instance string, k blobstore.Key) error {
	from, err := p.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: within(instance, "blobs/"+k.Digest.String())})
	if err != nil {
		return err
	}
	// Room is taken only once the other gate has begun to send.
	msg, err := from.Recv()
	if err != nil {
		return err
	}
	u, err := g.store.Create(k)
	if err != nil {
		return err
	}
	defer u.Abort()
	for {
		if _, err := u.Write(msg.GetData()); err != nil {
			return err
		}
		if msg, err = from.Recv(); errors.Is(err, io.EOF) {
			return u.Commit()
		} else if err != nil {
			return err
		}
	}
}

func within(instance, name string) string {
	if instance == "" {
		return name
	}
	return instance + "/" + name
}

// spread writes blobs that are here to as many other gates as there should be
// copies. A gate that can't be reached is passed over for the next one; if too
// few are left, the blobs stay with fewer copies, which is counted and logged.
func (g *FrontEnd) spread(ctx context.Context, instance, space string, digests []blobstore.Digest) {
	if g.peers == nil || g.peers.Copies < 2 || g.fromPeer(ctx) {
		return
	}
	for _, d := range digests {
		if d.IsEmpty() {
			continue
		}
		copies := 1
		for _, p := range g.peers.inOrder(d.Hash) {
			if copies == g.peers.Copies {
				break
			}
			err := p.call(ctx, transferTime(d.Size), func(ctx context.Context) error {
				return g.push(ctx, p, instance, blobstore.Key{Space: space, Digest: d})
			})
			if err != nil {
				g.log.Debug("blob not copied", "peer", p.addr, "reason", err)
				continue
			}
			copies++
		}
		if copies < g.peers.Copies {
			if n := g.peers.Short.Add(1); n&(n-1) == 0 {
				g.log.Warn("blobs with too few copies", "so_far", n, "copies", copies, "wanted", g.peers.Copies)
			}
		}
	}
}

// push writes a blob to another gate.
func (g *FrontEnd) push(ctx context.Context, p *peerGate, instance string, k blobstore.Key) error {
	r, err := g.store.Open(k)
	if err != nil {
		return err
	}
	defer r.Close() //nolint:errcheck // only read
	if k.Size <= chunk {
		data, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		resp, err := p.cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{InstanceName: instance, DigestFunction: FunctionOnWire(k.Function),
			Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: wire(k.Digest), Data: data}}})
		if err == nil && len(resp.GetResponses()) == 1 {
			err = status.FromProto(resp.Responses[0].GetStatus()).Err()
		}
		return err
	}
	w, err := p.bytes.Write(ctx)
	if err != nil {
		return err
	}
	buf := make([]byte, chunk)
	name := within(instance, "uploads/"+randomName()+"/blobs/"+k.Digest.String())
	for sent := int64(0); sent < k.Size; {
		n, err := io.ReadFull(r, buf[:min(chunk, k.Size-sent)])
		if err != nil {
			return err
		}
		if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: sent, Data: buf[:n], FinishWrite: sent+int64(n) == k.Size}); err != nil {
			break // the answer says why, or that it is there already
		}
		sent += int64(n)
	}
	_, err = w.CloseAndRecv()
	return err
}

// peerResult asks the other gates for an action's result.
func (g *FrontEnd) peerResult(ctx context.Context, instance string, action blobstore.Digest) *repb.ActionResult {
	for _, p := range g.peers.reach(action.Hash) {
		var result *repb.ActionResult
		err := p.call(ctx, p.timeFor(peerTime), func(ctx context.Context) (err error) {
			result, err = p.ac.GetActionResult(ctx, &repb.GetActionResultRequest{InstanceName: instance, ActionDigest: wire(action), DigestFunction: FunctionOnWire(action.Function)})
			return err
		})
		if err == nil {
			return result
		}
	}
	return nil
}

// spreadResult writes a result to as many other gates as there should be copies.
func (g *FrontEnd) spreadResult(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult) {
	g.spreadRecord(ctx, instance, action, result, false)
}

// spreadRecord is spreadResult; replace says that what the others have is lost.
func (g *FrontEnd) spreadRecord(ctx context.Context, instance string, action blobstore.Digest, result *repb.ActionResult, replace bool) {
	if replace {
		ctx = metadata.AppendToOutgoingContext(ctx, replaceMark, "1")
	}
	if g.peers == nil || g.fromPeer(ctx) {
		return
	}
	copies := 1
	for _, p := range g.peers.inOrder(action.Hash) {
		if copies >= g.peers.Copies {
			break
		}
		err := p.call(ctx, peerTime, func(ctx context.Context) error {
			_, err := p.ac.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: wire(action), ActionResult: result, DigestFunction: FunctionOnWire(action.Function)})
			return err
		})
		if err == nil {
			copies++
		}
	}
}
