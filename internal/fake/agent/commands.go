package agent

import (
	"net/http"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// execute executes commands. Each is idempotent. The lock is held.
func (a *Agent) execute(commands []protocol.Command) {
	for _, command := range commands {
		key := command.Task + "#" + strconv.FormatUint(command.Attempt, 10)
		t := a.Tasks[key]
		switch command.Op {
		case protocol.OpStart:
			if t == nil {
				a.Tasks[key] = a.accept(command)
			}
		case protocol.OpStop:
			if t != nil && t.State != protocol.TaskEnded {
				t.State, t.Cause, t.Running = protocol.TaskEnded, protocol.CauseStopped, false
				t.halt()
			}
		case protocol.OpForget:
			if t != nil && t.State == protocol.TaskEnded {
				delete(a.Tasks, key)
			}
		}
	}
}

// accept returns the task of a start command. It has ended already if its name is not
// valid or another attempt of it has not ended.
func (a *Agent) accept(command protocol.Command) *Task {
	job, index, ok := protocol.ParseTask(command.Task)
	a.watcher.Obeying(a, command)
	t := &Task{Name: command.Task, Job: job, Index: index, Attempt: command.Attempt, State: protocol.TaskFetching, acceptedAt: time.Now()}
	if !ok {
		t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknown
	}
	for _, other := range a.Tasks {
		if other.Name == command.Task && other.State != protocol.TaskEnded {
			t.State, t.Cause = protocol.TaskEnded, protocol.CauseInUse
		}
	}
	return t
}

// Serve answers a request to the agent's own address; nil means that the machine does not
// answer. The lock is held.
func (a *Agent) Serve(path string, body []byte) *transport.Response {
	answer := func(status int) *transport.Response {
		return &transport.Response{Status: status, Body: protocol.Encode(a.Heartbeat())}
	}
	if a.PoweredOff || a.Hung {
		return nil
	}
	a.Advance(time.Now())
	if path == "/show" {
		return answer(http.StatusOK)
	}
	var orders protocol.CommandBatch
	if protocol.Decode(body, &orders) != nil || orders.Token == 0 && orders.Epoch == 0 {
		return answer(http.StatusBadRequest)
	}
	if orders.Token < a.Token || orders.Epoch != a.Epoch {
		return answer(http.StatusConflict)
	}
	a.Token = orders.Token
	a.execute(orders.Commands)
	return answer(http.StatusOK)
}
