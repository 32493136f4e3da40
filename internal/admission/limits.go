package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits are the bounds and the weights of a Queue.
type Limits struct {
	// Concurrency bounds the callers admitted at a time, PerSecond the cost admitted per second; 0
	// means no bound.
	Concurrency int
	PerSecond   float64
	// MaxWaiting bounds the number of waiting callers, MaxWait the time that each waits; a MaxWait
	// of 0 means no bound.
	MaxWaiting int
	MaxWait    time.Duration
	// Weights are the relative shares of teams, 1 for a team that is not listed.
	Weights map[string]float64
}

// Check returns an error that names the first invalid setting.
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
			return fmt.Errorf("weights.%s: %v is not a finite number above 0", team, w)
		}
	}
	return nil
}

// weight returns the weight of a team, 1 if it is not listed.
func weight(weights map[string]float64, team string) float64 {
	if w, ok := weights[team]; ok {
		return w
	}
	return 1
}

// BusyError is the error of a caller that was refused because of load.
type BusyError struct {
	// RetryAfter estimates the time until the caller would have been admitted.
	RetryAfter time.Duration
	Reason     string
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%s; come back in %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}
