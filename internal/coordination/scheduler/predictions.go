package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/protocol"
)

// predictionHorizonS is how many seconds ahead contention is predicted.
const predictionHorizonS = 3600

// usableMachines gives placement the details of machines that it asks for few of them only.
// It implements placement.Machines.
type usableMachines struct {
	scheduler *Scheduler
	machines  []*cluster.Machine
	now       time.Time
}

// HasImage reports whether a machine has an image or is fetching it already.
func (u usableMachines) HasImage(index int, image string) bool {
	return u.machines[index].HasImage(image)
}

// Running is the prediction of a machine's running tasks. It is cached until the machine's
// attempts change or it has grown old, so that placing a task does not predict every other
// one anew.
func (u usableMachines) Running(index int) *contention.Machine {
	machine := u.machines[index]
	if machine.Prediction == nil || u.now.Sub(machine.PredictedAt) >= cluster.QueueOrderTTL {
		machine.Prediction = u.scheduler.predictMachine(machine, u.now)
		machine.PredictedAt = u.now
	}
	return machine.Prediction
}

// horizon bounds the predictions of contention.
func (s *Scheduler) horizon() contention.Horizon {
	return contention.Horizon{MaxS: predictionHorizonS, OverdueS: s.HeartbeatInterval.Seconds()}
}

// predictMachine predicts the contention on a machine from its running tasks.
func (s *Scheduler) predictMachine(machine *cluster.Machine, now time.Time) *contention.Machine {
	return &contention.Machine{Tasks: s.predictTasks(machine, now), UseLimit: s.Operator.LimitShare * machine.Type.CPUs}
}

// predictTasks describes the running tasks of a machine.
func (s *Scheduler) predictTasks(machine *cluster.Machine, now time.Time) []contention.Task {
	var tasks []contention.Task
	for _, attempt := range machine.Attempts {
		if attempt.Live() {
			tasks = append(tasks, s.predictTask(attempt.Job.Spec, attempt.RunTimeS(now)))
		}
	}
	return tasks
}

// predictTask describes a task of a job that has run for so many seconds.
func (s *Scheduler) predictTask(spec *protocol.JobSpec, elapsedS float64) contention.Task {
	return contention.Task{ElapsedS: elapsedS, EstimateS: s.EstimateS(spec), Use: spec.CPUs, Service: spec.Standing}
}

// RemainingS predicts how many seconds an attempt still runs.
func (s *Scheduler) RemainingS(a *cluster.Attempt, now time.Time) float64 {
	if a.Job.Spec.Standing {
		return predictionHorizonS
	}
	return max(s.EstimateS(a.Job.Spec)-a.RunTimeS(now), s.HeartbeatInterval.Seconds())
}
