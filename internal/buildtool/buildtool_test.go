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

// scripted is a fake front end that responds by a script and stores what is uploaded.
type scripted struct {
	repb.UnimplementedContentAddressableStorageServer
	repb.UnimplementedExecutionServer
	bytestream.UnimplementedByteStreamServer
	mu    sync.Mutex
	blobs map[string][]byte
	calls []string
	// run responds to the n-th call for an operation.
	run func(n int, name string, send func(name string, resp *repb.ExecuteResponse) error) error
}

func (s *scripted) FindMissingBlobs(_ context.Context, req *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
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

func (s *scripted) BatchUpdateBlobs(_ context.Context, req *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range req.Requests {
		s.blobs[r.Digest.Hash] = r.Data
	}
	return &repb.BatchUpdateBlobsResponse{}, nil
}

func (s *scripted) Write(in bytestream.ByteStream_WriteServer) error {
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

func (s *scripted) Read(req *bytestream.ReadRequest, out bytestream.ByteStream_ReadServer) error {
	s.mu.Lock()
	data := s.blobs[strings.Split(req.ResourceName, "/")[1]]
	s.mu.Unlock()
	return out.Send(&bytestream.ReadResponse{Data: data})
}

func (s *scripted) answer(call, name string, out interface {
	Send(*longrunningpb.Operation) error
}) error {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	n := len(s.calls)
	s.mu.Unlock()
	return s.run(n, name, func(name string, resp *repb.ExecuteResponse) error {
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

func (s *scripted) Execute(_ *repb.ExecuteRequest, out repb.Execution_ExecuteServer) error {
	return s.answer("execute", "", out)
}

func (s *scripted) WaitExecution(req *repb.WaitExecutionRequest, out repb.Execution_WaitExecutionServer) error {
	return s.answer("wait", req.Name, out)
}

func serve(t *testing.T, run func(n int, name string, send func(string, *repb.ExecuteResponse) error) error) (*scripted, *Builder) {
	t.Helper()
	s := &scripted{blobs: map[string][]byte{}, run: run}
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

func made(data string) *repb.ExecuteResponse {
	return &repb.ExecuteResponse{Result: &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "out", Digest: new(Builder).Digest([]byte(data))}}}}
}

func refused(code codes.Code, details ...interface {
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

// An operation whose call fails is waited for by name, a lost one is executed again, and the
// retry delay of a front end is respected.
func TestRetries(t *testing.T) {
	const op = "operations/job-7/0/x"
	for name, c := range map[string]struct {
		script []error // of the calls; the one after them succeeds
		named  int     // calls from which on the operation has a name
		want   string
		least  time.Duration
	}{
		"at once":              {nil, 1, "execute", 0},
		"a broken call":        {[]error{refused(codes.Unavailable)}, 1, "execute wait", 0},
		"broken before a name": {[]error{refused(codes.Unavailable)}, 2, "execute execute", 0},
		"an unknown operation": {[]error{refused(codes.Unavailable), refused(codes.NotFound)}, 1, "execute wait execute", 0},
		"a lost result":        {[]error{refused(codes.Unavailable, &errdetails.RetryInfo{RetryDelay: durationpb.New(time.Millisecond)})}, 1, "execute execute", 0},
		"too many wait":        {[]error{refused(codes.ResourceExhausted, &errdetails.RetryInfo{RetryDelay: durationpb.New(400 * time.Millisecond)})}, 2, "execute execute", 400 * time.Millisecond},
		"a blob went": {[]error{refused(codes.FailedPrecondition, &errdetails.PreconditionFailure{Violations: []*errdetails.PreconditionFailure_Violation{{Type: "MISSING"}}})},
			2, "execute execute", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, b := serve(t, nil)
			s.run = func(n int, _ string, send func(string, *repb.ExecuteResponse) error) error {
				if n >= c.named {
					if err := send(op, nil); err != nil {
						return err
					}
				}
				if n <= len(c.script) {
					return c.script[n-1]
				}
				return send(op, made("made"))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			started := time.Now()
			report, err := b.Build(ctx, []Node{{Name: "one", Script: "true", Sources: map[string][]byte{"f": []byte("f")}}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(s.calls, " "); got != c.want || report.Retries != len(c.script) || time.Since(started) < c.least {
				t.Errorf("called %q in %s with %d tries again, want %q", got, time.Since(started), report.Retries, c.want)
			}
			if report.Jobs != 1 || report.Actions != 1 || report.BytesUp == 0 {
				t.Errorf("%+v", report)
			}
		})
	}
}

// A permanent failure ends the build with the action's name.
func TestPermanentFailures(t *testing.T) {
	for name, c := range map[string]struct {
		nodes []Node
		resp  *repb.ExecuteResponse
		err   error
		want  string
	}{
		"an exit code":   {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Result: &repb.ActionResult{ExitCode: 3}}, nil, "action a: exit code 3"},
		"no output":      {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Result: &repb.ActionResult{}}, nil, "made no output"},
		"too long":       {[]Node{{Name: "a"}}, &repb.ExecuteResponse{Status: status.New(codes.DeadlineExceeded, "ran too long").Proto()}, nil, "ran too long"},
		"no right":       {[]Node{{Name: "a"}, {Name: "b", Inputs: map[string]string{"x": "a"}}}, nil, refused(codes.PermissionDenied), "PermissionDenied"},
		"a circle":       {[]Node{{Name: "a", Inputs: map[string]string{"x": "b"}}, {Name: "b", Inputs: map[string]string{"x": "a"}}}, nil, nil, "needs itself"},
		"an unknown one": {[]Node{{Name: "a", Inputs: map[string]string{"x": "b"}}}, nil, nil, `no action is called "b"`},
		"twice":          {[]Node{{Name: "a"}, {Name: "a"}}, nil, nil, "two actions"},
	} {
		t.Run(name, func(t *testing.T) {
			_, b := serve(t, func(_ int, _ string, send func(string, *repb.ExecuteResponse) error) error {
				if c.err != nil {
					return c.err
				}
				return send("operations/job-1/0", c.resp)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if _, err := b.Build(ctx, c.nodes, nil); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ended with %v, want %q", err, c.want)
			}
		})
	}
}

// Large files are uploaded in chunks and read whole; a wrong digest is an error.
func TestLargeFiles(t *testing.T) {
	s, b := serve(t, func(_ int, _ string, send func(string, *repb.ExecuteResponse) error) error {
		return send("operations/job-1/0", made("x"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	large := bytes.Repeat([]byte("large "), 1_000_000)
	report, err := b.Build(ctx, []Node{{Name: "a", Sources: map[string][]byte{"f": large}}}, nil)
	if err != nil || report.BytesUp < int64(len(large)) || !bytes.Equal(s.blobs[b.Digest(large).Hash], large) {
		t.Fatalf("%+v %v", report, err)
	}
	s.blobs[b.Digest(large).Hash] = []byte("small")
	if _, err := b.Read(ctx, b.Digest(large)); status.Code(err) != codes.DataLoss {
		t.Errorf("other bytes were taken: %v", err)
	}
}

// The error of a front end that is never reached is reported at the deadline.
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
		t.Errorf("ended with %v", err)
	}
	if _, err := Dial([]string{addr}, nil, "secret"); err == nil {
		t.Error("a token would go in the clear")
	}
}

func TestSample(t *testing.T) {
	nodes, last, want := Sample("s", 23, 0)
	if len(nodes) != 23+3+1 || last != nodes[len(nodes)-1].Name || checkGraph(nodes) != nil {
		t.Errorf("%d nodes, last %q", len(nodes), last)
	}
	body := string(want[bytes.IndexByte(want, '\n')+1:])
	if !strings.HasPrefix(string(want), fmt.Sprintln(len(body))) || strings.Count(body, "object") != 23 {
		t.Errorf("%q", want)
	}
}
