// Command 2 is the second case of the review: a machine fails the tasks of a job for some seconds.
// The job then waits for ever, while the machine works again and has room for it.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/review/rig"
)

const (
	waiting = "job-000101" // its tasks meet the faulty machine
	// The witnesses are submitted after the trouble, with the same needs. The first runs beside
	// the waiting job all the time, the second comes later and ends.
	longWitness  = "job-000102"
	laterWitness = "job-000103"

	zone = "astana"
	// cpus lets a task fit a big-node only, of which there is one in the zone.
	cpus = 16.0
	runS = 4.0
	// longRunS is the run time of the first witness: within the 180 s of the site's largest.
	longRunS = 150.0
	// laterAfter is the time after the trouble at which the second witness is submitted.
	laterAfter = 45 * time.Second
	// sickFor is the length of the trouble from the first start on.
	sickFor = 6 * time.Second
	// Bounds of the preparation, so that a run stays within 120 s.
	healthyWithin = 6 * time.Second
	failureWithin = 12 * time.Second
	// bound is that of the rule.
	bound = 90 * time.Second
)

func main() { os.Exit(run(os.Getenv("TROUBLE") != "0")) }

// run returns the exit code of the case.
func run(trouble bool) int {
	params, types := rig.Bilet()
	var r *rig.Rig
	var sickFrom time.Time
	r, err := rig.New(rig.Options{
		Binary: "target/micaspindle", Record: filepath.Join("review", "2", "record.txt"), LogLevel: "info",
		Params: params, Types: types, Room: rig.BiletRoom(),
		RunTime: func(job string, _ int) time.Duration {
			if job == longWitness {
				return longRunS * time.Second
			}
			if trouble && sickFrom.IsZero() {
				sickFrom = time.Now()
			}
			if trouble && time.Since(sickFrom) < sickFor {
				return time.Second
			}
			return time.Duration(runS * float64(time.Second))
		},
		Fails: func(string, int, string) bool { return trouble && time.Since(sickFrom) < sickFor },
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.CouldNotRun
	}
	defer r.Stop()
	code, err := play(r, trouble)
	if err != nil {
		r.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return rig.CouldNotRun
	}
	return code
}

// listingSync is a job of the site's class of that name, bound to one zone.
func listingSync(id string, tasks int, estimateS float64) rig.Job {
	locale := zone
	return rig.Job{
		ID: id, Class: "listing-sync", Team: "venues", Shape: "batch", Urgency: "standard", Tasks: tasks, CPUs: cpus, MemGB: 28,
		Image: "img-07", ImageGB: 0.06, Zone: &locale, EstimateS: estimateS,
	}
}

// play plays the case on a running deployment.
func play(r *rig.Rig, trouble bool) (int, error) {
	if err := r.AwaitHealthy(healthyWithin); err != nil {
		return 0, err
	}
	if err := submit(r, listingSync(waiting, 2, runS)); err != nil {
		return 0, err
	}
	if !trouble {
		if awaitDone(r, waiting, 60*time.Second) {
			return rig.Held, nil
		}
		return rig.Broken, nil
	}
	began := time.Now()
	for failures(r) == 0 {
		if time.Since(began) > failureWithin {
			return 0, fmt.Errorf("no task of %s failed within %s", waiting, failureWithin)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(sickFor)
	over := time.Now()
	r.Logf("the trouble is over: from now on the machine completes the tasks that it starts")
	if err := submit(r, listingSync(longWitness, 1, longRunS)); err != nil {
		return 0, err
	}
	later := false
	for time.Since(over) < bound+time.Second {
		if !later && time.Since(over) > laterAfter {
			later = true
			if err := submit(r, listingSync(laterWitness, 1, runS)); err != nil {
				return 0, err
			}
		}
		if started(r, waiting, over) {
			r.Logf("held: a task of %s has started after the trouble", waiting)
			return rig.Held, nil
		}
		if free := room(r); free < 2*cpus {
			return 0, fmt.Errorf("the machine in %s has room for %.0f CPUs only", zone, free)
		}
		r.Poll(r.Nodes[int(time.Since(over)/time.Second)%len(r.Nodes)], waiting)
		time.Sleep(2 * time.Second)
	}
	if !awaitDone(r, laterWitness, time.Second) {
		return 0, fmt.Errorf("%s, which proves that the machine works, is not done", laterWitness)
	}
	r.Logf("broken: %s has waited for more than %s while a machine that fits had room, and its team has no limit", waiting, bound)
	return rig.Broken, nil
}

// submit submits a job until it is accepted.
func submit(r *rig.Rig, job rig.Job) error {
	for range 10 {
		if status, _ := r.Submit(r.Nodes[0], job); status == 200 || status == 201 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", job.ID)
}

// awaitDone polls until a job is done or the time is over.
func awaitDone(r *rig.Rig, id string, limit time.Duration) bool {
	for end := time.Now().Add(limit); ; time.Sleep(time.Second) {
		if _, state := r.Poll(r.Nodes[1], id); state.Status == protocol.StatusDone {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// failures returns the number of tasks that have failed.
func failures(r *rig.Rig) int {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	return r.Failures
}

// started reports whether a task of a job has started since a time.
func started(r *rig.Rig, id string, since time.Time) bool {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	for _, s := range r.Starts {
		if job, _, _ := protocol.ParseTaskName(s.Task); job == id && s.At.After(since) {
			return true
		}
	}
	return false
}

// room returns the CPUs that are free on the big-nodes in the zone, all of which answer reports.
func room(r *rig.Rig) float64 {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	free := 0.0
	for _, a := range r.Agents {
		if a.Zone != zone || a.Type != "big-node" {
			continue
		}
		free += 64
		for _, t := range a.Tasks {
			if t.State != protocol.TaskEnded {
				free -= cpus
			}
		}
	}
	return free
}
