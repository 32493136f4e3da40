package failover

import "time"

const (
	// maxRequiredDiverted is the number of diverted machines that shows that not just one agent
	// is at fault. If fewer machines report to the leader, all of them must be diverted, and at
	// least minRequiredDiverted.
	maxRequiredDiverted = 3
	minRequiredDiverted = 2
	// silentIntervals is the number of summary intervals for which a leader must have been
	// silent. The interval divided by silenceMarginDivisor is added for delayed messages.
	silentIntervals      = 2
	silenceMarginDivisor = 5
)

// Evidence is what is known of a leader that may be dead.
type Evidence struct {
	// Silent is the time since the last summary, Interval the time between two summaries.
	Silent, Interval time.Duration
	// Reporting is the number of machines in its last summary that report to it, Diverted the
	// number of these whose agents have since turned to this controller for lack of an answer.
	Reporting, Diverted int
}

// Dead reports whether the leader's lease may be revoked: neither controllers nor agents reach it,
// so it can't act as leader, even if its process still runs. Silence alone is no proof, since only
// the connections between controllers may fail; nor are diverted machines, since agents may lose
// their connections.
func (e Evidence) Dead() bool {
	silent := e.Silent > silentIntervals*e.Interval+e.Interval/silenceMarginDivisor
	return silent && e.Diverted >= max(minRequiredDiverted, min(maxRequiredDiverted, e.Reporting))
}
