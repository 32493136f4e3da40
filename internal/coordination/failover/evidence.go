package failover

import "time"

const (
	// maxRequiredDiverted is the number of diverted machines that rules out a fault of a single
	// agent. If fewer machines report to the leader, all of them must be diverted, and at least
	// minRequiredDiverted.
	maxRequiredDiverted = 3
	minRequiredDiverted = 2
	// A leader is silent if no summary of it has arrived for silentIntervals summary intervals. The
	// interval divided by silenceMarginDivisor is added for delayed messages.
	silentIntervals      = 2
	silenceMarginDivisor = 5
)

// Evidence holds the observations that decide whether a leader counts as dead.
type Evidence struct {
	// Silent is the time since the last summary, Interval the time between two summaries.
	Silent, Interval time.Duration
	// Reporting is the number of machines that report to the leader according to its last summary.
	// Diverted is the number of those that have contacted this controller after that summary.
	Reporting, Diverted int
}

// Dead reports whether the leader's lease may be revoked. This requires that neither controllers nor
// agents reach the leader: then it can't act as leader, even if its process still runs. Missing
// summaries alone are no proof, since the fault may be in the connections between controllers. Diverted
// machines alone are no proof either, since the fault may be in the agents' connections.
func (e Evidence) Dead() bool {
	silent := e.Silent > silentIntervals*e.Interval+e.Interval/silenceMarginDivisor
	return silent && e.Diverted >= max(minRequiredDiverted, min(maxRequiredDiverted, e.Reporting))
}
