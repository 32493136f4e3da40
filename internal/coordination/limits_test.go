package coordination

import (
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/coordination/scheduler"

	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// The deployment that no fixed bound may stand below: one controller of several holds all
// of its machines (docs/limits.md).
const (
	largeMachines = 4000
	largeEach     = 16 // running tasks of a machine
	largeTasks    = largeMachines * largeEach
	// largeCancels is how many jobs are cancelled in a second: three times what the large
	// deployments see.
	largeCancels = 36
	largeCancelS = 43 * time.Second
	// standbySeconds is in how long a standby that knows nothing is told a part.
	standbySeconds = 10
	// clientResponse is what transport's client takes as a response.
	clientResponse = 8 << 20
)

var (
	largeLimits = settings.Limits{CoreShare: 0.312, MemMB: 322, Sockets: 2289}
	// onePart and threeParts are teams whose parts the machines are in.
	onePart    = []string{"green"}
	threeParts = []string{"red", "blue", "green"}
	largeState = settings.State{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}
)

// largeFleet makes a controller that holds every part, with all machines up and all tasks
// running, in the parts of some teams.
func largeFleet(t testing.TB, teams []string) *Controller {
	t.Helper()
	c, _ := owner(t)
	c.Observe()
	setNetwork(c, nowhere{})
	c.Settings.Params.MachineLimits, c.Settings.Params.State = largeLimits, largeState
	c.proxy.UnsentLimit = proxy.UnsentBytesLimit(largeLimits)
	c.CancelBound = largeCancelS
	c.Cancellations.SetLimit(largeCancelS, largeState)
	now := time.Now()
	c.Synced, c.LeaseRenewedAt, c.RecordsCurrentAt = true, now, now
	for _, p := range c.Partitions {
		p.AcquiredAt, p.Standby = now, "n1"
	}
	for i := range largeMachines {
		team := teams[i%len(teams)]
		p := c.Partitions[c.TeamPartition[c.TeamIndex[team]]]
		m := c.up(p, largeMachine(i), "big")
		m.Record.Addr = fmt.Sprintf("10.0.%d.%d:10000", i/250, i%250)
		for k := range 20 {
			m.Images[fmt.Sprintf("registry/team-%d/image-%d:v%d", k, i%50, k)] = now
		}
		j := c.take(spec(fmt.Sprintf("job-%06d", i), largeEach, team))
		for task := range largeEach {
			c.scheduler.Reserve(p, j, task, 1, m, now)
			a := j.LiveAttempts[task]
			a.State, a.StartedAt, a.ReportedState = cluster.AttemptConfirmed, now.Add(-time.Minute), protocol.TaskRunning
		}
		j.Pending, j.RunningCount, j.RecordsChanged = nil, largeEach, false
		for _, ch := range j.Chunks { // on record
			ch.Dirty, ch.Urgent, ch.Revision = false, false, 3
		}
	}
	return c
}

func largeMachine(i int) string { return fmt.Sprintf("machine-%06d", i) }

// reportOf is what a machine's worker reports.
func reportOf(c *Controller, m *cluster.Machine, sequence uint64) *protocol.Heartbeat {
	r := &protocol.Heartbeat{Machine: m.Name, Addr: m.Record.Addr, Type: "big", Zone: "a", Epoch: 1, Sequence: sequence, Token: c.Token(m)}
	for _, a := range m.Attempts {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.TaskName(), Attempt: a.Number, State: protocol.TaskRunning})
	}
	return r
}

// met are the bounds that were met, with how often, as the metrics say.
func met(c *Controller) []string {
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

func wantMet(t *testing.T, c *Controller, bounds ...telemetry.Bound) {
	t.Helper()
	list := met(c)
	for _, b := range bounds {
		if !strings.Contains(strings.Join(list, "\n"), fmt.Sprintf("%q", b.String())) {
			t.Errorf("%s was not counted: %q", b, list)
		}
	}
	if len(list) != len(bounds) {
		t.Errorf("bounds met: %q, not %v", list, bounds)
	}
}

// replica is a standby's copy of a part's records, as read from the store.
func replica(c *Controller, p *cluster.Partition) *replication.Replica {
	var items []protocol.Item
	for id, j := range c.Jobs {
		if j.Partition != p.Index {
			continue
		}
		for _, ch := range j.Chunks {
			items = append(items, protocol.Item{Key: storage.RunKey(p.Index, id, ch.Index), Version: 5, Value: storage.Encode(j.RunRecord(ch))})
		}
	}
	fo := replication.NewReplica(p.Index, time.Now())
	fo.StartFrom(c.log.Error, items, 5, time.Now())
	return fo
}

// tellStandby tells a standby all that there is of a part, and says in how many messages.
func tellStandby(t *testing.T, c *Controller, p *cluster.Partition, fo *replication.Replica) (messages int) {
	t.Helper()
	for messages < 100 {
		now := time.Now()
		raw, err := proto.Marshal(c.replicator.PartitionUpdate(p, now))
		if err != nil || len(raw) > peerapi.PortableBodyLimit {
			t.Fatalf("a message of %d bytes (%v)", len(raw), err)
		}
		told := new(peer.ReplicaUpdate)
		must(proto.Unmarshal(raw, told))
		if len(told.Attempts)+len(told.Machines) == 0 {
			break
		}
		messages++
		p.Replication.Acknowledged = fo.Updates.Apply(told, fo.Derived.NoteStart, now)
	}
	return messages
}

// serveCalls stands in for the controller's loop, without its ticks, until stop.
func serveCalls(c *Controller) (stop func()) {
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.loop.Serve(ctx, func(time.Time) {})
	}()
	return func() { end(); <-ended }
}

// What a controller keeps and tells of 4,000 machines with 64,000 running tasks passes
// whole and within the limit of a message.
func TestLimitsHoldALargeFleet(t *testing.T) {
	for _, tc := range []struct {
		name  string
		teams []string
		run   func(t *testing.T, c *Controller)
		met   []telemetry.Bound
	}{
		{"summary", onePart, summaryOfALargeFleet, nil},
		// A standby that knows nothing is told in several messages.
		{"replicated copy, recall and takeover of one part by the standby", onePart, replicaOfALargeFleet, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"the same of three parts", threeParts, replicaOfALargeFleet, []telemetry.Bound{telemetry.ReplicaUpdates}},
		{"replicated starts ahead of their records", onePart, startsAheadOfTheirRecords, nil},
		{"cancellation notices", onePart, noticesOfALargeFleet, nil},
		{"carried reports that wait", onePart, carriedReportsOfALargeFleet, nil},
		{"one controller of several is left", threeParts, oneControllerIsLeft, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := largeFleet(t, tc.teams)
			tc.run(t, c)
			wantMet(t, c, tc.met...)
		})
	}
}

func summaryOfALargeFleet(t *testing.T, c *Controller) {
	now := time.Now()
	waiting := 0
	for i := range 700 {
		s := spec(fmt.Sprintf("job-9%05d", i), largeEach, "green")
		s.DeadlineS = 0
		c.take(s)
		waiting++
	}
	noted := int(largeCancels * largeCancelS.Seconds())
	for i := range noted {
		c.jobs.SetFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now)
	}
	for i := range largeMachines { // as after the start of all controllers
		name := largeMachine(largeMachines + i)
		c.UnregisteredMachines[name] = &peer.UnregisteredMachine{Name: name, Addr: "10.0.0.1:10000", Type: "big", Zone: "a"}
		c.DivertedMachines[name] = now
	}
	most := peerapi.MaxBody(largeLimits)
	body := c.peering.EncodeSummary(c.peering.OwnSummary(now))
	sum := new(peer.Summary)
	must(proto.Unmarshal(body, sum))
	machines, demands := 0, 0
	for _, ps := range sum.Partitions {
		machines, demands = machines+len(ps.Machines), demands+len(ps.Demands)
	}
	if machines != largeMachines || demands != waiting || len(sum.Jobs) != largeMachines || len(sum.Cancelled) != noted || len(sum.Unregistered) != largeMachines {
		t.Errorf("%d machines, %d demands, %d jobs, %d cancelled, %d not on record", machines, demands, len(sum.Jobs), len(sum.Cancelled), len(sum.Unregistered))
	}
	if len(body) > most {
		t.Errorf("%d bytes of %d", len(body), most)
	}
	t.Logf("summary: %d bytes of %d", len(body), most)
}

// A summary with the longest texts and everything at its bound still holds all of it.
func TestSummaryAtItsWorstFits(t *testing.T) {
	c, _ := owner(t)
	c.Observe()
	c.Settings.Params.MachineLimits = largeLimits
	c.Cancellations.SetLimit(largeCancelS, largeState)
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
	wantMet(t, c)
	t.Logf("summary at its worst: %d bytes of %d", len(body), peerapi.MaxBody(largeLimits))
}

func replicaOfALargeFleet(t *testing.T, c *Controller) {
	for _, m := range c.Machines {
		m.PendingCommands = 1 // nothing is sent here
	}
	attempts, machines := 0, 0
	for _, p := range c.Partitions {
		fo := replica(c, p)
		if len(fo.Derived.Jobs) == 0 {
			continue
		}
		messages := tellStandby(t, c, p, fo)
		if messages > standbySeconds {
			t.Errorf("part %d: %d messages, one a second", p.Index, messages)
		}
		attempts, machines = attempts+fo.Derived.KnownStarts(), machines+len(fo.Updates.Machines)
		recalled, whole := fo.StateTransfer(time.Now())
		raw, err := proto.Marshal(recalled)
		if err != nil || !whole || len(raw) > replication.StateTransferBytesLimit || len(recalled.Attempts) != fo.Derived.KnownStarts() || len(recalled.Machines) != len(fo.Updates.Machines) {
			t.Errorf("recalled in %d bytes, whole %v: %d attempts, %d machines (%v)", len(raw), whole, len(recalled.Attempts), len(recalled.Machines), err)
		}
		t.Logf("part %d: %d machines in %d messages, recalled in %d bytes", p.Index, len(fo.Updates.Machines), messages, len(raw))
		c.leases.ClearPartition(p) // the standby never owned it
		c.takeover.Install(p, fo, nil, true)
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

func startsAheadOfTheirRecords(t *testing.T, c *Controller) {
	fo := replication.NewReplica(0, time.Now())
	for id, j := range c.Jobs {
		for task := range j.LiveAttempts {
			fo.Derived.NoteStart(replication.AttemptID{Job: id, Task: task, Number: 1}, time.Now())
		}
	}
	if len(fo.Derived.Starts) != largeTasks || fo.Derived.DroppedStarts != 0 {
		t.Errorf("%d starts kept, %d dropped", len(fo.Derived.Starts), fo.Derived.DroppedStarts)
	}
}

func noticesOfALargeFleet(t *testing.T, c *Controller) {
	now := time.Now()
	noted := int(largeCancels * largeCancelS.Seconds())
	for i := range noted {
		age := largeCancelS - time.Second - time.Duration(i)*(largeCancelS-2*time.Second)/time.Duration(noted)
		c.jobs.SetFinal(fmt.Sprintf("job-8%08d", i), protocol.StatusCancelled, now.Add(-age))
	}
	told := c.Cancellations.Recent(now, c.CancelBound)
	if len(told) != noted || told[0].Job != "job-800000000" {
		t.Errorf("%d of %d told, %s first", len(told), noted, told[0].Job)
	}
}

// ownerOfCarried is the network of a carrier, on which the owner answers.
type ownerOfCarried struct {
	t       *testing.T
	reports map[string]bool
	after   []uint64
	serial  uint64
}

// Do answers as the owner of the part.
func (o *ownerOfCarried) Do(_ context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
	if len(body) > peerapi.PortableBodyLimit {
		o.t.Errorf("a message of %d bytes", len(body))
	}
	req := new(peer.DelegationRequest)
	must(proto.Unmarshal(body, req))
	for _, raw := range req.Heartbeats {
		r := new(protocol.Heartbeat)
		must(protocol.Decode(raw, r))
		o.reports[r.Machine] = true
	}
	o.after = append(o.after, req.After)
	o.serial++
	resp := peerapi.Reply(&peer.DelegationGrant{GrantMs: 2000, Serial: o.serial})
	return &resp, nil
}

func carriedReportsOfALargeFleet(t *testing.T, c *Controller) {
	p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
	p.Held, p.Leader = false, "n1"
	net := &ownerOfCarried{t: t, reports: map[string]bool{}}
	setNetwork(c, net)
	c.Peers["n1"] = &cluster.Peer{Addr: "n1:2", LastHeardAt: time.Now(), Summary: &peer.Summary{
		Partitions: []*peer.PartitionSummary{{Partition: uint32(p.Index), Delegated: []*peer.DelegatedShards{{Delegate: c.Settings.Label}}}}}}
	e := c.proxy.Assignments[p.Index]
	e.Leader, e.Lease, e.Serial, e.GrantedUntil = p.Leader, p.LeaseRevision, 0, time.Now().Add(time.Hour)
	for s := range e.Shards {
		e.Shards[s] = true
	}
	for _, m := range c.Machines {
		r := reportOf(c, m, 1)
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 200 {
			t.Fatalf("%s: status %d, %s", m.Name, resp.Status, resp.Body)
		}
	}
	size := e.UnsentBytes
	stop := serveCalls(c)
	asked := c.proxy.RenewAll(p, e)
	stop()
	if !asked || len(net.reports) != largeMachines || e.UnsentBytes != 0 {
		t.Errorf("%d reports told, %d bytes left", len(net.reports), e.UnsentBytes)
	}
	// Only a request with all that is left may show that everything is known.
	for i, after := range net.after {
		want := uint64(0)
		if i == len(net.after)-1 {
			want = uint64(i)
		}
		if after != want {
			t.Errorf("request %d of %d is after reply %d, not %d", i+1, len(net.after), after, want)
		}
	}
	t.Logf("carried: %d bytes of %d in %d messages", size, c.proxy.UnsentLimit, len(net.after))
}

func oneControllerIsLeft(t *testing.T, c *Controller) {
	for _, m := range c.Machines {
		r := reportOf(c, m, 1)
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

// What lies beyond a bound is counted, and said once; what is more urgent is kept.
func TestMetBoundsAreCounted(t *testing.T) {
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
			told := new(peer.Summary)
			must(proto.Unmarshal(c.peering.EncodeSummary(sum), told))
			if len(told.Jobs) > 0 || len(told.Partitions) != 1 {
				t.Errorf("%d jobs, %d parts told", len(told.Jobs), len(told.Partitions))
			}
		}},
		{"machines not on record too many", telemetry.SummaryBytes, func(t *testing.T, c *Controller) {
			small(c)
			sum := &peer.Summary{From: "n0", Cancelled: []*peer.CancelledJob{{Job: "job-1"}}}
			for i := range 40_000 {
				sum.Unregistered = append(sum.Unregistered, &peer.UnregisteredMachine{Name: fmt.Sprintf("m-%032d", i)})
			}
			told := new(peer.Summary)
			must(proto.Unmarshal(c.peering.EncodeSummary(sum), told))
			if len(told.Unregistered) > 0 || len(told.Cancelled) != 1 {
				t.Errorf("%d machines, %d cancelled told", len(told.Unregistered), len(told.Cancelled))
			}
		}},
		{"progress of jobs", telemetry.JobProgress, func(t *testing.T, c *Controller) {
			for i := range peering.JobProgressLimit + 1 {
				id := fmt.Sprint("job-", i)
				c.Jobs[id] = &cluster.Job{Spec: spec(id, 1, "green"), Loaded: true, RunningCount: 1}
			}
			if n := len(c.peering.OwnSummary(time.Now()).Jobs); n != peering.JobProgressLimit {
				t.Errorf("%d jobs told", n)
			}
		}},
		{"demands", telemetry.Demands, func(t *testing.T, c *Controller) {
			for i := range peering.DemandsMin + 1 {
				c.waiting(fmt.Sprint("job-", i), 1)
			}
			if n := len(c.peering.PartitionSummary(c.Partitions[c.TeamPartition[c.TeamIndex["green"]]], time.Now()).Demands); n != peering.DemandsMin {
				t.Errorf("%d demands told", n)
			}
		}},
		{"cancellation notices", telemetry.Cancellations, func(t *testing.T, c *Controller) {
			for i := range c.Cancellations.Limit + 1 {
				c.jobs.SetFinal(fmt.Sprint("job-", i), protocol.StatusCancelled, time.Now())
			}
			if told := c.Cancellations.Recent(time.Now(), c.CancelBound); len(told) != c.Cancellations.Limit || told[0].Job != "job-0" {
				t.Errorf("%d told, %s first", len(told), told[0].Job)
			}
		}},
		{"carried reports", telemetry.ForwardedHeartbeats, func(t *testing.T, c *Controller) {
			p := c.Partitions[0]
			m := c.up(p, "m-1", "big")
			p.Held, p.Leader = false, "n1"
			e := c.proxy.Assignments[0]
			e.Leader, e.Lease, e.GrantedUntil, e.UnsentBytes = "n1", p.LeaseRevision, time.Now().Add(time.Hour), c.proxy.UnsentLimit
			e.Shards[m.Shard] = true
			r := reportOf(c, m, 1)
			if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status != 503 {
				t.Errorf("status %d", resp.Status)
			}
		}},
		{"messages to a standby", telemetry.ReplicaUpdates, func(t *testing.T, c *Controller) {
			p, m := c.Partitions[0], c.up(c.Partitions[0], "m-1", "big")
			for i := range 200 {
				for k := range cluster.HintImagesLimit {
					m.Images[fmt.Sprintf("%0190d", k)] = time.Now()
				}
				m = c.up(p, fmt.Sprint("m-2", i), "big")
			}
			if told := c.replicator.PartitionUpdate(p, time.Now()); proto.Size(told) > peerapi.PortableBodyLimit || len(told.Machines) > 200 || told.Through >= p.Replication.Clock {
				t.Errorf("%d bytes, %d machines", proto.Size(told), len(told.Machines))
			}
		}},
		{"starts told to a standby", telemetry.ReplicaStarts, func(t *testing.T, c *Controller) {
			fo := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = fo
			for i := range replication.PendingStartsLimit {
				fo.Derived.Starts[replication.AttemptID{Job: "job-1", Task: i, Number: 1}] = time.Now()
			}
			hears(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, Through: 1, Attempts: []*peer.AttemptStart{{Job: "job-2", Attempt: 1}}})
			if len(fo.Derived.Starts) != replication.PendingStartsLimit {
				t.Errorf("%d starts kept", len(fo.Derived.Starts))
			}
		}},
		{"machines told to a standby", telemetry.ReplicaMachines, func(t *testing.T, c *Controller) {
			fo := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = fo
			fo.Updates = replication.ReceivedUpdates{Sender: "n1", Lease: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range replication.ReplicaMachinesLimit {
				fo.Updates.Machines[fmt.Sprint("m-", i)] = replication.MachineHints{}
			}
			hears(t, c, &peer.ReplicaUpdate{From: "n1", LeaseRevision: 1, After: 1, Through: 2, Machines: []*peer.MachineHint{{Name: "another"}, {Name: "m-1"}}})
			if fo.Updates.Machines["m-1"].MachineHint == nil || len(fo.Updates.Machines) != replication.ReplicaMachinesLimit {
				t.Errorf("a machine that was known is not told anew, %d kept", len(fo.Updates.Machines))
			}
		}},
		{"recalls", telemetry.StateTransferBytes, func(t *testing.T, c *Controller) {
			fo := replication.NewReplica(0, time.Now())
			c.replicator.Replicas[0] = fo
			fo.Updates = replication.ReceivedUpdates{Sender: "n1", Lease: 1, Acknowledged: 1, Machines: map[string]replication.MachineHints{}}
			for i := range largeMachines {
				mt := &peer.MachineHint{Name: largeMachine(i), PreemptionNoticeS: -1}
				for k := range cluster.HintImagesLimit {
					mt.Images = append(mt.Images, fmt.Sprintf("%0200d", k))
				}
				fo.Updates.Machines[mt.Name] = replication.MachineHints{MachineHint: mt}
			}
			raw, err := proto.Marshal(&peer.StateTransferRequest{})
			must(err)
			stop := serveCalls(c)
			resp := c.replicator.HandleStateTransfer(raw)
			stop()
			told := new(peer.ReplicaUpdate)
			must(proto.Unmarshal(resp.Body, told))
			if len(resp.Body) > clientResponse || len(told.Machines) != largeMachines || len(fo.Updates.Machines[largeMachine(0)].Images) != cluster.HintImagesLimit {
				t.Errorf("%d bytes, %d machines", len(resp.Body), len(told.Machines))
			}
		}},
		{"classes", telemetry.Classes, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups {
				c.scheduler.ClassGroup(fmt.Sprint("class-", i))
			}
			if met(c) != nil || c.scheduler.ClassGroup("another") != 0 {
				t.Error("too soon, or not at all")
			}
		}},
		{"estimates", telemetry.Estimates, func(t *testing.T, c *Controller) {
			for i := range scheduler.MaxClassGroups + 1 {
				c.scheduler.LearnRunTime(fmt.Sprint("class-", i), 1, 1)
			}
			if len(c.scheduler.Corrections) != scheduler.MaxClassGroups {
				t.Errorf("%d classes are learnt", len(c.scheduler.Corrections))
			}
			c.scheduler.LearnRunTime("class-0", 1, 1)
			if c.scheduler.Corrections["class-0"].Count != 2 {
				t.Error("a class that is known is not learnt on")
			}
		}},
		{"estimates that are told", telemetry.Estimates, func(t *testing.T, c *Controller) {
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
			must(c.EnableAuth(auth.Identities{}))
			for i := range auth.UnknownJobLimitersLimit + 1 {
				c.auth.UnknownJobLimiters.Add(fmt.Sprint("person/", i), nil)
			}
			if n := c.auth.UnknownJobLimiters.Len(); n != auth.UnknownJobLimitersLimit {
				t.Errorf("%d callers are counted for", n)
			}
		}},
		{"connections of workers and users", telemetry.Connections, func(_ *testing.T, c *Controller) { c.NoteUserConnectionRefused() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var log bytes.Buffer
			c, _ := owner(t)
			c.Observe()
			c.bounds.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelWarn}))
			tc.meet(t, c)
			wantMet(t, c, tc.bound)
			c.bounds.Met(tc.bound, 1)
			if n := strings.Count(log.String(), "bound="+tc.bound.String()); n != 1 {
				t.Errorf("said %d times:\n%s", n, log.String())
			}
		})
	}
}

// hears hands a controller what a part's owner tells its standby.
func hears(t *testing.T, c *Controller, tale *peer.ReplicaUpdate) {
	t.Helper()
	raw, err := proto.Marshal(tale)
	must(err)
	stop := serveCalls(c)
	resp := c.replicator.HandleUpdate(nil, raw)
	stop()
	if resp.Status != 200 {
		t.Fatalf("status %d, %s", resp.Status, resp.Body)
	}
}

// The bounds that are derived from the settings: never below what they were fixed at, and
// enough for a large fleet.
func TestBoundsFollowTheSettings(t *testing.T) {
	next := 400.0
	for _, tc := range []struct {
		name                         string
		limits                       settings.Limits
		state                        settings.State
		cancelS                      time.Duration
		peerBody, carried, cancelled int
	}{
		{"a small deployment", settings.Limits{MemMB: 20}, settings.State{WriteRPS: 10}, 25 * time.Second, 1 << 20, 768 << 10, 500},
		{"70 MB", settings.Limits{MemMB: 70}, settings.State{WriteRPS: 25}, 43 * time.Second, 1 << 20, 2_293_760, 1100},
		{"a large deployment", settings.Limits{MemMB: 322}, settings.State{WriteRPS: 90}, 43 * time.Second, 2 << 20, 10_551_296, 3960},
		{"a higher limit is announced", settings.Limits{MemMB: 322}, settings.State{WriteRPS: 90, Next: settings.NextState{WriteRPS: &next}}, 43 * time.Second, 2 << 20, 10_551_296, 17_600},
	} {
		var n cluster.CancellationNotices
		n.SetLimit(tc.cancelS, tc.state)
		if body, carried := peerapi.MaxBody(tc.limits), proxy.UnsentBytesLimit(tc.limits); body != tc.peerBody || carried != tc.carried || n.Limit != tc.cancelled {
			t.Errorf("%s: %d, %d, %d", tc.name, body, carried, n.Limit)
		}
	}
	for machines, want := range map[int]int{0: 200, 800: 200, 4000: 1000} {
		if got := peering.DemandsLimit(machines); got != want {
			t.Errorf("%d demands of %d machines", got, machines)
		}
	}
}
