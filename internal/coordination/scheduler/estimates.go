package scheduler

import (
	"maps"
	"slices"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

const (
	// minRunTimeRatio and maxRunTimeRatio bound the ratio of a run time to its estimate.
	minRunTimeRatio, maxRunTimeRatio = 0.25, 4
	// minLearningWeight is the minimum weight of a new run time in the moving average.
	minLearningWeight = 0.02
	// priorCount is the number of run times that the initial ratio of 1 stands for.
	priorCount = 5
)

// runtimeCorrection is the factor by which run times of a class differ from their estimates.
type runtimeCorrection struct {
	// Ratio is the average ratio of run time to estimate, over Count tasks.
	Ratio float64
	Count int
}

// learn adds the ratio of one more task to the moving average. A single ratio has a low weight,
// since single estimates are often wrong by half.
func (c *runtimeCorrection) learn(ratio float64) {
	c.Count++
	weight := max(minLearningWeight, 1/float64(c.Count+priorCount))
	c.Ratio += weight * (min(maxRunTimeRatio, max(minRunTimeRatio, ratio)) - c.Ratio)
}

// LearnRunTime updates the correction of a class with a completed task, which ran for ranS seconds
// and was estimated to run for estimateS.
func (s *Scheduler) LearnRunTime(class string, ranS, estimateS float64) {
	if estimateS <= 0 || ranS <= 0 {
		return
	}
	correction := s.Corrections[class]
	if correction == nil {
		if !s.mayLearnClass() {
			return
		}
		correction = &runtimeCorrection{Ratio: 1}
		s.Corrections[class] = correction
	}
	correction.learn(ranS / estimateS)
}

// mayLearnClass reports whether one more class may get a correction. If not, it counts the exceeded
// bound.
func (s *Scheduler) mayLearnClass() bool {
	if len(s.Corrections) < MaxClassGroups {
		return true
	}
	s.bounds.ReportExceeded(telemetry.Estimates, 1)
	return false
}

// EstimateS returns the submitter's estimate of a task's run time in seconds, times the correction for
// the job's class.
func (s *Scheduler) EstimateS(spec *protocol.JobSpec) float64 {
	if correction := s.Corrections[spec.Class]; correction != nil {
		return spec.EstimateS * correction.Ratio
	}
	return spec.EstimateS
}

// RuntimeCorrections lists the corrections of all classes, sorted by class name.
func (s *Scheduler) RuntimeCorrections() []*peer.RuntimeCorrection {
	var corrections []*peer.RuntimeCorrection
	for _, class := range slices.Sorted(maps.Keys(s.Corrections)) {
		correction := s.Corrections[class]
		corrections = append(corrections, &peer.RuntimeCorrection{Class: class, Ratio: correction.Ratio, Count: uint32(correction.Count)})
	}
	return corrections
}

// AdoptCorrection adopts another controller's correction of a class if it is based on more tasks
// than this controller's own.
func (s *Scheduler) AdoptCorrection(received *peer.RuntimeCorrection) {
	own := s.Corrections[received.Class]
	if own != nil && own.Count >= int(received.Count) || received.Ratio <= 0 || received.Ratio > maxRunTimeRatio {
		return
	}
	if own != nil || s.mayLearnClass() {
		s.Corrections[received.Class] = &runtimeCorrection{Ratio: received.Ratio, Count: int(received.Count)}
	}
}
