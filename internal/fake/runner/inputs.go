package runner

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/reapi"
)

// Permissions of input files.
const (
	fileMode       = 0o444
	executableMode = 0o555
)

// stageInputs creates the files and directories of an input tree in dir. The front end has
// validated all names; they are validated again, so that nothing is written outside dir.
func (r *Runner) stageInputs(ctx context.Context, digest blobstore.Digest, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	directory := new(repb.Directory)
	if err := r.readMessage(ctx, digest, directory); err != nil {
		return err
	}
	for _, file := range directory.GetFiles() {
		if err := r.stageFile(ctx, file, dir); err != nil {
			return err
		}
	}
	for _, link := range directory.GetSymlinks() {
		if err := reapi.CheckName(link.GetName()); err != nil {
			return err
		}
		if err := os.Symlink(link.GetTarget(), filepath.Join(dir, link.GetName())); err != nil {
			return err
		}
	}
	for _, child := range directory.GetDirectories() {
		if err := reapi.CheckName(child.GetName()); err != nil {
			return err
		}
		if err := r.stageInputs(ctx, r.toBlobDigest(child.GetDigest()), filepath.Join(dir, child.GetName())); err != nil {
			return err
		}
	}
	return nil
}

// stageFile creates an input file in dir.
func (r *Runner) stageFile(ctx context.Context, node *repb.FileNode, dir string) error {
	if err := reapi.CheckName(node.GetName()); err != nil {
		return err
	}
	mode := os.FileMode(fileMode)
	if node.GetIsExecutable() {
		mode = executableMode
	}
	file, err := os.OpenFile(filepath.Join(dir, node.GetName()), os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	return errors.Join(
		r.downloadBlob(ctx, file, r.toBlobDigest(node.GetDigest())),
		file.Close(),
		setNodeProperties(file.Name(), node.GetNodeProperties()))
}

// setNodeProperties sets the mode and modification time of a file if its node has them.
func setNodeProperties(path string, properties *repb.NodeProperties) error {
	if mode := properties.GetUnixMode(); mode != nil {
		if err := os.Chmod(path, os.FileMode(mode.GetValue()).Perm()); err != nil {
			return err
		}
	}
	if modified := properties.GetMtime(); modified != nil {
		return os.Chtimes(path, modified.AsTime(), modified.AsTime())
	}
	return nil
}
