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
	// A machine boots in minBootFactor to minBootFactor + bootFactorRange times the boot time
	// of its type.
	minBootFactor   = 0.6
	bootFactorRange = 0.9
	defaultBootS    = 1.0

	// A task runs for minRunFactor to minRunFactor + runFactorRange times its estimate.
	minRunFactor   = 0.8
	runFactorRange = 0.4
	runFactorSteps = 1000

	// standingRunTime is that of a standing task, which runs until it is stopped.
	standingRunTime = 1000 * time.Hour
)

// bootMachine boots a rented machine after its boot time. The lock is held.
func (c *Cluster) bootMachine(name string, machine *cloud.Machine) {
	bootS := defaultBootS
	for _, machineType := range types {
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

// runMachine runs the agent of a machine until the machine is off or the cluster ends.
// controller is the index of the one that gets the first heartbeat.
func (c *Cluster) runMachine(name string, machine *cloud.Machine, controller int) {
	a := agent.New(&c.mu, c, c)
	addr, err := c.serve(c.options.Identities.machineTLS(), func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		c.mu.Lock()
		defer c.mu.Unlock()
		return a.Serve(r.URL.Path, body)
	})
	if err != nil {
		return // like a machine that never comes up
	}
	c.mu.Lock()
	a.Name, a.Addr, a.Type, a.Zone, a.Spot = name, addr, machine.Type, machine.Zone, machine.Spot
	a.HeartbeatInterval, a.Lease = heartbeatInterval, machineLease
	a.Controller = controller
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

// stopMachine powers a machine off. The lock is held.
func (c *Cluster) stopMachine(name string) {
	if a := c.agents[name]; a != nil {
		a.PowerOff()
		delete(c.agents, name)
	}
}

// PreemptMachine preempts a machine that runs a task, without notice. It returns false if
// there is none.
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

// Machines returns how many machines are rented now, and how many were so far.
func (c *Cluster) Machines() (now, ever int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cloud.Machines), c.cloud.Rented
}

// Agents calls f with the agents, by machine, with the lock held.
func (c *Cluster) Agents(f func(map[string]*agent.Agent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.agents)
}

// sendHeartbeat sends an agent's heartbeat to a controller. Status 0 means no answer.
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
		defer resp.Body.Close() //nolint:errcheck // read to its end
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
		if err != nil {
			return 0, nil
		}
		return resp.StatusCode, body
	}
	return 0, nil
}

// jobSpec returns a job's specification. A real worker gets it from where users upload it;
// here it is read from the state store. The lock is held.
func (c *Cluster) jobSpec(job string) (spec protocol.JobSpec, ok bool) {
	item, ok := c.state.Items[storage.JobKey(job)]
	if !ok || storage.Decode(item.Value, &spec) != nil {
		return spec, false
	}
	return spec, true
}

// RunTime implements agent.Jobs: the job's estimate, varied by up to a fifth. The same task
// takes the same time in each attempt, and none once it is done.
func (c *Cluster) RunTime(job string, task int, _ string) (time.Duration, bool) {
	spec, ok := c.jobSpec(job)
	if !ok || task >= spec.Tasks {
		return 0, false
	}
	if spec.Standing {
		return standingRunTime, true
	}
	name := protocol.TaskName(job, task)
	if c.results[name] {
		return 0, true
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	variation := float64(h.Sum32()%runFactorSteps) / runFactorSteps
	return settings.Seconds(spec.EstimateS * (minRunFactor + runFactorRange*variation)), true
}

// execute executes a task that is a build action and returns how to stop it, nil for other
// tasks, which only take time. The lock is held.
func (c *Cluster) execute(a *agent.Agent, t *agent.Task) (stop func()) {
	spec, ok := c.jobSpec(t.Job)
	if !ok || !strings.HasPrefix(spec.Image, reapi.ImagePrefix) || c.results[t.Name] {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.group.Go(func() {
		defer cancel()
		dir := runner.Dir(filepath.Join(c.options.Dir, "work", a.Name), t.Name, t.Attempt)
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

// Fails implements agent.Jobs: no task fails.
func (c *Cluster) Fails(string, int, string) bool { return false }

// Obeying implements agent.Watcher.
func (c *Cluster) Obeying(*agent.Agent, protocol.Command) {}

// Started implements agent.Watcher.
func (c *Cluster) Started(*agent.Agent, *agent.Task) {}

// Running implements agent.Watcher.
func (c *Cluster) Running(*agent.Agent, *agent.Task, time.Time) {}

// Ended implements agent.Watcher: it records tasks that are done.
func (c *Cluster) Ended(_ *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		c.results[t.Name] = true
	}
}
