package cluster

import (
	"time"

	"micaspindle/internal/coordination/failover"
)

// AnswerTimes are the latest times at which controllers may have answered a machine's heartbeats. An
// answer extends the machine's lease if it reaches the agent, and no sender knows whether it does. So
// the times of this controller and those of former leaders are separate: what this controller receives
// or answers says nothing about the others (rule 58).
type AnswerTimes struct {
	// own never falls.
	own    time.Time
	others failover.AnswerBound
}

// Until returns the latest time at which any controller may have answered a heartbeat.
func (t *AnswerTimes) Until() time.Time {
	if t.others.Until.After(t.own) {
		return t.others.Until
	}
	return t.own
}

// Others returns the bound on the answers of former leaders and their delegates.
func (t *AnswerTimes) Others() failover.AnswerBound { return t.others }

// Answered records that this controller or one of its delegates may have answered a heartbeat, or that a
// lease of the agent may have begun, at a given time or before.
func (t *AnswerTimes) Answered(at time.Time) {
	if at.After(t.own) {
		t.own = at
	}
}

// OthersMayAnswer sets the bound on the answers of former leaders, when this controller becomes the
// machine's leader or the agent has lost its token.
func (t *AnswerTimes) OthersMayAnswer(bound failover.AnswerBound) { t.others = bound }

// OthersStopped lowers the bound on the answers of former leaders, and reports whether it did. It
// requires a proof: records which show that a former leader has stopped answering, or a message of the
// agent which shows that the agent has received this leader's fencing token and thus discards the
// answers of former leaders.
func (t *AnswerTimes) OthersStopped(bound failover.AnswerBound) bool {
	if !bound.Until.Before(t.others.Until) {
		return false
	}
	t.others = bound
	return true
}
