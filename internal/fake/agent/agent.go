// Package agent is a fake of the worker agent that PROTOCOL describes: it sends heartbeats,
// keeps a machine lease with a fencing token and an agent epoch, and executes commands. Its
// tasks only take time. What a job is, and what is recorded of its tasks, is up to the
// Jobs and the Watcher that it is given.
package agent

import (
	"sync"
	"time"

	"micaspindle/internal/protocol"
)

// Jobs tells an agent what a real one would learn from the job's description.
type Jobs interface {
	// RunTime returns how long a task runs on a machine; false: there is no such task.
	RunTime(job string, task int, machine string) (time.Duration, bool)
	// Fails reports whether a task fails when its run time is over.
	Fails(job string, task int, machine string) bool
}

// Watcher observes what happens on a machine. It is called with the lock held.
type Watcher interface {
	Obeying(a *Agent, command protocol.Command) // before a start command that is new
	Started(a *Agent, t *Task)
	Ended(a *Agent, t *Task)
	Running(a *Agent, t *Task, now time.Time) // at every step
}

// Agent is the agent of one machine. Callers that use its fields hold the lock.
type Agent struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	// HeartbeatInterval is the heartbeat interval, Lease the duration of the machine lease.
	HeartbeatInterval, Lease time.Duration
	// Fetch is how long a task takes to fetch its image.
	Fetch time.Duration
	// Controllers are the labels of the controllers; Home is the index of the one that gets the
	// heartbeats.
	Controllers []string
	Controller  int
	// Send sends a heartbeat to a controller. It is called without the lock. Status 0 means
	// that there was no answer.
	Send func(home string, report []byte) (status int, answer []byte)

	// Exec, if set, is called with the lock held when a task starts. If it runs something
	// for the task, it returns how to stop that, and the task runs until Finish.
	Exec func(t *Task) (stop func())

	// PoweredOff means that the machine is powered off, Hung that it does nothing.
	PoweredOff, Hung bool
	// Epoch is the agent epoch, Sequence the number of the last heartbeat, Token the
	// fencing token of the machine lease.
	Epoch, Sequence, Token uint64
	// LeaseRenewedAt is when the machine lease was last renewed.
	LeaseRenewedAt time.Time
	Tasks          map[string]*Task // by task and attempt
	// PreemptedAt is when the machine is preempted, nil: no preemption notice was given.
	PreemptedAt *time.Time
	// Starts counts the tasks that began to run.
	Starts int

	lock    sync.Locker
	jobs    Jobs
	watcher Watcher
	stopped chan struct{}
}

const (
	// stepInterval is how often a running agent advances its tasks.
	stepInterval = 100 * time.Millisecond

	defaultFetch             = 300 * time.Millisecond
	defaultHeartbeatInterval = time.Second
)

// New creates the agent of a machine that has just booted. The lock guards its state. The
// caller sets the remaining fields.
func New(lock sync.Locker, jobs Jobs, watcher Watcher) *Agent {
	return &Agent{
		lock:              lock,
		jobs:              jobs,
		watcher:           watcher,
		stopped:           make(chan struct{}),
		Epoch:             1,
		Tasks:             map[string]*Task{},
		Fetch:             defaultFetch,
		HeartbeatInterval: defaultHeartbeatInterval,
		LeaseRenewedAt:    time.Now(),
	}
}

// PowerOff powers the machine off. The lock is held.
func (a *Agent) PowerOff() {
	if a.PoweredOff {
		return
	}
	a.PoweredOff = true
	for _, t := range a.Tasks {
		t.halt()
	}
	close(a.stopped)
}

// Run sends heartbeats and advances the tasks until the machine is off or done is closed.
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

// Advance runs the machine up to now: an expired lease ends all tasks and the agent epoch,
// and tasks start and end when their time has come. The lock is held.
func (a *Agent) Advance(now time.Time) {
	if now.Sub(a.LeaseRenewedAt) > a.Lease {
		a.Epoch++
		for _, t := range a.Tasks {
			t.halt()
		}
		a.Tasks = map[string]*Task{}
		a.LeaseRenewedAt = now
	}
	for _, t := range a.Tasks {
		switch {
		case t.State == protocol.TaskFetching && now.Sub(t.acceptedAt) > a.Fetch:
			if !a.start(t, now) {
				continue
			}
		case t.State == protocol.TaskRunning && t.stop == nil && !now.Before(t.Ends):
			cause := protocol.CauseDone
			if a.jobs.Fails(t.Job, t.Index, a.Name) {
				cause = protocol.CauseError
			}
			a.Finish(t, cause)
		}
		if t.Running {
			a.watcher.Running(a, t, now)
		}
	}
}
