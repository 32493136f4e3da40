package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// bootMachine boots a rented machine in the background, after its boot time. The lock is held.
func (sim *simulatedCluster) bootMachine(name string, m *cloud.Machine) {
	home := sim.rng.IntN(3)
	delay := time.Duration(3000+sim.rng.IntN(4000)) * time.Millisecond
	if sim.bootDelay > 0 {
		delay = sim.bootDelay
	}
	m.Addr = name + ":9000"
	sim.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-sim.ctx.Done():
			return
		}
		sim.mu.Lock()
		if sim.cloud.Machines[name] == nil {
			sim.mu.Unlock()
			return
		}
		agent := agent.New(&sim.mu, sim, sim)
		agent.Name, agent.Addr, agent.Type, agent.Zone, agent.Spot = name, m.Addr, m.Type, m.Zone, m.Spot
		agent.LeaseDuration = settings.Seconds(sim.settings.Params.AgentTimes.LeaseS)
		agent.Refuse = func(command protocol.Command) string {
			if sim.refuseStart == nil {
				return ""
			}
			return sim.refuseStart(command)
		}
		agent.Controllers, agent.ControllerIndex = []string{"n0", "n1", "n2"}, home
		agent.Send = func(label string, heartbeat []byte) (int, []byte) { return sim.sendHeartbeat(name, label, heartbeat) }
		m.Up = true
		sim.agents[name] = agent
		sim.mu.Unlock()
		agent.Run(sim.ctx.Done())
	})
}

// stopMachine powers a deleted machine off. The lock is held.
func (sim *simulatedCluster) stopMachine(name string) {
	if agent := sim.agents[name]; agent != nil {
		agent.PowerOff()
		delete(sim.agents, name)
	}
}

// hangMachine makes a machine hang for the duration d, unless it already hangs.
func (sim *simulatedCluster) hangMachine(machine string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	agent := sim.agents[machine]
	if agent == nil || agent.Hung {
		return
	}
	sim.hang(agent, d)
}

// hang makes an agent's machine hang for the duration d. The lock is held.
func (sim *simulatedCluster) hang(agent *agent.Agent, d time.Duration) {
	agent.Hung = true
	sim.group.Go(func() {
		time.Sleep(d)
		sim.withLock(func() { agent.Hung = false })
	})
}

// agentResponseTimeout is the time for which an agent waits for the response to a heartbeat.
const agentResponseTimeout = 4 * time.Second

// sendHeartbeat sends an agent's heartbeat to a controller and returns the status and body of the
// response, or status 0 if there is none within agentResponseTimeout.
func (sim *simulatedCluster) sendHeartbeat(machine, label string, heartbeat []byte) (int, []byte) {
	responses := make(chan transport.Response, 1)
	sim.group.Go(func() {
		status, body := sim.deliverHeartbeat(machine, label, heartbeat)
		responses <- transport.Response{Status: status, Body: body}
	})
	select {
	case response := <-responses:
		return response.Status, response.Body
	case <-time.After(agentResponseTimeout):
		return 0, nil
	}
}

// deliverHeartbeat delivers an agent's heartbeat to a controller and returns the status and body of the
// response, or status 0 if there is none.
func (sim *simulatedCluster) deliverHeartbeat(machine, label string, heartbeat []byte) (int, []byte) {
	sim.mu.Lock()
	process := sim.controllers[label]
	lost := sim.rng.Float64() < sim.messageFaultRate || sim.dropsMessage != nil && sim.dropsMessage(label, machine) || sim.outboundLost[machine]
	lostInbound := sim.inboundLost[machine]
	requestDelay, responseDelay := sim.drawLinkDelay(), sim.drawLinkDelay()
	if !lost {
		sim.duplicateHeartbeat(machine, label, heartbeat)
	}
	sim.mu.Unlock()
	if process == nil || lost {
		return 0, nil
	}
	time.Sleep(2*time.Millisecond + requestDelay)
	sim.waitWhilePaused(label)
	resp := process.handleHeartbeat(sim, machine, heartbeat)
	if lostInbound {
		return 0, nil
	}
	time.Sleep(responseDelay)
	return resp.Status, resp.Body
}

// handleHeartbeat passes a heartbeat to the controller and returns the response.
func (process *simulatedController) handleHeartbeat(sim *simulatedCluster, machine string, heartbeat []byte) transport.Response {
	return process.unlessKilled(process.controller.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin", Body: heartbeat, Peer: sim.identities.certificate("worker/" + machine)}))
}

// deliverToAgent delivers a request to an agent.
func (sim *simulatedCluster) deliverToAgent(agent *agent.Agent, path string, body []byte) *transport.Response {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if agent.PoweredOff {
		return nil
	}
	if agent.Hung {
		return &transport.Response{Status: 504, Body: protocol.Encode(map[string]any{})}
	}
	if path == "/orders" && sim.interceptCommands != nil {
		var batch protocol.CommandBatch
		panicOnError(protocol.Decode(body, &batch))
		sim.interceptCommands(agent.Name, &batch)
		body = protocol.Encode(batch)
	}
	resp := agent.Serve(path, body)
	if path == "/orders" && resp != nil && resp.Status == 409 {
		for op := range commandOps(body) {
			sim.countFault("refused " + op)
		}
	}
	return resp
}

// RunTime returns the run time of a task. A task that was done before ends at once.
func (sim *simulatedCluster) RunTime(job string, task int, machine string) (time.Duration, bool) {
	submitted := sim.jobs[job]
	if submitted == nil {
		return 0, false
	}
	if submitted.tasksDone[task] {
		return 0, true
	}
	return sim.taskRunTime(job, task, machine), true
}

// Fails reports whether a task fails on a machine.
func (sim *simulatedCluster) Fails(job string, task int, machine string) bool {
	return sim.sickMachines[machine] || sim.taskFails != nil && sim.taskFails(job, task, machine)
}

// Ended records that a task is done, and cancels its job if cancelAtEnd selects it.
func (sim *simulatedCluster) Ended(_ *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		submitted := sim.jobs[t.Job]
		submitted.tasksDone[t.Index] = true
		if len(submitted.tasksDone) == submitted.spec.Tasks && sim.onJobEnd != nil {
			sim.onJobEnd(t.Job)
		}
		if len(submitted.tasksDone) == submitted.spec.Tasks && sim.cancelAtEnd != nil && sim.cancelAtEnd(t.Job) && !submitted.cancelRequested {
			sim.countFault("cancelled at job end")
			sim.group.Go(func() { sim.cancelUntilAnswered(t.Job, len(submitted.tasksDone)) })
		}
	}
}

// forEachAgent calls f for the agent of each machine that is up. The lock is held during the
// calls.
func (sim *simulatedCluster) forEachAgent(f func(agent *agent.Agent)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(sim.agents)) {
		f(sim.agents[name])
	}
}

// machinesRunning returns the machines with unfinished tasks of a job, including machines that
// hang. The lock is held.
func (sim *simulatedCluster) machinesRunning(id string) (machines []string) {
	for _, name := range slices.Sorted(maps.Keys(sim.agents)) {
		for _, t := range sim.agents[name].Tasks {
			if t.Job == id && t.State != protocol.TaskEnded {
				machines = append(machines, name)
			}
		}
	}
	return machines
}

// machinesRunningAnyOf returns the set of machines with unfinished tasks of any of the jobs. The
// lock is held.
func (sim *simulatedCluster) machinesRunningAnyOf(ids ...string) map[string]bool {
	machines := map[string]bool{}
	for _, id := range ids {
		for _, m := range sim.machinesRunning(id) {
			machines[m] = true
		}
	}
	return machines
}
