package coordination

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
)

// From the log and the metrics alone it must be visible why a job waits: which machines are excluded
// for it, for what reason and since when.
func TestLogExplainsWhyJobsWait(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		c, p := newLoggingController(t, slog.New(slog.NewTextHandler(&out, nil)))
		failed, quarantined, full := c.addMachine(p, "m-1", "small"), c.addMachine(p, "m-2", "small"), c.addMachine(p, "m-3", "small")
		avoided := c.addMachine(p, "m-4", "small")
		job := c.addJob(newJobSpec("job-1", 2, "green"))
		job.SubmittedAt = time.Now()
		time.Sleep(25 * time.Second)
		job.RecordFailure(&cluster.Attempt{Job: job, Machine: failed}, time.Now())
		since := time.Now().Format(time.TimeOnly)
		quarantined.Quarantined, quarantined.QuarantinedAt = true, time.Now()
		c.scheduler.ReportWaitingJobs(p, time.Now())
		if out.Len() > 0 || p.LongWaitingJobs != 0 {
			t.Errorf("%d jobs reported after 25 s, want none: %s", p.LongWaitingJobs, &out)
		}
		time.Sleep(15 * time.Second)
		full.Used = full.Free()
		avoided.Avoid(time.Now().Add(5*time.Second), time.Now())
		retryAt := time.Now().Add(20 * time.Second).Format(time.TimeOnly)
		now, until := time.Now().Format(time.TimeOnly), time.Now().Add(5*time.Second).Format(time.TimeOnly)
		for _, machine := range c.Machines {
			machine.LastHeartbeatAt = time.Now()
		}
		for range 2 { // task 1 has to wait now
			job.RecordFailure(&cluster.Attempt{Job: job, TaskIndex: 1, Machine: failed}, time.Now())
		}
		c.scheduler.ReportWaitingJobs(p, time.Now())
		for _, want := range []string{
			`msg="job waits" job=job-1`, "count=2 elapsed=40s", "job_backoff=0s held=1 team_limit=false",
			"job failed there: 1 (m-1 since " + now + " until " + retryAt + ")",
			"quarantined: 1 (m-2 since " + since + ")",
			"no room: 1;",
			"task failed or start refused: 1 (m-4 since " + now + " until " + until + ")",
		} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("the log lacks %q: %s", want, &out)
			}
		}
		if p.LongWaitingJobs != 1 || p.JobsExcludedFromRoom != 1 {
			t.Errorf("%d jobs counted as waiting long and %d as excluded from room, want 1 and 1", p.LongWaitingJobs, p.JobsExcludedFromRoom)
		}
	})
}
