package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// A job that has not started is atomically reassigned to another team under a new id; a job
// that has started cannot be reassigned.
func TestReassignmentOfQueuedJobs(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 57, func(sim *simulatedCluster) {
		sim.mu.Lock()
		sim.cloud.Capacity = 0
		sim.taskRunTime = func(string, int, string) time.Duration { return 8 * time.Second }
		sim.mu.Unlock()
		add := func(s *protocol.JobSpec) {
			sim.submit(s)
			sim.withLock(func() { sim.jobs[s.ID].cancelRequested = true })
		}
		add(newJobSpecOfClass("job-1", "red", "match"))
		add(newJobSpecOfClass("job-2", "red", "match"))
		add(newJobSpecOfClass("job-3", "red", "match"))
		dependent := newJobSpecOfClass("job-4", "red", "letters")
		dependent.Dependencies = []string{"job-3"}
		add(dependent)
		time.Sleep(time.Second)
		reassign := func(id, as, team string) transport.Response {
			return sim.requestAs("person/root", "n1", "POST", "/submissions/"+id+"/reassign", protocol.Reassignment{As: as, Team: team})
		}
		reassigned := newJobSpecOfClass("job-11", "blue", "match")
		sim.withLock(func() { sim.jobs["job-11"] = newAcceptedJob(reassigned) })
		sim.expectStatus(200, reassign("job-1", "job-11", "blue"))
		// The request is repeated at the same controller and at another one.
		sim.expectStatus(200, reassign("job-1", "job-11", "blue"))
		sim.expectStatus(200, sim.requestAs("person/root", "n2", "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-11", Team: "blue"}))
		sim.expectStatus(409, reassign("job-1", "job-12", "blue"))
		sim.expectStatus(409, reassign("job-2", "job-11", "blue"))
		sim.expectStatus(422, reassign("job-2", "job-12", "nobody"))
		sim.expectStatus(422, reassign("job-3", "job-13", "blue")) // another job depends on it
		sim.expectStatus(400, reassign("job-2", "job-2", "blue"))
		sim.expectStatus(400, reassign("job-2", "x", "blue"))
		sim.expectStatus(404, reassign("job-77", "job-14", "blue"))
		sim.withLock(func() { sim.cloud.Capacity = 12 })
		for sim.poll("", "job-2") != protocol.StatusRunning {
			time.Sleep(100 * time.Millisecond)
		}
		sim.expectStatus(409, reassign("job-2", "job-12", "blue"))
		if st := sim.poll("n0", "job-1"); st != protocol.StatusCancelled {
			t.Errorf("a reassigned job has status %s, want cancelled", st)
		}
		sim.waitForAllJobs(3 * time.Minute)
		if st := sim.poll("n0", "job-11"); st != protocol.StatusDone {
			t.Errorf("the successor of a reassigned job has status %s, want done", st)
		}
		if n := countAuditRecords(sim.readAudit("n0"), func(r *audit.Record) bool { return r.Verb == "reassign" && r.Outcome == audit.Allowed }); n != 1 {
			t.Errorf("%d audit records of one reassignment, want 1", n)
		}
	})
}

// If a reassignment races with the job's first start, only one of them succeeds, and no task of a
// reassigned job ever starts. The simulated cluster checks quotas and placement constraints at each
// start.
func TestReassignmentRacesWithTheFirstStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(60); seed < 64; seed++ {
		runSimulationWithIdentities(t, seed, func(sim *simulatedCluster) {
			sim.mu.Lock()
			rng := rand.New(rand.NewPCG(seed, 1))
			sim.taskRunTime = func(string, int, string) time.Duration { return 2 * time.Second }
			sim.mu.Unlock()
			first := newJobSpecOfClass("job-1000", "red", "match") // boots machines
			sim.submit(first)
			sim.waitForAllJobs(time.Minute)
			reassigned, refused := 0, 0
			for i := range 20 {
				s := newJobSpecOfClass(fmt.Sprintf("job-%d", i), "red", "match")
				sim.submit(s)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				newID := fmt.Sprintf("job-%d", 100+i)
				sim.mu.Lock()
				sim.jobs[s.ID].cancelRequested = true
				sim.jobs[newID] = newAcceptedJob(newJobSpecOfClass(newID, "blue", "match"))
				sim.mu.Unlock()
				resp := sim.requestAs("person/root", fmt.Sprintf("n%d", i%3), "POST", "/submissions/"+s.ID+"/reassign", protocol.Reassignment{As: newID, Team: "blue"})
				sim.mu.Lock()
				switch resp.Status {
				case 200:
					reassigned++
					if len(sim.jobs[s.ID].tasksDone) > 0 {
						t.Errorf("%s was reassigned although one of its tasks is done", s.ID)
					}
				case 409:
					refused++
					delete(sim.jobs, newID)
				default:
					t.Errorf("reassignment got status %d, want 200 or 409", resp.Status)
					delete(sim.jobs, newID)
				}
				sim.mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			sim.waitForAllJobs(3 * time.Minute)
			t.Logf("seed %d: %d jobs reassigned, %d had started", seed, reassigned, refused)
		})
	}
}
