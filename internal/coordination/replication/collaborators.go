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
	// LeaderUpdate returns the cluster leader's state that its successor needs.
	LeaderUpdate(now time.Time) *peer.ReplicaUpdate
}

// Scheduler holds the correction factors for run time estimates.
type Scheduler interface {
	// AdoptCorrection replaces the correction of a job class by one from another controller, if
	// that one is based on more jobs.
	AdoptCorrection(correction *peer.RuntimeCorrection)
	// RuntimeCorrections returns the corrections of all job classes, sorted by class name.
	RuntimeCorrections() []*peer.RuntimeCorrection
}
