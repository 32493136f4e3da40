package rig

import (
	"time"

	"micaspindle/internal/protocol"
)

// Job is a submission as it is sent.
type Job struct {
	ID         string   `msgpack:"name_id"`
	Class      string   `msgpack:"jobclass"`
	Team       string   `msgpack:"owner"`
	Shape      string   `msgpack:"shape"`
	Urgency    string   `msgpack:"urgency"`
	Tasks      int      `msgpack:"pieces"`
	CPUs       float64  `msgpack:"vcpus"`
	GPUs       float64  `msgpack:"gpus"`
	MemGB      float64  `msgpack:"mem_gb"`
	Image      string   `msgpack:"bundle"`
	ImageGB    float64  `msgpack:"image_gb"`
	Types      []string `msgpack:"shapes_of_box"`
	Zone       *string  `msgpack:"locale"`
	OneZone    bool     `msgpack:"same_place"`
	Spread     bool     `msgpack:"apart"`
	Spot       bool     `msgpack:"loaners"`
	EstimateS  float64  `msgpack:"guess_s"`
	SaveEveryS float64  `msgpack:"snapshot_every_s"`
	SaveS      float64  `msgpack:"snapshot_s"`
	DueS       *float64 `msgpack:"due_s"`
	WaitsOn    []string `msgpack:"waits_on,omitempty"`
}

// Submit submits a job once and returns the status and the job's state.
func (r *Rig) Submit(n *Node, job Job) (int, protocol.JobStatus) {
	r.Mu.Lock()
	r.Jobs[job.ID] = job
	r.Mu.Unlock()
	return r.ask(n, "POST", "/submissions", job, 5*time.Second)
}

// Poll asks for a job's state once.
func (r *Rig) Poll(n *Node, id string) (int, protocol.JobStatus) {
	return r.ask(n, "GET", "/submissions/"+id, nil, 2*time.Second)
}

func (r *Rig) ask(n *Node, method, path string, body any, limit time.Duration) (int, protocol.JobStatus) {
	began := time.Now()
	status, raw := r.Request(n.Addr, method, path, body, limit)
	var state protocol.JobStatus
	if status == 200 || status == 201 {
		_ = protocol.Decode(raw, &state)
	}
	name := path
	if job, ok := body.(Job); ok {
		name += " " + job.ID
	}
	r.Logf("%s %s %s: %d %s done=%d running=%d in %d ms", n.Label, method, name, status, state.Status, state.Done, state.Running, time.Since(began).Milliseconds())
	return status, state
}
