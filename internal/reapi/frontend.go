// Package reapi is the front end for build tools. It serves the Remote Execution API,
// version 2, over gRPC: Capabilities, ContentAddressableStorage, ActionCache, ByteStream
// and Execution. Each API instance belongs to a team, whose rights the controllers
// decide. Actions become tasks of array jobs that the controllers schedule; the front end
// schedules nothing, and no invariant of the cluster depends on it.
//
// Several front ends form a group of peers that replicate blobs and results (replication.go)
// and agree on one result of each execution (primary.go).
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

// Limits of messages, in bytes unless stated otherwise. A batch and the message around it
// must fit gRPC's default limit of 4 MiB, which clients assume.
const (
	maxMessage  = 4 << 20
	maxBatch    = maxMessage - 64<<10
	maxDigests  = 50_000 // in one call or tree
	chunkSize   = 256 << 10
	maxTreeNode = 4 << 20
	treePage    = 1000 // directories
)

// Limits of calls.
const (
	// callTimeout bounds a unary call. A transfer has that time and that of moving its
	// bytes at minTransferRate.
	callTimeout     = time.Minute
	minTransferRate = 64 << 10 // bytes a second
	// maxStreams bounds the calls of one connection. An execution is a call for
	// as long as its client waits.
	maxStreams = 4096

	connectionTimeout = 10 * time.Second
	// keepaliveInterval and keepaliveTimeout find connections whose client is gone;
	// clients may ping as often as minPingInterval.
	keepaliveInterval = 30 * time.Second
	keepaliveTimeout  = 20 * time.Second
	minPingInterval   = 10 * time.Second
	// minSweepInterval bounds how often Sweep runs.
	minSweepInterval = 100 * time.Millisecond
)

// Access decides whether a credential allows an operation on a team's builds.
type Access interface {
	// Allows returns the name of the credential's holder, or an error with a gRPC status.
	Allows(ctx context.Context, credential, verb, team string) (who string, err error)
}

// Config configures a front end.
type Config struct {
	// Instances maps instance names to teams.
	Instances map[string]string
	// ClientResults lets clients with the right to submit write action results.
	ClientResults bool
	// MaxBlob is the size of the largest blob that is stored, in bytes.
	MaxBlob int64
	// Class is the class of the jobs that actions become.
	Class string
	// Self is the address under which the peers reach this front end.
	Self string
	// Grace is how long a peer that does not answer is assumed to be restarting. After
	// it, the next one takes its place as primary of executions; 0 means defaultGrace.
	Grace time.Duration
	// GatherFor is how long an action waits for others to form a job with; GatherMost
	// bounds the actions of a job.
	GatherFor  time.Duration
	GatherMost int
	// Shares are the resources that teams and clients share.
	Shares Shares
	// IsPeer verifies a call that is marked as a peer's; nil: none is.
	IsPeer func(ctx context.Context) bool
	// Certified returns the name in a client's verified certificate, "" if it has none;
	// nil: certificates are not used.
	Certified func(ctx context.Context) string
	// IsWorker verifies a call that is marked as a worker's; nil: none is.
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

	// jobs is nil where nothing is executed.
	jobs       Jobs
	executions executions
	// recording serializes the recording of an execution's results. It is striped by the
	// execution's hash: recording calls peers, and one that does not answer must not
	// delay all results.
	recording [256]sync.Mutex
	discarded atomic.Int64
	// repairer verifies and restores the stored blobs; nil until Repair is called.
	repairer atomic.Pointer[repair.Repairer]
}

// New creates a front end. peers is nil if it has none, jobs if it executes nothing.
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

// Server creates a gRPC server with all services; opts carry the transport credentials.
func (f *FrontEnd) Server(opts ...grpc.ServerOption) *grpc.Server {
	opts = append(opts,
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
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

// interceptUnary bounds a call's time, prepares its slot and converts panics into errors.
func (f *FrontEnd) interceptUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, slot := f.withCallSlot(ctx, req)
	defer slot.release()
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(ctx, req)
}

// interceptStream prepares a stream's slot and converts panics into errors.
func (f *FrontEnd) interceptStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	stream, slot := f.withStreamSlot(stream, info.FullMethod)
	defer slot.release()
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(server, stream)
}

// recoverPanic, deferred, converts a handler's panic into the call's error.
func (f *FrontEnd) recoverPanic(method string, err *error) {
	if r := recover(); r != nil {
		f.log.Error("handler panicked", "method", method, "reason", r)
		*err = status.Error(codes.Internal, "the call failed here; the log says why")
	}
}

// space authorizes a call, acquires its slot, and returns the name space of the
// instance's blobs, which is its team.
func (f *FrontEnd) space(ctx context.Context, instance, verb string) (string, error) {
	team, ok := f.config.Instances[instance]
	if !ok {
		return "", status.Errorf(codes.InvalidArgument, "there is no instance %q", clip(instance))
	}
	if f.fromPeer(ctx) || f.fromWorker(ctx) {
		return team, nil // a peer has authorized its client; workers run all teams' tasks
	}
	who, err := f.access.Allows(ctx, f.credential(ctx), verb, team)
	if err != nil {
		return "", err
	}
	return team, f.acquireSlot(ctx, team, who)
}

// Rights on a team's builds, as the controllers name them. Blobs count as arguments of
// the team's jobs.
const (
	verbRead  = "view-arguments"
	verbWrite = "submit"
	verbView  = "view" // the state of executions and of the store
)

// Sweep does the periodic work until ctx ends: it discards interrupted writes that are
// not resumed, withdraws jobs that no client has waited for in linger, and asks peers
// for awaited results.
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
			f.store.Expire(time.Now().Add(-resumeFor))
		case <-ctx.Done():
			return
		}
	}
}
