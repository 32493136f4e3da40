package telemetry

import "fmt"

// Bound is a bound on what a controller keeps or sends. Meeting one loses no record, but what
// lies beyond it is late, missing from a message, or refused (docs/limits.md).
type Bound int

// The bounds.
const (
	SummaryBytes        Bound = iota // summaries too large for a message, sent without details
	JobProgress                      // summaries that have the progress of some jobs only
	Demands                          // summaries that have the first demands of a partition only
	Cancellations                    // cancellation notices that were not kept
	ForwardedHeartbeats              // heartbeats refused since too many wait to be forwarded
	ReplicaUpdates                   // replica updates that leave something for the next one
	ReplicaStarts                    // starts replicated ahead of their records, not kept
	ReplicaMachines                  // replicated machines, not kept
	StateTransferBytes               // state transfers too large for a message, sent without details
	Classes                          // jobs of classes beyond those that are told apart
	Estimates                        // classes whose run times are not learnt
	Callers                          // callers whose allowance of unknown jobs was forgotten
	WaitingPolls                     // polls refused since too many wait
	PeerConnections                  // connections of other controllers closed on arrival
	Connections                      // connections of agents and users closed on arrival
	boundCount
)

var boundNames = [boundCount]string{"summary_bytes", "job_progress", "demands", "cancellations", "carried_reports",
	"replica_messages", "replica_starts", "replica_machines", "recall_bytes", "classes", "estimates", "callers",
	"waiting_polls", "peer_connections", "connections"}

// String is the bound's name, the label of its metric.
func (b Bound) String() string { return boundNames[b] }

// metricName is the name of a bound's counter.
func (b Bound) metricName() string { return fmt.Sprintf("micaspindle_bound_met_total{bound=%q}", b) }

// Met counts that a bound was met n times.
func (m *Metrics) Met(b Bound, n int) {
	if m != nil && n > 0 {
		m.bounds[b].Add(n)
	}
}
