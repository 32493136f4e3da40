package coordination

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// configureFewSockets gives each controller sockets for six of up to 14 machines.
func configureFewSockets(sim *simulatedCluster) {
	sim.cloud.Capacity = 14
	sim.cloud.Types = sim.cloud.Types[:1]
	sim.settings.Params.ProcessLimits.Sockets = 12
	sim.taskRunTime = func(string, int, string) time.Duration { return 25 * time.Second }
}

// startDelegation submits work for all machines to one partition, that of the team without a
// quota, and waits until its shards are delegated.
func (sim *simulatedCluster) startDelegation(jobs int) (partition int) {
	time.Sleep(2 * time.Second)
	for i := range jobs {
		s := newJobSpec(fmt.Sprint("job-", i), 10, "green")
		s.DeadlineS = 0
		sim.submit(s)
	}
	partition = sim.partitionOf("green")
	time.Sleep(45 * time.Second)
	return partition
}

// connectedMachines returns the number of machines that are connected to each controller.
func (sim *simulatedCluster) connectedMachines() map[string]int {
	n := map[string]int{}
	for _, l := range allControllers {
		sim.onController(l, func(c *Controller) { n[l] = c.proxy.Load(time.Now()).Machines })
	}
	return n
}

// delegateOf returns a delegate of a partition's leader, "" if there is none.
func (sim *simulatedCluster) delegateOf(partition int) string {
	leader := sim.leaderOf(partition)
	for l, n := range sim.connectedMachines() {
		if l != leader && n > 0 {
			return l
		}
	}
	return ""
}

// If a leader has no free sockets, agents send their heartbeats to delegates, which also
// forward the leader's commands. No agent loses its lease.
func TestAgentsSendHeartbeatsToDelegates(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 700, configureFewSockets, func(sim *simulatedCluster) {
		forwarded, direct := map[string]int{}, 0
		sim.mu.Lock()
		sim.onRequest = func(from, host, target string, body []byte) bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if target == proxy.ForwardPath {
				forwarded[from]++
			} else if target == "/orders" {
				direct++
			}
			return false
		}
		sim.mu.Unlock()
		partition := sim.startDelegation(8)
		leader, connected := sim.leaderOf(partition), sim.connectedMachines()
		total := 0
		for label, machines := range connected {
			if total += machines; machines < 3 || machines > 6 {
				t.Errorf("%s has %d connected machines, want 3 to 6 (leader %s, connected machines %v)", label, machines, leader, connected)
			}
		}
		if total < 9 {
			t.Errorf("%d machines are connected, want at least 9", total)
		}
		receivers := map[string]int{}
		sim.forEachAgent(func(agent *agent.Agent) { receivers[agent.Controllers[agent.ControllerIndex]]++ })
		if len(receivers) != 3 {
			t.Errorf("agents by receiver of their heartbeats: %v, want three receivers; connected machines %v", receivers, connected)
		}
		sim.onController(leader, func(c *Controller) {
			overview := c.api.StateOverview(time.Now())
			delegated, moves := 0, len(overview.Moves)
			for _, p := range overview.Partitions {
				for _, delegate := range p.Delegates {
					if delegated += delegate.Machines; !delegate.Active {
						t.Errorf("delegate %s is not active: %+v", delegate.Controller, delegate)
					}
				}
			}
			if delegated != total-connected[leader] || moves == 0 || overview.ConnectedMachines != connected[leader] || overview.Capacity != 6 {
				t.Errorf("the overview shows %d delegated machines, %d moves, %d of 6 connections used (capacity %d), want at least 1 move and the numbers of connected machines %v", delegated, moves, overview.ConnectedMachines, overview.Capacity, connected)
			}
		})
		sim.mu.Lock()
		if forwarded[leader] == 0 {
			t.Error("the leader forwarded no commands through a delegate")
		}
		sim.mu.Unlock()
		sim.waitForAllJobs(4 * time.Minute)
		sim.forEachAgent(func(agent *agent.Agent) {
			if agent.Epoch != 1 {
				t.Errorf("%s lost its lease: epoch %d", agent.Name, agent.Epoch)
			}
		})
	})
}

// A delegate's grant ends no later than the leader's own bound for answering heartbeats. A
// forwarded heartbeat that arrives twice or late does not count as a sign of life of its machine.
func TestGrantsEndWithinTheLeadersAnswerBound(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 780, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		leader, delegate := sim.leaderOf(partition), sim.delegateOf(partition)
		ctl := sim.controllerOf(leader)
		requestGrant := func(sinceRenewal time.Duration, heartbeats ...[]byte) (status int, granted time.Duration) {
			req := &peer.DelegationRequest{From: delegate, Nonce: "x", Partition: uint32(partition), Heartbeats: heartbeats}
			ctl.loop.Do(func() {
				req.LeaseRevision = ctl.Partitions[partition].LeaseRevision
				ctl.LeaseRenewedAt = time.Now().Add(-sinceRenewal)
			})
			body, err := proto.Marshal(req)
			panicOnError(err)
			resp := ctl.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: proxy.DelegationPath, Body: body})
			reply := new(peer.DelegationGrant)
			if resp.Status == 200 {
				panicOnError(proto.Unmarshal(resp.Body, reply))
			}
			return resp.Status, time.Duration(reply.GrantMs) * time.Millisecond
		}
		bound := ctl.AnswerBound()
		if status, grant := requestGrant(0); status != 200 || grant != delegation.GrantDuration {
			t.Errorf("right after a lease renewal: status %d, granted for %s, want 200 and the full duration", status, grant)
		}
		if status, grant := requestGrant(bound - time.Second); status != 200 || grant > time.Second || grant < 900*time.Millisecond {
			t.Errorf("a second before the answer bound: status %d, granted for %s, want 200 and 0.9 s to 1 s", status, grant)
		}
		if status, _ := requestGrant(bound); status != 409 {
			t.Errorf("at the answer bound: status %d, want 409", status)
		}
		var raw []byte
		var name string
		sim.forEachAgent(func(agent *agent.Agent) {
			if raw == nil && agent.Controllers[agent.ControllerIndex] == delegate {
				name, raw = agent.Name, protocol.Encode(agent.Heartbeat())
				agent.Hung = true
			}
		})
		requestGrant(0, raw)
		time.Sleep(3 * time.Second)
		requestGrant(0, raw)
		ctl.loop.Do(func() {
			m := ctl.Machines[name]
			if silent := time.Since(m.LastHeartbeatAt); silent < 3*time.Second || time.Since(m.Answers.Until()) > 0 {
				t.Errorf("after a repeated heartbeat: last new heartbeat %s ago, last possible answer %s ago, want at least 3 s and a time in the future", silent, time.Since(m.Answers.Until()))
			}
		})
		sim.forEachAgent(func(agent *agent.Agent) { agent.Hung = false })
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// If a controller takes over more machines than it has sockets for, it delegates some of the
// machines at once, and also forwards the messages that raise their fencing tokens through
// delegates.
func TestTakeoverDelegatesAtOnce(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 790, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		killed := sim.leaderOf(partition)
		direct, forwarded := map[string]map[string]bool{}, 0
		sim.mu.Lock()
		sim.onRequest = func(from, host, target string, body []byte) bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			switch target {
			case "/orders":
				if direct[from] == nil {
					direct[from] = map[string]bool{}
				}
				direct[from][host] = true
			case proxy.ForwardPath:
				req := new(peer.ForwardRequest)
				panicOnError(proto.Unmarshal(body, req))
				forwarded += len(req.Commands)
			}
			return false
		}
		sim.mu.Unlock()
		sim.killController(killed)
		successor := ""
		for killedAt := time.Now(); successor == "" && time.Since(killedAt) < 10*time.Second; time.Sleep(time.Millisecond) {
			successor = sim.leaderOf(partition)
		}
		time.Sleep(100 * time.Millisecond)
		machines, confirmed, delegated := 0, 0, 0
		sim.onController(successor, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == partition {
					machines++
					if m.TokenConfirmed {
						confirmed++
					}
				}
			}
			for _, l := range c.Labels {
				delegated += len(c.Partitions[partition].Delegations.ShardsOf(l))
			}
		})
		sim.mu.Lock()
		directCount := len(direct[successor])
		sim.mu.Unlock()
		if machines < 9 || confirmed < machines || delegated == 0 || forwarded == 0 || directCount >= machines {
			t.Errorf("%d machines, %d with a confirmed token, %d shards delegated, %d commands forwarded, %d machines that received commands from %s directly; want at least 9 machines, all tokens confirmed, some shards delegated, some commands forwarded, and not all sent directly", machines, confirmed, delegated, forwarded, directCount, successor)
		}
		sim.startController(killed)
		sim.waitForAllJobs(6 * time.Minute)
	})
}

// Malformed requests are refused. Requests under another lease, which a delegate of a former leader
// may send, are also refused.
func TestInvalidDelegationRequestsAreRefused(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 760, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(2)
		leader := sim.leaderOf(partition)
		var lease uint64
		sim.onController(leader, func(c *Controller) { lease = c.Partitions[partition].LeaseRevision })
		ctl := sim.controllerOf(leader)
		post := func(path string, body []byte) int {
			return ctl.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: path, Body: body}).Status
		}
		renew := func(r *peer.DelegationRequest) int {
			body, err := proto.Marshal(r)
			panicOnError(err)
			return post(proxy.DelegationPath, body)
		}
		for name, got := range map[string]int{
			"another lease":                renew(&peer.DelegationRequest{From: "n1", Nonce: "x", Partition: uint32(partition), LeaseRevision: lease - 1}) - 409,
			"no such partition":            renew(&peer.DelegationRequest{From: "n1", Nonce: "x", Partition: 99, LeaseRevision: lease}) - 409,
			"malformed delegation request": post(proxy.DelegationPath, []byte{1, 2, 3}) - 400,
			"malformed forward request":    post(proxy.ForwardPath, []byte{1, 2, 3}) - 400,
			"malformed heartbeats":         renew(&peer.DelegationRequest{From: "n1", Nonce: "x", Partition: uint32(partition), LeaseRevision: lease, Heartbeats: [][]byte{{1}, nil}}) - 200,
		} {
			if got != 0 {
				t.Errorf("%s: got status minus wanted status = %d, want 0", name, got)
			}
		}
		many := &peer.ForwardRequest{From: "n1"}
		for range proxy.ForwardCommandsLimit + 1 {
			many.Commands = append(many.Commands, &peer.ForwardedCommand{Machine: "m-000001"})
		}
		body, err := proto.Marshal(many)
		panicOnError(err)
		if got := post(proxy.ForwardPath, body); got != 400 {
			t.Errorf("request with too many commands: status %d, want 400", got)
		}
		body, err = proto.Marshal(&peer.ForwardRequest{From: "n1", Commands: []*peer.ForwardedCommand{{Machine: "unknown"}}})
		panicOnError(err)
		resp := ctl.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: proxy.ForwardPath, Body: body})
		reply := new(peer.ForwardReply)
		panicOnError(proto.Unmarshal(resp.Body, reply))
		if len(reply.Results) != 1 || !reply.Results[0].Unsent {
			t.Errorf("command for an unknown machine: reply %v, want one unsent command", reply)
		}
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// A delegate answers a heartbeat only under a valid grant for the current partition lease, and
// with that lease's token.
func TestGrantsEndWithThePartitionLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		setLease := func(version uint64, label, nonce string) {
			c.watcher.ApplyEvent(protocol.Event{Put: storage.LeaseKey(0), Value: storage.Encode(storage.Lease{Holder: label, Nonce: nonce}), Version: version})
		}
		c.watcher.ApplyListing(nil, 1)
		setLease(3, "n1", "x")
		c.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: 0, Type: "small"}, 2, time.Now())
		assignment, shard := c.proxy.Assignments[0], c.Machines["m-1"].Shard
		grant := func() {
			assignment.Leader, assignment.Lease, assignment.GrantedUntil = c.Partitions[0].Leader, c.Partitions[0].LeaseRevision, time.Now().Add(time.Second)
			assignment.Shards[shard], assignment.UnsentBytes = true, 0
			clear(assignment.Unsent)
		}
		heartbeat := &protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1}
		expectAnswer := func(name string, want int, token uint64) {
			t.Helper()
			resp := c.agents.HandleHeartbeat(heartbeat, []byte("body"))
			var commands protocol.CommandBatch
			if resp.Status != want || want == 200 && (protocol.Decode(resp.Body, &commands) != nil || commands.Token != token || len(commands.Commands) > 0) {
				t.Errorf("%s: status %d with token %d and %d commands, want status %d with token %d and no commands", name, resp.Status, commands.Token, len(commands.Commands), want, token)
			}
			if unsent := string(assignment.Unsent["m-1"].Raw) == "body"; unsent != (want == 200) {
				t.Errorf("%s: status %d, heartbeat kept for forwarding: %v, want kept only with status 200", name, resp.Status, unsent)
			}
		}
		expectAnswer("without a grant", 421, 0)
		grant()
		expectAnswer("granted", 200, 3)
		late := *heartbeat
		heartbeat.Sequence = 9
		c.agents.HandleHeartbeat(&late, []byte("late"))
		expectAnswer("a newer heartbeat", 200, 3)
		late.Sequence = 8
		if c.agents.HandleHeartbeat(&late, []byte("late")); string(assignment.Unsent["m-1"].Raw) != "body" || assignment.UnsentBytes != 4 {
			t.Errorf("after a late heartbeat %q is kept for forwarding, in all %d bytes; want the newer one only", assignment.Unsent["m-1"].Raw, assignment.UnsentBytes)
		}
		grant()
		assignment.Shards[shard], assignment.Shards[(shard+1)%delegation.ShardCount] = false, true
		expectAnswer("granted another shard only", 421, 0)
		grant()
		time.Sleep(time.Second)
		expectAnswer("the grant has expired", 421, 0)
		grant()
		heartbeat.Token = 4
		expectAnswer("the agent has seen a newer leader", 503, 0)
		heartbeat.Token = 0
		grant()
		assignment.UnsentBytes = c.proxy.UnsentLimit
		expectAnswer("too many unsent bytes", 503, 0)
		grant()
		setLease(5, "n2", "y")
		expectAnswer("another leader", 421, 0)
		grant()
		expectAnswer("granted by the new leader", 200, 5)
		grant()
		setLease(6, "n2", "y")
		expectAnswer("the same leader under another lease", 421, 0)
		grant()
		c.Draining = true
		expectAnswer("draining", 421, 0)
		c.Draining = false
		grant()
		setLease(7, "n0", c.Nonce)
		if resp := c.agents.HandleHeartbeat(heartbeat, nil); resp.Status != 503 && resp.Status != 200 || len(assignment.Unsent) > 0 {
			t.Errorf("as the partition's leader: status %d, want 200 or 503; %d heartbeats kept for forwarding, want none", resp.Status, len(assignment.Unsent))
		}
	})
}

// Heartbeats whose forwarding was not acknowledged are forwarded again, unless newer ones of
// the same machines have arrived.
func TestUnacknowledgedHeartbeatsAreForwardedAgain(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 770, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		delegate := sim.delegateOf(partition)
		var lost, repeated map[string]bool
		var after uint64
		sim.mu.Lock()
		sim.onResponse = func(from, _, target string, body []byte, _ *transport.Response) bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if from != delegate || target != proxy.DelegationPath || repeated != nil {
				return false
			}
			req, forwarded := new(peer.DelegationRequest), map[string]bool{}
			panicOnError(proto.Unmarshal(body, req))
			for _, raw := range req.Heartbeats {
				r := new(protocol.Heartbeat)
				panicOnError(protocol.Decode(raw, r))
				forwarded[r.Machine] = true
			}
			switch {
			case lost == nil && len(forwarded) > 0:
				lost, after = forwarded, req.After
				for name := range lost { // so that no newer heartbeat replaces the lost one
					sim.agents[name].Hung = true
				}
				return true
			case lost != nil:
				if repeated = forwarded; req.After != after {
					t.Errorf("the next request acknowledges reply %d, want %d", req.After, after)
				}
			}
			return false
		}
		sim.mu.Unlock()
		time.Sleep(5 * time.Second)
		sim.mu.Lock()
		if len(lost) == 0 || repeated == nil {
			t.Errorf("machines with a lost heartbeat: %v, in the next request: %v; want some of both", lost, repeated)
		}
		for name := range lost {
			if sim.agents[name].Hung = false; !repeated[name] {
				t.Errorf("the heartbeat of %s was not forwarded again", name)
			}
		}
		sim.mu.Unlock()
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// An agent that is redirected to a delegate before any controller has answered it still holds its
// first lease: attempts on its machine must not be considered ended (rule 6).
func TestUnansweredAgentKeepsItsFirstLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		p, m := c.leadFirstPartition(5)
		time.Sleep(time.Minute) // while the machine boots
		now := time.Now()
		c.RecordsCurrentAt, c.LeaseRenewedAt = now, now
		p.Delegations.Assign(m.Shard, "n1")
		// The delegate renews its grant repeatedly, so that the leader has received all of
		// its answers.
		for serial := range uint64(3) {
			p.Delegations.Renew("n1", "x", serial, time.Minute, now.Add(-time.Second))
		}
		p.Delegations.Renew("n1", "x", 3, time.Minute, now)
		heartbeat := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 1, Token: 5}
		if resp := c.agents.HandleHeartbeat(heartbeat, protocol.Encode(heartbeat)); resp.Status != 421 {
			t.Fatalf("heartbeat got status %d, want 421 with a redirect to the delegate", resp.Status)
		}
		j := c.addLoadedJob("job-1")
		addLiveAttempt(j, m, 1, cluster.AttemptCommitted)
		for _, wait := range []time.Duration{eventloop.TickInterval, time.Duration(float64(c.AgentLease) * cluster.ClockDriftFactor)} {
			time.Sleep(wait)
			if c.agents.CheckMachines(time.Now()); m.Lost || len(j.LiveAttempts) == 0 {
				t.Fatalf("machine lost %s after its first heartbeat, within its first lease", time.Since(now))
			}
		}
		time.Sleep(2*cluster.ClockMargin + delegation.GrantDuration)
		if c.agents.CheckMachines(time.Now()); !m.Lost || len(j.LiveAttempts) != 0 {
			t.Error("machine not lost after its first lease expired")
		}
	})
}
