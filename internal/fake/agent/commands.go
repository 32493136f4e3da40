package agent

import (
	"net/http"
	"strconv"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// execute executes commands, each of which is idempotent. The caller holds the lock.
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
				t.stopExec()
			}
		case protocol.OpForget:
			if t != nil && t.State == protocol.TaskEnded {
				delete(a.Tasks, key)
			}
		}
	}
}

// accept creates the task of a start command. If the name is invalid, or another attempt of the
// same task has not ended, the new task is created as ended, with the cause.
func (a *Agent) accept(command protocol.Command) *Task {
	job, index, ok := protocol.ParseTaskName(command.Task)
	a.watcher.Accepting(a, command)
	t := &Task{Name: command.Task, Job: job, Index: index, Attempt: command.Attempt, State: protocol.TaskFetching, acceptedAt: time.Now()}
	if !ok {
		t.State, t.Cause = protocol.TaskEnded, protocol.CauseUnknownTask
	}
	if a.Refuse != nil {
		if cause := a.Refuse(command); cause != "" {
			t.State, t.Cause = protocol.TaskEnded, cause
		}
	}
	for _, other := range a.Tasks {
		if other.Name == command.Task && other.State != protocol.TaskEnded {
			t.State, t.Cause = protocol.TaskEnded, protocol.CauseTaskInUse
		}
	}
	return t
}

// Serve handles a request to the agent's own address. It returns nil if the machine does
// not respond. The caller holds the lock.
func (a *Agent) Serve(path string, body []byte) *transport.Response {
	newResponse := func(status int) *transport.Response {
		return &transport.Response{Status: status, Body: protocol.Encode(a.Heartbeat())}
	}
	if a.PoweredOff || a.Hung {
		return nil
	}
	a.Advance(time.Now())
	if path == "/show" {
		return newResponse(http.StatusOK)
	}
	var batch protocol.CommandBatch
	if protocol.Decode(body, &batch) != nil || batch.Token == 0 && batch.Epoch == 0 {
		return newResponse(http.StatusBadRequest)
	}
	if batch.Token < a.Token || batch.Epoch != a.Epoch {
		return newResponse(http.StatusConflict)
	}
	a.Token = batch.Token
	a.execute(batch.Commands)
	return newResponse(http.StatusOK)
}
