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

// An action becomes a task of an array job. Actions of the same client with the same
// requirements gather for a moment and form one job, whose manifest lists them in order.
// The manifest is a blob; the job's id is derived from the manifest's digest and its image
// names the manifest, so that a worker finds the actions of a job that it runs.

// Manifest lists the actions of a job; task i of the job executes Tasks[i].
type Manifest struct {
	Instance string          `json:"instance"`
	Tasks    []ManifestEntry `json:"tasks"`
	// Again is a nonce that makes the job's id differ from that of earlier jobs of the same
	// actions, which ended without results; empty for the first.
	Again string `json:"again,omitempty"`
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

// entryOf returns the entry of an execution of an action.
func entryOf(execution string, action blobstore.Digest) *ManifestEntry {
	entry := &ManifestEntry{Execution: execution, Hash: action.Hash, Size: action.Size}
	if action.Function != blobstore.SHA256 {
		entry.Function = action.Function.String()
	}
	return entry
}

// Action returns the digest of the entry's action. It is not valid if the entry names a
// digest function of a later version.
func (e *ManifestEntry) Action() blobstore.Digest {
	digest := blobstore.Digest{Hash: e.Hash, Size: e.Size}
	var known bool
	if digest.Function, known = blobstore.FunctionNamed(e.Function); !known && e.Function != "" {
		digest.Hash = "" // fails Check
	}
	return digest
}

// ImagePrefix begins the images of jobs whose tasks are actions.
const ImagePrefix = "actions/"

// Encode returns the stored form of the manifest.
func (m *Manifest) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("reapi: encoding a manifest: %v", err)) // it holds nothing that can fail
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

// imageOf returns the image of a manifest's job.
func imageOf(manifest blobstore.Digest, instance string) string {
	return ImagePrefix + manifest.String() + "/" + instance
}

// jobIDDigits is how many decimal digits of a manifest's hash make its job's id.
const jobIDDigits = 30

// jobID derives the id of a job from its manifest.
func jobID(manifest blobstore.Digest) string {
	raw, err := hex.DecodeString(manifest.Hash)
	if err != nil {
		panic(err) // a digest that was checked
	}
	modulus := new(big.Int).Exp(big.NewInt(10), big.NewInt(jobIDDigits), nil)
	number := new(big.Int).SetBytes(raw)
	return fmt.Sprintf("job-%0*s", jobIDDigits, number.Mod(number, modulus))
}

// executionKey derives the key of an execution from its action. A salt makes it differ
// from other executions of the action, with which it must not be merged.
func executionKey(action blobstore.Digest, salt string) string {
	sum := sha256.Sum256([]byte("execution\x00" + action.String() + "\x00" + salt))
	return hex.EncodeToString(sum[:])
}

// actionEstimate is the estimated running time of an action, in seconds.
const actionEstimate = 10

// submission returns the array job of a manifest.
func submission(id, team, class, image string, needs requirements, tasks int) *protocol.Submission {
	job := &protocol.Submission{
		ID:          new(id),
		Class:       new(class),
		Team:        new(team),
		Shape:       new("batch"),
		Urgency:     new(needs.urgency),
		Tasks:       new(int64(tasks)),
		CPUs:        new(needs.cpus),
		GPUs:        new(0.0),
		MemGB:       new(needs.memGB),
		Image:       new(image),
		ImageGB:     new(0.0),
		OneZone:     new(false),
		Spread:      new(false),
		Spot:        new(needs.spot),
		EstimateS:   new(float64(actionEstimate)),
		CheckpointS: new(0.0),
		SaveS:       new(0.0),
	}
	if needs.machineType != "" {
		job.Types = []string{needs.machineType}
	}
	if needs.zone != "" {
		job.Zone = new(needs.zone)
	}
	return job
}
