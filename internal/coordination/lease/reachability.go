package lease

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

const (
	// A machine counts as silent after silentAfterMissed missed heartbeats, but not before
	// minSilence.
	silentAfterMissed = 3
	minSilence        = 4 * time.Second
)

// reachability counts the machines of the partitions that this controller leads, and the silent ones
// among them.
type reachability struct {
	machines, silent int
	// diverted is set if some machine has sent its heartbeats to other controllers for longer than
	// its agent needs to follow a redirect to this controller.
	diverted bool
}

// isolated reports whether no agent reaches this controller while some agents reach other controllers.
func (r reachability) isolated() bool {
	return r.machines > 0 && r.silent == r.machines && r.diverted
}

// CheckReachability makes this controller resign if it can't serve its partitions: if it has received
// no heartbeat for several intervals while other controllers receive them, it is isolated from the
// agents and must give up its leases (rule 11).
func (h *Holder) CheckReachability(now time.Time) {
	h.applyReportedDiversions(now)
	silence := max(silentAfterMissed*h.HeartbeatInterval, minSilence)
	if reached := h.measureReachability(now, silence); reached.isolated() {
		h.resign(reached.machines, now)
	}
}

// applyReportedDiversions marks the machines that have sent heartbeats to other controllers, according
// to the summaries of those controllers.
func (h *Holder) applyReportedDiversions(now time.Time) {
	for _, other := range h.Peers {
		if !other.Alive(now) {
			continue
		}
		for _, name := range other.Summary.Diverted {
			if m := h.Machines[name]; m != nil && m.DivertedSince.IsZero() {
				m.DivertedSince = now
			}
		}
	}
}

// measureReachability counts the machines of this controller's partitions, and those of them that have
// been silent for longer than the given time. Partitions acquired within that time are not counted.
// DivertedSince is cleared for machines that reached this controller at a later time, and for machines
// in partitions that this controller does not lead.
func (h *Holder) measureReachability(now time.Time, silence time.Duration) (r reachability) {
	for _, m := range h.Machines {
		p := h.Partitions[m.Record.Partition]
		reachedAt := lastReachedAt(m)
		if !p.Held || reachedAt.After(m.DivertedSince) {
			m.DivertedSince = time.Time{}
		}
		if !p.Held || now.Sub(p.AcquiredAt) < silence {
			continue
		}
		r.machines++
		if now.Sub(reachedAt) > silence {
			r.silent++
		}
		// An agent needs some time to follow a redirect to this controller.
		r.diverted = r.diverted || !m.DivertedSince.IsZero() && now.Sub(m.DivertedSince) > silence
	}
	return r
}

// lastReachedAt returns the time at which the agent of a machine last reached this controller, even if
// its heartbeat could not be answered, for example in an outage of the state store.
func lastReachedAt(m *cluster.Machine) time.Time {
	if m.LastContactAt.After(m.LastHeartbeatAt) {
		return m.LastContactAt
	}
	return m.LastHeartbeatAt
}

// resign stops acting under all leases and revokes the controller lease.
func (h *Holder) resign(machines int, now time.Time) {
	h.log.Info("controller resigned", "reason", "no agent reaches this controller while some reach other controllers", "count", machines)
	h.ResignedAt = now
	lease := h.LeaseID
	h.loseAllLeases("resigned")
	h.loop.Go(func() { h.store.RevokeLease(h.loop.Context(), lease) })
}
