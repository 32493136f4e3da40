package buildtool

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	"github.com/HdrHistogram/hdrhistogram-go"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"lukechampine.com/blake3"
)

var reconnect = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	// atOnce is how many actions of a build are under way at a time, unless it says.
	atOnce = 256
	// batch is how much is uploaded or read in one call; the API's servers take
	// 4 MiB with the message around it.
	batch = 3 << 20
	piece = 512 << 10
	// pause is waited before a call is made again, unless the gate says longer.
	pause    = 100 * time.Millisecond
	maxPause = 30 * time.Second
)

// Node is an action of a build: a shell script over named inputs, with the output
// file "out".
type Node struct {
	Name   string
	Script string
	// Sources are files by name, Inputs the outputs of other nodes by the name
	// that they have here.
	Sources map[string][]byte
	Inputs  map[string]string
}

// Progress is told as a build goes on.
type Progress struct{ Done, Cached, Of int }

// Report is what a build came to.
type Report struct {
	Actions   int   `json:"actions"`
	Cached    int   `json:"cached"`
	Jobs      int   `json:"jobs"`
	BytesUp   int64 `json:"bytes_up"`
	BytesDown int64 `json:"bytes_down"`
	// Retries counts calls that were made again.
	Retries int           `json:"retries"`
	Took    time.Duration `json:"took_ns"`
	// Slowest is the action that was waited for longest, SlowestName its operation's
	// name; "" if it came from the cache.
	Slowest     string `json:"slowest,omitempty"`
	SlowestName string `json:"slowest_operation,omitempty"`
	slowest     time.Duration
	// Waits are from asking for an action to having its result, in milliseconds.
	Waits *hdrhistogram.Histogram `json:"-"`
	// Outputs are the output's digests by node.
	Outputs map[string]*repb.Digest `json:"-"`
}

// Builder runs builds of one instance.
type Builder struct {
	conn     grpc.ClientConnInterface
	instance string
	cas      repb.ContentAddressableStorageClient
	exec     repb.ExecutionClient
	bytes    bytestream.ByteStreamClient
	// Function is what digests are computed with: SHA-256, or BLAKE3.
	Function repb.DigestFunction_Value
	// AtOnce is how many actions are under way at a time, 0: 256.
	AtOnce int
}

// New makes a builder.
func New(conn grpc.ClientConnInterface, instance string) *Builder {
	return &Builder{conn: conn, instance: instance, cas: repb.NewContentAddressableStorageClient(conn), exec: repb.NewExecutionClient(conn), bytes: bytestream.NewByteStreamClient(conn)}
}

// Digest is the digest of data.
func (b *Builder) Digest(data []byte) *repb.Digest {
	sum := sha256.Sum256(data)
	if b.Function == repb.DigestFunction_BLAKE3 {
		sum = blake3.Sum256(data)
	}
	return &repb.Digest{Hash: hex.EncodeToString(sum[:]), SizeBytes: int64(len(data))}
}

// blob is a blob's name for transfers.
func (b *Builder) blob(d *repb.Digest) string {
	if b.Function == repb.DigestFunction_BLAKE3 {
		return fmt.Sprintf("blobs/blake3/%s/%d", d.GetHash(), d.GetSizeBytes())
	}
	return fmt.Sprintf("blobs/%s/%d", d.GetHash(), d.GetSizeBytes())
}

func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

// run is one build under way.
type run struct {
	b      *Builder
	tell   func(Progress)
	mu     sync.Mutex
	report Report
	jobs   map[string]bool
	of     int
	// failed is the last call that had to be made again.
	failed error
}

// Build runs nodes, each as soon as those that it needs are done, and tells how
// it goes. It ends with the first action that fails for good.
func (b *Builder) Build(ctx context.Context, nodes []Node, tell func(Progress)) (*Report, error) {
	begun := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{b: b, tell: tell, jobs: map[string]bool{}, of: len(nodes),
		report: Report{Waits: hdrhistogram.New(1, 3_600_000, 3), Outputs: map[string]*repb.Digest{}}}
	done := map[string]chan struct{}{}
	for _, n := range nodes {
		if done[n.Name] != nil {
			return nil, fmt.Errorf("two actions are called %q", n.Name)
		}
		done[n.Name] = make(chan struct{})
	}
	if err := ordered(nodes); err != nil {
		return nil, err
	}
	slots := make(chan struct{}, cmp.Or(b.AtOnce, atOnce))
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() {
			for _, from := range n.Inputs {
				select {
				case <-done[from]:
				case <-ctx.Done():
					return
				}
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-ctx.Done():
				return
			}
			if err := r.action(ctx, &n); err != nil {
				cancel(fmt.Errorf("action %s: %w", n.Name, err))
				return
			}
			close(done[n.Name])
		})
	}
	wg.Wait()
	r.report.Jobs, r.report.Took = len(r.jobs), time.Since(begun)
	err := context.Cause(ctx)
	if err != nil && r.failed != nil && !errors.Is(err, r.failed) {
		err = fmt.Errorf("%w; the last call that failed: %s", err, status.Convert(r.failed).Message())
	}
	return &r.report, err
}

// ordered sees that nodes need only nodes that exist, and none itself.
func ordered(nodes []Node) error {
	needs := map[string]map[string]string{}
	for _, n := range nodes {
		needs[n.Name] = n.Inputs
	}
	state := map[string]int{} // 1: being looked at, 2: good
	var look func(name string) error
	look = func(name string) error {
		in, ok := needs[name]
		switch {
		case !ok:
			return fmt.Errorf("no action is called %q", name)
		case state[name] == 1:
			return fmt.Errorf("action %q needs itself", name)
		case state[name] == 2:
			return nil
		}
		state[name] = 1
		for _, from := range in {
			if err := look(from); err != nil {
				return err
			}
		}
		state[name] = 2
		return nil
	}
	for _, n := range nodes {
		if err := look(n.Name); err != nil {
			return err
		}
	}
	return nil
}

// action uploads what an action needs, runs it and keeps its output's digest.
func (r *run) action(ctx context.Context, n *Node) error {
	blobs := map[string][]byte{}
	root := &repb.Directory{}
	for _, name := range slices.Sorted(maps.Keys(n.Sources)) {
		d := r.b.Digest(n.Sources[name])
		blobs[d.Hash] = n.Sources[name]
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: d})
	}
	r.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(n.Inputs)) {
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: r.report.Outputs[n.Inputs[name]]})
	}
	r.mu.Unlock()
	slices.SortFunc(root.Files, func(a, b *repb.FileNode) int { return cmp.Compare(a.Name, b.Name) })
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", n.Script}, OutputPaths: []string{"out"},
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}}
	add := func(m proto.Message) (*repb.Digest, error) {
		raw, err := marshal(m)
		d := r.b.Digest(raw)
		blobs[d.Hash] = raw
		return d, err
	}
	act := &repb.Action{}
	var err error
	if act.InputRootDigest, err = add(root); err != nil {
		return err
	}
	if act.CommandDigest, err = add(command); err != nil {
		return err
	}
	digest, err := add(act)
	if err != nil {
		return err
	}
	begun := time.Now()
	var resp *repb.ExecuteResponse
	operation := ""
	// Blobs may go between upload and run, with a gate; then they are uploaded again.
	for try := range 20 {
		if try > 0 { // the gate that has them may only be restarting
			select {
			case <-time.After(pause * time.Duration(try)):
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		if err = r.upload(ctx, blobs, try > 0); err != nil {
			return err
		}
		resp, operation, err = r.execute(ctx, digest)
		if status.Code(err) != codes.FailedPrecondition || !missing(err) {
			break
		}
		r.again()
	}
	if err != nil {
		return err
	}
	if st := resp.GetStatus(); st.GetCode() != 0 {
		return status.FromProto(st).Err()
	}
	if code := resp.GetResult().GetExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	for _, f := range resp.GetResult().GetOutputFiles() {
		if f.GetPath() != "out" {
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Outputs[n.Name] = f.GetDigest()
		r.report.Actions++
		if resp.GetCachedResult() {
			r.report.Cached++
		}
		_ = r.report.Waits.RecordValue(max(1, min(time.Since(begun).Milliseconds(), r.report.Waits.HighestTrackableValue())))
		if took := time.Since(begun); took > r.report.slowest {
			r.report.slowest, r.report.Slowest, r.report.SlowestName = took, n.Name, operation
		}
		if r.tell != nil {
			r.tell(Progress{r.report.Actions, r.report.Cached, r.of})
		}
		return nil
	}
	return errors.New("it has made no output")
}

// missing says whether a refusal names blobs that are not there.
func missing(err error) bool {
	for _, d := range status.Convert(err).Details() {
		if pf, ok := d.(*errdetails.PreconditionFailure); ok {
			return slices.ContainsFunc(pf.GetViolations(), func(v *errdetails.PreconditionFailure_Violation) bool { return v.GetType() == "MISSING" })
		}
	}
	return false
}

func (r *run) again() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Retries++
}

// persist makes a call again until it is answered for good.
func (r *run) persist(ctx context.Context, f func() error) error {
	for {
		err := f()
		switch status.Code(err) {
		case codes.Unavailable, codes.Aborted, codes.Internal, codes.ResourceExhausted, codes.DeadlineExceeded:
		default:
			return err
		}
		r.mu.Lock()
		r.failed = err
		r.mu.Unlock()
		wait := pause
		for _, d := range status.Convert(err).Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok {
				wait = min(maxPause, max(wait, info.GetRetryDelay().AsDuration()))
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(context.Cause(ctx), err)
		case <-time.After(wait):
		}
		r.again()
	}
}

// upload brings what is missing, or everything: a gate that does not see a blob is
// not helped by another one that does.
func (r *run) upload(ctx context.Context, blobs map[string][]byte, all bool) error {
	ask := &repb.FindMissingBlobsRequest{InstanceName: r.b.instance, DigestFunction: r.b.Function}
	for _, h := range slices.Sorted(maps.Keys(blobs)) {
		ask.BlobDigests = append(ask.BlobDigests, &repb.Digest{Hash: h, SizeBytes: int64(len(blobs[h]))})
	}
	return r.persist(ctx, func() error {
		resp, err := r.b.cas.FindMissingBlobs(ctx, ask)
		if err != nil {
			return err
		}
		req := &repb.BatchUpdateBlobsRequest{InstanceName: r.b.instance, DigestFunction: r.b.Function}
		size := 0
		flush := func() error {
			if len(req.Requests) == 0 {
				return nil
			}
			resp, err := r.b.cas.BatchUpdateBlobs(ctx, req)
			if err != nil {
				return err
			}
			for _, one := range resp.GetResponses() {
				if err := status.FromProto(one.GetStatus()).Err(); err != nil {
					return err
				}
			}
			r.mu.Lock()
			r.report.BytesUp += int64(size)
			r.mu.Unlock()
			req.Requests, size = nil, 0
			return nil
		}
		bring := resp.GetMissingBlobDigests()
		if all {
			bring = ask.BlobDigests
		}
		for _, d := range bring {
			data := blobs[d.GetHash()]
			if len(data) > batch {
				if err := r.write(ctx, d, data); err != nil {
					return err
				}
				continue
			}
			if size+len(data) > batch {
				if err := flush(); err != nil {
					return err
				}
			}
			req.Requests = append(req.Requests, &repb.BatchUpdateBlobsRequest_Request{Digest: d, Data: data})
			size += len(data)
		}
		return flush()
	})
}

func (b *Builder) resource(rest string) string {
	if b.instance == "" {
		return rest
	}
	return b.instance + "/" + rest
}

// write uploads a large blob.
func (r *run) write(ctx context.Context, d *repb.Digest, data []byte) error {
	w, err := r.b.bytes.Write(ctx)
	if err != nil {
		return err
	}
	name := r.b.resource("uploads/" + rand.Text() + "/" + r.b.blob(d))
	for at := 0; at < len(data); {
		end := min(at+piece, len(data))
		if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(at), Data: data[at:end], FinishWrite: end == len(data)}); err != nil {
			break // the answer says why, or that it is there
		}
		at = end
	}
	if _, err = w.CloseAndRecv(); err == nil {
		r.mu.Lock()
		r.report.BytesUp += int64(len(data))
		r.mu.Unlock()
	}
	return err
}

// execute runs an action until there is a result. A broken call is gone on with
// by its operation's name, at any gate.
func (r *run) execute(ctx context.Context, digest *repb.Digest) (*repb.ExecuteResponse, string, error) {
	var resp *repb.ExecuteResponse
	name := ""
	err := r.persist(ctx, func() error {
		var stream grpc.ServerStreamingClient[longrunningpb.Operation]
		var err error
		if name != "" {
			stream, err = r.b.exec.WaitExecution(ctx, &repb.WaitExecutionRequest{Name: name})
		} else {
			stream, err = r.b.exec.Execute(ctx, &repb.ExecuteRequest{InstanceName: r.b.instance, ActionDigest: digest, DigestFunction: r.b.Function})
		}
		for err == nil {
			var op *longrunningpb.Operation
			if op, err = stream.Recv(); err != nil {
				break
			}
			if op.GetName() != "" {
				name = op.GetName()
				if parts := strings.Split(name, "/"); len(parts) > 1 {
					r.mu.Lock()
					r.jobs[parts[1]] = true
					r.mu.Unlock()
				}
			}
			if !op.GetDone() {
				continue
			}
			resp = new(repb.ExecuteResponse)
			if err := op.GetResponse().UnmarshalTo(resp); err != nil {
				return fmt.Errorf("the operation's response: %w", err)
			}
			if st := resp.GetStatus(); st.GetCode() == int32(codes.Aborted) || st.GetCode() == int32(codes.Unavailable) {
				name = "" // its job is gone
				return status.FromProto(st).Err()
			}
			return nil
		}
		if errors.Is(err, io.EOF) {
			err = status.Error(codes.Unavailable, "the gate ended the call without a result")
		}
		// An operation that a gate does not know, or whose result is lost, is begun
		// anew; one whose call broke is waited for.
		if c := status.Code(err); name != "" && (c == codes.NotFound || c == codes.Unavailable && len(status.Convert(err).Details()) > 0) {
			name = ""
			return status.Error(codes.Unavailable, err.Error())
		}
		return err
	})
	return resp, name, err
}

// Read reads a blob.
func (b *Builder) Read(ctx context.Context, d *repb.Digest) ([]byte, error) {
	r := &run{b: b, report: Report{}}
	var data []byte
	err := r.persist(ctx, func() error {
		s, err := b.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: b.resource(b.blob(d))})
		if err != nil {
			return err
		}
		data = data[:0]
		for {
			m, err := s.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			data = append(data, m.GetData()...)
		}
		if !proto.Equal(b.Digest(data), d) {
			return status.Errorf(codes.DataLoss, "%d bytes do not have the digest %s", len(data), d.GetHash())
		}
		return nil
	})
	return data, err
}
