// Package buildtool is a small build client for the Remote Execution API. It executes a
// graph of actions through one or more front ends and retries calls that fail. It depends
// only on the published API.
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
	// defaultConcurrency is the default number of concurrent actions of a build.
	defaultConcurrency = 256
	// maxWaitMS is the upper bound of the histogram of wait times, in milliseconds.
	maxWaitMS = 3_600_000
	// waitSignificantDigits is the precision of the histogram of wait times, in decimal digits.
	waitSignificantDigits = 3
)

// Node is an action of a build: a shell script that reads input files and writes the file
// "out".
type Node struct {
	Name   string
	Script string
	// Sources maps the names of input files to their contents.
	Sources map[string][]byte
	// Inputs maps the names of input files to the nodes that produce them.
	Inputs map[string]string
}

// Progress counts the actions of a build: the completed ones, those completed with a cached
// result, and all.
type Progress struct{ Done, Cached, Total int }

// Report is the outcome of a build.
type Report struct {
	Actions   int   `json:"actions"`
	Cached    int   `json:"cached"`
	Jobs      int   `json:"jobs"`
	BytesUp   int64 `json:"bytes_up"`
	BytesDown int64 `json:"bytes_down"`
	// Retries is the number of repeated calls after transient failures.
	Retries  int           `json:"retries"`
	Duration time.Duration `json:"took_ns"`
	// SlowestAction is the node with the longest wait.
	SlowestAction string `json:"slowest,omitempty"`
	// SlowestOperation is the operation of that node, or "" if its result came from the cache.
	SlowestOperation string `json:"slowest_operation,omitempty"`
	longestWait      time.Duration
	// WaitTimes is a histogram of the times from the request of an action to its result, in
	// milliseconds.
	WaitTimes *hdrhistogram.Histogram `json:"-"`
	// Outputs maps the names of nodes to the digests of their outputs.
	Outputs map[string]*repb.Digest `json:"-"`
}

// Builder runs builds in one instance of the front ends. It is safe for concurrent use.
type Builder struct {
	conn       grpc.ClientConnInterface
	instance   string
	cas        repb.ContentAddressableStorageClient
	exec       repb.ExecutionClient
	byteStream bytestream.ByteStreamClient
	// DigestFunction is the digest function: SHA-256, which is the default, or BLAKE3.
	DigestFunction repb.DigestFunction_Value
	// Concurrency is the number of concurrent actions; 0 means defaultConcurrency.
	Concurrency int
}

// New creates a builder that uses SHA-256.
func New(conn grpc.ClientConnInterface, instance string) *Builder {
	return &Builder{
		conn:       conn,
		instance:   instance,
		cas:        repb.NewContentAddressableStorageClient(conn),
		exec:       repb.NewExecutionClient(conn),
		byteStream: bytestream.NewByteStreamClient(conn),
	}
}

// Digest returns the digest of data under the builder's digest function.
func (b *Builder) Digest(data []byte) *repb.Digest {
	sum := sha256.Sum256(data)
	if b.DigestFunction == repb.DigestFunction_BLAKE3 {
		sum = blake3.Sum256(data)
	}
	return &repb.Digest{Hash: hex.EncodeToString(sum[:]), SizeBytes: int64(len(data))}
}

// run is a build in progress.
type run struct {
	builder      *Builder
	progress     func(Progress) // nil if the caller does not want progress
	mu           sync.Mutex
	report       Report
	jobs         map[string]bool // IDs of the jobs that executed actions
	totalActions int
	// lastTransientErr is the most recent error that led to a retry.
	lastTransientErr error
}

// Build executes each node after the nodes that it depends on, and calls progress whenever
// a node is done. It stops at the first permanent failure.
func (b *Builder) Build(ctx context.Context, nodes []Node, progress func(Progress)) (*Report, error) {
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{
		builder:      b,
		progress:     progress,
		jobs:         map[string]bool{},
		totalActions: len(nodes),
		report:       Report{WaitTimes: hdrhistogram.New(1, maxWaitMS, waitSignificantDigits), Outputs: map[string]*repb.Digest{}},
	}
	done := map[string]chan struct{}{}
	for _, node := range nodes {
		if done[node.Name] != nil {
			return nil, fmt.Errorf("duplicate action name %q", node.Name)
		}
		done[node.Name] = make(chan struct{})
	}
	if err := checkGraph(nodes); err != nil {
		return nil, err
	}
	slots := make(chan struct{}, cmp.Or(b.Concurrency, defaultConcurrency))
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
	r.report.Jobs, r.report.Duration = len(r.jobs), time.Since(started)
	err := context.Cause(ctx)
	if err != nil && r.lastTransientErr != nil && !errors.Is(err, r.lastTransientErr) {
		err = fmt.Errorf("%w; last transient error: %s", err, status.Convert(r.lastTransientErr).Message())
	}
	return &r.report, err
}
