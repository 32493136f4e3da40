package reapi

import (
	"path"
	"slices"
	"strings"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// defaultTimeout is the timeout of an action that sets none.
	defaultTimeout = 10 * time.Minute
	// maxTimeout is the longest timeout that an action may set.
	maxTimeout = 6 * time.Hour
)

// timeoutOf returns the timeout of an action.
func timeoutOf(action *repb.Action) (time.Duration, error) {
	if action.GetTimeout() == nil {
		return defaultTimeout, nil
	}
	timeout := action.GetTimeout().AsDuration()
	if timeout <= 0 || timeout > maxTimeout {
		return 0, status.Errorf(codes.InvalidArgument, "the timeout must lie between 0 and %s", maxTimeout)
	}
	return timeout, nil
}

// CheckPath checks that a path is relative and clean and does not leave its base directory.
func CheckPath(p string) error {
	if p == "" || path.IsAbs(p) || path.Clean(p) != p || p == ".." || strings.HasPrefix(p, "../") || strings.ContainsAny(p, "\x00\\") {
		return status.Errorf(codes.InvalidArgument, "path %q is not relative, clean and inside the root", clip(p))
	}
	return nil
}

// maxNameBytes is the maximum length of the name of a directory entry.
const maxNameBytes = 255

// CheckName checks the name of a directory entry.
func CheckName(name string) error {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\x00\\") || len(name) > maxNameBytes {
		return status.Errorf(codes.InvalidArgument, "%q is no name in a directory", clip(name))
	}
	return nil
}

// OutputPaths returns the output paths of a command, from the field of API version 2.1 and the
// deprecated fields of older versions.
func OutputPaths(c *repb.Command) []string {
	//lint:ignore SA1019 clients of version 2.0 set these fields
	return slices.Concat(c.GetOutputPaths(), c.GetOutputFiles(), c.GetOutputDirectories())
}

// The supported node properties of inputs and outputs.
const (
	PropertyMtime = "mtime"
	PropertyMode  = "unix_mode"
)

// checkCommand validates a command.
func checkCommand(c *repb.Command) error {
	if len(c.GetArguments()) == 0 || c.GetArguments()[0] == "" {
		return status.Error(codes.InvalidArgument, "the command has no arguments")
	}
	if wd := c.GetWorkingDirectory(); wd != "" {
		if err := CheckPath(wd); err != nil {
			return err
		}
	}
	for _, p := range OutputPaths(c) {
		// An output path may leave the working directory, but not the input root.
		if err := CheckPath(path.Join(c.GetWorkingDirectory(), p)); err != nil || path.IsAbs(p) {
			return status.Errorf(codes.InvalidArgument, "output path %q is outside the input root", clip(p))
		}
	}
	for _, p := range c.GetOutputNodeProperties() {
		if p != PropertyMtime && p != PropertyMode {
			return status.Errorf(codes.InvalidArgument, "output node property %q is not served; %s and %s are", clip(p), PropertyMtime, PropertyMode)
		}
	}
	for _, e := range c.GetEnvironmentVariables() {
		if e.GetName() == "" || strings.ContainsAny(e.GetName(), "=\x00") || strings.ContainsRune(e.GetValue(), 0) {
			return status.Errorf(codes.InvalidArgument, "%q is no environment variable", clip(e.GetName()))
		}
	}
	return nil
}
