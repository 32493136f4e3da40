package autoscaler

import (
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// ApplyLeadership applies a change of the leadership record.
func (a *Autoscaler) ApplyLeadership(event protocol.Event, now time.Time) {
	leadership := &a.Leadership
	if event.Version <= leadership.AppliedRevision {
		return // this change or a newer one was applied
	}
	leadership.AppliedRevision = event.Version
	if event.Delete != "" {
		a.applyVacancy(now)
		return
	}
	var lease storage.Lease
	if err := storage.Decode(event.Value, &lease); err != nil {
		a.log.Error("invalid cluster leadership record", "error", err)
		return
	}
	a.DropLeadership("another controller acquired the lease")
	leadership.Holder, leadership.Revision = lease.Holder, event.Version
	if lease.Holder == a.Settings.Label && lease.Nonce == a.Nonce {
		leadership.Reset()
		leadership.Held = true
		a.ResumeLeadership(a.LastLeaderUpdate, now)
		a.log.Info("cluster leadership acquired", "token", leadership.Revision)
	}
}

// applyVacancy records that the cluster has no leader, and triggers an attempt to acquire the
// lease.
func (a *Autoscaler) applyVacancy(now time.Time) {
	leadership := &a.Leadership
	if leadership.Revision != 0 || leadership.VacantSince.IsZero() {
		leadership.VacantSince = now
	}
	leadership.FormerHolder, leadership.Holder, leadership.Revision = leadership.Holder, "", 0
	a.DropLeadership("the lease ended")
	eventloop.Signal(a.LeaseWakeup)
}

// DropLeadership ends this controller's leadership of the cluster, if it is the leader.
func (a *Autoscaler) DropLeadership(reason string) {
	if a.Leadership.Held {
		a.log.Info("cluster leadership lost", "reason", reason)
		a.Leadership.Held = false
	}
}

// leads returns the revision of the cluster leader's lease and whether this controller is the
// leader. It must be called outside the event loop.
func (a *Autoscaler) leads() (revision uint64, leading bool) {
	a.loop.Do(func() { revision, leading = a.Leadership.Revision, a.Leadership.Held })
	return revision, leading
}
