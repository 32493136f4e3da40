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

// Permissions of staged files.
const (
	fileMode       = 0o444
	executableMode = 0o555
)

// stageInputs creates an input tree in a directory. The front end has checked all names;
// they are checked again, so that nothing is written outside the directory.
func (r *Runner) stageInputs(ctx context.Context, digest blobstore.Digest, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	tree := new(repb.Directory)
	if err := r.readMessage(ctx, digest, tree); err != nil {
		return err
	}
	for _, file := range tree.GetFiles() {
		if err := r.stageFile(ctx, file, dir); err != nil {
			return err
		}
	}
	for _, link := range tree.GetSymlinks() {
		if err := reapi.CheckName(link.GetName()); err != nil {
			return err
		}
		if err := os.Symlink(link.GetTarget(), filepath.Join(dir, link.GetName())); err != nil {
			return err
		}
	}
	for _, child := range tree.GetDirectories() {
		if err := reapi.CheckName(child.GetName()); err != nil {
			return err
		}
		if err := r.stageInputs(ctx, r.digest(child.GetDigest()), filepath.Join(dir, child.GetName())); err != nil {
			return err
		}
	}
	return nil
}

// stageFile creates an input file in a directory.
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
		r.download(ctx, file, r.digest(node.GetDigest())),
		file.Close(),
		setProperties(file.Name(), node.GetNodeProperties()))
}

// setProperties gives a file the properties of its node.
func setProperties(path string, properties *repb.NodeProperties) error {
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
