package devcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// DemoJob is a job of the demo and its outcome.
type DemoJob struct {
	ID           string    `json:"id"`
	Class        string    `json:"class"`
	Urgency      string    `json:"urgency"`
	Tasks        int       `json:"tasks"`
	Dependencies []string  `json:"after,omitempty"`
	State        string    `json:"state"`
	AcceptedMS   int64     `json:"accepted_ms"` // from submission to acceptance
	DoneMS       int64     `json:"done_ms"`     // from acceptance until a poll found that it had ended
	submitted    time.Time `json:"-"`
	accepted     time.Time `json:"-"`
	submission   protocol.Submission
	longestPoll  time.Duration
}

// DemoResult is the outcome of a demo.
type DemoResult struct {
	Jobs []*DemoJob `json:"jobs"`
	// Killed is the label of the cluster leader that was killed, and Successor the label of the
	// next leader.
	Killed        string `json:"killed"`
	Successor     string `json:"successor"`
	LeaderlessMS  int64  `json:"leaderless_ms"`
	LongestWaitMS int64  `json:"longest_unanswered_ms"`
	TasksDone     int    `json:"tasks_done"`
	MachinesUsed  int    `json:"machines_used"`
	Controllers   int    `json:"processes"`
}

// NewSubmission returns the submission of a batch job. cpus and memGB are the requirements of each
// task, and estimateS is the estimated run time of a task in seconds. The job depends on the jobs in
// dependencies.
func NewSubmission(id, class, team, urgency string, tasks int, cpus, memGB, estimateS float64, dependencies ...string) protocol.Submission {
	job := protocol.Submission{
		ID:                  &id,
		Class:               &class,
		Team:                &team,
		Shape:               new("batch"),
		Urgency:             &urgency,
		Tasks:               new(int64(tasks)),
		CPUs:                &cpus,
		GPUs:                new(0.0),
		MemGB:               &memGB,
		Image:               new(class),
		ImageGB:             new(1.0),
		OneZone:             new(false),
		Spread:              new(false),
		Spot:                new(true),
		EstimateS:           &estimateS,
		CheckpointIntervalS: new(0.0),
		CheckpointDurationS: new(0.0),
	}
	for _, dependency := range dependencies {
		job.Dependencies = append(job.Dependencies, &dependency)
	}
	return job
}

// demoJobs returns the jobs of the demo, some of which depend on others.
func demoJobs() []*DemoJob {
	var jobs []*DemoJob
	add := func(class, team, urgency string, tasks int, cpus, memGB, estimateS float64, dependencies ...string) string {
		id := fmt.Sprintf("job-%06d", len(jobs)+1)
		jobs = append(jobs, &DemoJob{ID: id, Class: class, Urgency: urgency, Tasks: tasks, Dependencies: dependencies,
			submission: NewSubmission(id, class, team, urgency, tasks, cpus, memGB, estimateS, dependencies...)})
		return id
	}
	verify := add("applicant-verify", "placements-desk", "standard", 4, 16, 48, 4)
	match := add("placement-match", "placements-desk", "high", 12, 4, 13, 3, verify)
	letters := add("letter-render", "placements-desk", "standard", 3, 2, 6.4, 2, match)
	add("sms-notify", "placements-desk", "high", 3, 1, 3.2, 1, letters)
	add("refund-batch", "payments", "high", 16, 4, 5.5, 3)
	sweep := add("fraud-sweep", "payments", "low", 12, 1, 1.6, 3)
	payout := add("payout-calc", "payments", "standard", 3, 2, 3.2, 2, sweep)
	add("payout-send", "payments", "high", 3, 1, 1.6, 1, payout)
	for range 4 {
		add("listing-sync", "venues", "standard", 6, 4, 8, 4)
	}
	return jobs
}

const (
	killDelay        = 4 * time.Second
	restartDelay     = 3 * time.Second
	pollInterval     = 250 * time.Millisecond
	leaderInterval   = 50 * time.Millisecond
	progressInterval = time.Second
	demoTimeout      = 40 * time.Second
)

// Demo submits jobs, kills the cluster leader while they run, restarts it, and waits until all
// jobs have ended. progress receives one-line messages.
func (c *Cluster) Demo(ctx context.Context, apiClient *client.Client, progress func(text string)) (*DemoResult, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	result := &DemoResult{Jobs: demoJobs(), Controllers: len(c.nodes)}
	for _, job := range result.Jobs {
		job.submitted = time.Now()
		if _, err := apiClient.Submit(ctx, &job.submission); err != nil {
			return result, fmt.Errorf("submit %s: %w", job.ID, err)
		}
		job.accepted = time.Now()
		job.AcceptedMS = job.accepted.Sub(job.submitted).Milliseconds()
		job.State = protocol.StatusQueued
	}
	progress(fmt.Sprintf("%d jobs accepted", len(result.Jobs)))

	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make([]error, len(result.Jobs)+1)
	for i, job := range result.Jobs {
		wg.Go(func() { errs[i] = c.awaitJob(ctx, apiClient, job, &mu) })
	}
	wg.Go(func() { errs[len(result.Jobs)] = c.killLeader(ctx, result, progress, &mu) })
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	c.reportProgress(done, result.Jobs, progress, &mu)
	for _, job := range result.Jobs {
		result.LongestWaitMS = max(result.LongestWaitMS, job.longestPoll.Milliseconds())
	}
	c.mu.Lock()
	result.TasksDone = len(c.completedTasks)
	c.mu.Unlock()
	_, result.MachinesUsed = c.Machines()
	return result, errors.Join(errs...)
}

// reportProgress reports the number of jobs in each state every progressInterval until done is
// closed. It locks mu to read the jobs.
func (c *Cluster) reportProgress(done <-chan struct{}, jobs []*DemoJob, progress func(string), mu *sync.Mutex) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		mu.Lock()
		count := map[string]int{}
		for _, job := range jobs {
			count[job.State]++
		}
		mu.Unlock()
		machines, _ := c.Machines()
		progress(fmt.Sprintf("queued %d  running %d  done %d of %d  machines %d",
			count[protocol.StatusQueued], count[protocol.StatusRunning], count[protocol.StatusDone], len(jobs), machines))
	}
}

// awaitJob polls a job until it has ended and returns an error unless the job's status is done. It
// locks mu to write to the job.
func (c *Cluster) awaitJob(ctx context.Context, apiClient *client.Client, job *DemoJob, mu *sync.Mutex) error {
	for {
		polled := time.Now()
		st, err := apiClient.Status(ctx, job.ID)
		if err != nil {
			return fmt.Errorf("poll the status of %s: %w", job.ID, err)
		}
		mu.Lock()
		job.State = st.Status
		job.longestPoll = max(job.longestPoll, time.Since(polled))
		job.DoneMS = time.Since(job.accepted).Milliseconds()
		mu.Unlock()
		if st.Ended() {
			if st.Status != protocol.StatusDone {
				return fmt.Errorf("%s ended with status %s", job.ID, st.Status)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s has not ended, its status is %s: %w", job.ID, st.Status, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// killLeader kills the cluster leader, waits until another controller is the cluster leader, and
// restarts the killed one. It locks mu to write to the result.
func (c *Cluster) killLeader(ctx context.Context, result *DemoResult, progress func(string), mu *sync.Mutex) error {
	pause := func(d time.Duration) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
	if err := pause(killDelay); err != nil {
		return err
	}
	old := c.Leader()
	if old == nil {
		return errors.New("there is no cluster leader")
	}
	c.KillNode(old)
	killed := time.Now()
	progress(old.Label + ", the cluster leader, was killed")
	mu.Lock()
	result.Killed = old.Label
	mu.Unlock()
	for {
		successor := c.Leader()
		if successor != nil && successor != old {
			mu.Lock()
			result.Successor, result.LeaderlessMS = successor.Label, time.Since(killed).Milliseconds()
			mu.Unlock()
			progress(fmt.Sprintf("%s became leader %.1f s later", successor.Label, time.Since(killed).Seconds()))
			break
		}
		if err := pause(leaderInterval); err != nil {
			return fmt.Errorf("no cluster leader after %s: %w", time.Since(killed).Round(time.Millisecond), err)
		}
	}
	if err := pause(time.Until(killed.Add(restartDelay))); err != nil {
		return err
	}
	progress(old.Label + " is being restarted")
	return c.StartNode(old)
}
