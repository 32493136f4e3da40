package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// leadFirstPartition makes a controller without a running event loop the ready leader of its
// first partition, under the given lease revision, and records the machine m-1 in it.
func (c *Controller) leadFirstPartition(lease uint64) (*cluster.Partition, *cluster.Machine) {
	now := time.Now()
	c.RecordsCurrentAt, c.LeaseRenewedAt, c.Synced = now, now, true
	p := c.Partitions[0]
	p.Held, p.Ready, p.LeaseRevision, p.AcquiredAt = true, true, lease, now
	c.agents.ApplyMachineRecord("m-1", storage.Machine{Type: "small", Zone: "a", Addr: "m-1:1"}, 3, now)
	return p, c.Machines["m-1"]
}

// A stale copy of a heartbeat does not extend a silent machine's lease, undo the confirmation
// of its token or end an attempt (rule 48).
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		_, m := c.leadFirstPartition(5)
		task := []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}}
		j := c.addLoadedJob("job-1")
		a := addLiveAttempt(j, m, 2, cluster.AttemptCommitted)
		send := func(epoch, sequence, token uint64, tasks []protocol.TaskReport) int {
			c.RecordsCurrentAt, c.LeaseRenewedAt = time.Now(), time.Now()
			r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: epoch, Sequence: sequence, Token: token, Tasks: tasks}
			return c.agents.HandleHeartbeat(r, protocol.Encode(r)).Status
		}
		if send(2, 40, 5, task) != 200 || !m.TokenConfirmed || a.State != cluster.AttemptConfirmed {
			t.Fatal("the first heartbeat was not applied")
		}
		receivedAt := time.Now()
		for _, stale := range []struct {
			name                   string
			epoch, sequence, token uint64
		}{{"duplicate", 2, 40, 5}, {"older", 2, 12, 5}, {"under a former leader's token", 2, 39, 4}, {"of the previous epoch", 1, 90, 5}} {
			time.Sleep(time.Second)
			if status := send(stale.epoch, stale.sequence, stale.token, nil); status == 200 {
				t.Errorf("stale heartbeat (%s) was answered", stale.name)
			}
			if !m.TokenConfirmed || m.Epoch != 2 || !a.Live() || !m.Answers.Until().Equal(receivedAt) || !m.LastHeartbeatAt.Equal(receivedAt) {
				t.Errorf("stale heartbeat (%s): token confirmed %v, epoch %d, attempt live %v, want true, 2 and true; times of the last answer and heartbeat moved by %s and %s, want 0", stale.name, m.TokenConfirmed, m.Epoch, a.Live(),
					m.Answers.Until().Sub(receivedAt), m.LastHeartbeatAt.Sub(receivedAt))
			}
		}
		// A heartbeat is still answered if the agent's reply to later commands arrived
		// before the heartbeat.
		c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 2, Sequence: 44, Token: 5, Tasks: task}, time.Now())
		if send(2, 43, 5, task) != 200 || !m.Answers.Until().Equal(time.Now()) {
			t.Error("a heartbeat overtaken by a reply to commands was not answered")
		}
		time.Sleep(time.Duration(float64(c.AgentLease)*cluster.ClockDriftFactor) + cluster.ClockMargin + eventloop.TickInterval)
		send(2, 41, 5, task)
		if c.agents.CheckMachines(time.Now()); !m.Lost || len(j.LiveAttempts) != 0 {
			t.Error("a stale heartbeat kept a silent machine from being lost")
		}
	})
}

// A deleted machine does not count as future capacity and is not revived by a heartbeat in
// flight, even if a late transaction writes its record after the deletion (rule 44).
func TestDeletedMachinesStayDeleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		now := time.Now()
		c.RecordsCurrentAt, c.LeaseRenewedAt, c.Synced, c.Leadership.Held = now, now, true, true
		c.SetCatalog([]protocol.MachineType{{Name: "small", CPUs: 8, MemGB: 32, BootS: 5, Zones: []string{"a"}}})
		p := c.Partitions[0]
		p.Held, p.Ready, p.LeaseRevision, p.AcquiredAt = true, true, 5, now
		rec := storage.Machine{Type: "small", Zone: "a", Addr: "m-1:1"}
		for i, name := range []string{"m-1", "m-2", "m-3"} {
			c.agents.ApplyMachineRecord(name, rec, uint64(10+i), now)
		}
		c.agents.ApplyMachineDeletion("m-1", now)
		c.agents.ApplyMachineRecord("m-1", rec, 20, now) // the late write of m-1's record
		failed := map[string]bool{}
		for _, m := range c.autoscaler.ScalingView(nil, now).Machines {
			failed[m.Name] = m.Failed
		}
		if !failed["m-1"] || failed["m-2"] {
			t.Errorf("failed machines: %v, want m-1 but not m-2", failed)
		}
		waiting := &cluster.Job{Spec: newJobSpec("job-1", 6, "red"), SubmittedAt: now}
		waiting.InitRunState()
		c.Jobs["job-1"] = waiting
		demands := func() (n uint32) {
			p.QueueOrder = nil
			for _, d := range c.peering.PartitionSummary(p, now).Demands {
				n += d.Count
			}
			return n
		}
		if n := demands(); n != 2 { // two tasks on each of the two booting machines
			t.Errorf("demands for %d tasks, want 2", n)
		}
		m := c.Machines["m-3"]
		m.DeleteConfirmed, m.Lost = true, true
		r := &protocol.Heartbeat{Machine: "m-3", Addr: "m-3:1", Epoch: 1, Sequence: 9, Token: 12}
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status == 200 || !m.Lost || m.HasReported {
			t.Errorf("heartbeat of a deleted machine: status %d, machine lost %v", resp.Status, m.Lost)
		}
		if c.agents.ApplyHeartbeat(m, r, now); !m.Lost || m.HasReported {
			t.Error("an agent's reply to commands revived its deleted machine")
		}
	})
}

// A machine is deleted because of unstopped tasks only if their job was cancelled recently. Tasks
// of jobs that are done, or that were cancelled longer ago than a machine lease can last, are no
// reason to delete the machine.
func TestMachinesOfFinishedJobsAreNotDeleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		now := time.Now()
		c.agents.ApplyMachineRecord("m-1", storage.Machine{Type: "small", Zone: "a"}, 3, now)
		m := c.Machines["m-1"]
		for i, tc := range []struct {
			status string
			ago    time.Duration
			want   bool
		}{{protocol.StatusDone, 20 * time.Second, false}, {protocol.StatusCancelled, time.Second, false},
			{protocol.StatusCancelled, 20 * time.Second, true}, {protocol.StatusCancelled, time.Hour, false}} {
			id := fmt.Sprint("job-", i)
			j := c.addLoadedJob(id)
			clear(m.Attempts)
			a := addLiveAttempt(j, m, 1, cluster.AttemptConfirmed)
			// First the leader was running when the job ended, then it reads the job's
			// final state at a takeover.
			c.jobs.SetFinalState(id, tc.status, now.Add(-tc.ago))
			for range 2 {
				a.StopRequestedAt = now.Add(-time.Minute)
				if got := c.agents.MayExceedCancelBound(m, now.Add(time.Hour), now); got != tc.want && (tc.ago < c.CancelBound || tc.status == protocol.StatusDone) {
					t.Errorf("%s job, ended %s ago: its machine is to be deleted: %v, want %v", tc.status, tc.ago, got, tc.want)
				}
				if j.CancelledAt = c.Cancellations.CancelledAt(id); tc.ago > c.CancelBound && c.agents.MayExceedCancelBound(m, now.Add(time.Hour), now) {
					t.Errorf("%s job, ended %s ago: its machine is to be deleted after a takeover, want it kept", tc.status, tc.ago)
				}
			}
		}
	})
}

// The first heartbeat that a new leader receives may be a stale copy: a task missing from it
// counts as ended only if the heartbeat carries the new token (rule 48).
func TestMissingTaskCountsOnlyUnderTheNewToken(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		now := time.Now()
		_, m := c.leadFirstPartition(9)
		j := c.addLoadedJob("job-1")
		j.Ended, c.FinalStates["job-1"] = true, protocol.StatusCancelled
		a := addLiveAttempt(j, m, 1, cluster.AttemptCommitted)
		a.Inherited, a.Stopping, a.StopRequestedAt = true, true, now
		stale := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 10, Token: 5}
		if c.agents.HandleHeartbeat(stale, protocol.Encode(stale)); !a.Live() || m.TokenConfirmed {
			t.Errorf("heartbeat under an old token without the task: attempt live %v, token confirmed %v, want true and false", a.Live(), m.TokenConfirmed)
		}
		r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 11, Token: 9}
		if c.agents.HandleHeartbeat(r, protocol.Encode(r)); a.Live() || !m.TokenConfirmed {
			t.Errorf("heartbeat under the new token without the task: attempt live %v, token confirmed %v, want false and true", a.Live(), m.TokenConfirmed)
		}
	})
}

// An attempt that is missing from a heartbeat holds its task until no copy of its start can run it
// again: until the agent reports a token above that of the start (rules 6 and 56).
func TestMissingAttemptIsKeptWhileItsStartMayRepeat(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		_, m := c.leadFirstPartition(9)
		j := c.addLoadedJob("job-1")
		a := addLiveAttempt(j, m, 1, cluster.AttemptConfirmed)
		a.StartToken, a.StartMayRepeat = 9, true
		send := func(sequence, token uint64) {
			c.RecordsCurrentAt, c.LeaseRenewedAt = time.Now(), time.Now()
			r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: sequence, Token: token}
			c.agents.HandleHeartbeat(r, protocol.Encode(r))
		}
		if send(10, 9); !a.Live() || m.TokenRaiseBy.IsZero() {
			t.Errorf("heartbeat without the task under the token of its start: attempt live %v, token raise requested %v, want both", a.Live(), !m.TokenRaiseBy.IsZero())
		}
		c.agents.ApplyMachineRecord("m-1", m.Record, 12, time.Now())
		if send(11, 12); a.Live() {
			t.Error("heartbeat without the task under a higher token: the attempt is still live")
		}
	})
}

// An answer that is older than a heartbeat received before the request proves that the agent has
// restarted; an answer that was overtaken by a later heartbeat does not.
func TestRestartIsDetectedByTheAnswerToARequest(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		answer    uint64 // sequence number of the answer
		overtaken bool   // a heartbeat arrives while the request is in flight
		restarted bool
	}{
		"newer answer":                       {answer: 41},
		"answer overtaken by a heartbeat":    {answer: 41, overtaken: true},
		"answer older than what was applied": {answer: 2, restarted: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c, end := newServedController(t, withoutTicks)
				defer end()
				_, m := c.leadFirstPartition(9)
				answer := protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: tc.answer, Token: 9}
				setNetwork(c, heartbeatNetwork{time.Second, protocol.Encode(&answer)})
				send := func(sequence uint64) {
					c.RecordsCurrentAt, c.LeaseRenewedAt = time.Now(), time.Now()
					r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: sequence, Token: 9}
					c.agents.HandleHeartbeat(r, protocol.Encode(r))
				}
				c.loop.Do(func() {
					send(40)
					c.agents.ProbeIfRestarted(m, time.Now())
				})
				if tc.overtaken {
					c.loop.Do(func() { send(42) })
				}
				time.Sleep(2 * time.Second)
				c.loop.Do(func() {
					if raised := !m.TokenRaiseBy.IsZero(); raised != tc.restarted || (m.Sequence == tc.answer) != !tc.overtaken {
						t.Errorf("token raise requested: %v, last sequence applied %d; want %v and the answer's %d unless it was overtaken", raised, m.Sequence, tc.restarted, tc.answer)
					}
				})
			})
		})
	}
}

// An attempt that was committed for a later epoch than the one in which a restarted agent is does not
// wait for that epoch: its task starts again elsewhere once its own start is kept out.
func TestAttemptsOfALaterEpochEndAfterARestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newServedController(t, withoutTicks)
		defer end()
		answer := protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 2, Token: 9}
		setNetwork(c, heartbeatNetwork{time.Millisecond, protocol.Encode(&answer)})
		c.loop.Do(func() {
			_, m := c.leadFirstPartition(9)
			m.Epoch, m.Sequence, m.HasReported, m.TokenConfirmed = 2, 40, true, true
			a := addLiveAttempt(c.addLoadedJob("job-1"), m, 2, cluster.AttemptCommitted)
			a.StartToken, a.StartMayRepeat, a.StartSentAt = 9, true, time.Now()
			c.agents.ProbeIfRestarted(m, time.Now())
		})
		time.Sleep(time.Second)
		c.loop.Do(func() {
			m := c.Machines["m-1"]
			c.agents.ApplyMachineRecord("m-1", m.Record, 12, time.Now())
			c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 30, Token: 12}, time.Now())
			if left := len(m.Attempts); left > 0 {
				t.Errorf("%d attempts are left after a heartbeat under the raised token, want none", left)
			}
		})
	})
}

// Only the token record of the present lease raises tokens: under an older or newer lease, another
// leader's start may bear the record's revision.
func TestTokenRecordCountsOnlyUnderItsLease(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                 string
		lease, record, under uint64
		want                 uint64
	}{
		{"no record", 20, 0, 0, 20},
		{"written under the present lease", 20, 30, 20, 30},
		{"written under a former lease", 20, 15, 10, 20},
		{"written under a lease that is not known here yet", 20, 45, 40, 20},
	} {
		synctest.Test(t, func(t *testing.T) {
			c, end := newIdleController(t)
			defer end()
			p, m := c.leadFirstPartition(tc.lease)
			p.TokenRecord = cluster.TokenRecord{Revision: tc.record, LeaseRevision: tc.under}
			if token, fencing := c.Token(m), c.FencingToken(m); token != tc.want || fencing != tc.lease {
				t.Errorf("%s: token %d, fencing token %d, want %d and %d", tc.name, token, fencing, tc.want, tc.lease)
			}
		})
	}
}

// A start that is to be kept out is fenced by the machine's own record even if the partition's token
// was raised since, because the agent may not have received that token yet.
func TestPendingStartIsFencedAfterAPartitionRaise(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		p, m := c.leadFirstPartition(9)
		m.TokenConfirmed = true
		j := c.addLoadedJob("job-1")
		a := addLiveAttempt(j, m, 1, cluster.AttemptCommitted)
		a.StartToken, a.StartMayRepeat, a.StartSentAt = 9, true, time.Now()
		p.TokenRecord = cluster.TokenRecord{Revision: 30, LeaseRevision: 9}
		time.Sleep(3 * time.Second)
		j.Ended, c.FinalStates["job-1"] = true, protocol.StatusCancelled
		c.agents.StopAttempt(a, 0, time.Now())
		if m.TokenRaiseBy.IsZero() {
			t.Error("no raise of the machine's token was requested")
		}
	})
}
