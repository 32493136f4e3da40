package peering

import (
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// OwnSummary returns the summary of this controller and of the partitions that it leads.
func (e *Exchange) OwnSummary(now time.Time) *peer.Summary {
	load := e.proxy.Load(now)
	summary := &peer.Summary{
		From:          e.Settings.Label,
		StateSilenceS: e.store.SinceLastAnswer().Seconds(),
		WriteDemand:   e.WriteDemand,
		Replicas:      e.replicator.ReplicaStatuses(),
		Draining:      e.Draining,
		Replicates:    true,
		TokenRecords:  true,
		Cancelled:     e.Cancellations.Recent(now, e.CancelBound),
		Capacity:      uint32(load.Capacity),
		Connected:     uint32(load.Machines),
		Partitions:    e.PartitionSummaries(now),
		Jobs:          e.jobProgress(),
	}
	for _, machine := range e.UnregisteredMachines {
		summary.Unregistered = append(summary.Unregistered, machine)
	}
	for name := range e.DivertedMachines {
		summary.Diverted = append(summary.Diverted, name)
	}
	return summary
}

// jobProgress returns the numbers of done and running tasks of each job that has any, for a limited
// number of jobs.
func (e *Exchange) jobProgress() (list []*peer.JobProgress) {
	for _, job := range e.Jobs {
		if !job.HasRunState || job.DoneCount == 0 && job.RunningCount == 0 {
			continue
		}
		if len(list) >= JobProgressLimit {
			e.bounds.ReportExceeded(telemetry.JobProgress, 1)
			break
		}
		list = append(list, &peer.JobProgress{Id: job.Spec.ID, Done: uint32(job.DoneCount), Running: uint32(job.RunningCount)})
	}
	return list
}

// EncodeSummary encodes a summary. If it is too large, EncodeSummary first removes the progress of
// jobs, which is only shown to users, and then the unregistered and diverted machines, which will
// send heartbeats again.
func (e *Exchange) EncodeSummary(summary *peer.Summary) []byte {
	limit := peerapi.MaxBody(e.Settings.Params.ProcessLimits)
	// Marshalling fails only for invalid UTF-8, and all strings were validated on input.
	body, _ := proto.Marshal(summary)
	if len(body) <= limit {
		return body
	}
	e.bounds.ReportExceeded(telemetry.SummaryBytes, 1)
	summary.Jobs = nil
	if body, _ = proto.Marshal(summary); len(body) <= limit {
		return body
	}
	summary.Unregistered, summary.Diverted = nil, nil
	body, _ = proto.Marshal(summary)
	return body
}
