package coordination

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// lossyAgentsNetwork loses the first messages to each machine, and answers later ones as an agent does
// that has received the token. It records the messages in flight.
type lossyAgentsNetwork struct {
	lost     int // number of messages to each machine that are lost
	mu       sync.Mutex
	sent     map[string]int
	inFlight int
	most     int
}

// Do delivers one message.
func (n *lossyAgentsNetwork) Do(ctx context.Context, addr, _, target string, body []byte) (*transport.Response, error) {
	if target != "/orders" {
		return unresponsiveNetwork{}.Do(ctx, addr, "", target, body)
	}
	name, _, _ := strings.Cut(addr, ":")
	n.mu.Lock()
	n.sent[name]++
	sequence := n.sent[name]
	n.inFlight++
	n.most = max(n.most, n.inFlight)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.inFlight--
		n.mu.Unlock()
	}()
	if sequence <= n.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var batch protocol.CommandBatch
	panicOnError(protocol.Decode(body, &batch))
	heartbeat := protocol.Heartbeat{Machine: name, Addr: addr, Epoch: 1, Sequence: uint64(100 + sequence), Token: batch.Token, Tasks: []protocol.TaskReport{}}
	return &transport.Response{Status: 200, Body: protocol.Encode(heartbeat)}, nil
}

// addUnfencedMachines adds machines that have reported to this leader under an older token, and sends them
// the first message with the token. It runs in the event loop.
func (c *Controller) addUnfencedMachines(count int) {
	for i := range count {
		name := fmt.Sprintf("m-%d", 100+i)
		c.agents.ApplyMachineRecord(name, storage.Machine{Type: "small", Zone: "a", Addr: name + ":1"}, 3, time.Now())
		m := c.Machines[name]
		m.HasReported, m.Epoch, m.Sequence = true, 1, 1
		m.Answers.Answered(time.Now())
		c.agents.Fence(m)
	}
}

// One lost message with the fencing token, or several, do not end a machine's fencing: an agent that goes
// on with a former leader would otherwise be out of use until that one stops (review case 4).
func TestLostFencesAreRepeated(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		lost   int
		within time.Duration
	}{{1, 4 * time.Second}, {2, 8 * time.Second}} {
		t.Run(fmt.Sprint(row.lost, " lost"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c, end := newServedController(t, (*Controller).tick)
				defer end()
				setNetwork(c, &lossyAgentsNetwork{lost: row.lost, sent: map[string]int{}})
				c.loop.Do(func() {
					_, _ = c.leadFirstPartition(5)
					c.addUnfencedMachines(1)
				})
				time.Sleep(row.within)
				c.loop.Do(func() {
					if m := c.Machines["m-100"]; !m.TokenConfirmed || m.FenceFailures != 0 || c.agents.FenceRetriesInFlight != 0 {
						t.Errorf("after %s: token confirmed %v, %d failures, %d repeated messages in flight; want true, 0 and 0", row.within, m.TokenConfirmed, m.FenceFailures, c.agents.FenceRetriesInFlight)
					}
				})
			})
		})
	}
}

// Repeated messages with the fencing token to machines that cannot be reached use few sockets, and each
// machine gets its turn.
func TestRepeatedFencesAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newServedController(t, (*Controller).tick)
		defer end()
		network := &lossyAgentsNetwork{lost: 1000, sent: map[string]int{}}
		setNetwork(c, network)
		const machines = 2 * agents.RepeatedCommandsMin
		c.loop.Do(func() {
			_, _ = c.leadFirstPartition(5)
			c.addUnfencedMachines(machines)
		})
		time.Sleep(agents.CommandTimeout) // the first messages time out
		network.mu.Lock()
		network.most = 0
		network.mu.Unlock()
		time.Sleep(3 * agents.CommandTimeout)
		limit := max(agents.RepeatedCommandsMin, c.Settings.Params.ProcessLimits.Sockets/agents.RepeatedCommandsSocketShare)
		network.mu.Lock()
		if network.most != limit {
			t.Errorf("at most %d repeated messages were in flight, want %d", network.most, limit)
		}
		for i := range machines {
			if name := fmt.Sprintf("m-%d", 100+i); network.sent[name] < 2 {
				t.Errorf("%s was sent its token %d times, want at least 2", name, network.sent[name])
			}
		}
		network.mu.Unlock()
		c.loop.Do(func() { clear(c.Machines) })
		time.Sleep(2 * agents.CommandTimeout)
		c.loop.Do(func() {
			if n := c.agents.FenceRetriesInFlight; n != 0 {
				t.Errorf("%d repeated messages in flight after the timeout, want 0", n)
			}
		})
	})
}
