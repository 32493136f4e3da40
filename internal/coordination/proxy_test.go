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
	sim.settings.Params.MachineLimits.Sockets = 12
	sim.runTime = func(string, int, string) time.Duration { return 25 * time.Second }
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

// connectedMachines returns how many machines are connected to each controller.
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

// Agents of a leader without free sockets send their heartbeats to delegates; its commands are
// forwarded through these, and no epoch ends.
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
				t.Errorf("%s has %d connected machines (leader %s): %v", label, machines, leader, connected)
			}
		}
		if total < 9 {
			t.Errorf("only %d machines send heartbeats", total)
		}
		receivers := map[string]int{}
		sim.forEachWorker(func(agent *agent.Agent) { receivers[agent.Controllers[agent.Controller]]++ })
		if len(receivers) != 3 {
			t.Errorf("agents send heartbeats to %v, connected machines %v", receivers, connected)
		}
		sim.onController(leader, func(c *Controller) {
			v := c.api.StateOverview(time.Now())
			delegated, moves := 0, len(v.Moves)
			for _, p := range v.Partitions {
				for _, k := range p.Delegates {
					if delegated += k.Machines; !k.Active {
						t.Errorf("%s is not active: %+v", k.Controller, k)
					}
				}
			}
			if delegated != total-connected[leader] || moves == 0 || v.Connected != connected[leader] || v.Capacity != 6 {
				t.Errorf("%d machines delegated, %d moves, %d of %d connected; all connections %v", delegated, moves, v.Connected, v.Capacity, connected)
			}
		})
		sim.mu.Lock()
		if forwarded[leader] == 0 {
			t.Error("no commands were forwarded through a delegate")
		}
		sim.mu.Unlock()
		sim.waitForAllJobs(4 * time.Minute)
		sim.forEachWorker(func(agent *agent.Agent) {
			if agent.Epoch != 1 {
				t.Errorf("%s lost its lease: epoch %d", agent.Name, agent.Epoch)
			}
		})
	})
}

// A leader's grants end no later than its own bound for answering, and a heartbeat that arrives
// twice, or late, makes no machine look alive.
func TestGrantsEndWithinTheLeadersAnswerBound(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 780, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		leader, delegate := sim.leaderOf(partition), sim.delegateOf(partition)
		ctl := sim.controllerOf(leader)
		ask := func(ago time.Duration, reports ...[]byte) (status int, granted time.Duration) {
			req := &peer.DelegationRequest{From: delegate, Nonce: "x", Partition: uint32(partition), Heartbeats: reports}
			ctl.loop.Do(func() {
				req.LeaseRevision = ctl.Partitions[partition].LeaseRevision
				ctl.LeaseRenewedAt = time.Now().Add(-ago)
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
		if status, d := ask(0); status != 200 || d != delegation.GrantDuration {
			t.Errorf("%d, %s", status, d)
		}
		if status, d := ask(bound - time.Second); status != 200 || d > time.Second || d < 900*time.Millisecond {
			t.Errorf("a second before its bound: %d, %s", status, d)
		}
		if status, _ := ask(bound); status != 409 {
			t.Errorf("at its bound: %d", status)
		}
		var raw []byte
		var name string
		sim.forEachWorker(func(agent *agent.Agent) {
			if raw == nil && agent.Controllers[agent.Controller] == delegate {
				name, raw = agent.Name, protocol.Encode(agent.Heartbeat())
				agent.Hung = true
			}
		})
		ask(0, raw)
		time.Sleep(3 * time.Second)
		ask(0, raw)
		ctl.loop.Do(func() {
			m := ctl.Machines[name]
			if silent := time.Since(m.LastHeartbeatAt); silent < 3*time.Second || time.Since(m.AnsweredUntil) > 0 {
				t.Errorf("heard %s ago, answered %s ago", silent, time.Since(m.AnsweredUntil))
			}
		})
		sim.forEachWorker(func(agent *agent.Agent) { agent.Hung = false })
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// A controller that takes over more machines than its sockets allow delegates fencing and
// heartbeats of some of them from the first moment on.
func TestTakeoverDelegatesAtOnce(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 790, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		lost := sim.leaderOf(partition)
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
		sim.killController(lost)
		successor := ""
		for begun := time.Now(); successor == "" && time.Since(begun) < 10*time.Second; time.Sleep(time.Millisecond) {
			successor = sim.leaderOf(partition)
		}
		time.Sleep(100 * time.Millisecond)
		machines, fenced, delegated := 0, 0, 0
		sim.onController(successor, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == partition {
					machines++
					if m.TokenConfirmed {
						fenced++
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
		if machines < 9 || fenced < machines || delegated == 0 || forwarded == 0 || directCount >= machines {
			t.Errorf("%d machines, %d fenced, %d shards delegated, %d commands forwarded, %d machines fenced by %s itself", machines, fenced, delegated, forwarded, directCount, successor)
		}
		sim.startController(lost)
		sim.waitForAllJobs(6 * time.Minute)
	})
}

// Malformed messages are refused, and those under another lease, which a delegate of a former
// leader may send.
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
				t.Errorf("%s: status off by %d", name, got)
			}
		}
		many := &peer.ForwardRequest{From: "n1"}
		for range proxy.ForwardCommandsLimit + 1 {
			many.Commands = append(many.Commands, &peer.ForwardedCommand{Machine: "m-000001"})
		}
		body, err := proto.Marshal(many)
		panicOnError(err)
		if got := post(proxy.ForwardPath, body); got != 400 {
			t.Errorf("too many commands: %d", got)
		}
		body, err = proto.Marshal(&peer.ForwardRequest{From: "n1", Commands: []*peer.ForwardedCommand{{Machine: "unheard of"}}})
		panicOnError(err)
		resp := ctl.ServePeers(sim.ctx, &transport.Request{Method: "POST", Path: proxy.ForwardPath, Body: body})
		reply := new(peer.ForwardReply)
		panicOnError(proto.Unmarshal(resp.Body, reply))
		if len(reply.Results) != 1 || !reply.Results[0].Unsent {
			t.Errorf("commands for an unknown machine: %v", reply)
		}
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// Which heartbeats a delegate may answer, and with which token.
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
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: 0, Type: "small"}, 2, time.Now())
		e, share := c.proxy.Assignments[0], c.Machines["m-1"].Shard
		grant := func() {
			e.Leader, e.Lease, e.GrantedUntil = c.Partitions[0].Leader, c.Partitions[0].LeaseRevision, time.Now().Add(time.Second)
			e.Shards[share], e.UnsentBytes = true, 0
			clear(e.Unsent)
		}
		report := &protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1}
		answers := func(name string, want int, token uint64) {
			t.Helper()
			resp := c.agents.HandleHeartbeat(report, []byte("body"))
			var o protocol.CommandBatch
			if resp.Status != want || want == 200 && (protocol.Decode(resp.Body, &o) != nil || o.Token != token || len(o.Commands) > 0) {
				t.Errorf("%s: %d with token %d and %d commands, want %d with %d", name, resp.Status, o.Token, len(o.Commands), want, token)
			}
			if unsent := string(e.Unsent["m-1"].Raw) == "body"; unsent != (want == 200) {
				t.Errorf("%s: answered %d, kept to be forwarded %v", name, resp.Status, unsent)
			}
		}
		answers("without a grant", 421, 0)
		grant()
		answers("granted", 200, 3)
		late := *report
		report.Sequence = 9
		c.agents.HandleHeartbeat(&late, []byte("late"))
		answers("a newer heartbeat", 200, 3)
		late.Sequence = 8
		if c.agents.HandleHeartbeat(&late, []byte("late")); string(e.Unsent["m-1"].Raw) != "body" || e.UnsentBytes != 4 {
			t.Errorf("%q, %d bytes to be forwarded", e.Unsent["m-1"].Raw, e.UnsentBytes)
		}
		grant()
		e.Shards[share], e.Shards[(share+1)%delegation.ShardCount] = false, true
		answers("another shard", 421, 0)
		grant()
		time.Sleep(time.Second)
		answers("the grant has expired", 421, 0)
		grant()
		report.Token = 4
		answers("the agent has seen a newer leader", 503, 0)
		report.Token = 0
		grant()
		e.UnsentBytes = c.proxy.UnsentLimit
		answers("too many unsent bytes", 503, 0)
		grant()
		setLease(5, "n2", "y")
		answers("another leader", 421, 0)
		grant()
		answers("granted by the other leader", 200, 5)
		grant()
		setLease(6, "n2", "y")
		answers("the same leader under another lease", 421, 0)
		grant()
		c.Draining = true
		answers("draining", 421, 0)
		c.Draining = false
		grant()
		setLease(7, "n0", c.Nonce)
		if resp := c.agents.HandleHeartbeat(report, nil); resp.Status != 503 && resp.Status != 200 || len(e.Unsent) > 0 {
			t.Errorf("led here: %d, %d heartbeats to forward", resp.Status, len(e.Unsent))
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
				for name := range lost { // so that no newer heartbeat takes its place
					sim.workers[name].Hung = true
				}
				return true
			case lost != nil:
				if repeated = forwarded; req.After != after {
					t.Errorf("the next request follows reply %d, not %d", req.After, after)
				}
			}
			return false
		}
		sim.mu.Unlock()
		time.Sleep(5 * time.Second)
		sim.mu.Lock()
		if len(lost) == 0 || repeated == nil {
			t.Errorf("lost %v, then %v", lost, repeated)
		}
		for name := range lost {
			if sim.workers[name].Hung = false; !repeated[name] {
				t.Errorf("the heartbeat of %s is not forwarded again", name)
			}
		}
		sim.mu.Unlock()
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// An agent that is redirected to its delegate before anybody has answered it holds its first
// lease all the same: the attempts on it are not over (rule 6).
func TestUnansweredAgentKeepsItsFirstLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		p, m := c.leadFirstPartition(5)
		time.Sleep(time.Minute) // while it boots
		now := time.Now()
		c.RecordsCurrentAt, c.LeaseRenewedAt = now, now
		p.Delegations.Assign(m.Shard, "n1")
		// The delegate renews again and again, so that all that it answered is known.
		for serial := range uint64(3) {
			p.Delegations.Renew("n1", "x", serial, time.Minute, now.Add(-time.Second))
		}
		p.Delegations.Renew("n1", "x", 3, time.Minute, now)
		report := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 1, Token: 5}
		if resp := c.agents.HandleHeartbeat(report, protocol.Encode(report)); resp.Status != 421 {
			t.Fatalf("status %d: not redirected to its delegate", resp.Status)
		}
		j := c.addLoadedJob("job-1")
		addLiveAttempt(j, m, 1, cluster.AttemptCommitted)
		for _, wait := range []time.Duration{eventloop.TickInterval, time.Duration(float64(c.AgentLease) * cluster.ClockDriftFactor)} {
			time.Sleep(wait)
			if c.agents.CheckMachines(time.Now()); m.Lost || len(j.LiveAttempts) == 0 {
				t.Fatalf("lost %s into its first lease", time.Since(now))
			}
		}
		time.Sleep(2*cluster.ClockMargin + delegation.GrantDuration)
		if c.agents.CheckMachines(time.Now()); !m.Lost || len(j.LiveAttempts) != 0 {
			t.Error("not lost after its first lease")
		}
	})
}
