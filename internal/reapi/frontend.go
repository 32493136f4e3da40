// Package reapi implements the front end for build tools. It serves version 2 of the Remote
// Execution API over gRPC: Capabilities, ContentAddressableStorage, ActionCache, ByteStream
// and Execution. Each API instance belongs to a team, and the controllers decide which clients
// may use it. Actions become tasks of job arrays that the controllers schedule. The front end
// itself schedules nothing, and no invariant of the cluster depends on it.
//
// Several front ends form a group of peers that replicate blobs and results (replication.go)
// and agree on a single result for each execution (primary.go).
package reapi

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi/inspection"
	"micaspindle/internal/repair"
)

// Limits of messages, in bytes unless stated otherwise. A batch and its message framing must
// fit into gRPC's default limit of 4 MiB, which clients assume.
const (
	maxMessageBytes     = 4 << 20
	maxBatchBytes       = maxMessageBytes - 64<<10
	maxDigests          = 50_000 // in one call or tree
	chunkSize           = 256 << 10
	maxMessageBlobBytes = 4 << 20
	maxPageDirectories  = 1000 // directories
)

// Limits of calls.
const (
	// callTimeout is the timeout of a unary call. The timeout of a transfer is longer by the
	// time that its bytes take at minTransferRate.
	callTimeout     = time.Minute
	minTransferRate = 64 << 10 // bytes per second
	// maxStreams is the maximum number of concurrent calls of one connection. The call of an
	// execution lasts as long as its client waits.
	maxStreams = 4096

	connectionTimeout = 10 * time.Second
	// A connection that is idle for keepaliveInterval is pinged, and it is closed if the
	// client does not answer within keepaliveTimeout. Clients may ping every minPingInterval.
	keepaliveInterval = 30 * time.Second
	keepaliveTimeout  = 20 * time.Second
	minPingInterval   = 10 * time.Second
	// minSweepInterval is the shortest interval between two cleanups by Sweep.
	minSweepInterval = 100 * time.Millisecond
)

// Access decides whether the holder of a credential may perform an operation on a team's
// builds.
type Access interface {
	// Allows returns the name of the credential's holder. If the operation is not allowed,
	// it returns an error with a gRPC status.
	Allows(ctx context.Context, credential, verb, team string) (holder string, err error)
}

// Config holds the settings of a front end.
type Config struct {
	// Instances maps instance names to teams.
	Instances map[string]string
	// ClientResults allows clients that may submit jobs to write action results as well.
	ClientResults bool
	// MaxBlob is the maximum size of a stored blob, in bytes.
	MaxBlob int64
	// Class is the class of the jobs that execute actions.
	Class string
	// SelfAddr is the address at which the peers reach this front end.
	SelfAddr string
	// Grace is the grace period of a peer that does not answer. Until it ends, the peer is
	// assumed to be restarting; then the next peer replaces it as the primary of executions.
	// 0 means defaultGrace.
	Grace time.Duration
	// BatchDelay is the time for which a batch collects actions before it is submitted as a
	// job, and MaxBatchActions the maximum number of its actions.
	BatchDelay      time.Duration
	MaxBatchActions int
	// Shares are the resources that teams and clients share fairly.
	Shares Shares
	// IsPeer verifies that a call with the metadata of a peer's call comes from a peer. If
	// IsPeer is nil, the front end treats no call as a peer's.
	IsPeer func(ctx context.Context) bool
	// CertificateName returns the name in a client's verified certificate, or "" if the client has
	// none. If CertificateName is nil, certificates are not used.
	CertificateName func(ctx context.Context) string
	// IsWorker verifies that a call with the metadata of a worker's call comes from a worker.
	// If IsWorker is nil, the front end treats no call as a worker's.
	IsWorker func(ctx context.Context) bool
}

// FrontEnd serves the API. It is safe for concurrent use.
type FrontEnd struct {
	repb.UnimplementedContentAddressableStorageServer
	repb.UnimplementedActionCacheServer
	repb.UnimplementedCapabilitiesServer
	repb.UnimplementedExecutionServer
	bytestream.UnimplementedByteStreamServer

	config  Config
	store   *blobstore.Store
	results *blobstore.Results
	access  Access
	log     *slog.Logger
	uploads uploads
	peers   *Peers

	// jobs is nil if this front end does not execute actions.
	jobs       Jobs
	executions executions
	// recordLocks serializes the recording of results of the same execution. The locks are
	// striped by the hash of the execution: recording calls peers, and a peer that does not
	// answer must not delay the results of all executions.
	recordLocks      [256]sync.Mutex
	discardedResults atomic.Int64
	// repairer verifies and restores the stored blobs; nil until Repair is called.
	repairer atomic.Pointer[repair.Repairer]
}

// New creates a front end. peers is nil if it has no peers, and jobs is nil if it does not
// execute actions.
func New(config Config, store *blobstore.Store, results *blobstore.Results, access Access, peers *Peers, jobs Jobs, log *slog.Logger) *FrontEnd {
	return &FrontEnd{
		config:     config,
		store:      store,
		results:    results,
		access:     access,
		peers:      peers,
		jobs:       jobs,
		log:        log,
		uploads:    uploads{open: map[string]*pendingUpload{}},
		executions: newExecutions(),
	}
}

// Server creates a gRPC server with all services. opts provides the transport credentials.
func (f *FrontEnd) Server(opts ...grpc.ServerOption) *grpc.Server {
	opts = append(opts,
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectionTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(f.interceptUnary),
		grpc.ChainStreamInterceptor(f.interceptStream))
	s := grpc.NewServer(opts...)
	repb.RegisterCapabilitiesServer(s, f)
	repb.RegisterContentAddressableStorageServer(s, f)
	repb.RegisterActionCacheServer(s, f)
	repb.RegisterExecutionServer(s, f)
	bytestream.RegisterByteStreamServer(s, f)
	inspection.RegisterInspectionServer(s, inspector{frontEnd: f})
	inspection.RegisterNeighboursServer(s, peerService{frontEnd: f})
	checks := health.NewServer()
	checks.SetServingStatus("", healthpb.HealthCheckResponse_SERVING)
	healthpb.RegisterHealthServer(s, checks)
	reflection.Register(s)
	return s
}

// interceptUnary sets a call's timeout, creates its slot and converts panics into errors.
func (f *FrontEnd) interceptUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, slot := f.newCallSlot(ctx, req)
	defer slot.release()
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(ctx, req)
}

// interceptStream creates a stream's slot and converts panics into errors.
func (f *FrontEnd) interceptStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	stream, slot := f.newStreamSlot(stream, info.FullMethod)
	defer slot.release()
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(server, stream)
}

// recoverPanic is deferred by the interceptors and converts a panic into the call's error.
func (f *FrontEnd) recoverPanic(method string, err *error) {
	if r := recover(); r != nil {
		f.log.Error("gRPC handler panicked", "method", method, "reason", r)
		*err = status.Error(codes.Internal, "the call failed here; the log says why")
	}
}

// authorize authorizes a call, acquires its slot, and returns the namespace of the instance's
// blobs, which is the name of its team.
func (f *FrontEnd) authorize(ctx context.Context, instance, verb string) (string, error) {
	team, ok := f.config.Instances[instance]
	if !ok {
		return "", status.Errorf(codes.InvalidArgument, "there is no instance %q", clip(instance))
	}
	if f.fromPeer(ctx) || f.fromWorker(ctx) {
		return team, nil // a peer has authorized its client, and workers serve all teams
	}
	client, err := f.access.Allows(ctx, f.credential(ctx), verb, team)
	if err != nil {
		return "", err
	}
	return team, f.acquireSlot(ctx, team, client)
}

// Verbs of the controllers' policy that are checked for a team. Access to blobs is checked
// like access to the arguments of the team's jobs.
const (
	verbRead  = "view-arguments"
	verbWrite = "submit"
	verbView  = "view" // read the state of executions and of the store
)

// Sweep does periodic work until ctx ends. It discards interrupted writes that were not
// resumed in time, cancels jobs that no client has waited for during linger, and asks peers
// for results that clients wait for.
func (f *FrontEnd) Sweep(ctx context.Context, linger time.Duration) {
	sweepTicker := time.NewTicker(max(minSweepInterval, linger/4))
	defer sweepTicker.Stop()
	lookupTicker := time.NewTicker(lookupInterval)
	defer lookupTicker.Stop()
	for {
		select {
		case <-lookupTicker.C:
			if f.jobs != nil {
				f.lookUpAtPeers(ctx)
			}
		case <-sweepTicker.C:
			if f.jobs != nil {
				f.renewInterestLeases(ctx, linger)
				f.cancelAbandonedJobs(ctx, linger)
			}
			f.uploads.sweep(time.Now())
			f.store.ExpireUploads(time.Now().Add(-resumeWindow))
		case <-ctx.Done():
			return
		}
	}
}
