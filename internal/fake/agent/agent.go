// Package agent is a fake of the worker agent that PROTOCOL describes. It sends heartbeats,
// keeps a machine lease with a fencing token and an agent epoch, and executes commands. By
// default its tasks only simulate a run time.
package agent

import (
	"sync"
	"time"

	"micaspindle/internal/protocol"
)

// Workload determines the run times of tasks and whether they fail.
type Workload interface {
	// RunTime returns the run time of a task on a machine, or false if there is no such task.
	RunTime(job string, task int, machine string) (time.Duration, bool)
	// Fails reports whether a task fails at the end of its run time.
	Fails(job string, task int, machine string) bool
}

// Watcher observes the tasks of a machine. It is called with the lock held.
type Watcher interface {
	// Accepting is called before a start command is executed, except for repeated commands.
	Accepting(a *Agent, command protocol.Command)
	// Started is called when a task has begun to run.
	Started(a *Agent, t *Task)
	// Ended is called when a running task is done or has failed, not when it is stopped.
	Ended(a *Agent, t *Task)
	// Running is called for each running task whenever the agent advances its tasks.
	Running(a *Agent, t *Task, now time.Time)
}

// Agent is the agent of one machine. Callers must hold the lock to use its fields.
type Agent struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	HeartbeatInterval      time.Duration
	// LeaseDuration is the duration of the machine lease.
	LeaseDuration time.Duration
	// FetchTime is the time that a task takes to fetch its image.
	FetchTime time.Duration
	// Controllers are the labels of the controllers.
	Controllers []string
	// ControllerIndex is the index of the controller that receives the heartbeats.
	ControllerIndex int
	// Send sends an encoded heartbeat to a controller and returns the response. It is called
	// without the lock. Status 0 means that there was no response.
	Send func(controller string, heartbeat []byte) (status int, body []byte)

	// Exec, if set, is called with the lock held when a task starts. If it executes the task,
	// it returns a function that stops the execution, and the task runs until Finish is
	// called. If it returns nil, the agent only simulates the task's run time.
	Exec func(t *Task) (stop func())

	// Refuse, if set, is called with the lock held for each start, and returns the cause for
	// which the agent refuses it, or "" if the agent accepts it.
	Refuse func(command protocol.Command) (cause string)

	PoweredOff bool
	// Hung means that the machine does not respond and makes no progress.
	Hung     bool
	Epoch    uint64 // agent epoch
	Sequence uint64 // number of the last heartbeat
	Token    uint64 // fencing token of the machine lease
	// LeaseRenewedAt is the time of the last renewal of the machine lease.
	LeaseRenewedAt time.Time
	Tasks          map[string]*Task // by task and attempt
	// PreemptAt is the time announced in the preemption notice, or nil if there is none.
	PreemptAt *time.Time
	// TasksStarted counts the tasks that began to run.
	TasksStarted int

	lock     sync.Locker
	workload Workload
	watcher  Watcher
	stopped  chan struct{}
}

const (
	// stepInterval is the interval at which a running agent advances its tasks.
	stepInterval = 100 * time.Millisecond

	defaultFetchTime         = 300 * time.Millisecond
	defaultHeartbeatInterval = time.Second
)

// New creates the agent of a machine that has just booted. The lock guards its fields, of
// which the caller sets those without a default.
func New(lock sync.Locker, jobs Workload, watcher Watcher) *Agent {
	return &Agent{
		lock:              lock,
		workload:          jobs,
		watcher:           watcher,
		stopped:           make(chan struct{}),
		Epoch:             1,
		Tasks:             map[string]*Task{},
		FetchTime:         defaultFetchTime,
		HeartbeatInterval: defaultHeartbeatInterval,
		LeaseRenewedAt:    time.Now(),
	}
}

// PowerOff powers the machine off. The caller holds the lock.
func (a *Agent) PowerOff() {
	if a.PoweredOff {
		return
	}
	a.PoweredOff = true
	for _, t := range a.Tasks {
		t.stopExec()
	}
	close(a.stopped)
}

// Run sends heartbeats and advances the tasks until the machine is powered off or done is
// closed.
func (a *Agent) Run(done <-chan struct{}) {
	nextHeartbeat := time.Now()
	for {
		select {
		case <-a.stopped:
			return
		case <-done:
			return
		case <-time.After(stepInterval):
		}
		a.lock.Lock()
		if a.Hung {
			a.lock.Unlock()
			continue
		}
		a.Advance(time.Now())
		due := !time.Now().Before(nextHeartbeat)
		a.lock.Unlock()
		if due {
			nextHeartbeat = time.Now().Add(a.HeartbeatInterval)
			if !a.sendHeartbeat() {
				nextHeartbeat = time.Now().Add(a.HeartbeatInterval)
			}
		}
	}
}

// Advance advances the machine's state to the time now. If the machine lease has expired, it drops
// all tasks and begins a new agent epoch. It starts the tasks whose images are fetched, and
// ends those whose run time is over. The caller holds the lock.
func (a *Agent) Advance(now time.Time) {
	if now.Sub(a.LeaseRenewedAt) > a.LeaseDuration {
		a.Epoch++
		for _, t := range a.Tasks {
			t.stopExec()
		}
		a.Tasks = map[string]*Task{}
		a.LeaseRenewedAt = now
	}
	for _, t := range a.Tasks {
		switch {
		case t.State == protocol.TaskFetching && now.Sub(t.acceptedAt) > a.FetchTime:
			if !a.startTask(t, now) {
				continue
			}
		case t.State == protocol.TaskRunning && t.stop == nil && !now.Before(t.EndsAt):
			cause := protocol.CauseDone
			if a.workload.Fails(t.Job, t.Index, a.Name) {
				cause = protocol.CauseError
			}
			a.Finish(t, cause)
		}
		if t.Running {
			a.watcher.Running(a, t, now)
		}
	}
}

// Restart restarts the machine at once. The agent comes back under its name with no memory: no
// tasks, no token, and its first epoch and sequence. The caller holds the lock.
func (a *Agent) Restart() {
	for _, t := range a.Tasks {
		t.stopExec()
	}
	a.Tasks = map[string]*Task{}
	a.Epoch, a.Sequence, a.Token, a.LeaseRenewedAt = 1, 0, 0, time.Now()
}
