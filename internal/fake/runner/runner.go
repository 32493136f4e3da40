// Package runner is a stand-in for the worker that really runs build actions: it
// fetches what a task needs from a gate, runs the command in a folder of its own,
// and records the result there. It isolates nothing.
package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi"
)

const (
	maxStream = 1 << 20 // of a command's own words that are kept
	piece     = 256 << 10
)

// Runner speaks to one gate.
type Runner struct {
	bytes    bytestream.ByteStreamClient
	ac       repb.ActionCacheClient
	instance string
	machine  string
	// function is what the action's digests are computed with.
	function blobstore.Function
	// properties are those that the command wants of its outputs.
	properties []string
}

// Run runs the task of a job with this image in an empty folder, and records its
// result. An error means that there is none, and that the task may be tried again.
func Run(ctx context.Context, conn grpc.ClientConnInterface, machine, image string, index int, dir string) error {
	ctx = metadata.AppendToOutgoingContext(ctx, reapi.WorkerMark, "1")
	manifest, instance, ok := reapi.ParseImage(image)
	if !ok {
		return fmt.Errorf("runner: %q is no image of actions", image)
	}
	r := &Runner{bytestream.NewByteStreamClient(conn), repb.NewActionCacheClient(conn), instance, machine, blobstore.SHA256, nil}
	raw, err := r.read(ctx, manifest)
	if err != nil {
		return err
	}
	m, err := reapi.ParseManifest(raw)
	if err != nil || index >= len(m.Tasks) {
		return fmt.Errorf("runner: the manifest has no task %d", index)
	}
	e := m.Tasks[index]
	r.function = e.Action().Function
	action, command := new(repb.Action), new(repb.Command)
	if err := r.message(ctx, e.Action(), action); err != nil {
		return err
	}
	if err := r.message(ctx, r.digest(action.GetCommandDigest()), command); err != nil {
		return err
	}
	result, err := r.run(ctx, action, command, dir)
	if err != nil {
		return err
	}
	ctx = metadata.AppendToOutgoingContext(ctx, reapi.ExecutionMark, e.Execution)
	_, err = r.ac.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: instance,
		ActionDigest: &repb.Digest{Hash: e.Hash, SizeBytes: e.Size}, ActionResult: result, DigestFunction: reapi.FunctionOnWire(r.function)})
	return err
}

func (r *Runner) digest(d *repb.Digest) blobstore.Digest {
	return blobstore.Digest{Hash: d.GetHash(), Size: d.GetSizeBytes(), Function: r.function}
}

func (r *Runner) message(ctx context.Context, d blobstore.Digest, m proto.Message) error {
	raw, err := r.read(ctx, d)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

func (r *Runner) name(rest string) string {
	if r.instance == "" {
		return rest
	}
	return r.instance + "/" + rest
}

func (r *Runner) read(ctx context.Context, d blobstore.Digest) ([]byte, error) {
	var out bytes.Buffer
	err := r.copyTo(ctx, &out, d)
	return out.Bytes(), err
}

// copyTo fetches a blob and checks that it is what was asked for.
func (r *Runner) copyTo(ctx context.Context, w io.Writer, d blobstore.Digest) error {
	if d.IsEmpty() {
		return nil
	}
	s, err := r.bytes.Read(ctx, &bytestream.ReadRequest{ResourceName: r.name("blobs/" + d.String())})
	if err != nil {
		return err
	}
	for {
		m, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("runner: fetch %s: %w", d, err)
		}
		if _, err := w.Write(m.GetData()); err != nil {
			return err
		}
	}
}

func (r *Runner) upload(ctx context.Context, data []byte) (*repb.Digest, error) {
	d := r.function.Of(data)
	w, err := r.bytes.Write(ctx)
	if err != nil {
		return nil, err
	}
	name := r.name(fmt.Sprintf("uploads/%s-%d/blobs/%s", r.machine, time.Now().UnixNano(), d))
	for at, first := 0, true; first || at < len(data); first = false {
		end := min(at+piece, len(data))
		if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: int64(at), Data: data[at:end], FinishWrite: end == len(data)}); err != nil {
			break // the answer says why, or that it is there
		}
		at = end
	}
	if _, err := w.CloseAndRecv(); err != nil {
		return nil, fmt.Errorf("runner: upload: %w", err)
	}
	return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}, nil
}

// materialise makes the input tree in a folder. Names were checked by the gate,
// and are checked again: nothing is written outside.
func (r *Runner) materialise(ctx context.Context, d blobstore.Digest, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	tree := new(repb.Directory)
	if err := r.message(ctx, d, tree); err != nil {
		return err
	}
	for _, f := range tree.GetFiles() {
		if err := reapi.CheckName(f.GetName()); err != nil {
			return err
		}
		mode := os.FileMode(0o444)
		if f.GetIsExecutable() {
			mode = 0o555
		}
		out, err := os.OpenFile(filepath.Join(dir, f.GetName()), os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
		if err != nil {
			return err
		}
		if err := errors.Join(r.copyTo(ctx, out, r.digest(f.GetDigest())), out.Close(), adorn(out.Name(), f.GetNodeProperties())); err != nil {
			return err
		}
	}
	for _, l := range tree.GetSymlinks() {
		if err := reapi.CheckName(l.GetName()); err != nil {
			return err
		}
		if err := os.Symlink(l.GetTarget(), filepath.Join(dir, l.GetName())); err != nil {
			return err
		}
	}
	for _, s := range tree.GetDirectories() {
		if err := reapi.CheckName(s.GetName()); err != nil {
			return err
		}
		if err := r.materialise(ctx, r.digest(s.GetDigest()), filepath.Join(dir, s.GetName())); err != nil {
			return err
		}
	}
	return nil
}

// adorn gives a file the properties that its node asks for.
func adorn(path string, p *repb.NodeProperties) error {
	if m := p.GetUnixMode(); m != nil {
		if err := os.Chmod(path, os.FileMode(m.GetValue()).Perm()); err != nil {
			return err
		}
	}
	if at := p.GetMtime(); at != nil {
		return os.Chtimes(path, at.AsTime(), at.AsTime())
	}
	return nil
}

// of are the properties of an output that the command wants to know.
func (r *Runner) of(info os.FileInfo) *repb.NodeProperties {
	var p *repb.NodeProperties
	for _, name := range r.properties {
		if p == nil {
			p = new(repb.NodeProperties)
		}
		switch name {
		case reapi.PropertyMode:
			p.UnixMode = wrapperspb.UInt32(uint32(info.Mode().Perm()))
		case reapi.PropertyMtime:
			p.Mtime = timestamppb.New(info.ModTime())
		}
	}
	return p
}

// bounded keeps the first bytes that are written to it.
type bounded struct{ bytes.Buffer }

func (b *bounded) Write(p []byte) (int, error) {
	if left := maxStream - b.Len(); left > 0 {
		_, _ = b.Buffer.Write(p[:min(left, len(p))])
	}
	return len(p), nil
}

func (r *Runner) run(ctx context.Context, action *repb.Action, command *repb.Command, dir string) (*repb.ActionResult, error) {
	meta := &repb.ExecutedActionMetadata{Worker: r.machine, WorkerStartTimestamp: timestamppb.Now(), InputFetchStartTimestamp: timestamppb.Now()}
	if err := r.materialise(ctx, r.digest(action.GetInputRootDigest()), dir); err != nil {
		return nil, err
	}
	meta.InputFetchCompletedTimestamp = timestamppb.Now()
	wd := filepath.Join(dir, filepath.FromSlash(command.GetWorkingDirectory()))
	outputs := reapi.Outputs(command)
	for _, o := range outputs {
		if err := os.MkdirAll(filepath.Join(wd, filepath.Dir(filepath.FromSlash(o))), 0o755); err != nil {
			return nil, err
		}
	}
	limit := 10 * time.Minute
	if action.GetTimeout() != nil {
		limit = action.GetTimeout().AsDuration()
	}
	run, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	args := command.GetArguments()
	cmd := exec.CommandContext(run, args[0], args[1:]...)
	cmd.Dir = wd
	cmd.Env = []string{}
	for _, e := range command.GetEnvironmentVariables() {
		cmd.Env = append(cmd.Env, e.GetName()+"="+e.GetValue())
	}
	// The command and whatever it starts end together.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Second
	var stdout, stderr bounded
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	meta.ExecutionStartTimestamp = timestamppb.Now()
	err := cmd.Run()
	meta.ExecutionCompletedTimestamp = timestamppb.Now()
	if cmd.Process != nil {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // children that stayed behind
	}
	if ctx.Err() != nil {
		return nil, ctx.Err() // stopped, not over
	}
	result := &repb.ActionResult{ExecutionMetadata: meta}
	var exit *exec.ExitError
	switch {
	case run.Err() != nil:
		result.ExitCode = 124
		if note, aerr := anypb.New(status.New(codes.DeadlineExceeded, fmt.Sprintf("ran for longer than %s", limit)).Proto()); aerr == nil {
			meta.AuxiliaryMetadata = append(meta.AuxiliaryMetadata, note)
		}
	case errors.As(err, &exit):
		result.ExitCode = int32(exit.ExitCode())
	case err != nil:
		// The command could not be started: that is the action's own result.
		result.ExitCode = 127
		fmt.Fprintln(&stderr, err)
	}
	meta.OutputUploadStartTimestamp = timestamppb.Now()
	for to, data := range map[**repb.Digest][]byte{&result.StdoutDigest: stdout.Bytes(), &result.StderrDigest: stderr.Bytes()} {
		if len(data) == 0 {
			continue
		}
		if *to, err = r.upload(ctx, data); err != nil {
			return nil, err
		}
	}
	r.properties = command.GetOutputNodeProperties()
	for _, o := range outputs {
		if err := r.output(ctx, result, wd, o, command.GetOutputDirectoryFormat()); err != nil {
			return nil, err
		}
	}
	meta.OutputUploadCompletedTimestamp = timestamppb.Now()
	meta.WorkerCompletedTimestamp = meta.OutputUploadCompletedTimestamp
	return result, nil
}

// output uploads one output path, if the command has made it.
func (r *Runner) output(ctx context.Context, result *repb.ActionResult, wd, o string, format repb.Command_OutputDirectoryFormat) error {
	at := filepath.Join(wd, filepath.FromSlash(o))
	info, err := os.Lstat(at)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	switch {
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(at)
		if err != nil {
			return err
		}
		result.OutputSymlinks = append(result.OutputSymlinks, &repb.OutputSymlink{Path: o, Target: target, NodeProperties: r.of(info)})
	case info.IsDir():
		tree := new(repb.Tree)
		if tree.Root, err = r.directory(ctx, at, tree); err != nil {
			return err
		}
		out := &repb.OutputDirectory{Path: o}
		if format != repb.Command_DIRECTORY_ONLY {
			if out.TreeDigest, err = r.put(ctx, tree); err != nil {
				return err
			}
		}
		if format != repb.Command_TREE_ONLY {
			for _, child := range tree.Children {
				if _, err := r.put(ctx, child); err != nil {
					return err
				}
			}
			if out.RootDirectoryDigest, err = r.put(ctx, tree.Root); err != nil {
				return err
			}
		}
		result.OutputDirectories = append(result.OutputDirectories, out)
	case info.Mode().IsRegular():
		d, err := r.file(ctx, at)
		if err != nil {
			return err
		}
		result.OutputFiles = append(result.OutputFiles, &repb.OutputFile{Path: o, Digest: d, IsExecutable: info.Mode()&0o111 != 0, NodeProperties: r.of(info)})
	}
	return nil
}

// put uploads a message.
func (r *Runner) put(ctx context.Context, m proto.Message) (*repb.Digest, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return r.upload(ctx, raw)
}

func (r *Runner) file(ctx context.Context, at string) (*repb.Digest, error) {
	data, err := os.ReadFile(at)
	if err != nil {
		return nil, err
	}
	return r.upload(ctx, data)
}

// directory uploads what a folder holds, depth first.
func (r *Runner) directory(ctx context.Context, at string, tree *repb.Tree) (*repb.Directory, error) {
	entries, err := os.ReadDir(at)
	if err != nil {
		return nil, err
	}
	own, err := os.Lstat(at)
	if err != nil {
		return nil, err
	}
	d := &repb.Directory{NodeProperties: r.of(own)}
	for _, e := range entries {
		p := filepath.Join(at, e.Name())
		info, err := e.Info()
		if err != nil {
			return nil, err
		}
		switch {
		case info.Mode()&os.ModeSymlink != 0:
			target, err := os.Readlink(p)
			if err != nil {
				return nil, err
			}
			d.Symlinks = append(d.Symlinks, &repb.SymlinkNode{Name: e.Name(), Target: target, NodeProperties: r.of(info)})
		case e.IsDir():
			child, err := r.directory(ctx, p, tree)
			if err != nil {
				return nil, err
			}
			raw, err := proto.Marshal(child)
			if err != nil {
				return nil, err
			}
			of := r.function.Of(raw)
			tree.Children = append(tree.Children, child)
			d.Directories = append(d.Directories, &repb.DirectoryNode{Name: e.Name(), Digest: &repb.Digest{Hash: of.Hash, SizeBytes: of.Size}})
		case info.Mode().IsRegular():
			sum, err := r.file(ctx, p)
			if err != nil {
				return nil, err
			}
			d.Files = append(d.Files, &repb.FileNode{Name: e.Name(), Digest: sum, IsExecutable: info.Mode()&0o111 != 0, NodeProperties: r.of(info)})
		}
	}
	return d, nil
}

// Dir is a task's folder below a machine's.
func Dir(root, task string, attempt uint64) string {
	return filepath.Join(root, strings.ReplaceAll(path.Clean(task), "/", "-")+fmt.Sprintf("-%d", attempt))
}
