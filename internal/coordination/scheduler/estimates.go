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
	// minLearningWeight is the weight of a new run time once many were learnt.
	minLearningWeight = 0.02
	// priorCount is how many run times the initial ratio of 1 stands for.
	priorCount = 5
)

// runtimeCorrection is how run times of a class compare with their estimates.
type runtimeCorrection struct {
	// Ratio is the run time over the estimate, averaged over Count tasks.
	Ratio float64
	Count int
}

// learn takes in the ratio of one more task. The average follows slowly, since single
// estimates are often wrong by half.
func (c *runtimeCorrection) learn(ratio float64) {
	c.Count++
	weight := max(minLearningWeight, 1/float64(c.Count+priorCount))
	c.Ratio += weight * (min(maxRunTimeRatio, max(minRunTimeRatio, ratio)) - c.Ratio)
}

// LearnRunTime takes in a completed task: how many seconds it ran, and was estimated to run.
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

// mayLearnClass reports whether the run times of one more class may be learnt.
func (s *Scheduler) mayLearnClass() bool {
	if len(s.Corrections) < MaxClassGroups {
		return true
	}
	s.bounds.Met(telemetry.Estimates, 1)
	return false
}

// EstimateS is the submitter's estimate of a task's run time in seconds, corrected by what
// was learnt of the job's class.
func (s *Scheduler) EstimateS(spec *protocol.JobSpec) float64 {
	if correction := s.Corrections[spec.Class]; correction != nil {
		return spec.EstimateS * correction.Ratio
	}
	return spec.EstimateS
}

// RuntimeCorrections lists what was learnt of all classes, by name.
func (s *Scheduler) RuntimeCorrections() []*peer.RuntimeCorrection {
	var corrections []*peer.RuntimeCorrection
	for _, class := range slices.Sorted(maps.Keys(s.Corrections)) {
		correction := s.Corrections[class]
		corrections = append(corrections, &peer.RuntimeCorrection{Class: class, Ratio: correction.Ratio, Count: uint32(correction.Count)})
	}
	return corrections
}

// AdoptCorrection takes over what another controller has learnt of a class, if it has learnt
// from more tasks than this one.
func (s *Scheduler) AdoptCorrection(received *peer.RuntimeCorrection) {
	own := s.Corrections[received.Class]
	if own != nil && own.Count >= int(received.Count) || received.Ratio <= 0 || received.Ratio > maxRunTimeRatio {
		return
	}
	if own != nil || s.mayLearnClass() {
		s.Corrections[received.Class] = &runtimeCorrection{Ratio: received.Ratio, Count: int(received.Count)}
	}
}
