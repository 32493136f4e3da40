package replication

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// Auth is what Replicator asks of its collaborator.
type Auth interface {
	// CheckSender says whether a message comes from the worker or controller that it
	// names, and refuses it if not.
	CheckSender(who *auth.Caller, verb string, named identity.Name) *transport.Response
}

// Autoscaler is what Replicator asks of its collaborator.
type Autoscaler interface {
	// LeaderUpdate is what the leader is about.
	LeaderUpdate(now time.Time) *peer.ReplicaUpdate
}

// Scheduler is what Replicator asks of its collaborator.
type Scheduler interface {
	// AdoptCorrection takes over what another controller has learned of a class, if that is
	// more than what is known here.
	AdoptCorrection(told *peer.RuntimeCorrection)
	// RuntimeCorrections lists what was learned of classes, by name.
	RuntimeCorrections() (list []*peer.RuntimeCorrection)
}
