package buildtool

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

// scriptedFrontEnd is a fake front end that stores uploaded blobs. The test's script
// determines how it responds to Execute and WaitExecution calls.
type scriptedFrontEnd struct {
	repb.UnimplementedContentAddressableStorageServer
	repb.UnimplementedExecutionServer
	bytestream.UnimplementedByteStreamServer
	mu    sync.Mutex
	blobs map[string][]byte
	calls []string
	// script responds to the n-th Execute or WaitExecution call; n starts at 1. name is the
	// operation to wait for, or "" in an Execute call. send sends the state of the operation,
	// which is done if resp is not nil.
	script func(n int, name string, send func(name string, resp *repb.ExecuteResponse) error) error
}

func (s *scriptedFrontEnd) FindMissingBlobs(_ context.Context, req *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &repb.FindMissingBlobsResponse{}
	for _, d := range req.BlobDigests {
		if _, ok := s.blobs[d.Hash]; !ok {
			resp.MissingBlobDigests = append(resp.MissingBlobDigests, d)
		}
	}
	return resp, nil
}

func (s *scriptedFrontEnd) BatchUpdateBlobs(_ context.Context, req *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range req.Requests {
		s.blobs[r.Digest.Hash] = r.Data
	}
	return &repb.BatchUpdateBlobsResponse{}, nil
}

func (s *scriptedFrontEnd) Write(in bytestream.ByteStream_WriteServer) error {
	var data []byte
	for {
		m, err := in.Recv()
		if err != nil {
			return err
		}
		if data = append(data, m.Data...); m.FinishWrite {
			s.mu.Lock()
			s.blobs[new(Builder).Digest(data).Hash] = data
			s.mu.Unlock()
			return in.SendAndClose(&bytestream.WriteResponse{CommittedSize: int64(len(data))})
		}
	}
}

func (s *scriptedFrontEnd) Read(req *bytestream.ReadRequest, out bytestream.ByteStream_ReadServer) error {
	s.mu.Lock()
	data := s.blobs[strings.Split(req.ResourceName, "/")[1]]
	s.mu.Unlock()
	return out.Send(&bytestream.ReadResponse{Data: data})
}

func (s *scriptedFrontEnd) respond(call, name string, out interface {
	Send(*longrunningpb.Operation) error
}) error {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	n := len(s.calls)
	s.mu.Unlock()
	return s.script(n, name, func(name string, resp *repb.ExecuteResponse) error {
		op := &longrunningpb.Operation{Name: name}
		if resp != nil {
			packed, err := anypb.New(resp)
			if err != nil {
				return err
			}
			op.Done, op.Result = true, &longrunningpb.Operation_Response{Response: packed}
		}
		return out.Send(op)
	})
}

func (s *scriptedFrontEnd) Execute(_ *repb.ExecuteRequest, out repb.Execution_ExecuteServer) error {
	return s.respond("execute", "", out)
}

func (s *scriptedFrontEnd) WaitExecution(req *repb.WaitExecutionRequest, out repb.Execution_WaitExecutionServer) error {
	return s.respond("wait", req.Name, out)
}

func startFrontEnd(t *testing.T, run func(n int, name string, send func(string, *repb.ExecuteResponse) error) error) (*scriptedFrontEnd, *Builder) {
	t.Helper()
	s := &scriptedFrontEnd{blobs: map[string][]byte{}, script: run}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	repb.RegisterContentAddressableStorageServer(server, s)
	repb.RegisterExecutionServer(server, s)
	bytestream.RegisterByteStreamServer(server, s)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	conn, err := Dial([]string{l.Addr().String()}, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return s, New(conn, "")
}

func outputResponse(data string) *repb.ExecuteResponse {
	return &repb.ExecuteResponse{Result: &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "out", Digest: new(Builder).Digest([]byte(data))}}}}
}

func callError(code codes.Code, details ...interface {
	proto.Message
}) error {
	st := status.New(code, "scripted")
	for _, d := range details {
		packed, err := anypb.New(d)
		if err != nil {
			return err
		}
		p := st.Proto()
		p.Details = append(p.Details, packed)
		st = status.FromProto(p)
	}
	return st.Err()
}

// After a failed call the client waits for the same operation. It executes the action again
// if the operation is lost, and waits for the retry delay that the front end asks for.
func TestRetries(t *testing.T) {
	const op = "operations/job-7/0/x"
	for name, c := range map[string]struct {
		errs        []error // results of the first calls; the next call succeeds
		namedFrom   int     // the first call that returns the operation's name
		wantCalls   string
		minDuration time.Duration
	}{
		"no failure":           {nil, 1, "execute", 0},
		"broken stream":        {[]error{callError(codes.Unavailable)}, 1, "execute wait", 0},
		"broken before a name": {[]error{callError(codes.Unavailable)}, 2, "execute execute", 0},
		"unknown operation":    {[]error{callError(codes.Unavailable), callError(codes.NotFound)}, 1, "execute wait execute", 0},
		"lost result":          {[]error{callError(codes.Unavailable, &errdetails.RetryInfo{RetryDelay: durationpb.New(time.Millisecond)})}, 1, "execute execute", 0},
		"retry delay":          {[]error{callError(codes.ResourceExhausted, &errdetails.RetryInfo{RetryDelay: durationpb.New(400 * time.Millisecond)})}, 2, "execute execute", 400 * time.Millisecond},
		"missing blob": {[]error{callError(codes.FailedPrecondition, &errdetails.PreconditionFailure{Violations: []*errdetails.PreconditionFailure_Violation{{Type: "MISSING"}}})},
			2, "execute execute", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, b := startFrontEnd(t, nil)
			s.script = func(n int, _ string, send func(string, *repb.ExecuteResponse) error) error {
				if n >= c.namedFrom {
					if err := send(op, nil); err != nil {
						return err
					}
				}
				if n <= len(c.errs) {
					return c.errs[n-1]
				}
				return send(op, outputResponse("made"))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			started := time.Now()
			report, err := b.Build(ctx, []Node{{Name: "one", Script: "true", Sources: map[string][]byte{"f": []byte("f")}}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(s.calls, " "); got != c.wantCalls || report.Retries != len(c.errs) || time.Since(started) < c.minDuration {
				t.Errorf("calls %q in %s with %d retries, want calls %q, a retry per error and the delay that the front end asked for",
					got, time.Since(started), report.Retries, c.wantCalls)
			}
			if report.Jobs != 1 || report.Actions != 1 || report.BytesUp == 0 {
				t.Errorf("report %+v, want 1 job, 1 action and some uploaded bytes", report)
			}
		})
	}
}

// A permanent failure or an invalid graph ends the build with an error that names the cause.
func TestPermanentFailures(t *testing.T) {
	for name, c := range map[string]struct {
		nodes []Node
		resp  *repb.ExecuteResponse
		err   error
		want  string // part of the error
	}{
		"exit code":      {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Result: &repb.ActionResult{ExitCode: 3}}, nil, "action a: exit code 3"},
		"no output":      {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Result: &repb.ActionResult{}}, nil, `action a: output file "out" is missing`},
		"timeout":        {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Status: status.New(codes.DeadlineExceeded, "ran too long").Proto()}, nil, "ran too long"},
		"no permission":  {[]Node{{Name: "a"}, {Name: "b", Inputs: map[string]string{"x": "a"}}}, nil, callError(codes.PermissionDenied), "PermissionDenied"},
		"cycle":          {[]Node{{Name: "a", Inputs: map[string]string{"x": "b"}}, {Name: "b", Inputs: map[string]string{"x": "a"}}}, nil, nil, "depends on itself"},
		"unknown input":  {[]Node{{Name: "a", Inputs: map[string]string{"x": "b"}}}, nil, nil, `unknown action "b"`},
		"duplicate name": {[]Node{{Name: "a"}, {Name: "a"}}, nil, nil, `duplicate action name "a"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, b := startFrontEnd(t, func(_ int, _ string, send func(string, *repb.ExecuteResponse) error) error {
				if c.err != nil {
					return c.err
				}
				return send("operations/job-1/0", c.resp)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if _, err := b.Build(ctx, c.nodes, nil); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("build error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

// Blobs too large for a batch are uploaded through a write stream. Reading a blob whose
// content does not match its digest is an error.
func TestLargeFiles(t *testing.T) {
	s, b := startFrontEnd(t, func(_ int, _ string, send func(string, *repb.ExecuteResponse) error) error {
		return send("operations/job-1/0", outputResponse("x"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	large := bytes.Repeat([]byte("large "), 1_000_000)
	report, err := b.Build(ctx, []Node{{Name: "a", Sources: map[string][]byte{"f": large}}}, nil)
	if err != nil || report.BytesUp < int64(len(large)) || !bytes.Equal(s.blobs[b.Digest(large).Hash], large) {
		t.Fatalf("report %+v, error %v; want the large file uploaded", report, err)
	}
	s.blobs[b.Digest(large).Hash] = []byte("small")
	if _, err := b.Read(ctx, b.Digest(large)); status.Code(err) != codes.DataLoss {
		t.Errorf("read of a blob with the wrong content: error %v, want DataLoss", err)
	}
}

// A build that cannot reach a front end until its deadline reports the connection error.
func TestUnreachableFrontEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	conn, err := Dial([]string{addr}, nil, "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := New(conn, "").Build(ctx, []Node{{Name: "a"}}, nil); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("build error %v, want a refused connection", err)
	}
	if _, err := Dial([]string{addr}, nil, "secret"); err == nil {
		t.Error("Dial with a token and without TLS succeeded, want an error")
	}
}

func TestSample(t *testing.T) {
	nodes, last, want := SampleBuild("s", 23, 0)
	if len(nodes) != 23+3+1 || last != nodes[len(nodes)-1].Name || checkGraph(nodes) != nil {
		t.Errorf("%d nodes, last %q, want a valid graph of 27 nodes and the name of its last node", len(nodes), last)
	}
	body := string(want[bytes.IndexByte(want, '\n')+1:])
	if !strings.HasPrefix(string(want), fmt.Sprintln(len(body))) || strings.Count(body, "object") != 23 {
		t.Errorf("output %q, want the size of the rest in the first line, then 23 objects", want)
	}
}
