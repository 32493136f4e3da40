// Package peering sends the other controllers a summary of this one's state several times a
// second, and applies the summaries that they send. It owns what is known of each peer.
//
// A summary describes this controller (summary.go), the partitions that it leads
// (partition_summary.go) and the demand of their waiting tasks for machines (demand.go).
package peering

import (
	"context"
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// SummaryPath is where controllers take each other's summaries.
const SummaryPath = "/peer/summary"

// SummaryInterval is how often each other controller is sent a summary.
const SummaryInterval = 500 * time.Millisecond

const (
	// summaryTimeout bounds one attempt to send a summary.
	summaryTimeout = time.Second
	// summaryMaxAge is how long a summary serves: a little less than the interval, so that
	// each round has a new one.
	summaryMaxAge = SummaryInterval * 4 / 5
)

// Exchange sends the other controllers summaries of this one's state and applies theirs. It
// belongs to the event loop, but for PeerLoop.
type Exchange struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter

	jobs       Jobs
	proxy      Proxy
	replicator Replicator
	scheduler  Scheduler

	SummaryCache cachedSummary
}

// cachedSummary is the last summary as it is sent: one serves all other controllers.
type cachedSummary struct {
	body         []byte
	MarshalledAt time.Time
}

// New makes an Exchange without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Exchange {
	return &Exchange{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds}
}

// Connect sets the collaborators. It must be called before the event loop starts.
func (e *Exchange) Connect(jobs Jobs, proxy Proxy, replicator Replicator, scheduler Scheduler) {
	e.jobs, e.proxy, e.replicator, e.scheduler = jobs, proxy, replicator, scheduler
}

// ReceiveSummary applies a summary that another controller has sent. Its sender was checked.
func (e *Exchange) ReceiveSummary(summary *peer.Summary) {
	sender := e.Peers[summary.From]
	if sender == nil {
		return
	}
	now := time.Now()
	if !sender.Alive(now) {
		sender.AliveSince = now
	}
	sender.LastSummaryAt, sender.Summary = now, summary
	sender.UpdateReportingMachines()
	e.jobs.ApplyCancellationNotices(summary, now)
	e.proxy.SummaryReceived(summary)
	e.learnAddresses(summary)
}

// learnAddresses stores the addresses of machines that are known to others only, so that a new
// partition leader can fence them at once.
func (e *Exchange) learnAddresses(summary *peer.Summary) {
	for _, partition := range summary.Partitions {
		for _, status := range partition.Machines {
			machine := e.Machines[status.Name]
			if machine != nil && !machine.HasReported && machine.Record.Addr == "" {
				machine.Record.Addr = status.Addr
			}
		}
	}
}

// PeerLoop sends one other controller the summary, again and again, until the event loop ends.
func (e *Exchange) PeerLoop(label string) {
	addr := e.Peers[label].Addr
	for e.loop.Sleep(SummaryInterval) {
		var body []byte
		e.loop.Do(func() { body = e.MarshalledSummary(time.Now()) })
		if body != nil {
			e.sendSummary(label, addr, body)
		}
	}
}

// sendSummary sends a summary once; a failure is made good by the next one.
func (e *Exchange) sendSummary(label, addr string, body []byte) {
	ctx, cancel := context.WithTimeout(e.loop.Context(), summaryTimeout)
	defer cancel()
	response, err := e.network.Do(ctx, addr, "POST", SummaryPath, body)
	switch {
	case err != nil:
		e.log.Debug("peer unreachable", "controller", label, "error", err)
	case response.Status != 200:
		e.log.Debug("summary refused", "controller", label, "status", response.Status, "bytes", len(body))
	}
}

// MarshalledSummary is the summary as it is sent, made anew if the cached one is old; nil
// before the shared records were read.
func (e *Exchange) MarshalledSummary(now time.Time) []byte {
	cached := &e.SummaryCache
	if e.Synced && (cached.body == nil || now.Sub(cached.MarshalledAt) >= summaryMaxAge) {
		cached.body = e.EncodeSummary(e.OwnSummary(now))
		cached.MarshalledAt = now
	}
	return cached.body
}
