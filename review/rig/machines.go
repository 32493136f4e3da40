package rig

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// Kind is what machines are rented by.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// serveCloud answers a request to the cloud. Of each kind there are as many machines as Room says.
func (r *Rig) serveCloud(q *http.Request, body []byte) *transport.Response {
	var rental protocol.CreateMachinesRequest
	if q.Method != http.MethodPost || q.URL.Path != "/machines" || protocol.Decode(body, &rental) != nil {
		return r.Cloud.Serve(q.Method, q.URL.Path, q.URL.Query(), body)
	}
	kind := Kind{rental.Type, rental.Zone, rental.Spot}
	r.Mu.Lock()
	room, repeated := r.Options.Room[kind], r.rentals[rental.Request]
	for _, machine := range r.Cloud.Machines {
		if (Kind{machine.Type, machine.Zone, machine.Spot}) == kind {
			room--
		}
	}
	r.Mu.Unlock()
	if !repeated && room <= 0 {
		r.Logf("cloud refuses %d of %v: no capacity", rental.Count, kind)
		return &transport.Response{Status: http.StatusServiceUnavailable, Body: protocol.Encode(protocol.Problem{Error: "no capacity"})}
	}
	if !repeated {
		rental.Count = min(rental.Count, room)
	}
	answer := r.Cloud.Serve(q.Method, q.URL.Path, q.URL.Query(), protocol.Encode(rental))
	r.Mu.Lock()
	defer r.Mu.Unlock()
	r.rentals[rental.Request] = answer.Status == http.StatusOK
	return answer
}

// bootTime is the time until a rented machine is up. The pages: "at times machines are up within a
// second or two".
const bootTime = 2 * time.Second

// boot starts the worker of a rented machine after its boot time. r.Mu must be held.
func (r *Rig) boot(name string, machine *cloud.Machine) {
	r.Logf("cloud rents %s (%s, %s, spot %v)", name, machine.Type, machine.Zone, machine.Spot)
	first := r.Cloud.CreatedTotal % len(r.Nodes)
	r.group.Go(func() {
		select {
		case <-time.After(bootTime):
		case <-r.ctx.Done():
			return
		}
		r.runMachine(name, machine, first)
	})
}

func (r *Rig) runMachine(name string, machine *cloud.Machine, first int) {
	a := agent.New(&r.Mu, r, r)
	addr, err := r.serve(func(_ context.Context, q *http.Request, body []byte) *transport.Response {
		r.Mu.Lock()
		defer r.Mu.Unlock()
		return a.Serve(q.URL.Path, body)
	})
	if err != nil {
		return
	}
	r.Mu.Lock()
	if r.Cloud.Machines[name] == nil {
		r.Mu.Unlock()
		return
	}
	a.Name, a.Addr, a.Type, a.Zone, a.Spot = name, addr, machine.Type, machine.Zone, machine.Spot
	a.HeartbeatInterval = settings.Seconds(r.Options.Params.AgentTimes.HeartbeatS)
	a.LeaseDuration = settings.Seconds(r.Options.Params.AgentTimes.LeaseS)
	a.ControllerIndex = first
	for _, n := range r.Nodes {
		a.Controllers = append(a.Controllers, n.Label)
	}
	machine.Addr, machine.Up = addr, true
	r.Agents[name] = a
	r.Mu.Unlock()
	r.work(a)
}

const (
	// workStep is the interval at which a worker looks after its tasks.
	workStep = 50 * time.Millisecond
	// changePause is the shortest time between two reports.
	changePause = 500 * time.Millisecond
	// otherNodePause is the pause before a worker tries the next controller.
	otherNodePause = time.Second
)

// work sends the reports of a worker, as the pages say: every report_s, and when something changes,
// until the machine is gone.
func (r *Rig) work(a *agent.Agent) {
	var sentAt, notBefore time.Time
	reported := ""
	for {
		select {
		case <-time.After(workStep):
		case <-r.ctx.Done():
			return
		}
		r.Mu.Lock()
		if a.PoweredOff {
			r.Mu.Unlock()
			return
		}
		if a.Hung {
			r.Mu.Unlock()
			continue
		}
		now := time.Now()
		a.Advance(now)
		state := summary(a)
		due := now.Sub(sentAt) >= a.HeartbeatInterval || state != reported && now.Sub(sentAt) >= changePause
		if !due || now.Before(notBefore) {
			r.Mu.Unlock()
			continue
		}
		sentAt, reported = now, state
		epoch, label := a.Epoch, a.Controllers[a.ControllerIndex]
		body := protocol.Encode(a.Heartbeat())
		r.Mu.Unlock()
		status, answer := r.report(label, body)
		r.Mu.Lock()
		if !r.take(a, epoch, sentAt, status, answer) {
			notBefore, sentAt = time.Now().Add(otherNodePause), time.Time{}
		}
		r.Mu.Unlock()
	}
}

// summary describes what a worker reports at once when it changes.
func summary(a *agent.Agent) string {
	var states []string
	for key, t := range a.Tasks {
		states = append(states, key+" "+t.State)
	}
	slices.Sort(states)
	return strconv.FormatUint(a.Epoch, 10) + " " + strings.Join(states, ",")
}

// take takes in the answer to a report. It returns false if the worker has to wait before it tries
// the next controller. r.Mu must be held.
func (r *Rig) take(a *agent.Agent, epoch uint64, sentAt time.Time, status int, answer []byte) bool {
	if a.Hung || a.PoweredOff {
		return true
	}
	switch status {
	case http.StatusOK:
		var batch protocol.CommandBatch
		if protocol.Decode(answer, &batch) == nil && batch.Token >= a.Token && epoch == a.Epoch {
			a.LeaseRenewedAt, batch.Epoch = sentAt, epoch
			a.Serve("/orders", protocol.Encode(batch))
		}
		return true
	case http.StatusMisdirectedRequest:
		var assigned protocol.AssignedController
		if protocol.Decode(answer, &assigned) == nil {
			if i := slices.Index(a.Controllers, assigned.Controller); i >= 0 && i != a.ControllerIndex {
				a.ControllerIndex = i
				return true
			}
		}
	}
	a.ControllerIndex = (a.ControllerIndex + 1) % len(a.Controllers)
	return false
}

// stopMachine powers a machine off. r.Mu must be held.
func (r *Rig) stopMachine(name string) {
	r.Logf("cloud ends %s", name)
	if a := r.Agents[name]; a != nil {
		for i := range r.Starts {
			if s := &r.Starts[i]; s.Machine == name && s.End.IsZero() {
				s.End = time.Now()
			}
		}
		a.PowerOff()
		delete(r.Agents, name)
	}
}

// report sends a worker's report.
func (r *Rig) report(label string, report []byte) (int, []byte) {
	for _, n := range r.Nodes {
		if n.Label != label {
			continue
		}
		q, err := http.NewRequestWithContext(r.ctx, http.MethodPost, "http://"+n.Addr+"/checkin", bytes.NewReader(report))
		if err != nil {
			return 0, nil
		}
		answer, err := r.reports.Do(q)
		if err != nil {
			return 0, nil
		}
		defer answer.Body.Close() //nolint:errcheck // the body has been read
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return 0, nil
		}
		return answer.StatusCode, body
	}
	return 0, nil
}

// RunTime implements agent.Workload.
func (r *Rig) RunTime(job string, task int, _ string) (time.Duration, bool) {
	spec, ok := r.Jobs[job]
	switch {
	case !ok || task >= spec.Tasks:
		return 0, false
	case spec.Shape == "standing":
		return 1000 * time.Hour, true
	case r.done[protocol.TaskName(job, task)]:
		return 0, true
	case r.Options.RunTime != nil:
		return r.Options.RunTime(job, task), true
	}
	return settings.Seconds(spec.EstimateS), true
}

// Fails implements agent.Workload.
func (r *Rig) Fails(job string, task int, machine string) bool {
	return r.Options.Fails != nil && r.Options.Fails(job, task, machine)
}

// Accepting implements agent.Watcher.
func (r *Rig) Accepting(a *agent.Agent, command protocol.Command) {
	r.Logf("%s takes start of %s try %d", a.Name, command.Task, command.Attempt)
}

// Started implements agent.Watcher.
func (r *Rig) Started(a *agent.Agent, t *agent.Task) {
	r.Starts = append(r.Starts, Start{Task: t.Name, Machine: a.Name, Attempt: t.Attempt, At: time.Now()})
	r.Logf("%s runs %s try %d", a.Name, t.Name, t.Attempt)
}

// Running implements agent.Watcher.
func (r *Rig) Running(*agent.Agent, *agent.Task, time.Time) {}

// Ended implements agent.Watcher.
func (r *Rig) Ended(a *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		r.done[t.Name] = true
	} else {
		r.Failures++
	}
	r.Logf("%s ends %s try %d: %s", a.Name, t.Name, t.Attempt, t.Cause)
}
