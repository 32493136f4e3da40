package agent

import (
	"time"

	"micaspindle/internal/protocol"
)

// Task is one attempt of a task on the machine.
type Task struct {
	Name       string
	Job        string
	Index      int
	Attempt    uint64
	State      string
	Cause      string // reason for the end of the task
	Running    bool
	acceptedAt time.Time
	EndsAt     time.Time // end of the run time, used unless Agent.Exec executes the task
	stop       func()    // stops the execution by Agent.Exec, or nil
}

// stopExec stops the execution of the task by Agent.Exec, if there is one.
func (t *Task) stopExec() {
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
}

// startTask starts a task whose image is fetched. It ends the task and returns false if its
// job has no such task. The caller holds the lock.
func (a *Agent) startTask(t *Task, now time.Time) bool {
	runTime, ok := a.workload.RunTime(t.Job, t.Index, a.Name)
	if !ok {
		t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknownTask
		return false
	}
	t.State, t.Running = protocol.TaskRunning, true
	t.EndsAt = now.Add(runTime)
	if a.Exec != nil {
		t.stop = a.Exec(t)
	}
	a.TasksStarted++
	a.watcher.Started(a, t)
	return true
}

// Finish ends a task if it is still running. The caller holds the lock.
func (a *Agent) Finish(t *Task, cause string) {
	if t.State != protocol.TaskRunning {
		return
	}
	t.State, t.Running, t.Cause = protocol.TaskEnded, false, cause
	a.watcher.Ended(a, t)
}
