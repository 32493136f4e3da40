package coordination

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// The fencing tokens in boundFixture: of the former leader, and of the controller under test.
const (
	formerToken = 5
	newToken    = 9
)

// boundFixture is a controller that has just taken over the machine m-1 from the leader n1.
type boundFixture struct {
	*Controller
	t         *testing.T
	partition *cluster.Partition
	machine   *cluster.Machine
	network   *singleAnswerNetwork
	sequence  uint64
}

func newBoundFixture(t *testing.T) (f *boundFixture, end func()) {
	t.Helper()
	c, end := newServedController(t, withoutTicks)
	f = &boundFixture{Controller: c, t: t, network: &singleAnswerNetwork{}, sequence: 40}
	setNetwork(c, f.network)
	f.applyIncarnation("n1", 2, storage.Incarnation{Nonce: "x", Lease: 1})
	c.loop.Do(func() {
		f.partition, f.machine = c.leadFirstPartition(newToken)
		f.partition.Leader, f.partition.LeaderNonce = "n0", c.Nonce
		f.partition.FormerLeaders = []failover.FormerLeader{
			{Label: "n1", Nonce: "x", LeaseRevision: formerToken, AnswersUntil: time.Now().Add(c.AnswerBound()), Reason: failover.BoundByLeaseEnd}}
	})
	f.install()
	return f, end
}

// install completes the takeover.
func (f *boundFixture) install() {
	f.loop.Do(func() { f.takeover.Install(f.partition, &replication.Replica{}, nil, false) })
}

// applyIncarnation applies a controller's incarnation record.
func (f *boundFixture) applyIncarnation(label string, revision uint64, record storage.Incarnation) {
	f.loop.Do(func() {
		f.watcher.ApplyEvent(protocol.Event{Put: storage.IncarnationKey(label), Value: storage.Encode(record), Version: revision})
	})
}

// answers returns the machine's answer times.
func (f *boundFixture) answers() (times cluster.AnswerTimes) {
	f.loop.Do(func() { times = f.machine.Answers })
	return times
}

// nextHeartbeat returns the agent's next heartbeat under a token.
func (f *boundFixture) nextHeartbeat(epoch, token uint64) *protocol.Heartbeat {
	f.sequence++
	f.loop.Do(func() { f.RecordsCurrentAt, f.LeaseRenewedAt = time.Now(), time.Now() })
	return &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: epoch, Sequence: f.sequence, Token: token, Tasks: []protocol.TaskReport{}}
}

// report sends a heartbeat to the controller, which must answer it.
func (f *boundFixture) report(epoch, token uint64) {
	f.t.Helper()
	heartbeat := f.nextHeartbeat(epoch, token)
	var response transport.Response
	f.loop.Do(func() { response = f.agents.HandleHeartbeat(heartbeat, protocol.Encode(heartbeat)) })
	if response.Status != 200 {
		f.t.Fatalf("heartbeat got status %d, want 200", response.Status)
	}
}

// forward sends a heartbeat that the controller's delegate n2 has answered.
func (f *boundFixture) forward(heartbeat *protocol.Heartbeat) {
	f.t.Helper()
	request := &peer.DelegationRequest{From: "n2", Nonce: "y", Partition: 0, LeaseRevision: newToken, Heartbeats: [][]byte{protocol.Encode(heartbeat)}}
	body, err := proto.Marshal(request)
	panicOnError(err)
	if response := f.ServePeers(f.t.Context(), &transport.Request{Method: "POST", Path: proxy.DelegationPath, Body: body}); response.Status != 200 {
		f.t.Fatalf("delegate's request got status %d, want 200", response.Status)
	}
}

// moveFromPartition1 moves the machine from partition 1 to the partition under test.
func (f *boundFixture) moveFromPartition1(revision uint64) {
	f.loop.Do(func() {
		f.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: 1, Type: "small", Addr: "m-1:1"}, revision-1, time.Now())
		f.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: 0, Type: "small", Addr: "m-1:1"}, revision, time.Now())
	})
}

// singleAnswerNetwork answers the first request after setAnswer, and no other.
type singleAnswerNetwork struct {
	mu     sync.Mutex
	answer []byte
}

// setAnswer sets the body of the next answer.
func (n *singleAnswerNetwork) setAnswer(body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answer = body
}

// Do returns the answer, or waits until the sender's context ends.
func (n *singleAnswerNetwork) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	n.mu.Lock()
	answer := n.answer
	n.answer = nil
	n.mu.Unlock()
	if answer == nil {
		return unresponsiveNetwork{}.Do(ctx, addr, method, target, body)
	}
	return &transport.Response{Status: 200, Body: answer}, nil
}

// answerToRequest makes the agent answer a request without commands with a heartbeat.
func (f *boundFixture) answerToRequest(epoch, sequence, token uint64) {
	heartbeat := &protocol.Heartbeat{Machine: "m-1", Epoch: epoch, Sequence: sequence, Token: token, Tasks: []protocol.TaskReport{}}
	f.network.setAnswer(protocol.Encode(heartbeat))
	f.loop.Do(func() {
		f.machine.CommandRequestsInFlight = 0 // the message of the takeover was lost
		f.agents.Fence(f.machine)
	})
	synctest.Wait()
}

// Only a proof lowers the bound on what former leaders may answer: a message of the agent under the new
// token, or records. A heartbeat that was received under an older token, here, at a delegate or as the
// answer to a request, is none, since its answer may be lost (review case 4: a task ran twice).
func TestBoundOnFormerLeadersFallsByProofOnly(t *testing.T) {
	t.Parallel()
	// The times are counted from the takeover; each row happens 2 s after it.
	const at, kept = 2 * time.Second, 15 * time.Second
	for _, row := range []struct {
		name string
		act  func(f *boundFixture)
		want time.Duration
	}{
		{"nothing is received", func(*boundFixture) {}, kept},
		{"heartbeat under the former token", func(f *boundFixture) { f.report(2, formerToken) }, kept},
		{"heartbeat under the former token in a new epoch", func(f *boundFixture) { f.report(2, formerToken); f.report(3, formerToken) }, kept},
		{"heartbeat under no token", func(f *boundFixture) { f.report(1, 0) }, kept},
		{"heartbeat under the new token", func(f *boundFixture) { f.report(2, newToken) }, at},
		{"heartbeat under the former token, answered by a delegate", func(f *boundFixture) { f.forward(f.nextHeartbeat(2, formerToken)) }, kept},
		{"heartbeat under the new token, answered by a delegate", func(f *boundFixture) { f.forward(f.nextHeartbeat(2, newToken)) }, at},
		{"old copy of a heartbeat, answered by a delegate", func(f *boundFixture) {
			f.report(2, formerToken)
			stale := f.nextHeartbeat(2, newToken)
			stale.Sequence = 7
			f.forward(stale)
		}, kept},
		{"answer to a request under the new token", func(f *boundFixture) { f.answerToRequest(2, 50, newToken) }, at},
		{"answer to a request under the former token", func(f *boundFixture) { f.answerToRequest(2, 50, formerToken) }, kept},
		{"agent restarts without its memory", func(f *boundFixture) {
			f.report(2, newToken)
			f.answerToRequest(1, 1, 0)
		}, kept},
		{"agent restarts without its memory and has received the new token", func(f *boundFixture) {
			f.report(2, newToken)
			f.answerToRequest(1, 1, newToken)
		}, at},
		{"moved machine, heartbeat under the former partition's token", func(f *boundFixture) {
			f.moveFromPartition1(newToken + 3)
			f.report(2, newToken+1)
		}, at + kept},
		{"moved machine, heartbeat under the new token", func(f *boundFixture) {
			f.moveFromPartition1(newToken + 3)
			f.report(2, newToken+3)
		}, at},
		{"another process of the former leader's", func(f *boundFixture) {
			f.applyIncarnation("n1", 20, storage.Incarnation{Nonce: "z", Lease: 2})
		}, at + delegation.GrantDuration},
		{"release by the former leader", func(f *boundFixture) {
			record := storage.Incarnation{Nonce: "x", Lease: 1, Released: []storage.ReleasedLease{{Partition: 0, LeaseRevision: formerToken}}}
			f.applyIncarnation("n1", 20, record)
		}, at + delegation.GrantDuration},
		{"release of an earlier lease by the former leader", func(f *boundFixture) {
			record := storage.Incarnation{Nonce: "x", Lease: 1, Released: []storage.ReleasedLease{{Partition: 0, LeaseRevision: formerToken - 1}}}
			f.applyIncarnation("n1", 20, record)
		}, kept},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, end := newBoundFixture(t)
				defer end()
				start := time.Now()
				if f.AnswerBound() != kept {
					t.Fatalf("the answer bound is %s, want %s", f.AnswerBound(), kept)
				}
				time.Sleep(at)
				row.act(f)
				times := f.answers()
				if got := times.Until().Sub(start); got != row.want {
					t.Errorf("the last answer may be given until %s after the takeover, want %s (%+v)", got, row.want, times.Others())
				}
			})
		})
	}
}

// A proof that former leaders have stopped says nothing about this controller's own answers, nor about
// those of its delegates, which count also if they were given before the takeover was complete.
func TestOwnAnswersOutlastProofsAboutFormerLeaders(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name   string
		answer func(f *boundFixture)
	}{
		{"own answer", func(f *boundFixture) { f.report(2, formerToken) }},
		{"answer of a delegate to a late copy", func(f *boundFixture) {
			stale := f.nextHeartbeat(2, formerToken)
			f.report(2, newToken)
			f.forward(stale)
		}},
		{"own answer before the takeover was complete", func(f *boundFixture) {
			f.loop.Do(func() { f.partition.Ready = false })
			f.report(2, formerToken)
			f.install()
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, end := newBoundFixture(t)
				defer end()
				f.applyIncarnation("n1", 20, storage.Incarnation{Nonce: "z", Lease: 2}) // the former leader has ended
				time.Sleep(5 * time.Second)                                             // the delegates of the former leader have stopped
				row.answer(f)
				answeredAt := time.Now()
				time.Sleep(time.Second)
				f.applyIncarnation("n2", 30, storage.Incarnation{Nonce: "a"})
				f.applyIncarnation("n2", 31, storage.Incarnation{Nonce: "b"}) // bounds are computed anew
				times := f.answers()
				if got := times.Until(); !got.Equal(answeredAt) {
					t.Errorf("the last answer may have been given until %s after it was given, want 0", got.Sub(answeredAt))
				}
			})
		})
	}
}

// The answer to an agent's first heartbeat at a new leader is lost, and the agent goes on with the former
// leader, which the state store refuses and which still answers: the agent's tasks must not start
// elsewhere (review case 4).
func TestAgentReturnsToFormerLeaderAfterALostAnswer(t *testing.T) {
	t.Parallel()
	runSimulation(t, 470, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		job := sim.startLongJobs(1, 2, "green", 60*time.Second)[0]
		partition := sim.partitionOf("green")
		former := sim.leaderOf(partition)
		var name string
		sim.withLock(func() { name = sim.machinesRunning(job)[0] })
		reportTo := func(label string) {
			sim.withLock(func() { sim.agents[name].ControllerIndex = slices.Index(allControllers, label) })
		}
		reportTo(former)
		time.Sleep(2 * time.Second)
		sim.withLock(func() {
			sim.onRequest = func(from, host, _ string, _ []byte) bool { return from != former && host == name }
		})
		sim.setStateStoreRefusal(former, true)
		successor := sim.waitForNewLeader(partition, former)
		if successor == former {
			t.Fatal("no other controller took over")
		}
		sim.withLock(func() { sim.inboundLost = map[string]bool{name: true} })
		reportTo(successor)
		for reported := false; !reported; time.Sleep(20 * time.Millisecond) {
			sim.onController(successor, func(c *Controller) { reported = c.Machines[name].HasReported })
		}
		sim.withLock(func() { sim.inboundLost = nil })
		reportTo(former)
		answers, lost := true, false
		for answers && !lost {
			time.Sleep(100 * time.Millisecond)
			sim.onController(former, func(c *Controller) { answers = c.MayAnswerHeartbeats(c.Partitions[partition], time.Now()) })
			sim.onController(successor, func(c *Controller) { lost = c.Machines[name] == nil || c.Machines[name].Lost })
		}
		if answers {
			t.Error("the machine counts as lost while the former leader answers its agent")
		}
		sim.withLock(func() { sim.onRequest = nil })
		sim.setStateStoreRefusal(former, false)
		sim.waitForAllJobs(3 * time.Minute)
		if starts := sim.startsOf(job); starts != 2 {
			t.Errorf("the job's two tasks were started %d times, want 2", starts)
		}
	})
}

// A former leader whose answer bound is just over counts until the leases that it extended last have
// expired, also if the leader after it is proven to have stopped earlier.
func TestEarlierLeaderCountsAfterItsAnswerBound(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		put := func(key string, version uint64, value any) {
			c.watcher.ApplyEvent(protocol.Event{Put: key, Value: storage.Encode(value), Version: version})
		}
		put(storage.IncarnationKey("n2"), 2, storage.Incarnation{Nonce: "y", Lease: 1})
		put(storage.LeaseKey(0), 3, storage.Lease{Holder: "n1", Nonce: "x"})
		put(storage.LeaseKey(0), 4, storage.Lease{Holder: "n2", Nonce: "y"})
		want := time.Now().Add(c.AnswerBound()) // of n1
		time.Sleep(c.AnswerBound() - 3*time.Second)
		put(storage.IncarnationKey("n2"), 5, storage.Incarnation{Nonce: "z", Lease: 2}) // n2 restarted: its bound is a second before n1's
		time.Sleep(3100 * time.Millisecond)
		c.watcher.ApplyEvent(protocol.Event{Delete: storage.LeaseKey(0), Version: 6})
		if got := c.leases.LastAnswerBound(c.Partitions[0], &cluster.Machine{}); !got.Until.Equal(want) || got.Controller != "n1" {
			t.Errorf("the last answer may have been given %s before n1's bound, by %s; want at that bound, by n1", want.Sub(got.Until), got.Controller)
		}
	})
}
