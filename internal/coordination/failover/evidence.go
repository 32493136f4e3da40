package failover

import "time"

const (
	// divertedEnough is how many machines' agents must have come to another controller: so many
	// show that it is not one agent's fault. Of very few machines divertedMin must do.
	divertedEnough = 3
	divertedMin    = 2
	// silentIntervals is for how many intervals a leader must have been silent; to allow for late
	// messages, one more is added, divided by lateDivisor.
	silentIntervals = 2
	lateDivisor     = 5
)

// Evidence is what shows that a leader is dead.
type Evidence struct {
	// Silent is for how long it has sent no summary, Interval how often it should.
	Silent, Interval time.Duration
	// Reporting is how many machines it last said report to it, Diverted how many of those came
	// to this controller since: their agent got no answer there.
	Reporting, Diverted int
}

// Dead says that the leader's lease may be revoked: neither controllers nor agents reach it, so
// that it is of no use as a leader, whether its process has ended or not. Silence alone is not
// enough (connections between controllers may be refused alone), nor are diverted machines (an
// agent may lose its connection): each has been seen without the other.
func (e Evidence) Dead() bool {
	silent := e.Silent > silentIntervals*e.Interval+e.Interval/lateDivisor
	return silent && e.Diverted >= max(divertedMin, min(divertedEnough, e.Reporting))
}
