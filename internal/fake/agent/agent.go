// Package agent is a model of the worker of PROTOCOL: reports, sessions,
// leases, tokens and commands. Its tasks only take time. What a job is, and
// what is noted of its tasks, is told by whoever owns the model.
package agent

import (
	"strconv"
	"sync"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Jobs tells a worker what it would learn from the job's description.
type Jobs interface {
	// RunTime says how long a task runs on a machine; false: no such task.
	RunTime(job string, task int, machine string) (time.Duration, bool)
	// Fails says whether a task that has run its time fails.
	Fails(job string, task int, machine string) bool
}

// Watcher sees what happens on a machine, with the lock held.
type Watcher interface {
	Obeying(w *Agent, c protocol.Command) // before a start that is new
	Started(w *Agent, t *Task)
	Ended(w *Agent, t *Task)
	Running(w *Agent, t *Task, now time.Time) // at every step
}

// Agent is one machine's worker. Whoever looks into its fields holds the lock.
type Agent struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	ReportEvery, Lease     time.Duration
	// Fetch is how long a task waits for its image.
	Fetch time.Duration
	// Homes are the controllers' labels; Home is the one that gets the reports.
	Homes []string
	Home  int
	// Send carries a report to a controller, without the lock; status 0 means
	// that no answer came.
	Send func(home string, report []byte) (status int, answer []byte)

	// Exec, if set, is asked at a task's start, with the lock held, whether it
	// runs something; if it returns how to stop that, the task goes on until
	// Finish.
	Exec func(t *Task) (stop func())

	Dead, Hung               bool
	Session, Sequence, Token uint64
	LeaseFrom                time.Time
	Tasks                    map[string]*Task
	Notice                   *time.Time
	// Starts counts the tasks that began to run.
	Starts int

	lock    sync.Locker
	jobs    Jobs
	watch   Watcher
	stopped chan struct{}
}

// Task is a task on the machine.
type Task struct {
	Name    string
	Job     string
	Index   int
	Attempt uint64
	State   string
	Cause   string
	Running bool
	begun   time.Time
	Ends    time.Time
	stop    func()
}

// halt ends what the task runs.
func (t *Task) halt() {
	if t.stop != nil {
		t.stop()
		t.stop = nil
	}
}

// Finish ends a task that runs something, with the lock held. One that was
// stopped before stays so.
func (w *Agent) Finish(t *Task, cause string) {
	if t.State != protocol.TaskRunning {
		return
	}
	t.State, t.Running, t.Cause = protocol.TaskEnded, false, cause
	w.watch.Ended(w, t)
}

// New makes a worker of a machine that has just come up, whose state the lock
// guards; what it does not say is filled in by the caller.
func New(lock sync.Locker, jobs Jobs, watch Watcher) *Agent {
	return &Agent{lock: lock, jobs: jobs, watch: watch, stopped: make(chan struct{}), Session: 1, Tasks: map[string]*Task{},
		Fetch: 300 * time.Millisecond, ReportEvery: time.Second, LeaseFrom: time.Now()}
}

// Off cuts the machine's power, with the lock held.
func (w *Agent) Off() {
	if !w.Dead {
		w.Dead = true
		for _, t := range w.Tasks {
			t.halt()
		}
		close(w.stopped)
	}
}

const step = 100 * time.Millisecond

// Run reports and runs tasks until the machine is off or done is closed.
func (w *Agent) Run(done <-chan struct{}) {
	next := time.Now()
	for {
		select {
		case <-w.stopped:
			return
		case <-done:
			return
		case <-time.After(step):
		}
		w.lock.Lock()
		if w.Hung {
			w.lock.Unlock()
			continue
		}
		w.Advance(time.Now())
		due := !time.Now().Before(next)
		w.lock.Unlock()
		if due {
			next = time.Now().Add(w.ReportEvery)
			if !w.report() {
				next = time.Now().Add(w.ReportEvery)
			}
		}
	}
}

// Advance runs the machine up to now, with the lock held.
func (w *Agent) Advance(now time.Time) {
	if now.Sub(w.LeaseFrom) > w.Lease {
		w.Session++
		for _, t := range w.Tasks {
			t.halt()
		}
		w.Tasks = map[string]*Task{}
		w.LeaseFrom = now
	}
	for _, t := range w.Tasks {
		switch {
		case t.State == protocol.TaskFetching && now.Sub(t.begun) > w.Fetch:
			runs, ok := w.jobs.RunTime(t.Job, t.Index, w.Name)
			if !ok {
				t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknown
				continue
			}
			t.State, t.Running = protocol.TaskRunning, true
			t.Ends = now.Add(runs)
			if w.Exec != nil {
				t.stop = w.Exec(t)
			}
			w.Starts++
			w.watch.Started(w, t)
		case t.State == protocol.TaskRunning && t.stop == nil && !now.Before(t.Ends):
			t.State, t.Running, t.Cause = protocol.TaskEnded, false, protocol.CauseDone
			if w.jobs.Fails(t.Job, t.Index, w.Name) {
				t.Cause = protocol.CauseError
			}
			w.watch.Ended(w, t)
		}
		if t.Running {
			w.watch.Running(w, t, now)
		}
	}
}

// Snapshot is the worker's report as of now, with the lock held.
func (w *Agent) Snapshot() *protocol.Heartbeat {
	w.Sequence++
	r := &protocol.Heartbeat{Machine: w.Name, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Epoch: w.Session, Sequence: w.Sequence, Token: w.Token, Tasks: []protocol.TaskReport{}}
	if w.Notice != nil {
		s := time.Until(*w.Notice).Seconds()
		r.PreemptionNoticeS = &s
	}
	for _, t := range w.Tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t.Name, Attempt: t.Attempt, State: t.State, Cause: t.Cause})
	}
	return r
}

// report sends one report and obeys the answer. It returns false if the worker
// goes to the next controller.
func (w *Agent) report() bool {
	w.lock.Lock()
	sent := time.Now()
	r := w.Snapshot()
	home := w.Homes[w.Home]
	w.lock.Unlock()
	status, body := w.Send(home, protocol.Encode(r))
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.Hung || w.Dead {
		return true
	}
	switch status {
	case 200:
		var o protocol.CommandBatch
		if protocol.Decode(body, &o) == nil && o.Token >= w.Token && r.Epoch == w.Session {
			w.Token, w.LeaseFrom = o.Token, sent
			w.execute(o.Commands)
		}
		return true
	case 421:
		var h protocol.AssignedController
		if protocol.Decode(body, &h) == nil {
			for i, label := range w.Homes {
				if label == h.Controller && i != w.Home {
					w.Home = i
					return false
				}
			}
		}
	}
	w.Home = (w.Home + 1) % len(w.Homes)
	return false
}

func (w *Agent) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		key := c.Task + "#" + strconv.FormatUint(c.Attempt, 10)
		t := w.Tasks[key]
		switch c.Op {
		case protocol.OpStart:
			if t != nil {
				continue
			}
			job, index, ok := protocol.ParseTask(c.Task)
			w.watch.Obeying(w, c)
			t = &Task{Name: c.Task, Job: job, Index: index, Attempt: c.Attempt, State: protocol.TaskFetching, begun: time.Now()}
			if !ok {
				t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknown
			}
			for _, o := range w.Tasks {
				if o.Name == c.Task && o.State != protocol.TaskEnded {
					t.State, t.Cause = protocol.TaskEnded, protocol.CauseInUse
				}
			}
			w.Tasks[key] = t
		case protocol.OpStop:
			if t != nil && t.State != protocol.TaskEnded {
				t.State, t.Cause, t.Running = protocol.TaskEnded, protocol.CauseStopped, false
				t.halt()
			}
		case protocol.OpForget:
			if t != nil && t.State == protocol.TaskEnded {
				delete(w.Tasks, key)
			}
		}
	}
}

// Serve answers one request to the worker's own address, with the lock held;
// nil means that the machine says nothing.
func (w *Agent) Serve(path string, body []byte) *transport.Response {
	answer := func(status int) *transport.Response {
		return &transport.Response{Status: status, Body: protocol.Encode(w.Snapshot())}
	}
	if w.Dead || w.Hung {
		return nil
	}
	w.Advance(time.Now())
	if path == "/show" {
		return answer(200)
	}
	var o protocol.CommandBatch
	if protocol.Decode(body, &o) != nil || o.Token == 0 && o.Epoch == 0 {
		return answer(400)
	}
	if o.Token < w.Token || o.Epoch != w.Session {
		return answer(409)
	}
	w.Token = o.Token
	w.execute(o.Commands)
	return answer(200)
}
