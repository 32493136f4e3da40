package telemetry

import "fmt"

// Bound is a limit on what a controller keeps or sends. Exceeding it loses no records, but the excess
// is delayed, left out of a message or refused (docs/limits.md).
type Bound int

// The bounds, with what each of them counts.
const (
	SummaryBytes        Bound = iota // summaries that were sent without details, since they were too large
	JobProgress                      // summaries with the progress of only some jobs
	Demands                          // summaries with only the first demands of a partition
	Cancellations                    // cancellation notices that were dropped
	ForwardedHeartbeats              // heartbeats that were refused, since too many were waiting to be forwarded
	ReplicaUpdates                   // replica updates that could not hold all changes
	ReplicaStarts                    // replicated starts that were dropped before their run records arrived
	ReplicaMachines                  // replicated machines that were dropped
	StateTransferBytes               // state transfers that were sent without details, since they were too large
	Classes                          // jobs of classes beyond the maximum number, counted together
	Estimates                        // measured run times that were not used, since too many classes have estimates
	Callers                          // callers whose rate limiter for unknown jobs was evicted
	WaitingPolls                     // polls that were refused, since too many were waiting
	PeerConnections                  // connections of other controllers that were refused
	Connections                      // connections of agents and users that were refused
	boundCount
)

var boundNames = [boundCount]string{"summary_bytes", "job_progress", "demands", "cancellations", "carried_reports",
	"replica_messages", "replica_starts", "replica_machines", "recall_bytes", "classes", "estimates", "callers",
	"waiting_polls", "peer_connections", "connections"}

// String returns the name of the bound, which is the label of its metric.
func (b Bound) String() string { return boundNames[b] }

// metricName returns the name of a bound's counter.
func (b Bound) metricName() string { return fmt.Sprintf("micaspindle_bound_met_total{bound=%q}", b) }

// CountExceeded adds n to the counter of a bound.
func (m *Metrics) CountExceeded(b Bound, n int) {
	if m != nil && n > 0 {
		m.bounds[b].Add(n)
	}
}
