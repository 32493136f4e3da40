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

// A job that has not started is moved to another queue under another id, in one step; one that
// has started stays.
func TestReassignmentOfQueuedJobs(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 57, func(sim *simulatedCluster) {
		sim.mu.Lock()
		sim.cloud.Capacity = 0
		sim.runTime = func(string, int, string) time.Duration { return 8 * time.Second }
		sim.mu.Unlock()
		add := func(s *protocol.JobSpec) {
			sim.submit(s)
			sim.withLock(func() { sim.jobs[s.ID].cancelRequested = true })
		}
		add(newJobSpecOfClass("job-1", "red", "match"))
		add(newJobSpecOfClass("job-2", "red", "match"))
		add(newJobSpecOfClass("job-3", "red", "match"))
		wait := newJobSpecOfClass("job-4", "red", "letters")
		wait.Dependencies = []string{"job-3"}
		add(wait)
		time.Sleep(time.Second)
		move := func(id, as, team string) transport.Response {
			return sim.requestAs("person/root", "n1", "POST", "/submissions/"+id+"/reassign", protocol.Reassignment{As: as, Team: team})
		}
		moved := newJobSpecOfClass("job-11", "blue", "match")
		sim.withLock(func() { sim.jobs["job-11"] = newAcceptedJob(moved) })
		sim.expectStatus(200, move("job-1", "job-11", "blue"))
		sim.expectStatus(200, move("job-1", "job-11", "blue")) // repeated, also at another controller
		sim.expectStatus(200, sim.requestAs("person/root", "n2", "POST", "/submissions/job-1/reassign", protocol.Reassignment{As: "job-11", Team: "blue"}))
		sim.expectStatus(409, move("job-1", "job-12", "blue"))
		sim.expectStatus(409, move("job-2", "job-11", "blue"))
		sim.expectStatus(422, move("job-2", "job-12", "nobody"))
		sim.expectStatus(422, move("job-3", "job-13", "blue")) // another job depends on it
		sim.expectStatus(400, move("job-2", "job-2", "blue"))
		sim.expectStatus(400, move("job-2", "x", "blue"))
		sim.expectStatus(404, move("job-77", "job-14", "blue"))
		sim.withLock(func() { sim.cloud.Capacity = 12 })
		for sim.poll("", "job-2") != protocol.StatusRunning {
			time.Sleep(100 * time.Millisecond)
		}
		sim.expectStatus(409, move("job-2", "job-12", "blue"))
		if st := sim.poll("n0", "job-1"); st != protocol.StatusCancelled {
			t.Errorf("the job that was moved is %s", st)
		}
		sim.waitForAllJobs(3 * time.Minute)
		if st := sim.poll("n0", "job-11"); st != protocol.StatusDone {
			t.Errorf("the reassigned job is %s", st)
		}
		if n := countRecords(sim.readAudit("n0"), func(r *audit.Record) bool { return r.Verb == "reassign" && r.Outcome == audit.Allowed }); n != 1 {
			t.Errorf("%d records of one reassignment", n)
		}
	})
}

// A reassignment races with the job's first start: one of them wins, and no task of a
// reassigned job ever starts. Started checks quotas and placement constraints.
func TestReassignmentRacesWithTheFirstStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(60); seed < 64; seed++ {
		runSimulationWithIdentities(t, seed, func(sim *simulatedCluster) {
			sim.mu.Lock()
			rng := rand.New(rand.NewPCG(seed, 1))
			sim.runTime = func(string, int, string) time.Duration { return 2 * time.Second }
			sim.mu.Unlock()
			first := newJobSpecOfClass("job-1000", "red", "match") // boots machines
			sim.submit(first)
			sim.waitForAllJobs(time.Minute)
			won, lost := 0, 0
			for i := range 20 {
				s := newJobSpecOfClass(fmt.Sprintf("job-%d", i), "red", "match")
				sim.submit(s)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				as := fmt.Sprintf("job-%d", 100+i)
				sim.mu.Lock()
				sim.jobs[s.ID].cancelRequested = true
				sim.jobs[as] = newAcceptedJob(newJobSpecOfClass(as, "blue", "match"))
				sim.mu.Unlock()
				resp := sim.requestAs("person/root", fmt.Sprintf("n%d", i%3), "POST", "/submissions/"+s.ID+"/reassign", protocol.Reassignment{As: as, Team: "blue"})
				sim.mu.Lock()
				switch resp.Status {
				case 200:
					won++
					if len(sim.jobs[s.ID].tasksDone) > 0 {
						t.Errorf("%s was moved after a task of it was done", s.ID)
					}
				case 409:
					lost++
					delete(sim.jobs, as)
				default:
					t.Errorf("reassignment got %d", resp.Status)
					delete(sim.jobs, as)
				}
				sim.mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			}
			sim.waitForAllJobs(3 * time.Minute)
			t.Logf("seed %d: %d moved, %d had started", seed, won, lost)
		})
	}
}
