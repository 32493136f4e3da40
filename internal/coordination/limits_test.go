package coordination

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/coordination/scheduler"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// The size of a large deployment, all of whose machines one controller can lead. Every fixed
// bound must accommodate it (docs/limits.md).
const (
	largeMachines        = 4000
	largeTasksPerMachine = 16 // running tasks
	largeTasks           = largeMachines * largeTasksPerMachine
	// largeCancelsPerSecond is three times the cancellation rate of large deployments.
	largeCancelsPerSecond = 36
	largeCancelBound      = 43 * time.Second
	// standbyMessagesMax is the maximum number of update messages, one per second, until a new
	// standby of a partition is up to date.
	standbyMessagesMax = 10
	// clientResponseLimit is the largest response that transport's client accepts.
	clientResponseLimit = 8 << 20
)

// The limits of a large deployment, and the teams whose partitions have machines.
var (
	largeProcessLimits     = settings.ProcessLimits{CoreShare: 0.312, MemMB: 322, Sockets: 2289}
	teamsInOnePartition    = []string{"green"}
	teamsInThreePartitions = allTeams
	largeStateStoreLimits  = settings.StateStoreLimits{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}
)

// newLargeFleetController returns a controller that leads every partition. All machines are up,
// all tasks run, and both are spread over the partitions of the given teams.
func newLargeFleetController(t testing.TB, teams []string) *Controller {
	t.Helper()
	c, _ := newLeadingController(t)
	c.Observe()
	setNetwork(c, unresponsiveNetwork{})
	c.Settings.Params.ProcessLimits, c.Settings.Params.State = largeProcessLimits, largeStateStoreLimits
	c.proxy.UnsentLimit = proxy.UnsentBytesLimit(largeProcessLimits)
	c.CancelBound = largeCancelBound
	c.Cancellations.SetLimit(largeCancelBound, largeStateStoreLimits)
	now := time.Now()
	c.Synced, c.LeaseRenewedAt, c.RecordsCurrentAt = true, now, now
	for _, p := range c.Partitions {
		p.AcquiredAt, p.Standby = now, "n1"
	}
	for i := range largeMachines {
		team := teams[i%len(teams)]
		p := c.Partitions[c.TeamPartition[c.TeamIndex[team]]]
		m := c.addMachine(p, largeMachineName(i), "big")
		m.Record.Addr = fmt.Sprintf("10.0.%d.%d:10000", i/250, i%250)
		for k := range 20 {
			m.Images[fmt.Sprintf("registry/team-%d/image-%d:v%d", k, i%50, k)] = now
		}
		j := c.addJob(newJobSpec(fmt.Sprintf("job-%06d", i), largeTasksPerMachine, team))
		for task := range largeTasksPerMachine {
			c.scheduler.Reserve(p, j, task, 1, m, now)
			a := j.LiveAttempts[task]
			a.State, a.StartedAt = cluster.AttemptConfirmed, now.Add(-time.Minute)
		}
		j.Pending, j.RunningCount, j.MayHaveDirtyChunk = nil, largeTasksPerMachine, false
		for _, ch := range j.Chunks { // as if already written
			ch.Dirty, ch.Urgent, ch.Revision = false, false, 3
		}
	}
	return c
}

// largeMachineName returns the name of the i-th machine of the large deployment.
func largeMachineName(i int) string { return fmt.Sprintf("machine-%06d", i) }

// heartbeatOf returns the heartbeat of a machine's agent.
func heartbeatOf(c *Controller, m *cluster.Machine, sequence uint64) *protocol.Heartbeat {
	r := &protocol.Heartbeat{Machine: m.Name, Addr: m.Record.Addr, Type: "big", Zone: "a", Epoch: 1, Sequence: sequence, Token: c.Token(m)}
	for _, a := range m.Attempts {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.TaskName(), Attempt: a.Number, State: protocol.TaskRunning})
	}
	return r
}

// countedBounds returns the metrics lines of the bounds that were exceeded at least once.
func countedBounds(c *Controller) []string {
	var out bytes.Buffer
	c.metrics.Write(&out, nil)
	var list []string
	for line := range strings.Lines(out.String()) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "micaspindle_bound_met_total") && !strings.HasSuffix(line, " 0") {
			list = append(list, line)
		}
	}
	return list
}

// expectCountedBounds fails the test unless exactly the given bounds were exceeded.
func expectCountedBounds(t *testing.T, c *Controller, bounds ...telemetry.Bound) {
	t.Helper()
	list := countedBounds(c)
	for _, b := range bounds {
		if !strings.Contains(strings.Join(list, "\n"), fmt.Sprintf("%q", b.String())) {
			t.Errorf("bound %s was not counted as exceeded; counted bounds: %q", b, list)
		}
	}
	if len(list) != len(bounds) {
		t.Errorf("counted bounds: got %q, want %v", list, bounds)
	}
}

// replicaFromRecords returns a standby's replica of a partition's records, as read from the
// store.
func replicaFromRecords(c *Controller, p *cluster.Partition) *replication.Replica {
	var items []protocol.Item
	for id, j := range c.Jobs {
		if j.Partition != p.Index {
			continue
		}
		for _, ch := range j.Chunks {
			items = append(items, protocol.Item{Key: storage.RunKey(p.Index, id, ch.Index), Version: 5, Value: storage.Encode(j.RunRecord(ch))})
		}
	}
	replica := replication.NewReplica(p.Index, time.Now())
	replica.ApplyListing(c.log.Error, items, 5, time.Now())
	return replica
}

// updateStandby sends all of a partition's replication hints to a standby and returns the
// number of messages.
func updateStandby(t *testing.T, c *Controller, p *cluster.Partition, replica *replication.Replica) (messages int) {
	t.Helper()
	for messages < 100 {
		now := time.Now()
		raw, err := proto.Marshal(c.replicator.PartitionUpdate(p, now))
		if err != nil || len(raw) > peerapi.PortableBodyLimit {
			t.Fatalf("replica update of %d bytes is too large or failed to encode (%v)", len(raw), err)
		}
		sent := new(peer.ReplicaUpdate)
		panicOnError(proto.Unmarshal(raw, sent))
		if len(sent.Attempts)+len(sent.Machines) == 0 {
			break
		}
		messages++
		p.Replication.AcknowledgedSeq = replica.Updates.Apply(sent, replica.Derived.StoreStart, now)
	}
	return messages
}

// serveEventLoop runs a controller's event loop, without its ticks, until stop is called.
func serveEventLoop(c *Controller) (stop func()) {
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.loop.Serve(ctx, func(time.Time) {})
	}()
	return func() { end(); <-ended }
}

// A controller keeps and sends the whole state of 4,000 machines with 64,000 running tasks, in
// messages within the size limit.
func TestBoundsFitALargeFleet(t *testing.T) {
	for _, tc := range []struct {
		name  string
		teams []string
		run   func(t *testing.T, c *Controller)
		met   []telemetry.Bound
	}{
		{"summary", teamsInOnePartition, checkLargeSummary, nil},
		// A new standby is updated in several messages.
		{"replica, state transfer and takeover of one partition", teamsInOnePartition, checkLargeReplica, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"replica, state transfer and takeover of three partitions", teamsInThreePartitions, checkLargeReplica, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"replicated starts ahead of their records", teamsInOnePartition, checkStartsAheadOfRecords, nil},
		{"cancellation notices", teamsInOnePartition, checkLargeCancellationNotices, nil},
		{"unsent delegated heartbeats", teamsInOnePartition, checkLargeDelegatedHeartbeats, nil},
		{"heartbeats of all machines to one controller", teamsInThreePartitions, checkSingleControllerLeft, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newLargeFleetController(t, tc.teams)
			tc.run(t, c)
			expectCountedBounds(t, c, tc.met...)
		})
	}
}

// checkLargeSummary checks that the summary of a large fleet is complete and within the size
// limit of a request body.
func checkLargeSummary(t *testing.T, c *Controller) {
	t.Helper()
	now := time.Now()
	waitingJobs := 0
	for i := range 700 {
		s := newJobSpec(fmt.Sprintf("job-9%05d", i), largeTasksPerMachine, "green")
		s.DeadlineS = 0
		c.addJob(s)
		waitingJobs++
	}
	cancelled := int(largeCancelsPerSecond * largeCancelBound.Seconds())
	for i := range cancelled {
		c.jobs.SetFinalState(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now)
	}
	for i := range largeMachines { // as after a start of all controllers at once
		name := largeMachineName(largeMachines + i)
		c.UnregisteredMachines[name] = &peer.UnregisteredMachine{Name: name, Addr: "10.0.0.1:10000", Type: "big", Zone: "a"}
		c.DivertedMachines[name] = now
	}
	limit := peerapi.MaxBody(largeProcessLimits)
	body := c.peering.EncodeSummary(c.peering.OwnSummary(now))
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	machines, demands := 0, 0
	for _, ps := range sum.Partitions {
		machines, demands = machines+len(ps.Machines), demands+len(ps.Demands)
	}
	if machines != largeMachines || demands != waitingJobs || len(sum.Jobs) != largeMachines || len(sum.Cancelled) != cancelled || len(sum.Unregistered) != largeMachines {
		t.Errorf("incomplete summary: %d machines, %d demands, %d jobs, %d cancelled jobs, %d unregistered machines", machines, demands, len(sum.Jobs), len(sum.Cancelled), len(sum.Unregistered))
	}
	if len(body) > limit {
		t.Errorf("the summary has %d bytes, limit %d", len(body), limit)
	}
	t.Logf("the summary has %d bytes, limit %d", len(body), limit)
}

// A summary with the longest names, and with each list at its limit, is sent completely.
func TestWorstCaseSummaryFits(t *testing.T) {
	c, _ := newLeadingController(t)
	c.Observe()
	c.Settings.Params.ProcessLimits = largeProcessLimits
	c.Cancellations.SetLimit(largeCancelBound, largeStateStoreLimits)
	longID := func(i int) string { return fmt.Sprintf("job-%032d", i) }
	longName := func(i int) string { return fmt.Sprintf("%064d", i) }
	sum := &peer.Summary{From: "n0"}
	ps := &peer.PartitionSummary{}
	for i := range largeMachines {
		ps.Machines = append(ps.Machines, &peer.MachineStatus{Name: longName(i), Reported: true, Idle: true, IdleS: 1, Addr: "10.100.100.100:10000"})
		sum.Diverted = append(sum.Diverted, longName(i))
	}
	for i := range peering.DemandsLimit(largeMachines) {
		ps.Demands = append(ps.Demands, &peer.Demand{Cpus: 1, Gpus: 1, MemGb: 1, Types: []string{longName(i), longName(i)}, Zone: "a",
			Spot: true, Count: 1000, WaitedS: 1, EstimateS: 1, SlackS: 1})
	}
	for i := range peering.JobProgressLimit {
		sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: longID(i), Done: 1000, Running: 1000})
	}
	for i := range c.Cancellations.Limit {
		sum.Cancelled = append(sum.Cancelled, &peer.CancelledJob{Job: longID(i), AgeMs: 40_000})
	}
	sum.Partitions = append(sum.Partitions, ps)
	body := c.peering.EncodeSummary(sum)
	if len(body) > peerapi.MaxBody(largeProcessLimits) || len(sum.Jobs) != peering.JobProgressLimit {
		t.Errorf("the summary has %d bytes, limit %d, and %d jobs, want %d", len(body), peerapi.MaxBody(largeProcessLimits), len(sum.Jobs), peering.JobProgressLimit)
	}
	expectCountedBounds(t, c)
	t.Logf("the worst-case summary has %d bytes, limit %d", len(body), peerapi.MaxBody(largeProcessLimits))
}

// checkLargeReplica checks that standbys receive the replication hints of all tasks and
// machines, that state transfers contain them, and that takeovers apply them.
func checkLargeReplica(t *testing.T, c *Controller) {
	t.Helper()
	for _, m := range c.Machines {
		m.CommandRequestsInFlight = 1 // no command is sent
	}
	attempts, machines := 0, 0
	for _, p := range c.Partitions {
		replica := replicaFromRecords(c, p)
		if len(replica.Derived.Jobs) == 0 {
			continue
		}
		messages := updateStandby(t, c, p, replica)
		if messages > standbyMessagesMax {
			t.Errorf("partition %d: its new standby needed %d messages, want at most %d", p.Index, messages, standbyMessagesMax)
		}
		attempts, machines = attempts+replica.Derived.CountKnownStarts(), machines+len(replica.Updates.Machines)
		transfer, complete := replica.StateTransfer(time.Now())
		raw, err := proto.Marshal(transfer)
		if err != nil || !complete || len(raw) > replication.StateTransferBytesLimit || len(transfer.Attempts) != replica.Derived.CountKnownStarts() || len(transfer.Machines) != len(replica.Updates.Machines) {
			t.Errorf("the state transfer is too large or incomplete: %d bytes, complete %v, %d attempts, %d machines, error %v", len(raw), complete, len(transfer.Attempts), len(transfer.Machines), err)
		}
		t.Logf("partition %d: standby updated on %d machines in %d messages, state transfer of %d bytes", p.Index, len(replica.Updates.Machines), messages, len(raw))
		c.leases.ClearLeaderState(p) // a standby does not hold a leader's state
		c.takeover.Install(p, replica, nil, true)
	}
	if attempts != largeTasks || machines != largeMachines {
		t.Errorf("the standbys have %d start times and %d machines, want %d and %d", attempts, machines, largeTasks, largeMachines)
	}
	live := 0
	for _, j := range c.Jobs {
		for _, a := range j.LiveAttempts {
			if a.Machine != nil && !a.ReplicatedStart.IsZero() {
				live++
			}
		}
	}
	if live != largeTasks {
		t.Errorf("%d tasks are live with a replicated start time after the takeover, want %d", live, largeTasks)
	}
}

// checkStartsAheadOfRecords checks that a standby keeps all start times that arrive before the
// run records of their attempts.
func checkStartsAheadOfRecords(t *testing.T, c *Controller) {
	t.Helper()
	replica := replication.NewReplica(0, time.Now())
	for id, j := range c.Jobs {
		for task := range j.LiveAttempts {
			replica.Derived.StoreStart(replication.AttemptID{Job: id, Task: task, Number: 1}, time.Now())
		}
	}
	if len(replica.Derived.PendingStarts) != largeTasks || replica.Derived.DroppedStarts != 0 {
		t.Errorf("%d start times kept, %d dropped, want %d and 0", len(replica.Derived.PendingStarts), replica.Derived.DroppedStarts, largeTasks)
	}
}

// checkLargeCancellationNotices checks that the notices of all recent cancellations are sent.
func checkLargeCancellationNotices(t *testing.T, c *Controller) {
	t.Helper()
	now := time.Now()
	cancelled := int(largeCancelsPerSecond * largeCancelBound.Seconds())
	for i := range cancelled {
		age := largeCancelBound - time.Second - time.Duration(i)*(largeCancelBound-2*time.Second)/time.Duration(cancelled)
		c.jobs.SetFinalState(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now.Add(-age))
	}
	notices := c.Cancellations.Recent(now, c.CancelBound)
	if len(notices) != cancelled || notices[0].Job != "job-800000000" {
		t.Errorf("%d of %d cancellation notices sent, the first for %s; want all, the first for job-800000000", len(notices), cancelled, notices[0].Job)
	}
}

// delegatingLeader is the network of a delegate. It answers every request as the partition's
// leader.
type delegatingLeader struct {
	t            *testing.T
	machines     map[string]bool
	acknowledged []uint64
	serial       uint64
}

// Do records the heartbeats of a delegation request and renews the grant.
func (o *delegatingLeader) Do(_ context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
	if len(body) > peerapi.PortableBodyLimit {
		o.t.Errorf("delegation request of %d bytes is too large", len(body))
	}
	req := new(peer.DelegationRequest)
	panicOnError(proto.Unmarshal(body, req))
	for _, raw := range req.Heartbeats {
		r := new(protocol.Heartbeat)
		panicOnError(protocol.Decode(raw, r))
		o.machines[r.Machine] = true
	}
	o.acknowledged = append(o.acknowledged, req.After)
	o.serial++
	resp := peerapi.Reply(&peer.DelegationGrant{GrantMs: 2000, Serial: o.serial})
	return &resp, nil
}

// checkLargeDelegatedHeartbeats checks that a delegate keeps and forwards the heartbeats of all
// machines.
func checkLargeDelegatedHeartbeats(t *testing.T, c *Controller) {
	t.Helper()
	p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
	p.Held, p.Leader = false, "n1"
	net := &delegatingLeader{t: t, machines: map[string]bool{}}
	setNetwork(c, net)
	c.Peers["n1"] = &cluster.Peer{Addr: "n1:2", LastSummaryAt: time.Now(), Summary: &peer.Summary{
		Partitions: []*peer.PartitionSummary{{Partition: uint32(p.Index), Delegated: []*peer.DelegatedShards{{Delegate: c.Settings.Label}}}}}}
	assignment := c.proxy.Assignments[p.Index]
	assignment.Leader, assignment.Lease, assignment.Serial, assignment.GrantedUntil = p.Leader, p.LeaseRevision, 0, time.Now().Add(time.Hour)
	for s := range assignment.Shards {
		assignment.Shards[s] = true
	}
	for _, m := range c.Machines {
		r := heartbeatOf(c, m, 1)
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("heartbeat of %s: status %d, %s", m.Name, resp.Status, resp.Body)
		}
	}
	unsentBytes := assignment.UnsentBytes
	stop := serveEventLoop(c)
	renewed := c.proxy.RenewAll(p, assignment)
	stop()
	if !renewed || len(net.machines) != largeMachines || assignment.UnsentBytes != 0 {
		t.Errorf("heartbeats of %d machines forwarded, want %d; %d bytes unsent, want 0", len(net.machines), largeMachines, assignment.UnsentBytes)
	}
	// Only a request that contains all remaining heartbeats acknowledges the previous reply.
	for i, after := range net.acknowledged {
		want := uint64(0)
		if i == len(net.acknowledged)-1 {
			want = uint64(i)
		}
		if after != want {
			t.Errorf("request %d of %d acknowledges reply %d, want %d", i+1, len(net.acknowledged), after, want)
		}
	}
	t.Logf("delegated heartbeats of %d bytes, limit %d, sent in %d messages", unsentBytes, c.proxy.UnsentLimit, len(net.acknowledged))
}

// checkSingleControllerLeft checks that one controller handles the heartbeats of all machines.
func checkSingleControllerLeft(t *testing.T, c *Controller) {
	t.Helper()
	for _, m := range c.Machines {
		r := heartbeatOf(c, m, 1)
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("heartbeat of %s: status %d, %s", m.Name, resp.Status, resp.Body)
		}
	}
	c.tick(time.Now())
	tasks, machines := 0, 0
	for _, m := range c.Machines {
		if m.HasReported && !m.Lost {
			machines++
		}
		for _, a := range m.Attempts {
			if a.Live() && a.State == cluster.AttemptConfirmed {
				tasks++
			}
		}
	}
	if tasks != largeTasks || machines != largeMachines {
		t.Errorf("the controller has %d running tasks on %d machines, want %d on %d", tasks, machines, largeTasks, largeMachines)
	}
}

// Exceeding a bound is counted in the metrics and logged once; the more urgent entries are
// kept.
func TestExceededBoundsAreCounted(t *testing.T) {
	limitMemory := func(c *Controller) { c.Settings.Params.ProcessLimits.MemMB = 64 }
	for _, tc := range []struct {
		name   string
		bound  telemetry.Bound
		exceed func(t *testing.T, c *Controller)
	}{
		{"summary size, many jobs", telemetry.SummaryBytes, func(t *testing.T, c *Controller) {
			limitMemory(c)
			sum := &peer.Summary{From: "n0", Jobs: make([]*peer.JobProgress, 0, 40_000)}
			for i := range 40_000 {
				sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: fmt.Sprintf("job-%032d", i), Done: 1})
			}
			sum.Partitions = append(sum.Partitions, &peer.PartitionSummary{Machines: []*peer.MachineStatus{{Name: "m-1"}}})
			sent := new(peer.Summary)
			panicOnError(proto.Unmarshal(c.peering.EncodeSummary(sum), sent))
			if len(sent.Jobs) > 0 || len(sent.Partitions) != 1 {
				t.Errorf("%d jobs and %d partitions in the summary, want 0 and 1", len(sent.Jobs), len(sent.Partitions))
			}
		}},
		{"summary size, many unregistered machines", telemetry.SummaryBytes, func(t *testing.T, c *Controller) {
			limitMemory(c)
			sum := &peer.Summary{From: "n0", Cancelled: []*peer.CancelledJob{{Job: "job-1"}}}
			for i := range 40_000 {
				sum.Unregistered = append(sum.Unregistered, &peer.UnregisteredMachine{Name: fmt.Sprintf("m-%032d", i)})
			}
			sent := new(peer.Summary)
			panicOnError(proto.Unmarshal(c.peering.EncodeSummary(sum), sent))
			if len(sent.Unregistered) > 0 || len(sent.Cancelled) != 1 {
				t.Errorf("%d unregistered machines and %d cancelled jobs in the summary, want 0 and 1", len(sent.Unregistered), len(sent.Cancelled))
			}
		}},
		{"job progress", telemetry.JobProgress, func(t *testing.T, c *Controller) {
			for i := range peering.JobProgressLimit + 1 {
				id := fmt.Sprint("job-", i)
				c.Jobs[id] = &cluster.Job{Spec: newJobSpec(id, 1, "green"), HasRunState: true, RunningCount: 1}
			}
			if n := len(c.peering.OwnSummary(time.Now()).Jobs); n != peering.JobProgressLimit {
				t.Errorf("%d jobs in the summary, want %d", n, peering.JobProgressLimit)
			}
		}},
		{"demands", telemetry.Demands, func(t *testing.T, c *Controller) {
			for i := range peering.MinDemandsLimit + 1 {
				c.addQueuedJob(fmt.Sprint("job-", i), 1)
			}
			if n := len(c.peering.PartitionSummary(c.Partitions[c.TeamPartition[c.TeamIndex["green"]]], time.Now()).Demands); n != peering.MinDemandsLimit {
				t.Errorf("%d demands in the summary, want %d", n, peering.MinDemandsLimit)
			}
		}},
		{"cancellation notices", telemetry.Cancellations, func(t *testing.T, c *Controller) {
			for i := range c.Cancellations.Limit + 1 {
				c.jobs.SetFinalState(fmt.Sprint("job-", i), protocol.StatusCancelled, time.Now())
			}
			if sent := c.Cancellations.Recent(time.Now(), c.CancelBound); len(sent) != c.Cancellations.Limit || sent[0].Job != "job-0" {
				t.Errorf("%d cancellation notices, want %d; the first for %s, want job-0", len(sent), c.Cancellations.Limit, sent[0].Job)
			}
		}},
		{"delegated heartbeats", telemetry.ForwardedHeartbeats, func(t *testing.T, c *Controller) {
			p := c.Partitions[0]
			m := c.addMachine(p, "m-1", "big")
			p.Held, p.Leader = false, "n1"
			assignment := c.proxy.Assignments[0]
			assignment.Leader, assignment.Lease, assignment.GrantedUntil, assignment.UnsentBytes = "n1", p.LeaseRevision, time.Now().Add(time.Hour), c.proxy.UnsentLimit
			assignment.Shards[m.Shard] = true
			r := heartbeatOf(c, m, 1)
			if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 503 {
				t.Errorf("heartbeat got status %d, want 503", resp.Status)
			}
		}},
		{"messages to a standby", telemetry.ReplicaUpdates, func(t *testing.T, c *Controller) {
			p, m := c.Partitions[0], c.addMachine(c.Partitions[0], "m-1", "big")
			for i := range 200 {
				for k := range cluster.HintImagesLimit {
					m.Images[fmt.Sprintf("%0190d", k)] = time.Now()
				}
				m = c.addMachine(p, fmt.Sprint("m-2", i), "big")
			}
			if sent := c.replicator.PartitionUpdate(p, time.Now()); proto.Size(sent) > peerapi.PortableBodyLimit || len(sent.Machines) > 200 || sent.Through >= p.Replication.NewestSeq {
				t.Errorf("replica update of %d bytes with %d machines, want one within the size limit that leaves machines out", proto.Size(sent), len(sent.Machines))
			}
		}},
		{"starts sent to a standby", telemetry.ReplicaStarts, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			for i := range replication.PendingStartsLimit {
				replica.Derived.PendingStarts[replication.AttemptID{Job: "job-1", Task: i, Number: 1}] = time.Now()
			}
			applyReplicaUpdate(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, Through: 1, Attempts: []*peer.AttemptStart{{Job: "job-2", Attempt: 1}}})
			if len(replica.Derived.PendingStarts) != replication.PendingStartsLimit {
				t.Errorf("%d start times kept, want %d", len(replica.Derived.PendingStarts), replication.PendingStartsLimit)
			}
		}},
		{"machines sent to a standby", telemetry.ReplicaMachines, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			replica.Updates = replication.ReceivedUpdates{Sender: "n1", LeaseRevision: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range replication.ReplicaMachinesLimit {
				replica.Updates.Machines[fmt.Sprint("m-", i)] = replication.MachineHints{}
			}
			applyReplicaUpdate(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, After: 1, Through: 2, Machines: []*peer.MachineHint{{Name: "another"}, {Name: "m-1"}}})
			if replica.Updates.Machines["m-1"].MachineHint == nil || len(replica.Updates.Machines) != replication.ReplicaMachinesLimit {
				t.Errorf("known machine not updated, or %d machines kept, want %d", len(replica.Updates.Machines), replication.ReplicaMachinesLimit)
			}
		}},
		{"state transfers", telemetry.StateTransferBytes, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			replica.Updates = replication.ReceivedUpdates{Sender: "n1", LeaseRevision: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range largeMachines {
				hint := &peer.MachineHint{Name: largeMachineName(i), PreemptionNoticeS: -1}
				for k := range cluster.HintImagesLimit {
					hint.Images = append(hint.Images, fmt.Sprintf("%0200d", k))
				}
				replica.Updates.Machines[hint.Name] = replication.MachineHints{MachineHint: hint}
			}
			raw, err := proto.Marshal(&peer.StateTransferRequest{})
			panicOnError(err)
			stop := serveEventLoop(c)
			resp := servePeers(c, replication.StateTransferPath, raw)
			stop()
			sent := new(peer.ReplicaUpdate)
			panicOnError(proto.Unmarshal(resp.Body, sent))
			if len(resp.Body) > clientResponseLimit || len(sent.Machines) != largeMachines || len(replica.Updates.Machines[largeMachineName(0)].Images) != cluster.HintImagesLimit {
				t.Errorf("state transfer of %d bytes with %d machines, want at most %d bytes, %d machines and unchanged hints in the replica", len(resp.Body), len(sent.Machines), clientResponseLimit, largeMachines)
			}
		}},
		{"classes", telemetry.Classes, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups {
				c.scheduler.ClassGroup(fmt.Sprint("class-", i))
			}
			if countedBounds(c) != nil || c.scheduler.ClassGroup("another") != 0 {
				t.Error("the bound is exceeded by the last allowed class, or not enforced for the next one")
			}
		}},
		{"estimates", telemetry.Estimates, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups + 1 {
				c.scheduler.LearnRunTime(fmt.Sprint("class-", i), 1, 1)
			}
			if len(c.scheduler.Corrections) != scheduler.MaxClassGroups {
				t.Errorf("run times of %d classes are kept, want %d", len(c.scheduler.Corrections), scheduler.MaxClassGroups)
			}
			c.scheduler.LearnRunTime("class-0", 1, 1)
			if c.scheduler.Corrections["class-0"].Count != 2 {
				t.Error("once the maximum number of classes is reached, the run time of a known class is not updated")
			}
		}},
		{"replicated estimates", telemetry.Estimates, func(t *testing.T, c *Controller) {
			h := replication.ReceivedUpdates{}
			for i := range scheduler.MaxClassGroups + 1 {
				h.Corrections = append(h.Corrections, &peer.RuntimeCorrection{Class: fmt.Sprint("class-", i), Ratio: 1, Count: 3})
			}
			if c.replicator.ApplyHints(c.Partitions[0], &h, time.Now()); len(c.scheduler.Corrections) != scheduler.MaxClassGroups {
				t.Errorf("run times of %d classes are kept, want %d", len(c.scheduler.Corrections), scheduler.MaxClassGroups)
			}
		}},
		{"polls", telemetry.WaitingPolls, func(_ *testing.T, c *Controller) { c.store.OnPollRefused() }},
		{"connections of peers", telemetry.PeerConnections, func(_ *testing.T, c *Controller) { c.RecordRefusedPeerConnection() }},
		{"callers", telemetry.Callers, func(t *testing.T, c *Controller) {
			panicOnError(c.EnableAuth(auth.Config{}))
			for i := range auth.MaxUnknownJobLimiters + 1 {
				c.auth.UnknownJobLimiters.Add(fmt.Sprint("person/", i), nil)
			}
			if n := c.auth.UnknownJobLimiters.Len(); n != auth.MaxUnknownJobLimiters {
				t.Errorf("%d callers have a rate limiter, want %d", n, auth.MaxUnknownJobLimiters)
			}
		}},
		{"connections of workers and users", telemetry.Connections, func(_ *testing.T, c *Controller) { c.RecordRefusedUserConnection() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			c, _ := newLeadingController(t)
			c.Observe()
			c.bounds.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn}))
			tc.exceed(t, c)
			expectCountedBounds(t, c, tc.bound)
			c.bounds.ReportExceeded(tc.bound, 1)
			if n := strings.Count(log.String(), "bound="+tc.bound.String()); n != 1 {
				t.Errorf("bound logged %d times, want once:\n%s", n, log.String())
			}
		})
	}
}

// servePeers passes a request of another controller to a controller and returns the response.
func servePeers(c *Controller, path string, body []byte) transport.Response {
	return c.ServePeers(context.Background(), &transport.Request{Method: "POST", Path: path, Body: body})
}

// applyReplicaUpdate passes a replica update from a partition's leader to a standby.
func applyReplicaUpdate(t *testing.T, c *Controller, update *peer.ReplicaUpdate) {
	t.Helper()
	raw, err := proto.Marshal(update)
	panicOnError(err)
	stop := serveEventLoop(c)
	resp := servePeers(c, replication.UpdatePath, raw)
	stop()
	if resp.Status != 200 {
		t.Fatalf("replica update got status %d, %s", resp.Status, resp.Body)
	}
}

// Bounds that depend on the settings have a minimum and grow with the limits in the settings,
// so that they are sufficient for a large fleet.
func TestBoundsFollowTheSettings(t *testing.T) {
	announcedWriteRPS := 400.0
	for _, tc := range []struct {
		name                                  string
		limits                                settings.ProcessLimits
		state                                 settings.StateStoreLimits
		cancelBound                           time.Duration
		bodyBytes, unsentBytes, cancellations int
	}{
		{"a small deployment", settings.ProcessLimits{MemMB: 20}, settings.StateStoreLimits{WriteRPS: 10}, 25 * time.Second, 1 << 20, 768 << 10, 500},
		{"70 MB", settings.ProcessLimits{MemMB: 70}, settings.StateStoreLimits{WriteRPS: 25}, 43 * time.Second, 1 << 20, 2_293_760, 1100},
		{"a large deployment", settings.ProcessLimits{MemMB: 322}, settings.StateStoreLimits{WriteRPS: 90}, 43 * time.Second, 2 << 20, 10_551_296, 3960},
		{"a higher limit is announced", settings.ProcessLimits{MemMB: 322}, settings.StateStoreLimits{WriteRPS: 90, Next: settings.AnnouncedLimits{WriteRPS: &announcedWriteRPS}}, 43 * time.Second, 2 << 20, 10_551_296, 17_600},
	} {
		var notices cluster.CancellationNotices
		notices.SetLimit(tc.cancelBound, tc.state)
		if body, unsent := peerapi.MaxBody(tc.limits), proxy.UnsentBytesLimit(tc.limits); body != tc.bodyBytes || unsent != tc.unsentBytes || notices.Limit != tc.cancellations {
			t.Errorf("%s: limits of %d bytes for a body, %d unsent bytes, %d cancellation notices, want %d, %d and %d", tc.name, body, unsent, notices.Limit, tc.bodyBytes, tc.unsentBytes, tc.cancellations)
		}
	}
	for machines, want := range map[int]int{0: 200, 800: 200, 4000: 1000} {
		if got := peering.DemandsLimit(machines); got != want {
			t.Errorf("limit of %d demands for %d machines, want %d", got, machines, want)
		}
	}
}
