package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits bound a queue.
type Limits struct {
	// Concurrency is how many are admitted at a time, PerSecond how much cost a second;
	// 0 is no bound.
	Concurrency int
	PerSecond   float64
	// MaxWaiting is how many may wait in all, and Patience for how long each; a Patience of 0 is
	// no bound.
	MaxWaiting int
	MaxWait    time.Duration
	// Weights are the shares of teams; one that is not named has 1.
	Weights map[string]float64
}

// Check says what is wrong with the limits.
func (l *Limits) Check() error {
	switch {
	case l.Concurrency < 0:
		return errors.New("at_once: must not be below 0")
	case l.PerSecond < 0 || math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0):
		return errors.New("per_second: must be a number and not below 0")
	case l.MaxWaiting < 0:
		return errors.New("waiting: must not be below 0")
	case l.MaxWait < 0:
		return errors.New("patience: must not be below 0")
	}
	return checkWeights(l.Weights)
}

func checkWeights(weights map[string]float64) error {
	for team, w := range weights {
		if !(w > 0) || math.IsInf(w, 0) {
			return fmt.Errorf("weights.%s: %v is no weight; write a number above 0", team, w)
		}
	}
	return nil
}

// weight is that of a team; 1 if it is not named.
func weight(weights map[string]float64, team string) float64 {
	if w, ok := weights[team]; ok {
		return w
	}
	return 1
}

// BusyError refuses a caller.
type BusyError struct {
	// RetryAfter is about how long it takes until the caller would be served.
	RetryAfter time.Duration
	Reason     string
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%s; come back in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}
