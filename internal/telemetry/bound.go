package telemetry

import "fmt"

// Bound is a bound on what a controller keeps or tells. Meeting one loses no record, but
// what lies beyond it is late, missing from what is told, or refused (docs/limits.md).
type Bound int

// The bounds.
const (
	SummaryBytes    Bound = iota // summaries too large for a message, told without details
	JobProgress                  // summaries that name the progress of some jobs only
	Demands                      // summaries that name the first demands of a part only
	Cancellations                // cancellation notices that were not kept
	CarriedReports               // reports refused since too many wait for their owner
	ReplicaMessages              // messages to a standby that leave something for the next one
	ReplicaStarts                // starts told to a standby ahead of their records, not kept
	ReplicaMachines              // machines told to a standby, not kept
	RecallBytes                  // recalled replicas too large for a message, sent without details
	Classes                      // jobs of classes beyond those that are told apart
	Estimates                    // classes whose run times are not learnt
	Callers                      // callers whose allowance of unknown jobs was forgotten
	WaitingPolls                 // polls refused since too many wait
	PeerConnections              // connections of other controllers closed on arrival
	Connections                  // connections of workers and users closed on arrival
	Bounds                       // how many bounds there are
)

var boundNames = [Bounds]string{"summary_bytes", "job_progress", "demands", "cancellations", "carried_reports",
	"replica_messages", "replica_starts", "replica_machines", "recall_bytes", "classes", "estimates", "callers",
	"waiting_polls", "peer_connections", "connections"}

// String is the bound's name.
func (b Bound) String() string { return boundNames[b] }

// metricName is the counter of a bound.
func (b Bound) metricName() string { return fmt.Sprintf("micaspindle_bound_met_total{bound=%q}", b) }

// Met counts that a bound was met n times.
func (m *Metrics) Met(b Bound, n int) {
	if m != nil && n > 0 {
		m.met[b].Add(n)
	}
}
