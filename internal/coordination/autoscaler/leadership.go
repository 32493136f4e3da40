package autoscaler

import (
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// ApplyLeadership follows a change of the cluster leader's record.
func (a *Autoscaler) ApplyLeadership(event protocol.Event, now time.Time) {
	leadership := &a.Leadership
	if event.Version < leadership.Revision || event.Put != "" && event.Version == leadership.Revision {
		return // known already
	}
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
		a.log.Info("cluster leadership gained", "token", leadership.Revision)
	}
}

// applyVacancy notes that the cluster has no leader, and has the lease acquired at once.
func (a *Autoscaler) applyVacancy(now time.Time) {
	leadership := &a.Leadership
	if leadership.Revision != 0 || leadership.VacantSince.IsZero() {
		leadership.VacantSince = now
	}
	leadership.FormerHolder, leadership.Holder, leadership.Revision = leadership.Holder, "", 0
	a.DropLeadership("the lease ended")
	eventloop.Signal(a.LeaseWakeup)
}

// DropLeadership ends this controller's leadership of the cluster, if it has it.
func (a *Autoscaler) DropLeadership(reason string) {
	if a.Leadership.Held {
		a.log.Info("cluster leadership lost", "reason", reason)
		a.Leadership.Held = false
	}
}

// leads reports, to tasks beside the event loop, whether this controller is the cluster's
// leader, and the revision of its lease.
func (a *Autoscaler) leads() (revision uint64, leading bool) {
	a.loop.Do(func() { revision, leading = a.Leadership.Revision, a.Leadership.Held })
	return revision, leading
}
