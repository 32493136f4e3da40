package agent

import (
	"net/http"
	"time"

	"micaspindle/internal/protocol"
)

// Heartbeat returns the agent's next heartbeat. The caller holds the lock.
func (a *Agent) Heartbeat() *protocol.Heartbeat {
	a.Sequence++
	heartbeat := &protocol.Heartbeat{
		Machine:  a.Name,
		Addr:     a.Addr,
		Type:     a.Type,
		Zone:     a.Zone,
		Spot:     a.Spot,
		Epoch:    a.Epoch,
		Sequence: a.Sequence,
		Token:    a.Token,
		Tasks:    []protocol.TaskReport{},
	}
	if a.PreemptAt != nil {
		seconds := time.Until(*a.PreemptAt).Seconds()
		heartbeat.PreemptionNoticeS = &seconds
	}
	for _, t := range a.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskReport{Task: t.Name, Attempt: t.Attempt, State: t.State, Cause: t.Cause})
	}
	return heartbeat
}

// sendHeartbeat sends one heartbeat and executes the commands of the response. It returns
// false if the agent switches to another controller.
func (a *Agent) sendHeartbeat() bool {
	a.lock.Lock()
	sent := time.Now()
	heartbeat := a.Heartbeat()
	controller := a.Controllers[a.ControllerIndex]
	a.lock.Unlock()
	status, body := a.Send(controller, protocol.Encode(heartbeat))
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.Hung || a.PoweredOff {
		return true
	}
	switch status {
	case http.StatusOK:
		var batch protocol.CommandBatch
		if protocol.Decode(body, &batch) == nil && batch.Token >= a.Token && heartbeat.Epoch == a.Epoch {
			a.Token, a.LeaseRenewedAt = batch.Token, sent
			a.execute(batch.Commands)
		}
		return true
	case http.StatusMisdirectedRequest:
		var assigned protocol.AssignedController
		if protocol.Decode(body, &assigned) == nil {
			for i, label := range a.Controllers {
				if label == assigned.Controller && i != a.ControllerIndex {
					a.ControllerIndex = i
					return false
				}
			}
		}
	}
	a.ControllerIndex = (a.ControllerIndex + 1) % len(a.Controllers)
	return false
}
