package runner

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"micaspindle/internal/reapi"
)

// uploadOutput uploads the file or directory at an output path and adds it to the result. It
// does nothing if the command has not created the path.
func (r *Runner) uploadOutput(ctx context.Context, result *repb.ActionResult, workingDir, output string, format repb.Command_OutputDirectoryFormat) error {
	path := filepath.Join(workingDir, filepath.FromSlash(output))
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	switch {
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(path)
		if err != nil {
			return err
		}
		result.OutputSymlinks = append(result.OutputSymlinks, &repb.OutputSymlink{Path: output, Target: target, NodeProperties: r.nodeProperties(info)})
	case info.IsDir():
		directory, err := r.uploadOutputDirectory(ctx, path, format)
		if err != nil {
			return err
		}
		directory.Path = output
		result.OutputDirectories = append(result.OutputDirectories, directory)
	case info.Mode().IsRegular():
		digest, err := r.uploadFile(ctx, path)
		if err != nil {
			return err
		}
		result.OutputFiles = append(result.OutputFiles, &repb.OutputFile{Path: output, Digest: digest, IsExecutable: isExecutable(info), NodeProperties: r.nodeProperties(info)})
	}
	return nil
}

// uploadOutputDirectory uploads an output directory in the format that the command
// requests: as a Tree, as Directory messages, or both.
func (r *Runner) uploadOutputDirectory(ctx context.Context, path string, format repb.Command_OutputDirectoryFormat) (*repb.OutputDirectory, error) {
	tree := new(repb.Tree)
	var err error
	if tree.Root, err = r.uploadContents(ctx, path, tree); err != nil {
		return nil, err
	}
	directory := new(repb.OutputDirectory)
	if format != repb.Command_DIRECTORY_ONLY {
		if directory.TreeDigest, err = r.uploadMessage(ctx, tree); err != nil {
			return nil, err
		}
	}
	if format != repb.Command_TREE_ONLY {
		for _, child := range tree.Children {
			if _, err := r.uploadMessage(ctx, child); err != nil {
				return nil, err
			}
		}
		if directory.RootDirectoryDigest, err = r.uploadMessage(ctx, tree.Root); err != nil {
			return nil, err
		}
	}
	return directory, nil
}

// uploadContents uploads the files below a directory, depth first. It returns the
// directory's message, and adds those of its subdirectories to the tree.
func (r *Runner) uploadContents(ctx context.Context, path string, tree *repb.Tree) (*repb.Directory, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	dirInfo, err := os.Lstat(path)
	if err != nil {
		return nil, err
	}
	directory := &repb.Directory{NodeProperties: r.nodeProperties(dirInfo)}
	for _, entry := range entries {
		entryPath := filepath.Join(path, entry.Name())
		info, err := entry.Info()
		if err != nil {
			return nil, err
		}
		switch {
		case info.Mode()&os.ModeSymlink != 0:
			target, err := os.Readlink(entryPath)
			if err != nil {
				return nil, err
			}
			directory.Symlinks = append(directory.Symlinks, &repb.SymlinkNode{Name: entry.Name(), Target: target, NodeProperties: r.nodeProperties(info)})
		case entry.IsDir():
			child, err := r.uploadContents(ctx, entryPath, tree)
			if err != nil {
				return nil, err
			}
			raw, err := proto.Marshal(child)
			if err != nil {
				return nil, err
			}
			digest := r.digestFunction.Of(raw)
			tree.Children = append(tree.Children, child)
			directory.Directories = append(directory.Directories, &repb.DirectoryNode{Name: entry.Name(), Digest: &repb.Digest{Hash: digest.Hash, SizeBytes: digest.Size}})
		case info.Mode().IsRegular():
			digest, err := r.uploadFile(ctx, entryPath)
			if err != nil {
				return nil, err
			}
			directory.Files = append(directory.Files, &repb.FileNode{Name: entry.Name(), Digest: digest, IsExecutable: isExecutable(info), NodeProperties: r.nodeProperties(info)})
		}
	}
	return directory, nil
}

// isExecutable reports whether a file has any execute permission.
func isExecutable(info os.FileInfo) bool { return info.Mode()&0o111 != 0 }

// nodeProperties returns the properties of an output that the command requests, or nil if it
// requests none.
func (r *Runner) nodeProperties(info os.FileInfo) *repb.NodeProperties {
	if len(r.outputProperties) == 0 {
		return nil
	}
	properties := new(repb.NodeProperties)
	for _, name := range r.outputProperties {
		switch name {
		case reapi.PropertyMode:
			properties.UnixMode = wrapperspb.UInt32(uint32(info.Mode().Perm()))
		case reapi.PropertyMtime:
			properties.Mtime = timestamppb.New(info.ModTime())
		}
	}
	return properties
}
