package devcluster

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/runner"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

const (
	// The boot time of a machine is that of its type times a random factor between minBootFactor
	// and minBootFactor + bootFactorRange.
	minBootFactor   = 0.6
	bootFactorRange = 0.9
	defaultBootS    = 1.0

	// The run time of a task is its estimate times a factor between minRunFactor and
	// minRunFactor + runFactorRange, in runFactorSteps steps.
	minRunFactor   = 0.8
	runFactorRange = 0.4
	runFactorSteps = 1000

	// standingRunTime is the run time of a standing job's tasks. It exceeds the lifetime of any
	// development cluster, so that these tasks run until they are stopped.
	standingRunTime = 1000 * time.Hour
)

// bootMachine starts the agent of a rented machine after its boot time. c.mu must be held.
func (c *Cluster) bootMachine(name string, machine *cloud.Machine) {
	bootS := defaultBootS
	for _, machineType := range machineTypes {
		if machineType.Name == machine.Type {
			bootS = machineType.BootS
		}
	}
	delay := settings.Seconds(bootS * (minBootFactor + bootFactorRange*c.rng.Float64()))
	controller := c.rng.IntN(len(c.nodes))
	c.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-c.ctx.Done():
			return
		}
		c.mu.Lock()
		deleted := c.cloud.Machines[name] == nil
		c.mu.Unlock()
		if deleted {
			return
		}
		c.runMachine(name, machine, controller)
	})
}

// runMachine runs the agent of a machine until the machine is powered off or the cluster stops.
// controller is the index of the controller that receives the first heartbeat.
func (c *Cluster) runMachine(name string, machine *cloud.Machine, controller int) {
	a := agent.New(&c.mu, c, c)
	addr, err := c.serve(c.options.Identities.machineTLS(), func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		c.mu.Lock()
		defer c.mu.Unlock()
		return a.Serve(r.URL.Path, body)
	})
	if err != nil {
		return // like a machine that does not boot
	}
	c.mu.Lock()
	a.Name, a.Addr, a.Type, a.Zone, a.Spot = name, addr, machine.Type, machine.Zone, machine.Spot
	a.HeartbeatInterval, a.LeaseDuration = heartbeatInterval, machineLease
	a.ControllerIndex = controller
	for _, node := range c.nodes {
		a.Controllers = append(a.Controllers, node.Label)
	}
	a.Send = c.sendHeartbeat
	if c.options.FrontEndConn != nil {
		a.Exec = func(t *agent.Task) func() { return c.execute(a, t) }
	}
	machine.Addr, machine.Up = addr, true
	c.agents[name] = a
	c.mu.Unlock()
	a.Run(c.ctx.Done())
}

// stopMachine powers a machine off. c.mu must be held.
func (c *Cluster) stopMachine(name string) {
	if a := c.agents[name]; a != nil {
		a.PowerOff()
		delete(c.agents, name)
	}
}

// PreemptMachine preempts a machine that is running a task, without notice. It returns false if
// no machine is running a task.
func (c *Cluster) PreemptMachine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.agents {
		for _, t := range a.Tasks {
			if t.Running {
				c.stopMachine(name)
				delete(c.cloud.Machines, name)
				return true
			}
		}
	}
	return false
}

// Machines returns the number of machines rented now and the number rented since the start.
func (c *Cluster) Machines() (current, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cloud.Machines), c.cloud.CreatedTotal
}

// WithAgents calls f with the agents by machine name while the cluster's lock is held.
func (c *Cluster) WithAgents(f func(map[string]*agent.Agent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.agents)
}

// sendHeartbeat sends an agent's heartbeat to a controller. Status 0 means that there was no
// response.
func (c *Cluster) sendHeartbeat(controller string, heartbeat []byte) (status int, answer []byte) {
	for _, node := range c.nodes {
		if node.Label != controller {
			continue
		}
		req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.scheme()+"://"+node.Addr+"/checkin", bytes.NewReader(heartbeat))
		if err != nil {
			return 0, nil
		}
		resp, err := c.heartbeatClient.Do(req)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close() //nolint:errcheck // the body has been read
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		if err != nil {
			return 0, nil
		}
		return resp.StatusCode, body
	}
	return 0, nil
}

// jobSpec returns a job's specification, which it reads from the state store. c.mu must be held.
func (c *Cluster) jobSpec(job string) (spec protocol.JobSpec, ok bool) {
	item, ok := c.state.Items[storage.JobKey(job)]
	if !ok || storage.Decode(item.Value, &spec) != nil {
		return spec, false
	}
	return spec, true
}

// RunTime implements agent.Workload. It varies the job's estimate by up to a fifth. Each attempt of a
// task takes the same time, or none if the task is already done.
func (c *Cluster) RunTime(job string, task int, _ string) (time.Duration, bool) {
	spec, ok := c.jobSpec(job)
	if !ok || task >= spec.Tasks {
		return 0, false
	}
	if spec.Service {
		return standingRunTime, true
	}
	name := protocol.TaskName(job, task)
	if c.completedTasks[name] {
		return 0, true
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	variation := float64(h.Sum32()%runFactorSteps) / runFactorSteps
	return settings.Seconds(spec.EstimateS * (minRunFactor + runFactorRange*variation)), true
}

// execute starts the execution of a task that is a build action and returns a function that stops
// it. For other tasks, which the agent only simulates, it returns nil. c.mu must be held.
func (c *Cluster) execute(a *agent.Agent, t *agent.Task) (stop func()) {
	spec, ok := c.jobSpec(t.Job)
	if !ok || !strings.HasPrefix(spec.Image, reapi.ImagePrefix) || c.completedTasks[t.Name] {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.group.Go(func() {
		defer cancel()
		dir := runner.TaskDir(filepath.Join(c.options.Dir, "work", a.Name), t.Name, t.Attempt)
		err := runner.Run(ctx, c.options.FrontEndConn, a.Name, spec.Image, t.Index, dir)
		_ = os.RemoveAll(dir)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			a.Finish(t, protocol.CauseError)
		} else {
			a.Finish(t, protocol.CauseDone)
		}
	})
	return cancel
}

// Fails implements agent.Workload; no task fails.
func (c *Cluster) Fails(string, int, string) bool { return false }

// Accepting implements agent.Watcher.
func (c *Cluster) Accepting(*agent.Agent, protocol.Command) {}

// Started implements agent.Watcher.
func (c *Cluster) Started(*agent.Agent, *agent.Task) {}

// Running implements agent.Watcher.
func (c *Cluster) Running(*agent.Agent, *agent.Task, time.Time) {}

// Ended implements agent.Watcher; it records tasks that are done.
func (c *Cluster) Ended(_ *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		c.completedTasks[t.Name] = true
	}
}
