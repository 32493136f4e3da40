// Package peering sends the other controllers a summary of this one's state several times a
// second, and applies the summaries that they send. It maintains the state of each peer.
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

// SummaryPath is the path at which controllers accept summaries from each other.
const SummaryPath = "/peer/summary"

// SummaryInterval is the interval between two summaries to the same controller.
const SummaryInterval = 500 * time.Millisecond

const (
	// summaryTimeout is the timeout of a request with a summary.
	summaryTimeout = time.Second
	// summaryMaxAge is the maximum age of a cached summary. It is slightly shorter than
	// SummaryInterval, so that each round of requests sends a new summary.
	summaryMaxAge = SummaryInterval * 4 / 5
)

// Exchange sends the other controllers summaries of this one's state and applies theirs. Except for
// SummaryLoop, it must be used only in the event loop.
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

// cachedSummary is the last encoded summary, which is sent to all other controllers.
type cachedSummary struct {
	body         []byte
	MarshalledAt time.Time
}

// New returns an Exchange. Connect must be called before it is used.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Exchange {
	return &Exchange{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds}
}

// Connect sets the collaborators. It must be called before the event loop starts.
func (e *Exchange) Connect(jobs Jobs, proxy Proxy, replicator Replicator, scheduler Scheduler) {
	e.jobs, e.proxy, e.replicator, e.scheduler = jobs, proxy, replicator, scheduler
}

// ReceiveSummary applies a summary from another controller. The caller must have authenticated the
// sender.
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

// learnAddresses stores the addresses of machines that have sent heartbeats only to other
// controllers. A new partition leader needs them to fence the machines at once.
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

// SummaryLoop sends one other controller summaries until the event loop's context ends.
func (e *Exchange) SummaryLoop(label string) {
	addr := e.Peers[label].Addr
	for e.loop.Sleep(SummaryInterval) {
		var body []byte
		e.loop.Do(func() { body = e.MarshalledSummary(time.Now()) })
		if body != nil {
			e.sendSummary(label, addr, body)
		}
	}
}

// sendSummary sends a summary without retries, because the next summary replaces it.
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

// MarshalledSummary returns the cached encoded summary, or a new one if the cached summary is too
// old. It returns nil until the shared records have been read.
func (e *Exchange) MarshalledSummary(now time.Time) []byte {
	cached := &e.SummaryCache
	if e.Synced && (cached.body == nil || now.Sub(cached.MarshalledAt) >= summaryMaxAge) {
		cached.body = e.EncodeSummary(e.OwnSummary(now))
		cached.MarshalledAt = now
	}
	return cached.body
}
