package fairshare

import (
	"math"
	"time"
)

// tallyDecay is after how long what was done counts less by a factor of e.
const tallyDecay = 10 * time.Minute

// Tally counts the jobs of a group that were done lately, with exponential decay. Its zero
// value is none.
type Tally struct {
	sum float64
	at  time.Time
}

// Add counts a job that was done at a moment.
func (t *Tally) Add(done, now time.Time) {
	t.sum, t.at = t.Value(now)+decay(now.Sub(done)), now
}

// Value is the decayed count.
func (t *Tally) Value(now time.Time) float64 { return t.sum * decay(now.Sub(t.at)) }

func decay(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / tallyDecay.Seconds())
}
