package agent

import (
	"time"

	"micaspindle/internal/protocol"
)

// Task is an attempt of a task on the machine.
type Task struct {
	Name       string
	Job        string
	Index      int
	Attempt    uint64
	State      string
	Cause      string // why it ended
	Running    bool
	acceptedAt time.Time
	Ends       time.Time
	stop       func() // what Agent.Exec returned; nil once called
}

// halt stops what Agent.Exec runs for the task.
func (t *Task) halt() {
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
}

// start starts a task whose image is fetched, and reports whether there is such a task.
// The lock is held.
func (a *Agent) start(t *Task, now time.Time) bool {
	runTime, ok := a.jobs.RunTime(t.Job, t.Index, a.Name)
	if !ok {
		t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknown
		return false
	}
	t.State, t.Running = protocol.TaskRunning, true
	t.Ends = now.Add(runTime)
	if a.Exec != nil {
		t.stop = a.Exec(t)
	}
	a.Starts++
	a.watcher.Started(a, t)
	return true
}

// Finish ends a running task; one that was stopped before stays as it is. The lock is held.
func (a *Agent) Finish(t *Task, cause string) {
	if t.State != protocol.TaskRunning {
		return
	}
	t.State, t.Running, t.Cause = protocol.TaskEnded, false, cause
	a.watcher.Ended(a, t)
}
