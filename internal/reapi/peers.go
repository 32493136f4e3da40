package reapi

import (
	"cmp"
	"context"
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

	"micaspindle/internal/reapi/inspection"
	"micaspindle/internal/retry"
)

const (
	// peerTimeout is the timeout of a small call to a peer.
	peerTimeout = 2 * time.Second
	// openCircuitTimeout is the timeout of a call to a peer whose circuit breaker is open.
	openCircuitTimeout = 200 * time.Millisecond
	// defaultGrace is the grace period if the configuration sets none.
	defaultGrace = 2 * time.Minute
)

// Backoff of reconnections to a peer.
const (
	minReconnectDelay   = 50 * time.Millisecond
	maxReconnectDelay   = time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
)

// peerBackoff is the time for which the circuit breaker of a peer that did not answer stays
// open.
var peerBackoff = retry.Backoff{First: 3 * time.Second, Max: 6 * time.Second}

// Peers are the other front ends of a group. A blob is copied to some of them before its
// upload is acknowledged, and can be read from any that has it.
type Peers struct {
	// Copies is the replication factor: the number of front ends, including this one, that
	// hold a blob while enough of them can be reached.
	Copies int
	peers  []*peer
	log    *slog.Logger
	// UnderReplicated is the number of blobs acknowledged with fewer than Copies copies.
	UnderReplicated atomic.Int64
}

// NewPeers creates the peers of a front end. conns maps their addresses to connections.
func NewPeers(copies int, conns map[string]*grpc.ClientConn, log *slog.Logger) *Peers {
	peers := &Peers{Copies: copies, log: log}
	for addr, conn := range conns {
		peers.peers = append(peers.peers, &peer{
			addr:        addr,
			circuit:     retry.CircuitBreaker{OpenTime: peerBackoff, JitterKey: addr},
			cas:         repb.NewContentAddressableStorageClient(conn),
			actionCache: repb.NewActionCacheClient(conn),
			bytes:       bytestream.NewByteStreamClient(conn),
			service:     inspection.NewNeighboursClient(conn),
		})
	}
	return peers
}

// DialPeer connects to a peer. The delay between reconnection attempts stays within a second,
// whereas the default backoff of gRPC grows to two minutes.
func DialPeer(addr string, secure credentials.TransportCredentials) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(secure),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: peerTimeout,
			Backoff: backoff.Config{
				BaseDelay:  minReconnectDelay,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   maxReconnectDelay,
			},
		}))
}

// ranked returns all peers in the rendezvous order of a hash, which is the same on every
// front end.
func (p *Peers) ranked(hash string) []*peer {
	type weighted struct {
		peer   *peer
		weight uint64
	}
	var list []weighted
	for _, peer := range p.peers {
		list = append(list, weighted{peer, rendezvousWeight(peer.addr, hash)})
	}
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	peers := make([]*peer, len(list))
	for i, w := range list {
		peers[i] = w.peer
	}
	return peers
}

// available returns the peers whose circuit breaker is closed, in the rendezvous order of a
// hash.
func (p *Peers) available(hash string) []*peer {
	if p == nil {
		return nil
	}
	now := time.Now()
	return slices.DeleteFunc(p.ranked(hash), func(peer *peer) bool { return peer.circuit.Open(now) })
}

// reachableFirst returns all peers in the rendezvous order of a hash, but those whose circuit
// breaker is open come last.
func (p *Peers) reachableFirst(hash string) []*peer {
	if p == nil {
		return nil
	}
	peers := p.available(hash)
	for _, peer := range p.ranked(hash) {
		if !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// rendezvousWeight returns the weight of a front end for a hash. The rendezvous order of the
// hash is by descending weight.
func rendezvousWeight(addr, hash string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, addr+" "+hash)
	return h.Sum64()
}

// peer is another front end of the group.
type peer struct {
	addr        string
	cas         repb.ContentAddressableStorageClient
	actionCache repb.ActionCacheClient
	bytes       bytestream.ByteStreamClient
	service     inspection.NeighboursClient
	circuit     retry.CircuitBreaker
	outage      outage
}

// call makes a call to the peer and marks it as a call between front ends. If the peer does
// not answer, its circuit breaker opens.
func (p *peer) call(ctx context.Context, timeout time.Duration, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, peerMetadataKey, "1"), timeout)
	defer cancel()
	err := call(ctx)
	if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded && ctx.Err() != nil {
		p.circuit.Done(time.Now(), false)
	} else if err == nil {
		p.circuit.Done(time.Now(), true)
		p.outage.answered()
	}
	return err
}

// effectiveTimeout returns the timeout of a call, given its usual timeout: it is shorter while the
// peer's circuit breaker is open.
func (p *peer) effectiveTimeout(timeout time.Duration) time.Duration {
	if p.circuit.Open(time.Now()) {
		return min(timeout, openCircuitTimeout)
	}
	return timeout
}

// outage measures the time for which a peer has not answered. Failures of forwarded results and
// pings are recorded; any successful call ends the outage. The zero value means no outage.
type outage struct {
	mu                 sync.Mutex
	start, lastFailure time.Time
}

// failed records an unanswered call. If the previous one was long ago, the peer may have been
// up in between, so a new outage starts.
func (o *outage) failed(now time.Time, grace time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.start.IsZero() || now.Sub(o.lastFailure) > grace/2 {
		o.start = now
	}
	o.lastFailure = now
}

// answered records an answered call, which ends the outage.
func (o *outage) answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.start = time.Time{}
}

// exceeds reports whether the outage has lasted for longer than the grace period.
func (o *outage) exceeds(now time.Time, grace time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.start.IsZero() && now.Sub(o.start) > grace
}

// grace returns the grace period, after which a peer that does not answer is assumed to be lost.
func (f *FrontEnd) grace() time.Duration {
	if f.config.Grace > 0 {
		return f.config.Grace
	}
	return defaultGrace
}
