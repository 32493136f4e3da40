// Package reapi is the front door for build tools: the Remote
// Execution API, version 2, over gRPC. It stores blobs and results for queues
// whose rights the controllers decide; it schedules nothing, and no rule of the
// cluster depends on it.
package reapi

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/bazelbuild/remote-apis/build/bazel/semver"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi/inspection"
	"micaspindle/internal/repair"
)

// Limits of messages. A batch and the message around it must fit gRPC's own
// default of 4 MiB, which clients keep to.
const (
	maxMessage  = 4 << 20
	maxBatch    = maxMessage - 64<<10
	maxDigests  = 50_000
	chunk       = 256 << 10
	maxTreeNode = 4 << 20
	treePage    = 1000
	// slowest is how slow a transfer may be before it is given up, beside a
	// minute that every call has.
	slowest  = 64 << 10 // bytes a second
	callTime = time.Minute
	// maxStreams bounds the calls of one connection. An execution is a call for
	// as long as its client waits.
	maxStreams = 4096
)

// Access decides whether a credential allows something on a team's builds.
type Access interface {
	// Allows returns who asks, or an error with a gRPC status.
	Allows(ctx context.Context, credential, verb, team string) (who string, err error)
}

// Config is what a gate is made of.
type Config struct {
	// Instances maps instance names to teams.
	Instances map[string]string
	// ClientResults lets clients that may submit write action results.
	ClientResults bool
	MaxBlob       int64
	// Class is the class of the jobs that actions become.
	Class string
	// Self is the address under which the other gates know this one.
	Self string
	// Grace is how long a gate that does not answer may only be restarting; after
	// it, the next one decides on results in its place.
	Grace time.Duration
	// GatherFor is how long an action waits for others to become a job with,
	// GatherMost how many that are at the most.
	GatherFor  time.Duration
	GatherMost int
	// Shares are what teams and clients share.
	Shares Shares
	// IsPeer says whether a call that calls itself one of another gate is that;
	// nil: no call is.
	IsPeer func(ctx context.Context) bool
	// Certified is the name of a client that has shown a certificate, "" if none;
	// nil: nobody is asked for one.
	Certified func(ctx context.Context) string
	// IsWorker says the same of calls that call themselves a worker's.
	IsWorker func(ctx context.Context) bool
}

// FrontEnd serves the API.
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

	// jobs is nil where nothing is run.
	jobs   Jobs
	gather gatherer
	// recording lets one result of an execution be recorded at a time. Others are
	// asked meanwhile, so that one gate that is silent must not hold up all results.
	recording [256]sync.Mutex
	discarded atomic.Int64
	// repairer is what keeps the blobs whole, once there is one.
	repairer atomic.Pointer[repair.Repairer]
}

// New makes a gate; peers are the other gates, nil: there are none. jobs are what
// actions become, nil: nothing is run.
func New(config Config, store *blobstore.Store, results *blobstore.Results, access Access, peers *Peers, jobs Jobs, log *slog.Logger) *FrontEnd {
	return &FrontEnd{config: config, store: store, results: results, access: access, peers: peers, jobs: jobs, log: log, uploads: uploads{open: map[string]*partial{}},
		gather: gatherer{lots: map[lotKey]*lot{}, queues: map[line]*queue{}, leaving: map[*lot]bool{}, handed: map[string]*handed{}, seekers: map[string]*seeker{}, running: map[string]*task{}, wanted: map[string]*interest{}, leases: map[string]lease{}}}
}

func randomName() string { return rand.Text() }

// Server makes the gRPC server with all services; opts carry the credentials.
func (g *FrontEnd) Server(opts ...grpc.ServerOption) *grpc.Server {
	opts = append(opts, grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(10*time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 20 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 10 * time.Second, PermitWithoutStream: true}),
		grpc.ChainUnaryInterceptor(g.unary), grpc.ChainStreamInterceptor(g.stream))
	s := grpc.NewServer(opts...)
	repb.RegisterCapabilitiesServer(s, g)
	repb.RegisterContentAddressableStorageServer(s, g)
	repb.RegisterActionCacheServer(s, g)
	repb.RegisterExecutionServer(s, g)
	bytestream.RegisterByteStreamServer(s, g)
	inspection.RegisterInspectionServer(s, inspector{g: g})
	inspection.RegisterNeighboursServer(s, neighbours{g: g})
	checks := health.NewServer()
	checks.SetServingStatus("", healthpb.HealthCheckResponse_SERVING)
	healthpb.RegisterHealthServer(s, checks)
	reflection.Register(s)
	return s
}

// unary bounds a call's time and turns faults into errors.
func (g *FrontEnd) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (resp any, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	ctx, v := g.visits(ctx, req)
	defer v.over()
	defer g.recovered(info.FullMethod, &err)
	return h(ctx, req)
}

func (g *FrontEnd) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) (err error) {
	ss, v := g.visitStream(ss, info.FullMethod)
	defer v.over()
	defer g.recovered(info.FullMethod, &err)
	return h(srv, ss)
}

func (g *FrontEnd) recovered(method string, err *error) {
	if r := recover(); r != nil {
		g.log.Error("call failed", "method", method, "reason", r)
		*err = status.Error(codes.Internal, "the call failed here; the log says why")
	}
}

// space admits a call: the space of an instance's blobs, which is its team.
func (g *FrontEnd) space(ctx context.Context, instance, verb string) (string, error) {
	team, ok := g.config.Instances[instance]
	if !ok {
		return "", status.Errorf(codes.InvalidArgument, "there is no instance %q", clip(instance))
	}
	if g.fromPeer(ctx) || g.fromWorker(ctx) {
		return team, nil // a gate has asked for its own client; workers run all teams' tasks
	}
	who, err := g.access.Allows(ctx, g.credential(ctx), verb, team)
	if err != nil {
		return "", err
	}
	return team, g.enter(ctx, team, who)
}

const (
	// WorkerMark is in the metadata of workers' calls, and ExecutionMark of the
	// one that records a result.
	WorkerMark    = "micaspindle-worker"
	ExecutionMark = "micaspindle-execution"
)

// fromWorker says whether a call comes from a machine that runs tasks.
func (g *FrontEnd) fromWorker(ctx context.Context) bool {
	md, _ := metadata.FromIncomingContext(ctx)
	return len(md.Get(WorkerMark)) > 0 && g.config.IsWorker != nil && g.config.IsWorker(ctx)
}

func clip(s string) string { return s[:min(len(s), 80)] }

// Verbs on a team's builds: blobs are arguments of its work.
const (
	verbRead  = "view-arguments"
	verbWrite = "submit"
)

// failure is the status of an error of the store.
func failure(err error) error {
	var full *blobstore.FullError
	var busy *admission.BusyError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &busy):
		return retryLater(codes.ResourceExhausted, busy.RetryAfter, "%v", busy)
	case errors.As(err, &full):
		return retryLater(codes.ResourceExhausted, full.RetryAfter, "%v", full)
	case errors.Is(err, blobstore.ErrNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, blobstore.ErrInvalid), errors.Is(err, blobstore.ErrMismatch), errors.Is(err, blobstore.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return status.FromContextError(err).Err()
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return status.Errorf(codes.Internal, "content store: %v", err)
}

// retryLater is a status that says when to come back.
func retryLater(code codes.Code, after time.Duration, format string, args ...any) error {
	st := status.New(code, fmt.Sprintf(format, args...))
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}

// digestIn is a digest of the API, which says beside it what it is computed with.
func digestIn(f blobstore.Function, d *repb.Digest) blobstore.Digest {
	return blobstore.Digest{Hash: d.GetHash(), Size: d.GetSizeBytes(), Function: f}
}

func wire(d blobstore.Digest) *repb.Digest { return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size} }

// functionOf is a call's digest function, or refuses one that is not served. Who
// names none means SHA-256: the length of a BLAKE3 hash is the same.
func functionOf(f repb.DigestFunction_Value) (blobstore.Function, error) {
	switch f {
	case repb.DigestFunction_UNKNOWN, repb.DigestFunction_SHA256:
		return blobstore.SHA256, nil
	case repb.DigestFunction_BLAKE3:
		return blobstore.BLAKE3, nil
	}
	return 0, status.Errorf(codes.InvalidArgument, "digest function %s is not served; SHA256 and BLAKE3 are", f)
}

// FunctionOnWire is a digest function as the API names it.
func FunctionOnWire(f blobstore.Function) repb.DigestFunction_Value {
	if f == blobstore.BLAKE3 {
		return repb.DigestFunction_BLAKE3
	}
	return repb.DigestFunction_SHA256
}

// GetCapabilities says what is served.
func (g *FrontEnd) GetCapabilities(ctx context.Context, req *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	if _, ok := g.config.Instances[req.GetInstanceName()]; !ok {
		return nil, status.Errorf(codes.InvalidArgument, "there is no instance %q", clip(req.GetInstanceName()))
	}
	zstd := []repb.Compressor_Value{repb.Compressor_ZSTD}
	functions := []repb.DigestFunction_Value{repb.DigestFunction_SHA256, repb.DigestFunction_BLAKE3}
	return &repb.ServerCapabilities{
		CacheCapabilities: &repb.CacheCapabilities{
			DigestFunctions:                 functions,
			ActionCacheUpdateCapabilities:   &repb.ActionCacheUpdateCapabilities{UpdateEnabled: g.config.ClientResults},
			MaxBatchTotalSizeBytes:          maxBatch,
			MaxCasBlobSizeBytes:             g.config.MaxBlob,
			SymlinkAbsolutePathStrategy:     repb.SymlinkAbsolutePathStrategy_DISALLOWED,
			SupportedCompressors:            zstd,
			SupportedBatchUpdateCompressors: zstd,
		},
		ExecutionCapabilities: &repb.ExecutionCapabilities{DigestFunction: repb.DigestFunction_SHA256, DigestFunctions: functions, ExecEnabled: g.jobs != nil,
			ExecutionPriorityCapabilities: &repb.PriorityCapabilities{Priorities: []*repb.PriorityCapabilities_PriorityRange{{MinPriority: -1, MaxPriority: 1}}}},
		LowApiVersion:  &semver.SemVer{Major: 2},
		HighApiVersion: &semver.SemVer{Major: 2, Minor: 3},
	}, nil
}

// Sweep drops broken writes that nobody goes on with, and withdraws jobs that
// nobody has waited for in a while, until ctx ends.
func (g *FrontEnd) Sweep(ctx context.Context, linger time.Duration) {
	tick := time.NewTicker(max(100*time.Millisecond, linger/4))
	defer tick.Stop()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if g.jobs != nil {
				g.lookAround(ctx)
			}
		case <-tick.C:
			if g.jobs != nil {
				g.tellInterest(ctx, linger)
				g.withdrawUnwanted(ctx, linger)
			}
			g.uploads.sweep(time.Now())
			g.store.Expire(time.Now().Add(-resumeFor))
		case <-ctx.Done():
			return
		}
	}
}

// resource is a parsed name of the byte stream.
type resource struct {
	instance   string
	digest     blobstore.Digest
	compressed bool
}

// parseResource reads {instance}/[uploads/{uuid}/]{blobs|compressed-blobs/zstd}/[blake3/]{hash}/{size}.
func parseResource(name string, write bool) (resource, error) {
	bad := status.Errorf(codes.InvalidArgument, "%q names no blob", clip(name))
	parts := strings.Split(name, "/")
	if slices.Contains(parts, "logstreams") {
		return resource{}, status.Error(codes.Unimplemented, "log streams are not served: a result's stdout and stderr are blobs")
	}
	at := -1
	for i, p := range parts {
		if write && p == "uploads" || !write && (p == "blobs" || p == "compressed-blobs") {
			at = i
			break
		}
	}
	if at < 0 {
		return resource{}, bad
	}
	r := resource{instance: strings.Join(parts[:at], "/")}
	rest := parts[at:]
	if write {
		if len(rest) < 3 || rest[1] == "" {
			return resource{}, bad
		}
		rest = rest[2:]
	}
	switch {
	case rest[0] == "blobs":
		rest = rest[1:]
	case rest[0] == "compressed-blobs" && len(rest) > 1 && rest[1] == "zstd":
		r.compressed = true
		rest = rest[2:]
	default:
		return resource{}, bad
	}
	function := blobstore.SHA256
	if len(rest) > 0 {
		var named bool
		if function, named = blobstore.Named(rest[0]); named {
			rest = rest[1:]
		}
	}
	// What follows an upload's size is the client's own.
	if len(rest) < 2 || !write && len(rest) != 2 {
		return resource{}, bad
	}
	var size int64
	if _, err := fmt.Sscanf(rest[1], "%d", &size); err != nil || fmt.Sprint(size) != rest[1] {
		return resource{}, bad
	}
	r.digest = blobstore.Digest{Hash: rest[0], Size: size, Function: function}
	if err := r.digest.Check(); err != nil {
		return resource{}, failure(err)
	}
	return r, nil
}
