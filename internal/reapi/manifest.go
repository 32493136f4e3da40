package reapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/big"
	"strconv"
	"strings"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// Each action runs as a task of an array job. Actions that arrive shortly after each other,
// from the same client and with the same requirements, are batched into one job, whose
// manifest lists them in order. The manifest is stored as a blob. The job's id is derived
// from the manifest's digest, and the job's image names the manifest, so that workers can
// look up the actions of the job.

// Manifest lists the actions of a job; task i of the job executes Tasks[i].
type Manifest struct {
	Instance string          `json:"instance"`
	Tasks    []ManifestEntry `json:"tasks"`
	// Nonce makes the job's id differ from those of earlier jobs of the same actions that
	// ended without results. It is empty for the first job.
	Nonce string `json:"again,omitempty"`
}

// ManifestEntry is the action of one task.
type ManifestEntry struct {
	// Execution is the key under which the result is recorded.
	Execution string `json:"execution"`
	Hash      string `json:"hash"`
	Size      int64  `json:"size"`
	// Function is the digest function of the action, "" for SHA-256.
	Function string `json:"function,omitempty"`
}

// entryOf returns the manifest entry for an execution of an action.
func entryOf(execution string, action blobstore.Digest) *ManifestEntry {
	entry := &ManifestEntry{Execution: execution, Hash: action.Hash, Size: action.Size}
	if action.Function != blobstore.SHA256 {
		entry.Function = action.Function.String()
	}
	return entry
}

// Action returns the digest of the entry's action. If the entry names an unknown digest
// function, for example one of a later version, the returned digest fails Check.
func (e *ManifestEntry) Action() blobstore.Digest {
	digest := blobstore.Digest{Hash: e.Hash, Size: e.Size}
	var known bool
	if digest.Function, known = blobstore.FunctionNamed(e.Function); !known && e.Function != "" {
		digest.Hash = "" // fails Check
	}
	return digest
}

// ImagePrefix is the prefix of the images of jobs whose tasks are actions.
const ImagePrefix = "actions/"

// Encode returns the stored form of the manifest.
func (m *Manifest) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("reapi: encoding a manifest: %v", err)) // all its fields can be encoded
	}
	return raw
}

// ParseManifest parses a stored manifest.
func ParseManifest(raw []byte) (*Manifest, error) {
	m := new(Manifest)
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("not a manifest: %w", err)
	}
	return m, nil
}

// ParseImage returns the manifest's digest and the instance that a job's image names.
func ParseImage(image string) (manifest blobstore.Digest, instance string, ok bool) {
	rest, ok := strings.CutPrefix(image, ImagePrefix)
	parts := strings.SplitN(rest, "/", 3)
	if !ok || len(parts) != 3 {
		return blobstore.Digest{}, "", false
	}
	size, err := strconv.ParseInt(parts[1], 10, 64)
	digest := blobstore.Digest{Hash: parts[0], Size: size}
	return digest, parts[2], err == nil && digest.Check() == nil
}

// imageOf returns the image name of the job with this manifest, which contains the manifest's
// digest.
func imageOf(manifest blobstore.Digest, instance string) string {
	return ImagePrefix + manifest.String() + "/" + instance
}

// jobIDDigits is the number of decimal digits in the id of a job.
const jobIDDigits = 30

// jobID derives the id of a job from its manifest.
func jobID(manifest blobstore.Digest) string {
	raw, err := hex.DecodeString(manifest.Hash)
	if err != nil {
		panic(err) // the digest was checked before
	}
	modulus := new(big.Int).Exp(big.NewInt(10), big.NewInt(jobIDDigits), nil)
	number := new(big.Int).SetBytes(raw)
	return fmt.Sprintf("job-%0*s", jobIDDigits, number.Mod(number, modulus))
}

// executionKey derives the key of an execution from its action. Executions with the same key
// are merged; a salt prevents that.
func executionKey(action blobstore.Digest, salt string) string {
	sum := sha256.Sum256([]byte("execution\x00" + action.String() + "\x00" + salt))
	return hex.EncodeToString(sum[:])
}

// actionEstimate is the estimated running time of an action, in seconds.
const actionEstimate = 10

// submission returns the array job that executes the actions of a manifest.
func submission(id, team, class, image string, required requirements, tasks int) *protocol.Submission {
	job := &protocol.Submission{
		ID:                  new(id),
		Class:               new(class),
		Team:                new(team),
		Shape:               new("batch"),
		Urgency:             new(required.urgency),
		Tasks:               new(int64(tasks)),
		CPUs:                new(required.cpus),
		GPUs:                new(0.0),
		MemGB:               new(required.memGB),
		Image:               new(image),
		ImageGB:             new(0.0),
		OneZone:             new(false),
		Spread:              new(false),
		Spot:                new(required.spot),
		EstimateS:           new(float64(actionEstimate)),
		CheckpointIntervalS: new(0.0),
		CheckpointDurationS: new(0.0),
	}
	if required.machineType != "" {
		job.Types = []string{required.machineType}
	}
	if required.zone != "" {
		job.Zone = new(required.zone)
	}
	return job
}
