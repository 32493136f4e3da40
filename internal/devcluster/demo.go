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

// DemoJob is what became of one of the demo's jobs.
type DemoJob struct {
	ID          string    `json:"id"`
	Class       string    `json:"class"`
	Urgency     string    `json:"urgency"`
	Tasks       int       `json:"tasks"`
	After       []string  `json:"after,omitempty"`
	State       string    `json:"state"`
	AcceptedMS  int64     `json:"accepted_ms"` // from asking to being accepted
	DoneMS      int64     `json:"done_ms"`     // from acceptance to being told that it is over
	asked       time.Time `json:"-"`
	accepted    time.Time `json:"-"`
	submission  protocol.Submission
	pollFailure time.Duration
}

// DemoResult is what a demo did.
type DemoResult struct {
	Jobs []*DemoJob `json:"jobs"`
	// Killed is the leader that was killed, Successor who led afterwards.
	Killed        string `json:"killed"`
	Successor     string `json:"successor"`
	LeaderlessMS  int64  `json:"leaderless_ms"`
	LongestWaitMS int64  `json:"longest_unanswered_ms"`
	TasksDone     int    `json:"tasks_done"`
	MachinesUsed  int    `json:"machines_used"`
	Processes     int    `json:"processes"`
}

func ptr[T any](v T) *T { return &v }

// NewSubmission fills in a job of the deployments' kind.
func NewSubmission(id, class, team, urgency string, tasks int, cpus, mem, estimateS float64, after ...string) protocol.Submission {
	s := protocol.Submission{ID: &id, Class: &class, Team: &team, Shape: ptr("batch"), Urgency: &urgency, Tasks: ptr(int64(tasks)),
		CPUs: &cpus, GPUs: ptr(0.0), MemGB: &mem, Image: ptr(class), ImageGB: ptr(1.0), OneZone: ptr(false), Spread: ptr(false),
		Spot: ptr(true), EstimateS: &estimateS, CheckpointS: ptr(0.0), SaveS: ptr(0.0)}
	for _, d := range after {
		s.Dependencies = append(s.Dependencies, &d)
	}
	return s
}

// demoJobs are jobs like both deployments' classes, two pipelines among them.
func demoJobs() []*DemoJob {
	var jobs []*DemoJob
	add := func(class, team, urgency string, tasks int, cpus, mem, s float64, after ...string) string {
		id := fmt.Sprintf("job-%06d", len(jobs)+1)
		jobs = append(jobs, &DemoJob{ID: id, Class: class, Urgency: urgency, Tasks: tasks, After: after,
			submission: NewSubmission(id, class, team, urgency, tasks, cpus, mem, s, after...)})
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
	killAfter    = 4 * time.Second
	restartIn    = 3 * time.Second
	pollEvery    = 250 * time.Millisecond
	demoPatience = 40 * time.Second
)

// Demo submits jobs, kills the leader while they run, starts it again, and
// follows every job to its end. progress is told now and then how things are.
func (c *Cluster) Demo(ctx context.Context, users *client.Client, progress func(text string)) (*DemoResult, error) {
	ctx, cancel := context.WithTimeout(ctx, demoPatience)
	defer cancel()
	res := &DemoResult{Jobs: demoJobs(), Processes: len(c.nodes)}
	for _, j := range res.Jobs {
		j.asked = time.Now()
		if _, err := users.Submit(ctx, &j.submission); err != nil {
			return res, fmt.Errorf("submit %s: %w", j.ID, err)
		}
		j.accepted = time.Now()
		j.AcceptedMS = j.accepted.Sub(j.asked).Milliseconds()
		j.State = protocol.StatusQueued
	}
	progress(fmt.Sprintf("%d jobs accepted", len(res.Jobs)))

	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make([]error, len(res.Jobs)+1)
	for i, j := range res.Jobs {
		wg.Go(func() { errs[i] = c.follow(ctx, users, j, &mu) })
	}
	wg.Go(func() { errs[len(res.Jobs)] = c.killLeader(ctx, res, progress, &mu) })
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-tick.C:
			mu.Lock()
			count := map[string]int{}
			for _, j := range res.Jobs {
				count[j.State]++
			}
			mu.Unlock()
			now, _ := c.Machines()
			progress(fmt.Sprintf("queued %d  running %d  done %d of %d  machines %d",
				count[protocol.StatusQueued], count[protocol.StatusRunning], count[protocol.StatusDone], len(res.Jobs), now))
		}
	}
	for _, j := range res.Jobs {
		res.LongestWaitMS = max(res.LongestWaitMS, j.pollFailure.Milliseconds())
	}
	c.mu.Lock()
	res.TasksDone = len(c.results)
	c.mu.Unlock()
	_, res.MachinesUsed = c.Machines()
	return res, errors.Join(errs...)
}

// follow polls a job until it is over.
func (c *Cluster) follow(ctx context.Context, users *client.Client, j *DemoJob, mu *sync.Mutex) error {
	for {
		asked := time.Now()
		st, err := users.Status(ctx, j.ID)
		if err != nil {
			return fmt.Errorf("follow %s: %w", j.ID, err)
		}
		mu.Lock()
		j.State = st.Status
		j.pollFailure = max(j.pollFailure, time.Since(asked))
		j.DoneMS = time.Since(j.accepted).Milliseconds()
		mu.Unlock()
		if st.Ended() {
			if st.Status != protocol.StatusDone {
				return fmt.Errorf("%s ended as %s", j.ID, st.Status)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is still %s: %w", j.ID, st.Status, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

// killLeader kills the leader, waits for another, and starts the first again.
func (c *Cluster) killLeader(ctx context.Context, res *DemoResult, progress func(string), mu *sync.Mutex) error {
	pause := func(d time.Duration) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
	if err := pause(killAfter); err != nil {
		return err
	}
	old := c.Leader()
	if old == nil {
		return errors.New("nobody leads")
	}
	c.Kill(old)
	killed := time.Now()
	progress(old.Label + ", the leader, was killed")
	mu.Lock()
	res.Killed = old.Label
	mu.Unlock()
	for {
		now := c.Leader()
		if now != nil && now != old {
			mu.Lock()
			res.Successor, res.LeaderlessMS = now.Label, time.Since(killed).Milliseconds()
			mu.Unlock()
			progress(fmt.Sprintf("%s leads, %.1f s later", now.Label, time.Since(killed).Seconds()))
			break
		}
		if err := pause(50 * time.Millisecond); err != nil {
			return fmt.Errorf("nobody leads after %s: %w", time.Since(killed).Round(time.Millisecond), err)
		}
	}
	if err := pause(time.Until(killed.Add(restartIn))); err != nil {
		return err
	}
	progress(old.Label + " is back")
	return c.Restart(old)
}
