package lease

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

const (
	// silentHeartbeats is after how many missed heartbeats a machine counts as silent, and
	// silenceMin the least time after which it does.
	silentHeartbeats = 3
	silenceMin       = 4 * time.Second
)

// reachability counts the machines of the partitions led here.
type reachability struct {
	machines, silent int
	// diverted: some machine has reported to other controllers, and not here, for so long that
	// it was not merely on its way back.
	diverted bool
}

// cutOff says that this controller is cut off from all its agents while their heartbeats reach others.
func (r reachability) cutOff() bool {
	return r.machines > 0 && r.silent == r.machines && r.diverted
}

// CheckReachability resigns if this controller can't serve its partitions: when no
// heartbeat has arrived for several intervals while other controllers receive them, it is cut
// off from the agents and must release its leases (rule 11).
func (h *Holder) CheckReachability(now time.Time) {
	h.noteReportedDiversions(now)
	silence := max(silentHeartbeats*h.HeartbeatInterval, silenceMin)
	if reached := h.measureReachability(now, silence); reached.cutOff() {
		h.resign(reached.machines, now)
	}
}

// noteReportedDiversions notes which machines other controllers say have come to them.
func (h *Holder) noteReportedDiversions(now time.Time) {
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

// measureReachability counts the machines led here for at least the silence after which one
// counts as silent, and ends the diversion of machines that have come back.
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
		// An agent that was just sent to this controller needs a moment to get here.
		r.diverted = r.diverted || !m.DivertedSince.IsZero() && now.Sub(m.DivertedSince) > silence
	}
	return r
}

// lastReachedAt is when the agent of a machine last reached this controller. One that comes and
// can't be answered, in an outage of the state store say, reaches it all the same.
func lastReachedAt(m *cluster.Machine) time.Time {
	if m.LastContactAt.After(m.LastHeartbeatAt) {
		return m.LastContactAt
	}
	return m.LastHeartbeatAt
}

// resign stops acting under all leases and revokes the controller lease.
func (h *Holder) resign(machines int, now time.Time) {
	h.log.Info("controller resigned", "reason", "no heartbeats arrive here while they reach other controllers", "count", machines)
	h.ResignedAt = now
	lease := h.LeaseID
	h.loseAll("resigned")
	h.loop.Go(func() { h.store.RevokeLease(h.loop.Context(), lease) })
}
