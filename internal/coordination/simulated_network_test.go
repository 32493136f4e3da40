package coordination

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// controllerNetwork is the network of one controller.
type controllerNetwork struct {
	cluster *simulatedCluster
	sender  *simulatedController
}

// Do delivers one message. The message or its response may be lost, or the message may arrive long
// after the sender's timeout.
func (network *controllerNetwork) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	sim, sender := network.cluster, network.sender.label
	host, _, _ := strings.Cut(addr, ":")
	faults := sim.drawMessageFaults(sender, host, target, body)
	sim.waitWhilePaused(sender)
	if network.sender.killed() {
		return nil, fmt.Errorf("%w: process was killed", transport.ErrNotSent)
	}
	if faults.transactionLate {
		sim.group.Go(func() { sim.deliverTransactionLate(sender, faults.transactionDelay, body) })
		return lostMessage(ctx, "no response to a transaction")
	}
	if faults.commandLate {
		sim.withLock(func() { sim.countFault("delayed from " + sender) })
		sim.group.Go(func() { sim.deliverCommandLate(host, faults.commandDelay, body, "late") })
		return lostMessage(ctx, "command delayed")
	}
	if faults.onRequest != nil && faults.onRequest(sender, host, target, body) || faults.cut {
		return lostMessage(ctx, "link cut")
	}
	if faults.requestLost {
		return lostMessage(ctx, "request lost")
	}
	if faults.requestLate && ctx.Done() != nil {
		sim.group.Go(func() {
			time.Sleep(faults.requestDelay)
			sim.deliver(context.WithoutCancel(ctx), sender, host, method, target, body)
		})
		return lostMessage(ctx, "request delayed")
	}
	time.Sleep(faults.linkDelay)
	sim.waitWhilePaused(host)
	if network.sender.killed() {
		return nil, fmt.Errorf("%w: process was killed", transport.ErrNotSent)
	}
	resp := sim.deliver(ctx, sender, host, method, target, body)
	if resp == nil {
		return nil, fmt.Errorf("%w: connection refused", transport.ErrNotSent)
	}
	if resp.Status == 0 {
		return nil, fmt.Errorf("%s was killed before it responded", host)
	}
	sim.waitWhilePaused(sender)
	sim.mu.Lock()
	onResponse := sim.onResponse
	sim.mu.Unlock()
	if onResponse != nil && onResponse(sender, host, target, body, resp) || faults.responseLost {
		return lostMessage(ctx, "response lost")
	}
	return resp, nil
}

// messageFaults are the delay and the faults of one message of a controller, drawn when it is
// sent.
type messageFaults struct {
	linkDelay    time.Duration
	cut          bool
	onRequest    func(from, host, target string, body []byte) (lost bool)
	requestLost  bool
	requestLate  bool
	requestDelay time.Duration
	responseLost bool

	transactionLate  bool
	transactionDelay time.Duration
	commandLate      bool
	commandDelay     time.Duration
}

// drawMessageFaults draws the faults of a message. The order of the draws must not change, so
// that a seed gives the same faults each time.
func (sim *simulatedCluster) drawMessageFaults(sender, host, target string, body []byte) (faults messageFaults) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	draw := sim.rng.Float64()
	faults.linkDelay = time.Duration(1+sim.rng.IntN(4))*time.Millisecond + sim.drawLinkDelay()
	faults.requestDelay = time.Duration(sim.rng.IntN(20_000)) * time.Millisecond
	faults.requestLost = draw < sim.messageFaultRate/3
	faults.requestLate = draw < sim.messageFaultRate*2/3
	faults.responseLost = draw < sim.messageFaultRate
	faults.cut = sim.dropsMessage != nil && sim.dropsMessage(sender, host) || sim.inboundLost[host]
	faults.onRequest = sim.onRequest
	faults.transactionDelay, faults.transactionLate = sim.drawTransactionDelay(host, target, body)
	if sim.agents[host] != nil && !faults.cut {
		faults.commandDelay, faults.commandLate = sim.drawCommandDelay(target, body)
	}
	return faults
}

// lostMessage waits until the sender's context ends, and returns the sender's error.
func lostMessage(ctx context.Context, reason string) (*transport.Response, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%s: %w", reason, ctx.Err())
}

// deliver delivers a message and returns the response, or nil if there is no such receiver.
func (sim *simulatedCluster) deliver(ctx context.Context, from, host, method, target string, body []byte) *transport.Response {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	switch host {
	case "state":
		return sim.state.Serve(ctx, from, method, path, q, body)
	case "cloud":
		return sim.cloud.Serve(method, path, q, body)
	}
	sim.mu.Lock()
	receiver, agent := sim.controllers[host], sim.agents[host]
	sim.mu.Unlock()
	switch {
	case receiver != nil:
		return sim.deliverToController(ctx, from, receiver, method, path, body)
	case agent != nil:
		resp := sim.deliverToAgent(agent, path, body)
		if path == "/orders" && resp != nil && resp.Status == 200 {
			sim.copyCommands(host, body)
		}
		return resp
	}
	return nil
}

// deliverToController delivers a message from one controller to another.
func (sim *simulatedCluster) deliverToController(ctx context.Context, from string, receiver *simulatedController, method, path string, body []byte) *transport.Response {
	sim.mu.Lock()
	fromOldVersion, toOldVersion := sim.controllersOfOldVersion[from], sim.controllersOfOldVersion[receiver.label]
	suppressNotices, alterUpdate := sim.suppressNotices, sim.alterReplicaUpdate
	withoutTokenRecords := sim.controllersWithoutTokenRecords[from]
	sim.mu.Unlock()
	if (fromOldVersion || toOldVersion) && slices.Contains(pathsOfNewVersions, path) {
		return &transport.Response{Status: 404}
	}
	if path == peering.SummaryPath {
		body = alterSummary(body, func(sum *peer.Summary) {
			if fromOldVersion {
				downgradeSummary(sum)
			}
			if withoutTokenRecords {
				sum.TokenRecords = false
			}
			if suppressNotices {
				sum.Cancelled = nil
			}
		})
	}
	if alterUpdate != nil && path == replication.UpdatePath {
		update := new(peer.ReplicaUpdate)
		panicOnError(proto.Unmarshal(body, update))
		sim.withLock(func() { alterUpdate(update) })
		var err error
		body, err = proto.Marshal(update)
		panicOnError(err)
	}
	resp := receiver.unlessKilled(receiver.controller.ServePeers(ctx, &transport.Request{
		Method: method,
		Path:   path,
		Body:   body,
		Peer:   sim.identities.certificate("controller/" + from),
	}))
	return &resp
}

// pathsOfNewVersions are the paths that versions without replication and delegation lack.
var pathsOfNewVersions = []string{replication.UpdatePath, replication.StateTransferPath, proxy.DelegationPath, proxy.ForwardPath}

// waitWhilePaused waits while a controller is paused.
func (sim *simulatedCluster) waitWhilePaused(label string) {
	sim.mu.Lock()
	until := sim.pausedUntil[label]
	sim.mu.Unlock()
	time.Sleep(time.Until(until))
}

// drawLinkDelay draws the additional delay of a message. The lock is held.
func (sim *simulatedCluster) drawLinkDelay() time.Duration {
	if sim.linkDelayMax == 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(sim.linkDelayMax)))
}

// networkCuts are the active message filters. A message is dropped if any of them selects it.
type networkCuts struct {
	lastID int
	active map[int]func(from, host string) bool
}

// add activates a filter and returns its ID.
func (c *networkCuts) add(sim *simulatedCluster, filter func(from, host string) bool) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if c.active == nil {
		c.active = map[int]func(from, host string) bool{}
		sim.dropsMessage = func(from, host string) bool {
			for _, f := range c.active {
				if f(from, host) {
					return true
				}
			}
			return false
		}
	}
	c.lastID++
	c.active[c.lastID] = filter
	return c.lastID
}

// end deactivates a filter.
func (c *networkCuts) end(sim *simulatedCluster, id int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delete(c.active, id)
}

// cutNetworkFor drops the messages that the filter selects, for the duration d.
func (sim *simulatedCluster) cutNetworkFor(filter func(from, host string) bool, d time.Duration) {
	sim.withLock(func() { sim.dropsMessage = filter })
	time.Sleep(d)
	sim.withLock(func() { sim.dropsMessage = nil })
}

// alterSummary returns an encoded summary after it was altered.
func alterSummary(body []byte, alter func(*peer.Summary)) []byte {
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	alter(sum)
	body, err := proto.Marshal(sum)
	panicOnError(err)
	return body
}

// downgradeSummary makes a summary one that a controller without replication and delegation would
// send.
func downgradeSummary(sum *peer.Summary) {
	sum.Replicas, sum.Draining, sum.Replicates, sum.Capacity, sum.Connected, sum.Cancelled, sum.TokenRecords = nil, false, false, 0, 0, nil, false
	for _, p := range sum.Partitions {
		p.Standby, p.Delegated = "", nil
	}
}
