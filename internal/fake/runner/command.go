package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/reapi"
)

const (
	// maxStreamSize is the maximum number of bytes kept of a command's stdout, and of its stderr.
	maxStreamSize = 1 << 20
	// defaultTimeout is the timeout of actions that set none.
	defaultTimeout = 10 * time.Minute
	// outputWaitDelay is the maximum time for which the runner waits until the output pipes of a
	// killed command close.
	outputWaitDelay = time.Second
)

// Exit codes of commands that were killed or not started, as a shell uses them.
const (
	exitTimeout    = 124
	exitNotStarted = 127
)

// execute creates the input files, runs the command, and uploads the outputs.
func (r *Runner) execute(ctx context.Context, action *repb.Action, command *repb.Command, dir string) (*repb.ActionResult, error) {
	times := &repb.ExecutedActionMetadata{Worker: r.machine, WorkerStartTimestamp: timestamppb.Now(), InputFetchStartTimestamp: timestamppb.Now()}
	if err := r.stageInputs(ctx, r.toBlobDigest(action.GetInputRootDigest()), dir); err != nil {
		return nil, err
	}
	times.InputFetchCompletedTimestamp = timestamppb.Now()
	workingDir := filepath.Join(dir, filepath.FromSlash(command.GetWorkingDirectory()))
	outputs := reapi.OutputPaths(command)
	for _, output := range outputs {
		if err := os.MkdirAll(filepath.Join(workingDir, filepath.Dir(filepath.FromSlash(output))), 0o755); err != nil {
			return nil, err
		}
	}
	result := &repb.ActionResult{ExecutionMetadata: times}
	var stdout, stderr limitedBuffer
	if err := runCommand(ctx, action, command, workingDir, result, &stdout, &stderr); err != nil {
		return nil, err
	}
	times.OutputUploadStartTimestamp = timestamppb.Now()
	var err error
	if result.StdoutDigest, err = r.uploadStream(ctx, &stdout); err != nil {
		return nil, err
	}
	if result.StderrDigest, err = r.uploadStream(ctx, &stderr); err != nil {
		return nil, err
	}
	for _, output := range outputs {
		if err := r.uploadOutput(ctx, result, workingDir, output, command.GetOutputDirectoryFormat()); err != nil {
			return nil, err
		}
	}
	times.OutputUploadCompletedTimestamp = timestamppb.Now()
	times.WorkerCompletedTimestamp = times.OutputUploadCompletedTimestamp
	return result, nil
}

// runCommand runs a command and sets the exit code and times of the result. It returns an
// error only if ctx is done.
func runCommand(ctx context.Context, action *repb.Action, command *repb.Command, workingDir string, result *repb.ActionResult, stdout, stderr *limitedBuffer) error {
	timeout := defaultTimeout
	if action.GetTimeout() != nil {
		timeout = action.GetTimeout().AsDuration()
	}
	runCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args := command.GetArguments()
	cmd := exec.CommandContext(runCtx, args[0], args[1:]...)
	cmd.Dir = workingDir
	cmd.Env = []string{}
	for _, variable := range command.GetEnvironmentVariables() {
		cmd.Env = append(cmd.Env, variable.GetName()+"="+variable.GetValue())
	}
	// The command gets its own process group, which is killed as a whole.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = outputWaitDelay
	cmd.Stdout, cmd.Stderr = stdout, stderr
	times := result.ExecutionMetadata
	times.ExecutionStartTimestamp = timestamppb.Now()
	err := cmd.Run()
	times.ExecutionCompletedTimestamp = timestamppb.Now()
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // remaining child processes
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var exit *exec.ExitError
	switch {
	case runCtx.Err() != nil:
		result.ExitCode = exitTimeout
		if detail, packErr := anypb.New(status.New(codes.DeadlineExceeded, fmt.Sprintf("ran for longer than %s", timeout)).Proto()); packErr == nil {
			times.AuxiliaryMetadata = append(times.AuxiliaryMetadata, detail)
		}
	case errors.As(err, &exit):
		result.ExitCode = int32(exit.ExitCode())
	case err != nil:
		// A command that cannot be started has a result with an exit code, like any other.
		result.ExitCode = exitNotStarted
		fmt.Fprintln(stderr, err)
	}
	return nil
}

// uploadStream uploads a command's output to stdout or stderr. It returns a nil digest if the
// output is empty.
func (r *Runner) uploadStream(ctx context.Context, stream *limitedBuffer) (*repb.Digest, error) {
	if stream.Len() == 0 {
		return nil, nil
	}
	return r.uploadBlob(ctx, stream.Bytes())
}

// limitedBuffer keeps the first maxStreamSize bytes that are written to it and discards the
// rest.
type limitedBuffer struct{ bytes.Buffer }

// Write implements io.Writer. It never fails.
func (b *limitedBuffer) Write(data []byte) (int, error) {
	if left := maxStreamSize - b.Len(); left > 0 {
		_, _ = b.Buffer.Write(data[:min(left, len(data))])
	}
	return len(data), nil
}
