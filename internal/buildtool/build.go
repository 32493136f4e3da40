// Package buildtool is a small build client of the Remote Execution API: it executes a graph
// of actions through one or several front ends, with retries of whatever fails meanwhile.
// It depends on the published protocol only.
package buildtool

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"lukechampine.com/blake3"
)

const (
	// defaultConcurrency is how many actions of a build are executed at a time.
	defaultConcurrency = 256
	// maxWaitMS is the longest wait that is recorded, waitDigits the precision.
	maxWaitMS  = 3_600_000
	waitDigits = 3
)

// Node is an action of a build: a shell script over named input files, with the output file
// "out".
type Node struct {
	Name   string
	Script string
	// Sources are file contents by name; Inputs are the names of the nodes whose outputs are
	// input files, by the name of the file.
	Sources map[string][]byte
	Inputs  map[string]string
}

// Progress is the state of a build, in actions.
type Progress struct{ Done, Cached, Of int }

// Report is the outcome of a build.
type Report struct {
	Actions   int   `json:"actions"`
	Cached    int   `json:"cached"`
	Jobs      int   `json:"jobs"`
	BytesUp   int64 `json:"bytes_up"`
	BytesDown int64 `json:"bytes_down"`
	// Retries counts repeated calls.
	Retries int           `json:"retries"`
	Took    time.Duration `json:"took_ns"`
	// Slowest is the action with the longest wait, SlowestName the name of its operation, ""
	// if it came from the cache.
	Slowest     string `json:"slowest,omitempty"`
	SlowestName string `json:"slowest_operation,omitempty"`
	slowest     time.Duration
	// Waits are the times from the request of an action to its result, in milliseconds.
	Waits *hdrhistogram.Histogram `json:"-"`
	// Outputs are the digests of the outputs by node.
	Outputs map[string]*repb.Digest `json:"-"`
}

// Builder runs builds of one instance. It is safe for concurrent use.
type Builder struct {
	conn     grpc.ClientConnInterface
	instance string
	cas      repb.ContentAddressableStorageClient
	exec     repb.ExecutionClient
	bytes    bytestream.ByteStreamClient
	// Function is the digest function: SHA-256, or BLAKE3.
	Function repb.DigestFunction_Value
	// AtOnce is how many actions are executed at a time; 0: defaultConcurrency.
	AtOnce int
}

// New creates a builder.
func New(conn grpc.ClientConnInterface, instance string) *Builder {
	return &Builder{
		conn:     conn,
		instance: instance,
		cas:      repb.NewContentAddressableStorageClient(conn),
		exec:     repb.NewExecutionClient(conn),
		bytes:    bytestream.NewByteStreamClient(conn),
	}
}

// Digest returns the digest of data.
func (b *Builder) Digest(data []byte) *repb.Digest {
	sum := sha256.Sum256(data)
	if b.Function == repb.DigestFunction_BLAKE3 {
		sum = blake3.Sum256(data)
	}
	return &repb.Digest{Hash: hex.EncodeToString(sum[:]), SizeBytes: int64(len(data))}
}

// run is a build in progress.
type run struct {
	builder  *Builder
	progress func(Progress) // nil: not reported
	mu       sync.Mutex
	report   Report
	jobs     map[string]bool
	total    int // actions
	// lastFailure is the error of the last call that was repeated.
	lastFailure error
}

// Build executes nodes, each once the nodes that it needs are done, and calls progress after
// each. It ends at the first action that fails permanently.
func (b *Builder) Build(ctx context.Context, nodes []Node, progress func(Progress)) (*Report, error) {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{
		builder:  b,
		progress: progress,
		jobs:     map[string]bool{},
		total:    len(nodes),
		report:   Report{Waits: hdrhistogram.New(1, maxWaitMS, waitDigits), Outputs: map[string]*repb.Digest{}},
	}
	done := map[string]chan struct{}{}
	for _, node := range nodes {
		if done[node.Name] != nil {
			return nil, fmt.Errorf("two actions are called %q", node.Name)
		}
		done[node.Name] = make(chan struct{})
	}
	if err := checkGraph(nodes); err != nil {
		return nil, err
	}
	slots := make(chan struct{}, cmp.Or(b.AtOnce, defaultConcurrency))
	var wg sync.WaitGroup
	for _, node := range nodes {
		wg.Go(func() {
			for _, input := range node.Inputs {
				select {
				case <-done[input]:
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
			if err := r.runAction(ctx, &node); err != nil {
				cancel(fmt.Errorf("action %s: %w", node.Name, err))
				return
			}
			close(done[node.Name])
		})
	}
	wg.Wait()
	r.report.Jobs, r.report.Took = len(r.jobs), time.Since(started)
	err := context.Cause(ctx)
	if err != nil && r.lastFailure != nil && !errors.Is(err, r.lastFailure) {
		err = fmt.Errorf("%w; the last call that failed: %s", err, status.Convert(r.lastFailure).Message())
	}
	return &r.report, err
}
