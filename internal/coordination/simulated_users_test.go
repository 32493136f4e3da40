package coordination

import (
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// newJobSpec returns a job that fits every machine type.
func newJobSpec(id string, tasks int, team string) *protocol.JobSpec {
	return &protocol.JobSpec{ID: id, Class: "c", Team: team, Urgency: protocol.Standard, Tasks: tasks, CPUs: 4, MemGB: 4,
		Image: "img", ImageGB: 1, Spot: true, EstimateS: 6, DeadlineS: 60}
}

// urgencyNames are the names of the urgencies on the wire.
var urgencyNames = []string{"low", "standard", "high", "production"}

// encodeSubmission returns the request body of a submission.
func encodeSubmission(s *protocol.JobSpec) []byte {
	shape := "batch"
	if s.Service {
		shape = "standing"
	}
	if s.Gang {
		shape = "gang"
	}
	m := map[string]any{"name_id": s.ID, "jobclass": s.Class, "owner": s.Team, "shape": shape, "urgency": urgencyNames[s.Urgency],
		"pieces": s.Tasks, "vcpus": s.CPUs, "gpus": s.GPUs, "mem_gb": s.MemGB, "bundle": s.Image, "image_gb": s.ImageGB,
		"same_place": s.OneZone, "apart": s.Spread, "loaners": s.Spot, "guess_s": s.EstimateS, "due_s": s.DeadlineS,
		"snapshot_every_s": s.CheckpointIntervalS, "snapshot_s": s.CheckpointDurationS, "locale": nil, "shapes_of_box": nil}
	if s.Zone != "" {
		m["locale"] = s.Zone
	}
	if len(s.Types) > 0 {
		m["shapes_of_box"] = s.Types
	}
	if s.Dependencies != nil {
		m["waits_on"] = s.Dependencies
	}
	b, err := msgpack.Marshal(m)
	panicOnError(err)
	return b
}

// sendRequest sends a user's request to a controller, or to another one if that controller is not
// running.
func (sim *simulatedCluster) sendRequest(label, method, path string, body []byte) transport.Response {
	sim.mu.Lock()
	process := sim.controllers[label]
	for _, other := range sim.controllers {
		if process == nil {
			process = other
		}
	}
	sim.mu.Unlock()
	if process == nil {
		return transport.Response{}
	}
	return process.unlessKilled(process.controller.Serve(sim.ctx, &transport.Request{Method: method, Path: path, Body: body, Authorization: sim.identities.authorization(""), RemoteAddr: "10.9.0.1:4000"}))
}

// submit repeats a submission until it is accepted.
func (sim *simulatedCluster) submit(s *protocol.JobSpec) {
	sim.mu.Lock()
	submitted := sim.jobs[s.ID]
	if submitted == nil {
		submitted = newSubmittedJob(s)
		sim.jobs[s.ID] = submitted
	}
	sim.mu.Unlock()
	for range 60 {
		resp := sim.sendRequest("", "POST", "/submissions", encodeSubmission(s))
		if resp.Status == 201 || resp.Status == 200 {
			sim.mu.Lock()
			if submitted.acceptedAt.IsZero() {
				submitted.acceptedAt = time.Now()
			}
			sim.mu.Unlock()
			return
		}
		if resp.Status == 400 || resp.Status == 422 {
			sim.mu.Lock()
			sim.recordViolation("submission of %s was refused with status %d", s.ID, resp.Status)
			sim.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
	sim.t.Errorf("submission of %s was not accepted after 60 tries", s.ID)
}

// submitUntilAccepted sends a submission to one controller after another until it is accepted.
func (sim *simulatedCluster) submitUntilAccepted(s *protocol.JobSpec, first int) {
	for i := range 120 {
		resp := sim.sendRequest(fmt.Sprint("n", (first+i)%3), "POST", "/submissions", encodeSubmission(s))
		switch resp.Status {
		case 200, 201:
			sim.withLock(func() {
				if submitted := sim.jobs[s.ID]; submitted.acceptedAt.IsZero() {
					submitted.acceptedAt = time.Now()
				}
			})
			return
		case 400:
			sim.withLock(func() { sim.recordViolation("submission of %s was refused with status 400", s.ID) })
			return
		case 422: // a dependency was not accepted yet
		}
		select {
		case <-time.After(time.Second):
		case <-sim.ctx.Done():
			return
		}
	}
}

// poll requests a job's status, checks it against earlier responses and returns it, or "" if
// the request failed.
func (sim *simulatedCluster) poll(label, id string) string {
	resp := sim.sendRequest(label, "GET", "/submissions/"+id, nil)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	submitted := sim.jobs[id]
	if resp.Status == 404 && submitted != nil && !submitted.acceptedAt.IsZero() {
		sim.recordViolation("forgotten: accepted job %s is unknown", id)
	}
	if resp.Status != 200 {
		return ""
	}
	var st protocol.JobStatus
	panicOnError(protocol.Decode(resp.Body, &st))
	if submitted == nil {
		sim.recordViolation("invented: %s was never submitted but has a status", id)
		return st.Status
	}
	if submitted.finalStatus != "" && st.Status != submitted.finalStatus {
		sim.recordViolation("went_back: status of %s changed from %s to %s", id, submitted.finalStatus, st.Status)
	}
	switch st.Status {
	case protocol.StatusDone:
		if len(submitted.tasksDone) != submitted.spec.Tasks {
			sim.recordViolation("not_done: %s is reported done with %d of %d tasks done", id, len(submitted.tasksDone), submitted.spec.Tasks)
		}
		submitted.finalStatus = st.Status
	case protocol.StatusQueued, protocol.StatusRunning:
		if at := sim.dependencyCancelledAt(submitted); !at.IsZero() && time.Since(at).Seconds() > sim.settings.Params.AgentTimes.CancelS {
			sim.recordViolation("orphaned: %s is still %s %s after a dependency was cancelled", id, st.Status, time.Since(at))
		}
	case protocol.StatusCancelled:
		if submitted.cancelledAt.IsZero() && submitted.finalStatus == "" && !sim.mayBeCancelled(submitted) {
			sim.recordViolation("went_back: %s is cancelled, but no user requested its cancellation", id)
		}
		submitted.finalStatus = st.Status
	}
	return st.Status
}

// lastSuccessor returns a job, or the job that it was last reassigned to. The lock is held.
func (sim *simulatedCluster) lastSuccessor(id string) *submittedJob {
	submitted := sim.jobs[id]
	for submitted != nil && submitted.successor != "" {
		submitted = sim.jobs[submitted.successor]
	}
	return submitted
}

// dependencyCancelledAt returns the time from which a job must be cancelled because one of its
// dependencies was cancelled, or the zero time if none was. The lock is held.
func (sim *simulatedCluster) dependencyCancelledAt(submitted *submittedJob) time.Time {
	first := time.Time{}
	for _, dep := range submitted.spec.Dependencies {
		dependency := sim.lastSuccessor(dep)
		at := dependency.cancelledAt
		if at.IsZero() {
			at = sim.dependencyCancelledAt(dependency)
		}
		if at.IsZero() {
			continue
		}
		if at.Before(submitted.acceptedAt) {
			at = submitted.acceptedAt
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// mayBeCancelled reports whether a user has requested the cancellation of a job or of one of its
// dependencies. The lock is held.
func (sim *simulatedCluster) mayBeCancelled(submitted *submittedJob) bool {
	return submitted.cancelRequested || slices.ContainsFunc(submitted.spec.Dependencies, func(dep string) bool { return sim.mayBeCancelled(sim.lastSuccessor(dep)) })
}

// cancelJob repeats a cancellation request until it succeeds, and returns the job's status.
func (sim *simulatedCluster) cancelJob(id string) string {
	sim.withLock(func() { sim.jobs[id].cancelRequested = true })
	for range 60 {
		resp := sim.sendRequest("", "POST", "/submissions/"+id+"/withdraw", nil)
		if resp.Status == 200 {
			var st protocol.JobStatus
			panicOnError(protocol.Decode(resp.Body, &st))
			sim.mu.Lock()
			if st.Status == protocol.StatusCancelled {
				sim.jobs[id].cancelledAt = time.Now()
			}
			sim.jobs[id].finalStatus = st.Status
			sim.mu.Unlock()
			return st.Status
		}
		time.Sleep(time.Second)
	}
	sim.t.Errorf("cancellation of %s did not succeed after 60 tries", id)
	return ""
}

// cancelAt sends one cancellation request to one controller, checks and records the response,
// and reports whether the request succeeded.
func (sim *simulatedCluster) cancelAt(label, id string) bool {
	sim.withLock(func() { sim.jobs[id].cancelRequested = true })
	resp := sim.sendRequest(label, "POST", "/submissions/"+id+"/withdraw", nil)
	if resp.Status != 200 {
		return false
	}
	var st protocol.JobStatus
	panicOnError(protocol.Decode(resp.Body, &st))
	sim.mu.Lock()
	defer sim.mu.Unlock()
	submitted := sim.jobs[id]
	if submitted.finalStatus != "" && st.Status != submitted.finalStatus {
		sim.recordViolation("went_back: status of %s changed from %s to %s", id, submitted.finalStatus, st.Status)
	}
	submitted.finalStatus = st.Status
	if st.Status == protocol.StatusCancelled && submitted.cancelledAt.IsZero() {
		submitted.cancelledAt = time.Now()
	}
	return true
}

// cancelUntilAnswered sends a cancellation request to one controller after another until one
// succeeds.
func (sim *simulatedCluster) cancelUntilAnswered(id string, first int) {
	for i := range 120 {
		if sim.cancelAt(fmt.Sprint("n", (first+i)%3), id) {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-sim.ctx.Done():
			return
		}
	}
	sim.withLock(func() { sim.recordViolation("cancellation of %s did not succeed after 120 tries", id) })
}

// waitForAllJobs waits until all jobs are done or cancelled.
func (sim *simulatedCluster) waitForAllJobs(limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		unfinished := []string{}
		sim.mu.Lock()
		ids := make([]string, 0, len(sim.jobs))
		for id := range sim.jobs {
			ids = append(ids, id)
		}
		sim.mu.Unlock()
		slices.Sort(ids)
		for _, id := range ids {
			if st := sim.poll("", id); st != protocol.StatusDone && st != protocol.StatusCancelled {
				unfinished = append(unfinished, id+"="+st)
			}
		}
		if len(unfinished) == 0 {
			return
		}
		if time.Now().After(end) {
			sim.t.Errorf("jobs neither done nor cancelled after %s: %v", limit, unfinished)
			return
		}
		time.Sleep(2 * time.Second)
	}
}
