package fairshare

import (
	"math"
	"time"
)

// tallyDecay is the age at which the weight of a completed job in a Tally is 1/e.
const tallyDecay = 10 * time.Minute

// Tally counts the recently completed jobs of a group, with exponential decay. Its zero value
// counts none.
type Tally struct {
	sum float64
	at  time.Time
}

// Add counts a job that was completed at the given time.
func (t *Tally) Add(completedAt, now time.Time) {
	t.sum, t.at = t.Value(now)+decay(now.Sub(completedAt)), now
}

// Value returns the decayed count at the given time.
func (t *Tally) Value(now time.Time) float64 { return t.sum * decay(now.Sub(t.at)) }

// decay returns the weight of a job that was completed the given time ago.
func decay(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / tallyDecay.Seconds())
}
