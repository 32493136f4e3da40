package retry

import (
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"time"
)

// Backoff is an exponential backoff with jitter. The bound of the pause starts at First and doubles
// with each failure, up to Max.
type Backoff struct{ First, Max time.Duration }

// Pause returns the pause after a number of consecutive failures, starting with 1. It is between
// half of the bound and the bound. The jitter is a function of jitterKey and failures: callers with
// different keys that fail together do not retry together, and simulated runs are reproducible.
func (b Backoff) Pause(jitterKey string, failures int) time.Duration {
	bound := min(float64(b.Max), float64(b.First)*math.Pow(2, float64(max(0, failures-1))))
	return time.Duration(bound/2 + bound/2*jitter(jitterKey, failures))
}

// jitter returns a number in [0, 1) that is a function of key and failures.
func jitter(key string, failures int) float64 {
	const float64Bits = 53 // precision of a float64
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, key+" "+strconv.Itoa(failures))
	bits := hash.Sum64()
	// The high bits of an FNV hash hardly depend on the last bytes of the input, so the bits are
	// mixed with the first steps of the finalizer of MurmurHash3.
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	return float64(bits>>(64-float64Bits)) / (1 << float64Bits)
}

// FailureCounter counts the consecutive failures of one task.
type FailureCounter struct {
	Backoff Backoff
	// JitterKey identifies the task. It is the input of the jitter, so that different tasks have
	// different pauses.
	JitterKey string
	failures  int
}

// Failed counts a failure and returns the pause before the next attempt.
func (t *FailureCounter) Failed() time.Duration {
	t.failures++
	return t.Backoff.Pause(t.JitterKey, t.failures)
}

// Succeeded resets the count of consecutive failures.
func (t *FailureCounter) Succeeded() { t.failures = 0 }
