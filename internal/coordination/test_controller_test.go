package coordination

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// testNetwork is the network of a controller under test. A test may replace it.
type testNetwork struct{ storage.Requester }

// testNetworks maps each test controller to its network, a *testNetwork.
var testNetworks sync.Map

// newTestController returns a controller whose network does not answer until setNetwork
// replaces it.
func newTestController(ctx context.Context, set *settings.Settings, op settings.Operator) *Controller {
	return newTestControllerWithLog(ctx, set, op, slog.New(slog.DiscardHandler))
}

// newTestControllerWithLog is newTestController with a log.
func newTestControllerWithLog(ctx context.Context, set *settings.Settings, op settings.Operator, log *slog.Logger) *Controller {
	network := &testNetwork{unresponsiveNetwork{}}
	c := New(ctx, set, op, network, log)
	testNetworks.Store(c, network)
	return c
}

// setNetwork replaces the network of a controller that newTestController returned.
func setNetwork(c *Controller, network storage.Requester) {
	known, _ := testNetworks.Load(c)
	known.(*testNetwork).Requester = network
}

// newIdleController returns the controller n0 of three, whose event loop does not run, and a
// function that stops it.
func newIdleController(t *testing.T) (c *Controller, end func()) {
	t.Helper()
	set := newSimulatedCluster(t, 1).settings
	set.Label, set.Others = "n0", []settings.Peer{{Label: "n1", PeerAddr: "n1:2"}, {Label: "n2", PeerAddr: "n2:2"}}
	ctx, cancel := context.WithCancel(t.Context())
	c = newTestController(ctx, &set, settings.DefaultOperator())
	return c, func() { cancel(); c.loop.StopUnstarted() }
}

// newServedController is newIdleController with a running event loop, which calls tick.
func newServedController(t *testing.T, tick func(c *Controller, now time.Time)) (c *Controller, end func()) {
	t.Helper()
	c, endLoop := newIdleController(t)
	ctx, stop := context.WithCancel(t.Context())
	go c.loop.Serve(ctx, func(now time.Time) { tick(c, now) })
	return c, func() { stop(); endLoop() }
}

// withoutTicks makes the event loop of newServedController do nothing by itself.
func withoutTicks(*Controller, time.Time) {}

// newLeadingController returns a controller that leads every partition and whose network does
// not answer, and the partition of the team green.
func newLeadingController(t testing.TB) (c *Controller, p *cluster.Partition) {
	t.Helper()
	return newLoggingController(t, slog.New(slog.DiscardHandler))
}

// newLoggingController is newLeadingController with a log.
func newLoggingController(t testing.TB, log *slog.Logger) (c *Controller, p *cluster.Partition) {
	t.Helper()
	sim := newSimulatedCluster(t, 1)
	sim.settings.Label = "n0"
	c = newTestControllerWithLog(t.Context(), &sim.settings, settings.DefaultOperator(), log)
	c.SetCatalog(sim.cloud.Types)
	for _, p := range c.Partitions {
		p.Leader, p.LeaseRevision, p.Held, p.Ready = "n0", 1, true, true
	}
	return c, c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
}

// addMachine adds a usable machine to a partition.
func (c *Controller) addMachine(p *cluster.Partition, name, typ string) *cluster.Machine {
	now := time.Now()
	c.agents.ApplyMachineRecord(name, storage.Machine{Partition: p.Index, Addr: name + ":1", Type: typ, Zone: "a", Spot: true}, 2, now)
	m := c.Machines[name]
	m.HasReported, m.TokenConfirmed, m.Epoch = true, true, 1
	m.Answers.Answered(now)
	return m
}

// addJob adds a submitted job.
func (c *Controller) addJob(s *protocol.JobSpec) *cluster.Job {
	s.SubmittedMS = time.Now().UnixMilli()
	c.jobs.ApplyJobRecord(s.ID, storage.Encode(s))
	return c.Jobs[s.ID]
}

// addQueuedJob adds a job with waiting tasks of the team green, which has no quota.
func (c *Controller) addQueuedJob(id string, tasks int) {
	s := newJobSpec(id, tasks, "green")
	s.SubmittedMS = time.Now().UnixMilli()
	c.jobs.ApplyJobRecord(id, storage.Encode(s))
}

// unresponsiveNetwork is a network that never answers.
type unresponsiveNetwork struct{}

// Do waits until the sender's context ends.
func (unresponsiveNetwork) Do(ctx context.Context, _, _, _ string, _ []byte) (*transport.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// fixedStatusNetwork answers every message with the same status.
type fixedStatusNetwork struct{ status int }

// Do returns a response with a heartbeat of the machine m-1.
func (n fixedStatusNetwork) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	r := protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1, Token: 5, Tasks: []protocol.TaskReport{}}
	return &transport.Response{Status: n.status, Body: protocol.Encode(r)}, nil
}

// heartbeatNetwork answers every message with the same heartbeat, after a delay.
type heartbeatNetwork struct {
	delay time.Duration
	body  []byte
}

// Do returns the heartbeat.
func (n heartbeatNetwork) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	time.Sleep(n.delay)
	return &transport.Response{Status: 200, Body: n.body}, nil
}

// addLoadedJob adds a job of one task with its run state loaded.
func (c *Controller) addLoadedJob(id string) *cluster.Job {
	j := &cluster.Job{Spec: newJobSpec(id, 1, "red")}
	j.InitRunState()
	c.Jobs[id] = j
	return j
}

// addLiveAttempt adds a first attempt of a job's only task on a machine.
func addLiveAttempt(j *cluster.Job, m *cluster.Machine, epoch uint64, state cluster.AttemptState) *cluster.Attempt {
	a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: epoch, State: state}
	j.LiveAttempts[0], j.Pending = a, nil
	m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
	return a
}
