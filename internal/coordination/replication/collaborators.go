package replication

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol/peer"
)

// Auth authenticates the senders of peer requests.
type Auth interface {
	// CheckPeer returns an error if the caller is not the controller with this label.
	CheckPeer(caller *auth.Caller, label string) error
}

// Autoscaler holds the cluster leader's state.
type Autoscaler interface {
	// LeaderUpdate returns an update with the cluster leader's state for its successor.
	LeaderUpdate(now time.Time) *peer.ReplicaUpdate
}

// Scheduler holds the correction factors for run time estimates.
type Scheduler interface {
	// AdoptCorrection replaces the correction of a job class by that of another controller if the
	// latter is based on more tasks.
	AdoptCorrection(correction *peer.RuntimeCorrection)
	// RuntimeCorrections returns the corrections of all job classes, sorted by class name.
	RuntimeCorrections() []*peer.RuntimeCorrection
}
