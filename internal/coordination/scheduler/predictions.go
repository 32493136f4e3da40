package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/protocol"
)

// predictionHorizonS is the time in seconds for which contention is predicted.
const predictionHorizonS = 3600

// machineDetails implements placement.MachineDetails. It computes details of a machine only when
// placement queries them, which it does for few machines.
type machineDetails struct {
	scheduler *Scheduler
	machines  []*cluster.Machine
	now       time.Time
}

// HasImage reports whether a machine has an image or is fetching it already.
func (d machineDetails) HasImage(index int, image string) bool {
	return d.machines[index].HasImage(image)
}

// Running returns a machine and its running tasks for the contention prediction. The result is cached
// until the machine's attempts change or cluster.QueueOrderTTL has passed, so that placing a task does
// not recompute it for all machines.
func (d machineDetails) Running(index int) *contention.Machine {
	machine := d.machines[index]
	if machine.Prediction == nil || d.now.Sub(machine.PredictedAt) >= cluster.QueueOrderTTL {
		machine.Prediction = d.scheduler.contentionMachine(machine, d.now)
		machine.PredictedAt = d.now
	}
	return machine.Prediction
}

// horizon returns the limits of the predicted remaining times.
func (s *Scheduler) horizon() contention.Horizon {
	return contention.Horizon{LengthS: predictionHorizonS, OverdueS: s.HeartbeatInterval.Seconds()}
}

// contentionMachine describes a machine and its running tasks for the contention prediction.
func (s *Scheduler) contentionMachine(machine *cluster.Machine, now time.Time) *contention.Machine {
	return &contention.Machine{Tasks: s.contentionTasks(machine, now), UseLimit: s.Operator.UseLimit * machine.Type.CPUs}
}

// contentionTasks describes the running tasks of a machine for the contention prediction.
func (s *Scheduler) contentionTasks(machine *cluster.Machine, now time.Time) []contention.Task {
	var tasks []contention.Task
	for _, attempt := range machine.Attempts {
		if attempt.Live() {
			tasks = append(tasks, s.contentionTask(attempt.Job.Spec, attempt.RunTimeS(now)))
		}
	}
	return tasks
}

// contentionTask describes a task that has run for elapsedS seconds for the contention prediction.
func (s *Scheduler) contentionTask(spec *protocol.JobSpec, elapsedS float64) contention.Task {
	return contention.Task{ElapsedS: elapsedS, EstimateS: s.EstimateS(spec), Use: spec.CPUs, Service: spec.Service}
}

// RemainingS predicts the remaining run time of an attempt in seconds.
func (s *Scheduler) RemainingS(a *cluster.Attempt, now time.Time) float64 {
	if a.Job.Spec.Service {
		return predictionHorizonS
	}
	return max(s.EstimateS(a.Job.Spec)-a.RunTimeS(now), s.HeartbeatInterval.Seconds())
}
