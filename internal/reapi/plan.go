package reapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/big"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// An action becomes a task of an array job: actions of the same client that need
// the same gather for a moment and are one job, whose manifest names them in
// order. The manifest is a blob; the job's id comes from the manifest's digest and
// its image names the manifest, so that whoever has the job has its actions.

// Manifest is what a job's tasks are.
type Manifest struct {
	Instance string          `json:"instance"`
	Tasks    []ManifestEntry `json:"tasks"`
	// Again tells the job from earlier ones of the same actions, which ended without
	// their results; empty for the first.
	Again string `json:"again,omitempty"`
}

// ManifestEntry is the action of one task.
type ManifestEntry struct {
	// Execution is the key under which the result is recorded.
	Execution string `json:"execution"`
	Hash      string `json:"hash"`
	Size      int64  `json:"size"`
	// Function is what the action's digests are computed with, "" SHA-256.
	Function string `json:"function,omitempty"`
}

// entryOf is the entry of an execution of an action.
func entryOf(execution string, action blobstore.Digest) *ManifestEntry {
	e := &ManifestEntry{Execution: execution, Hash: action.Hash, Size: action.Size}
	if action.Function != blobstore.SHA256 {
		e.Function = action.Function.String()
	}
	return e
}

// Action is the entry's action.
func (e *ManifestEntry) Action() blobstore.Digest {
	d := blobstore.Digest{Hash: e.Hash, Size: e.Size}
	var known bool
	if d.Function, known = blobstore.Named(e.Function); !known && e.Function != "" {
		d.Hash = "" // of a gate that knows more functions: checked, it is none
	}
	return d
}

// ImagePrefix begins the images of jobs that were made of actions.
const ImagePrefix = "actions/"

// Encode is the manifest as it is kept.
func (m *Manifest) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("gate: a manifest can't be written: %v", err)) // it holds nothing that can fail
	}
	return raw
}

// ParseManifest reads a manifest.
func ParseManifest(raw []byte) (*Manifest, error) {
	m := new(Manifest)
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("not a manifest: %w", err)
	}
	return m, nil
}

// ParseImage reads a manifest's digest and its instance from a job's image.
func ParseImage(image string) (manifest blobstore.Digest, instance string, ok bool) {
	rest, ok := strings.CutPrefix(image, ImagePrefix)
	parts := strings.SplitN(rest, "/", 3)
	if !ok || len(parts) != 3 {
		return blobstore.Digest{}, "", false
	}
	size, err := strconv.ParseInt(parts[1], 10, 64)
	d := blobstore.Digest{Hash: parts[0], Size: size}
	return d, parts[2], err == nil && d.Check() == nil
}

func imageOf(manifest blobstore.Digest, instance string) string {
	return ImagePrefix + manifest.String() + "/" + instance
}

// jobID is the id of a manifest's job.
func jobID(manifest blobstore.Digest) string {
	raw, err := hex.DecodeString(manifest.Hash)
	if err != nil {
		panic(err) // a digest that was checked
	}
	n := new(big.Int).SetBytes(raw)
	return fmt.Sprintf("job-%030s", n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(30), nil)))
}

// executionKey is the key of an execution: the action's own, and of one that must
// not be merged with others its salt too.
func executionKey(action blobstore.Digest, salt string) string {
	sum := sha256.Sum256([]byte("execution\x00" + action.String() + "\x00" + salt))
	return hex.EncodeToString(sum[:])
}

// startedKey is where it is noted which task an execution became.
func startedKey(execution string) blobstore.Digest {
	return blobstore.Of([]byte("started\x00" + execution))
}

// needs are what an action's task takes of a machine; what is equal gathers.
type needs struct {
	cpus, memGB float64
	machine     string
	zone        string
	spot        bool
	urgency     string
}

// needsOf reads the platform's properties and the priority of an execution.
func needsOf(platform *repb.Platform, priority int32) (needs, error) {
	n := needs{cpus: 1, memGB: 1, spot: true, urgency: "standard"}
	bad := func(p *repb.Platform_Property, want string) error {
		return status.Errorf(codes.FailedPrecondition, "platform property %s=%q: %s", clip(p.GetName()), clip(p.GetValue()), want)
	}
	for _, p := range platform.GetProperties() {
		var err error
		switch p.GetName() {
		case "cpus":
			if n.cpus, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(n.cpus > 0 && n.cpus <= 1024) {
				return n, bad(p, "a number of CPUs up to 1024")
			}
		case "mem-gb":
			if n.memGB, err = strconv.ParseFloat(p.GetValue(), 64); err != nil || !(n.memGB > 0 && n.memGB <= 65536) {
				return n, bad(p, "a number of GB up to 65536")
			}
		case "machine-type":
			n.machine = p.GetValue()
		case "zone":
			n.zone = p.GetValue()
		case "spot":
			if n.spot, err = strconv.ParseBool(p.GetValue()); err != nil {
				return n, bad(p, "true or false")
			}
		case "OSFamily":
			if !strings.EqualFold(p.GetValue(), "linux") {
				return n, bad(p, "machines run linux")
			}
		default:
			return n, bad(p, "not served; cpus, mem-gb, machine-type, zone, spot and OSFamily are")
		}
		if len(p.GetValue()) > 100 {
			return n, bad(p, "too long")
		}
	}
	// The API's smaller numbers are more urgent. What people wait for above all,
	// production, is not for builds.
	switch {
	case priority < 0:
		n.urgency = "high"
	case priority > 0:
		n.urgency = "low"
	}
	return n, nil
}

const (
	defaultTimeout = 10 * time.Minute
	maxTimeout     = 6 * time.Hour
)

// timeoutOf is how long an action may run.
func timeoutOf(a *repb.Action) (time.Duration, error) {
	if a.GetTimeout() == nil {
		return defaultTimeout, nil
	}
	d := a.GetTimeout().AsDuration()
	if d <= 0 || d > maxTimeout {
		return 0, status.Errorf(codes.InvalidArgument, "the timeout must lie between 0 and %s", maxTimeout)
	}
	return d, nil
}

// CheckPath says whether a path stays inside the folder it starts from.
func CheckPath(p string) error {
	if p == "" || path.IsAbs(p) || path.Clean(p) != p || p == ".." || strings.HasPrefix(p, "../") || strings.ContainsAny(p, "\x00\\") {
		return status.Errorf(codes.InvalidArgument, "path %q is not relative, clean and inside the root", clip(p))
	}
	return nil
}

// CheckName says whether a name in a directory is one.
func CheckName(name string) error {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\x00\\") || len(name) > 255 {
		return status.Errorf(codes.InvalidArgument, "%q is no name in a directory", clip(name))
	}
	return nil
}

// Outputs are the paths that a command is expected to make, in the words of newer
// clients and of older ones.
func Outputs(c *repb.Command) []string {
	//lint:ignore SA1019 clients of version 2.0 say it this way
	return slices.Concat(c.GetOutputPaths(), c.GetOutputFiles(), c.GetOutputDirectories())
}

// The node properties that are served, of inputs and of outputs.
const (
	PropertyMtime = "mtime"
	PropertyMode  = "unix_mode"
)

// checkCommand says what is wrong with a command.
func checkCommand(c *repb.Command) error {
	if len(c.GetArguments()) == 0 || c.GetArguments()[0] == "" {
		return status.Error(codes.InvalidArgument, "the command has no arguments")
	}
	if wd := c.GetWorkingDirectory(); wd != "" {
		if err := CheckPath(wd); err != nil {
			return err
		}
	}
	for _, p := range Outputs(c) {
		// An output may lie beside the working directory, not outside the root.
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

// submission is the job of a manifest.
func submission(id, team, class, image string, n needs, tasks int) *protocol.Submission {
	shape, count, zero, estimate := "batch", int64(tasks), 0.0, 10.0
	no := false
	s := &protocol.Submission{ID: &id, Class: &class, Team: &team, Shape: &shape, Urgency: &n.urgency, Tasks: &count, CPUs: &n.cpus, GPUs: &zero,
		MemGB: &n.memGB, Image: &image, ImageGB: &zero, OneZone: &no, Spread: &no, Spot: &n.spot, EstimateS: &estimate, CheckpointS: &zero, SaveS: &zero}
	if n.machine != "" {
		s.Types = []string{n.machine}
	}
	if n.zone != "" {
		s.Zone = &n.zone
	}
	return s
}
