package replication

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol/peer"
)

// Auth checks who sends a request.
type Auth interface {
	// CheckPeer refuses a message that does not come from the controller that it names.
	CheckPeer(caller *auth.Caller, label string) error
}

// Autoscaler does the work of the cluster leader.
type Autoscaler interface {
	// LeaderUpdate is what the next cluster leader should know of this one's work.
	LeaderUpdate(now time.Time) *peer.ReplicaUpdate
}

// Scheduler learns how estimates of run times are to be corrected.
type Scheduler interface {
	// AdoptCorrection adopts the correction of a class from another controller, if it rests on
	// more jobs than the one known here.
	AdoptCorrection(correction *peer.RuntimeCorrection)
	// RuntimeCorrections lists the corrections of all classes, by name.
	RuntimeCorrections() []*peer.RuntimeCorrection
}
