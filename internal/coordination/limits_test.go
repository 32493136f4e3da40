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

// A large deployment, which every fixed bound must accommodate: one controller of several leads
// all of its machines (docs/limits.md).
const (
	largeMachines        = 4000
	largeTasksPerMachine = 16 // running tasks
	largeTasks           = largeMachines * largeTasksPerMachine
	// largeCancelsPerSecond is three times the rate of cancellations of the large deployments.
	largeCancelsPerSecond = 36
	largeCancelBound      = 43 * time.Second
	// standbyMessagesMax is how many messages, one a second, a new standby may need for a
	// partition.
	standbyMessagesMax = 10
	// clientResponseLimit is the largest response that transport's client accepts.
	clientResponseLimit = 8 << 20
)

// The limits and teams of large deployments.
var (
	largeLimits = settings.ProcessLimits{CoreShare: 0.312, MemMB: 322, Sockets: 2289}
	// onePartition and threePartitions are the teams whose partitions have machines.
	onePartition    = []string{"green"}
	threePartitions = allTeams
	largeState      = settings.StateStoreLimits{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}
)

// largeFleet makes a controller that leads every partition, with all machines up and all tasks
// running, in the partitions of some teams.
func largeFleet(t testing.TB, teams []string) *Controller {
	t.Helper()
	c, _ := newLeadingController(t)
	c.Observe()
	setNetwork(c, unresponsiveNetwork{})
	c.Settings.Params.MachineLimits, c.Settings.Params.State = largeLimits, largeState
	c.proxy.UnsentLimit = proxy.UnsentBytesLimit(largeLimits)
	c.CancelBound = largeCancelBound
	c.Cancellations.SetLimit(largeCancelBound, largeState)
	now := time.Now()
	c.Synced, c.LeaseRenewedAt, c.RecordsCurrentAt = true, now, now
	for _, p := range c.Partitions {
		p.AcquiredAt, p.Standby = now, "n1"
	}
	for i := range largeMachines {
		team := teams[i%len(teams)]
		p := c.Partitions[c.TeamPartition[c.TeamIndex[team]]]
		m := c.addMachine(p, largeMachine(i), "big")
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
		for _, ch := range j.Chunks { // already written
			ch.Dirty, ch.Urgent, ch.Revision = false, false, 3
		}
	}
	return c
}

// largeMachine returns the name of a machine.
func largeMachine(i int) string { return fmt.Sprintf("machine-%06d", i) }

// heartbeatOf returns the heartbeat of a machine's agent.
func heartbeatOf(c *Controller, m *cluster.Machine, sequence uint64) *protocol.Heartbeat {
	r := &protocol.Heartbeat{Machine: m.Name, Addr: m.Record.Addr, Type: "big", Zone: "a", Epoch: 1, Sequence: sequence, Token: c.Token(m)}
	for _, a := range m.Attempts {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.TaskName(), Attempt: a.Number, State: protocol.TaskRunning})
	}
	return r
}

// countedBounds returns the metrics of the bounds that were met.
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

// expectCountedBounds fails the test unless exactly the given bounds were met.
func expectCountedBounds(t *testing.T, c *Controller, bounds ...telemetry.Bound) {
	t.Helper()
	list := countedBounds(c)
	for _, b := range bounds {
		if !strings.Contains(strings.Join(list, "\n"), fmt.Sprintf("%q", b.String())) {
			t.Errorf("%s was not counted: %q", b, list)
		}
	}
	if len(list) != len(bounds) {
		t.Errorf("bounds counted: %q, not %v", list, bounds)
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
	replica.StartFrom(c.log.Error, items, 5, time.Now())
	return replica
}

// updateStandby sends all of a partition's hints to a standby, and returns the number of
// messages.
func updateStandby(t *testing.T, c *Controller, p *cluster.Partition, replica *replication.Replica) (messages int) {
	t.Helper()
	for messages < 100 {
		now := time.Now()
		raw, err := proto.Marshal(c.replicator.PartitionUpdate(p, now))
		if err != nil || len(raw) > peerapi.PortableBodyLimit {
			t.Fatalf("a message of %d bytes (%v)", len(raw), err)
		}
		sent := new(peer.ReplicaUpdate)
		panicOnError(proto.Unmarshal(raw, sent))
		if len(sent.Attempts)+len(sent.Machines) == 0 {
			break
		}
		messages++
		p.Replication.AcknowledgedSeq = replica.Updates.Apply(sent, replica.Derived.NoteStart, now)
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

// What a controller holds and sends of 4,000 machines with 64,000 running tasks is complete and
// within the size limit of a message.
func TestBoundsFitALargeFleet(t *testing.T) {
	for _, tc := range []struct {
		name  string
		teams []string
		run   func(t *testing.T, c *Controller)
		met   []telemetry.Bound
	}{
		{"summary", onePartition, checkLargeSummary, nil},
		// A new standby is updated in several messages.
		{"replica, state transfer and takeover of one partition", onePartition, checkLargeReplica, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"replica, state transfer and takeover of three partitions", threePartitions, checkLargeReplica, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"replicated starts ahead of their records", onePartition, checkStartsAheadOfRecords, nil},
		{"cancellation notices", onePartition, checkLargeCancellationNotices, nil},
		{"delegated heartbeats that wait", onePartition, checkLargeDelegatedHeartbeats, nil},
		{"one controller of several is left", threePartitions, checkSingleControllerLeft, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := largeFleet(t, tc.teams)
			tc.run(t, c)
			expectCountedBounds(t, c, tc.met...)
		})
	}
}

// checkLargeSummary checks that the summary of a large fleet is complete and below the limit of
// a body.
func checkLargeSummary(t *testing.T, c *Controller) {
	t.Helper()
	now := time.Now()
	waiting := 0
	for i := range 700 {
		s := newJobSpec(fmt.Sprintf("job-9%05d", i), largeTasksPerMachine, "green")
		s.DeadlineS = 0
		c.addJob(s)
		waiting++
	}
	noted := int(largeCancelsPerSecond * largeCancelBound.Seconds())
	for i := range noted {
		c.jobs.SetFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now)
	}
	for i := range largeMachines { // as after the start of all controllers
		name := largeMachine(largeMachines + i)
		c.UnregisteredMachines[name] = &peer.UnregisteredMachine{Name: name, Addr: "10.0.0.1:10000", Type: "big", Zone: "a"}
		c.DivertedMachines[name] = now
	}
	limit := peerapi.MaxBody(largeLimits)
	body := c.peering.EncodeSummary(c.peering.OwnSummary(now))
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	machines, demands := 0, 0
	for _, ps := range sum.Partitions {
		machines, demands = machines+len(ps.Machines), demands+len(ps.Demands)
	}
	if machines != largeMachines || demands != waiting || len(sum.Jobs) != largeMachines || len(sum.Cancelled) != noted || len(sum.Unregistered) != largeMachines {
		t.Errorf("%d machines, %d demands, %d jobs, %d cancelled, %d not on record", machines, demands, len(sum.Jobs), len(sum.Cancelled), len(sum.Unregistered))
	}
	if len(body) > limit {
		t.Errorf("%d bytes of %d", len(body), limit)
	}
	t.Logf("summary: %d bytes of %d", len(body), limit)
}

// A summary with the longest names and everything at its bound still contains all of it.
func TestWorstCaseSummaryFits(t *testing.T) {
	c, _ := newLeadingController(t)
	c.Observe()
	c.Settings.Params.MachineLimits = largeLimits
	c.Cancellations.SetLimit(largeCancelBound, largeState)
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
	if len(body) > peerapi.MaxBody(largeLimits) || len(sum.Jobs) != peering.JobProgressLimit {
		t.Errorf("%d bytes of %d, %d jobs", len(body), peerapi.MaxBody(largeLimits), len(sum.Jobs))
	}
	expectCountedBounds(t, c)
	t.Logf("summary at its worst: %d bytes of %d", len(body), peerapi.MaxBody(largeLimits))
}

// checkLargeReplica updates a standby, transfers its state and lets it take the partitions
// over.
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
			t.Errorf("partition %d: %d messages, one a second", p.Index, messages)
		}
		attempts, machines = attempts+replica.Derived.KnownStarts(), machines+len(replica.Updates.Machines)
		recalled, whole := replica.StateTransfer(time.Now())
		raw, err := proto.Marshal(recalled)
		if err != nil || !whole || len(raw) > replication.StateTransferBytesLimit || len(recalled.Attempts) != replica.Derived.KnownStarts() || len(recalled.Machines) != len(replica.Updates.Machines) {
			t.Errorf("state transfer of %d bytes, complete %v: %d attempts, %d machines (%v)", len(raw), whole, len(recalled.Attempts), len(recalled.Machines), err)
		}
		t.Logf("partition %d: %d machines in %d messages, state transfer of %d bytes", p.Index, len(replica.Updates.Machines), messages, len(raw))
		c.leases.ClearPartition(p) // the standby never led it
		c.takeover.Install(p, replica, nil, true)
	}
	if attempts != largeTasks || machines != largeMachines {
		t.Errorf("the standby knows %d starts and %d machines", attempts, machines)
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
		t.Errorf("%d tasks live on after the takeover, with their starts", live)
	}
}

// checkStartsAheadOfRecords checks that a standby keeps all starts whose records have not
// arrived yet.
func checkStartsAheadOfRecords(t *testing.T, c *Controller) {
	t.Helper()
	replica := replication.NewReplica(0, time.Now())
	for id, j := range c.Jobs {
		for task := range j.LiveAttempts {
			replica.Derived.NoteStart(replication.AttemptID{Job: id, Task: task, Number: 1}, time.Now())
		}
	}
	if len(replica.Derived.Starts) != largeTasks || replica.Derived.DroppedStarts != 0 {
		t.Errorf("%d starts kept, %d dropped", len(replica.Derived.Starts), replica.Derived.DroppedStarts)
	}
}

// checkLargeCancellationNotices checks that the notices of all recent cancellations are sent.
func checkLargeCancellationNotices(t *testing.T, c *Controller) {
	t.Helper()
	now := time.Now()
	noted := int(largeCancelsPerSecond * largeCancelBound.Seconds())
	for i := range noted {
		age := largeCancelBound - time.Second - time.Duration(i)*(largeCancelBound-2*time.Second)/time.Duration(noted)
		c.jobs.SetFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now.Add(-age))
	}
	sent := c.Cancellations.Recent(now, c.CancelBound)
	if len(sent) != noted || sent[0].Job != "job-800000000" {
		t.Errorf("%d of %d notices, %s first", len(sent), noted, sent[0].Job)
	}
}

// delegatingLeader is the network of a delegate, on which the partition leader answers.
type delegatingLeader struct {
	t            *testing.T
	machines     map[string]bool
	acknowledged []uint64
	serial       uint64
}

// Do answers as the partition leader.
func (o *delegatingLeader) Do(_ context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
	if len(body) > peerapi.PortableBodyLimit {
		o.t.Errorf("a message of %d bytes", len(body))
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
	e := c.proxy.Assignments[p.Index]
	e.Leader, e.Lease, e.Serial, e.GrantedUntil = p.Leader, p.LeaseRevision, 0, time.Now().Add(time.Hour)
	for s := range e.Shards {
		e.Shards[s] = true
	}
	for _, m := range c.Machines {
		r := heartbeatOf(c, m, 1)
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("%s: status %d, %s", m.Name, resp.Status, resp.Body)
		}
	}
	size := e.UnsentBytes
	stop := serveEventLoop(c)
	renewed := c.proxy.RenewAll(p, e)
	stop()
	if !renewed || len(net.machines) != largeMachines || e.UnsentBytes != 0 {
		t.Errorf("%d heartbeats forwarded, %d bytes left", len(net.machines), e.UnsentBytes)
	}
	// Only a request with all remaining heartbeats may acknowledge that everything was sent.
	for i, after := range net.acknowledged {
		want := uint64(0)
		if i == len(net.acknowledged)-1 {
			want = uint64(i)
		}
		if after != want {
			t.Errorf("request %d of %d is after reply %d, not %d", i+1, len(net.acknowledged), after, want)
		}
	}
	t.Logf("delegated heartbeats: %d bytes of %d in %d messages", size, c.proxy.UnsentLimit, len(net.acknowledged))
}

// checkSingleControllerLeft checks that one controller handles the heartbeats of all machines.
func checkSingleControllerLeft(t *testing.T, c *Controller) {
	t.Helper()
	for _, m := range c.Machines {
		r := heartbeatOf(c, m, 1)
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("%s: status %d, %s", m.Name, resp.Status, resp.Body)
		}
	}
	c.tick(time.Now())
	seen, machines := 0, 0
	for _, m := range c.Machines {
		if m.HasReported && !m.Lost {
			machines++
		}
		for _, a := range m.Attempts {
			if a.Live() && a.State == cluster.AttemptConfirmed {
				seen++
			}
		}
	}
	if seen != largeTasks || machines != largeMachines {
		t.Errorf("%d tasks on %d machines", seen, machines)
	}
}

// Whatever exceeds a bound is counted, and logged once; the more urgent entries are kept.
func TestExceededBoundsAreCounted(t *testing.T) {
	small := func(c *Controller) { c.Settings.Params.MachineLimits.MemMB = 64 }
	for _, tc := range []struct {
		name  string
		bound telemetry.Bound
		meet  func(t *testing.T, c *Controller)
	}{
		{"a summary too large", telemetry.SummaryBytes, func(t *testing.T, c *Controller) {
			small(c)
			sum := &peer.Summary{From: "n0", Jobs: make([]*peer.JobProgress, 0, 40_000)}
			for i := range 40_000 {
				sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: fmt.Sprintf("job-%032d", i), Done: 1})
			}
			sum.Partitions = append(sum.Partitions, &peer.PartitionSummary{Machines: []*peer.MachineStatus{{Name: "m-1"}}})
			sent := new(peer.Summary)
			panicOnError(proto.Unmarshal(c.peering.EncodeSummary(sum), sent))
			if len(sent.Jobs) > 0 || len(sent.Partitions) != 1 {
				t.Errorf("%d jobs, %d partitions in the summary", len(sent.Jobs), len(sent.Partitions))
			}
		}},
		{"too many unregistered machines", telemetry.SummaryBytes, func(t *testing.T, c *Controller) {
			small(c)
			sum := &peer.Summary{From: "n0", Cancelled: []*peer.CancelledJob{{Job: "job-1"}}}
			for i := range 40_000 {
				sum.Unregistered = append(sum.Unregistered, &peer.UnregisteredMachine{Name: fmt.Sprintf("m-%032d", i)})
			}
			sent := new(peer.Summary)
			panicOnError(proto.Unmarshal(c.peering.EncodeSummary(sum), sent))
			if len(sent.Unregistered) > 0 || len(sent.Cancelled) != 1 {
				t.Errorf("%d machines, %d cancelled jobs in the summary", len(sent.Unregistered), len(sent.Cancelled))
			}
		}},
		{"progress of jobs", telemetry.JobProgress, func(t *testing.T, c *Controller) {
			for i := range peering.JobProgressLimit + 1 {
				id := fmt.Sprint("job-", i)
				c.Jobs[id] = &cluster.Job{Spec: newJobSpec(id, 1, "green"), HasRunState: true, RunningCount: 1}
			}
			if n := len(c.peering.OwnSummary(time.Now()).Jobs); n != peering.JobProgressLimit {
				t.Errorf("%d jobs in the summary", n)
			}
		}},
		{"demands", telemetry.Demands, func(t *testing.T, c *Controller) {
			for i := range peering.DemandsMin + 1 {
				c.addQueuedJob(fmt.Sprint("job-", i), 1)
			}
			if n := len(c.peering.PartitionSummary(c.Partitions[c.TeamPartition[c.TeamIndex["green"]]], time.Now()).Demands); n != peering.DemandsMin {
				t.Errorf("%d demands in the summary", n)
			}
		}},
		{"cancellation notices", telemetry.Cancellations, func(t *testing.T, c *Controller) {
			for i := range c.Cancellations.Limit + 1 {
				c.jobs.SetFinal(fmt.Sprint("job-", i), protocol.StatusCancelled, time.Now())
			}
			if sent := c.Cancellations.Recent(time.Now(), c.CancelBound); len(sent) != c.Cancellations.Limit || sent[0].Job != "job-0" {
				t.Errorf("%d notices, %s first", len(sent), sent[0].Job)
			}
		}},
		{"delegated heartbeats", telemetry.ForwardedHeartbeats, func(t *testing.T, c *Controller) {
			p := c.Partitions[0]
			m := c.addMachine(p, "m-1", "big")
			p.Held, p.Leader = false, "n1"
			e := c.proxy.Assignments[0]
			e.Leader, e.Lease, e.GrantedUntil, e.UnsentBytes = "n1", p.LeaseRevision, time.Now().Add(time.Hour), c.proxy.UnsentLimit
			e.Shards[m.Shard] = true
			r := heartbeatOf(c, m, 1)
			if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 503 {
				t.Errorf("status %d", resp.Status)
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
				t.Errorf("%d bytes, %d machines", proto.Size(sent), len(sent.Machines))
			}
		}},
		{"starts sent to a standby", telemetry.ReplicaStarts, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			for i := range replication.PendingStartsLimit {
				replica.Derived.Starts[replication.AttemptID{Job: "job-1", Task: i, Number: 1}] = time.Now()
			}
			applyReplicaUpdate(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, Through: 1, Attempts: []*peer.AttemptStart{{Job: "job-2", Attempt: 1}}})
			if len(replica.Derived.Starts) != replication.PendingStartsLimit {
				t.Errorf("%d starts kept", len(replica.Derived.Starts))
			}
		}},
		{"machines sent to a standby", telemetry.ReplicaMachines, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			replica.Updates = replication.ReceivedUpdates{Sender: "n1", Lease: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range replication.ReplicaMachinesLimit {
				replica.Updates.Machines[fmt.Sprint("m-", i)] = replication.MachineHints{}
			}
			applyReplicaUpdate(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, After: 1, Through: 2, Machines: []*peer.MachineHint{{Name: "another"}, {Name: "m-1"}}})
			if replica.Updates.Machines["m-1"].MachineHint == nil || len(replica.Updates.Machines) != replication.ReplicaMachinesLimit {
				t.Errorf("a known machine is not updated, %d kept", len(replica.Updates.Machines))
			}
		}},
		{"state transfers", telemetry.StateTransferBytes, func(t *testing.T, c *Controller) {
			replica := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = replica
			replica.Updates = replication.ReceivedUpdates{Sender: "n1", Lease: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range largeMachines {
				mt := &peer.MachineHint{Name: largeMachine(i), PreemptionNoticeS: -1}
				for k := range cluster.HintImagesLimit {
					mt.Images = append(mt.Images, fmt.Sprintf("%0200d", k))
				}
				replica.Updates.Machines[mt.Name] = replication.MachineHints{MachineHint: mt}
			}
			raw, err := proto.Marshal(&peer.StateTransferRequest{})
			panicOnError(err)
			stop := serveEventLoop(c)
			resp := servePeers(c, replication.StateTransferPath, raw)
			stop()
			sent := new(peer.ReplicaUpdate)
			panicOnError(proto.Unmarshal(resp.Body, sent))
			if len(resp.Body) > clientResponseLimit || len(sent.Machines) != largeMachines || len(replica.Updates.Machines[largeMachine(0)].Images) != cluster.HintImagesLimit {
				t.Errorf("%d bytes, %d machines", len(resp.Body), len(sent.Machines))
			}
		}},
		{"classes", telemetry.Classes, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups {
				c.scheduler.ClassGroup(fmt.Sprint("class-", i))
			}
			if countedBounds(c) != nil || c.scheduler.ClassGroup("another") != 0 {
				t.Error("too soon, or not at all")
			}
		}},
		{"estimates", telemetry.Estimates, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups + 1 {
				c.scheduler.LearnRunTime(fmt.Sprint("class-", i), 1, 1)
			}
			if len(c.scheduler.Corrections) != scheduler.MaxClassGroups {
				t.Errorf("%d classes are learned", len(c.scheduler.Corrections))
			}
			c.scheduler.LearnRunTime("class-0", 1, 1)
			if c.scheduler.Corrections["class-0"].Count != 2 {
				t.Error("a known class is not updated")
			}
		}},
		{"replicated estimates", telemetry.Estimates, func(t *testing.T, c *Controller) {
			h := replication.ReceivedUpdates{}
			for i := range scheduler.MaxClassGroups + 1 {
				h.Classes = append(h.Classes, &peer.RuntimeCorrection{Class: fmt.Sprint("class-", i), Ratio: 1, Count: 3})
			}
			if c.replicator.ApplyHints(c.Partitions[0], &h, time.Now()); len(c.scheduler.Corrections) != scheduler.MaxClassGroups {
				t.Errorf("%d classes are known", len(c.scheduler.Corrections))
			}
		}},
		{"polls", telemetry.WaitingPolls, func(_ *testing.T, c *Controller) { c.store.OnPollRefused() }},
		{"connections of peers", telemetry.PeerConnections, func(_ *testing.T, c *Controller) { c.NotePeerConnectionRefused() }},
		{"callers", telemetry.Callers, func(t *testing.T, c *Controller) {
			panicOnError(c.EnableAuth(auth.Identities{}))
			for i := range auth.UnknownJobLimitersLimit + 1 {
				c.auth.UnknownJobLimiters.Add(fmt.Sprint("person/", i), nil)
			}
			if n := c.auth.UnknownJobLimiters.Len(); n != auth.UnknownJobLimitersLimit {
				t.Errorf("%d callers are tracked", n)
			}
		}},
		{"connections of workers and users", telemetry.Connections, func(_ *testing.T, c *Controller) { c.NoteUserConnectionRefused() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			c, _ := newLeadingController(t)
			c.Observe()
			c.bounds.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn}))
			tc.meet(t, c)
			expectCountedBounds(t, c, tc.bound)
			c.bounds.Met(tc.bound, 1)
			if n := strings.Count(log.String(), "bound="+tc.bound.String()); n != 1 {
				t.Errorf("logged %d times:\n%s", n, log.String())
			}
		})
	}
}

// servePeers has a controller answer a request of another one.
func servePeers(c *Controller, path string, body []byte) transport.Response {
	return c.ServePeers(context.Background(), &transport.Request{Method: "POST", Path: path, Body: body})
}

// applyReplicaUpdate hands a standby an update of a partition's leader.
func applyReplicaUpdate(t *testing.T, c *Controller, update *peer.ReplicaUpdate) {
	t.Helper()
	raw, err := proto.Marshal(update)
	panicOnError(err)
	stop := serveEventLoop(c)
	resp := servePeers(c, replication.UpdatePath, raw)
	stop()
	if resp.Status != 200 {
		t.Fatalf("status %d, %s", resp.Status, resp.Body)
	}
}

// The bounds derived from the settings are never below their former constants, and sufficient
// for a large fleet.
func TestBoundsFollowTheSettings(t *testing.T) {
	next := 400.0
	for _, tc := range []struct {
		name                           string
		limits                         settings.ProcessLimits
		state                          settings.StateStoreLimits
		cancelS                        time.Duration
		peerBody, delegated, cancelled int
	}{
		{"a small deployment", settings.ProcessLimits{MemMB: 20}, settings.StateStoreLimits{WriteRPS: 10}, 25 * time.Second, 1 << 20, 768 << 10, 500},
		{"70 MB", settings.ProcessLimits{MemMB: 70}, settings.StateStoreLimits{WriteRPS: 25}, 43 * time.Second, 1 << 20, 2_293_760, 1100},
		{"a large deployment", settings.ProcessLimits{MemMB: 322}, settings.StateStoreLimits{WriteRPS: 90}, 43 * time.Second, 2 << 20, 10_551_296, 3960},
		{"a higher limit is announced", settings.ProcessLimits{MemMB: 322}, settings.StateStoreLimits{WriteRPS: 90, Next: settings.AnnouncedLimits{WriteRPS: &next}}, 43 * time.Second, 2 << 20, 10_551_296, 17_600},
	} {
		var n cluster.CancellationNotices
		n.SetLimit(tc.cancelS, tc.state)
		if body, delegated := peerapi.MaxBody(tc.limits), proxy.UnsentBytesLimit(tc.limits); body != tc.peerBody || delegated != tc.delegated || n.Limit != tc.cancelled {
			t.Errorf("%s: %d, %d, %d", tc.name, body, delegated, n.Limit)
		}
	}
	for machines, want := range map[int]int{0: 200, 800: 200, 4000: 1000} {
		if got := peering.DemandsLimit(machines); got != want {
			t.Errorf("%d demands of %d machines", got, machines)
		}
	}
}
