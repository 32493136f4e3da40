package regress

import (
	"math"
	"slices"
)

// median returns the median of values, which must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// standardDeviation returns the sample standard deviation of values, or 0 for fewer than two values.
func standardDeviation(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	mean, squares := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return math.Sqrt(squares / float64(len(values)-1))
}
