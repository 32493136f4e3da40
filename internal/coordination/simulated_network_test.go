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

// controllerNetwork is the network as one controller sees it.
type controllerNetwork struct {
	cluster *simulatedCluster
	sender  *simulatedController
}

// Do delivers one message; it may be lost, its response may be lost, or it may arrive long
// after the sender has given up.
func (network *controllerNetwork) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	sim, sender := network.cluster, network.sender.label
	host, _, _ := strings.Cut(addr, ":")
	fate := sim.drawMessageFate(sender, host, target, body)
	sim.waitWhilePaused(sender)
	if network.sender.killed() {
		return nil, fmt.Errorf("%w: process was killed", transport.ErrNotSent)
	}
	if fate.transactionLate {
		sim.group.Go(func() { sim.deliverTransactionLate(sender, fate.transactionDelay, body) })
		return lostMessage(ctx, "no answer to a transaction")
	}
	if fate.commandLate {
		sim.withLock(func() { sim.countFault("delayed from " + sender) })
		sim.group.Go(func() { sim.deliverCommandLate(host, fate.commandDelay, body) })
		return lostMessage(ctx, "delayed")
	}
	if fate.onRequest != nil && fate.onRequest(sender, host, target, body) || fate.cut {
		return lostMessage(ctx, "link cut")
	}
	if fate.requestLost {
		return lostMessage(ctx, "request lost")
	}
	if fate.requestLate && ctx.Done() != nil {
		sim.group.Go(func() {
			time.Sleep(fate.requestDelay)
			sim.deliver(context.WithoutCancel(ctx), sender, host, method, target, body)
		})
		return lostMessage(ctx, "delivered late")
	}
	time.Sleep(fate.linkDelay)
	sim.waitWhilePaused(host)
	if network.sender.killed() {
		return nil, fmt.Errorf("%w: process was killed", transport.ErrNotSent)
	}
	resp := sim.deliver(ctx, sender, host, method, target, body)
	if resp == nil {
		return nil, fmt.Errorf("%w: refused", transport.ErrNotSent)
	}
	if resp.Status == 0 {
		return nil, fmt.Errorf("%s was killed before it answered", host)
	}
	sim.waitWhilePaused(sender)
	sim.mu.Lock()
	onResponse := sim.onResponse
	sim.mu.Unlock()
	if onResponse != nil && onResponse(sender, host, target, body, resp) || fate.responseLost {
		return lostMessage(ctx, "answer lost")
	}
	return resp, nil
}

// messageFate is what becomes of one message of a controller, drawn when it is sent.
type messageFate struct {
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

// drawMessageFate draws the fate of a message. Equal seeds give equal fates only if the draws
// keep their order.
func (sim *simulatedCluster) drawMessageFate(sender, host, target string, body []byte) (fate messageFate) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	draw := sim.rng.Float64()
	fate.linkDelay = time.Duration(1+sim.rng.IntN(4))*time.Millisecond + sim.drawLinkDelay()
	fate.requestDelay = time.Duration(sim.rng.IntN(20_000)) * time.Millisecond
	fate.requestLost = draw < sim.messageFaultRate/3
	fate.requestLate = draw < sim.messageFaultRate*2/3
	fate.responseLost = draw < sim.messageFaultRate
	fate.cut = sim.cut != nil && sim.cut(sender, host) || sim.inboundLost[host]
	fate.onRequest = sim.onRequest
	fate.transactionDelay, fate.transactionLate = sim.drawTransactionDelay(host, target, body)
	if sim.workers[host] != nil && !fate.cut {
		fate.commandDelay, fate.commandLate = sim.drawCommandDelay(target, body)
	}
	return fate
}

// lostMessage waits until the sender gives up, and returns the error that it gets.
func lostMessage(ctx context.Context, reason string) (*transport.Response, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%s: %w", reason, ctx.Err())
}

// deliver hands a message to its receiver; nil: there is none.
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
	receiver, agent := sim.controllers[host], sim.workers[host]
	sim.mu.Unlock()
	switch {
	case receiver != nil:
		return sim.deliverToController(ctx, from, receiver, method, path, body)
	case agent != nil:
		return sim.serveWorker(agent, path, body)
	}
	return nil
}

// deliverToController hands a controller's message to another one.
func (sim *simulatedCluster) deliverToController(ctx context.Context, from string, receiver *simulatedController, method, path string, body []byte) *transport.Response {
	sim.mu.Lock()
	fromOldVersion, toOldVersion := sim.oldVersions[from], sim.oldVersions[receiver.label]
	suppressNotices, alterUpdate := sim.suppressNotices, sim.alterReplicaUpdate
	sim.mu.Unlock()
	if (fromOldVersion || toOldVersion) && slices.Contains(pathsOfNewVersions, path) {
		return &transport.Response{Status: 404}
	}
	if fromOldVersion {
		body = downgradeSummary(path, body)
	}
	if suppressNotices && path == peering.SummaryPath {
		body = stripCancellationNotices(body)
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

// pathsOfNewVersions are the paths that versions without replication and delegation do not know.
var pathsOfNewVersions = []string{replication.UpdatePath, replication.StateTransferPath, proxy.DelegationPath, proxy.ForwardPath}

// waitWhilePaused waits while a controller is paused.
func (sim *simulatedCluster) waitWhilePaused(label string) {
	sim.mu.Lock()
	until := sim.pausedUntil[label]
	sim.mu.Unlock()
	time.Sleep(time.Until(until))
}

// drawLinkDelay draws a message's delay beyond the usual. The lock is held.
func (sim *simulatedCluster) drawLinkDelay() time.Duration {
	if sim.linkDelayMax == 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(sim.linkDelayMax)))
}

// networkCuts are the message filters that are active at the same time.
type networkCuts struct {
	lastID int
	active map[int]func(from, host string) bool
}

// add activates a filter and returns its id.
func (c *networkCuts) add(sim *simulatedCluster, filter func(from, host string) bool) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if c.active == nil {
		c.active = map[int]func(from, host string) bool{}
		sim.cut = func(from, host string) bool {
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

// cutNetworkFor drops the messages that the filter selects for some time.
func (sim *simulatedCluster) cutNetworkFor(cut func(from, host string) bool, d time.Duration) {
	sim.withLock(func() { sim.cut = cut })
	time.Sleep(d)
	sim.withLock(func() { sim.cut = nil })
}

// downgradeSummary returns a summary as a controller of a version without replication sends it.
func downgradeSummary(path string, body []byte) []byte {
	if path != peering.SummaryPath {
		return body
	}
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	sum.Replicas, sum.Draining, sum.Replicates, sum.Capacity, sum.Connected, sum.Cancelled = nil, false, false, 0, 0, nil
	for _, p := range sum.Partitions {
		p.Standby, p.Delegated = "", nil
	}
	body, err := proto.Marshal(sum)
	panicOnError(err)
	return body
}

// stripCancellationNotices returns a summary without its cancellation notices.
func stripCancellationNotices(body []byte) []byte {
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	sum.Cancelled = nil
	body, err := proto.Marshal(sum)
	panicOnError(err)
	return body
}
