package retry

import (
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"time"
)

// Backoff is the pauses between tries: each bound is twice the one before, from First up to Most.
type Backoff struct{ First, Max time.Duration }

// Pause is how long to wait after so many failures in a row, the first being 1. It lies between
// half of the bound and all of it, and depends on who waits and on the try alone: callers that
// failed together do not come back together, and simulated runs repeat.
func (b Backoff) Pause(who string, failures int) time.Duration {
	bound := min(float64(b.Max), float64(b.First)*math.Pow(2, float64(max(0, failures-1))))
	return time.Duration(bound/2 + bound/2*jitter(who, failures))
}

// jitter is a number from 0 to 1 that depends on who waits and on the try.
func jitter(who string, try int) float64 {
	const float64Bits = 53 // of precision
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, who+" "+strconv.Itoa(try))
	bits := hash.Sum64()
	// The hash's high bits hardly change with the last digits of a name, so they are mixed as in
	// the finalizer of MurmurHash3.
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	return float64(bits>>(64-float64Bits)) / (1 << float64Bits)
}

// Tries counts the failures in a row of one task. Its zero value has none.
type Tries struct {
	Backoff Backoff
	// Who identifies the task, so that its pauses differ from those of others.
	Who      string
	failures int
}

// Failed counts a failure and returns how long to wait before the next try.
func (t *Tries) Failed() time.Duration {
	t.failures++
	return t.Backoff.Pause(t.Who, t.failures)
}

// Succeeded resets the count of failures.
func (t *Tries) Succeeded() { t.failures = 0 }
