package cluster

import "time"

// MachineBlock is a reason for which a machine gets no new work of any job, as logged.
type MachineBlock string

const (
	NotBlocked            MachineBlock = ""
	BlockLost             MachineBlock = "machine lease expired"
	BlockQuarantined      MachineBlock = "quarantined"
	BlockAvoided          MachineBlock = "task failed or start refused"
	BlockTokenUnconfirmed MachineBlock = "token not confirmed"
	BlockLateHeartbeat    MachineBlock = "heartbeat late"
	BlockMoving           MachineBlock = "moving to another partition"
	BlockRetiring         MachineBlock = "retiring"
	BlockPreemptionNotice MachineBlock = "preemption notice"
	BlockTypeUnknown      MachineBlock = "type unknown"
	BlockAddressUnknown   MachineBlock = "address unknown"
)

// lateHeartbeatGrace is the delay of a heartbeat, in addition to a quarter of the heartbeat
// interval, after which the machine gets no new work.
const lateHeartbeatGrace = 1500 * time.Millisecond

// MachineBlock returns the reason for which no new work may go to a machine, or NotBlocked. If there
// are several, it returns the one that lasts longest.
func (s *State) MachineBlock(m *Machine, now time.Time) MachineBlock {
	switch {
	case m.Lost:
		return BlockLost
	case m.Quarantined && !m.IsLastChoice(now):
		return BlockQuarantined
	case m.Type == nil:
		return BlockTypeUnknown
	case m.Moving:
		return BlockMoving
	case !m.RetiringSince.IsZero():
		return BlockRetiring
	case !m.PreemptionAt.IsZero():
		return BlockPreemptionNotice
	case !m.TokenConfirmed:
		return BlockTokenUnconfirmed
	case m.Record.Addr == "":
		return BlockAddressUnknown
	case now.Sub(m.LastHeartbeatAt) >= s.HeartbeatInterval*5/4+lateHeartbeatGrace:
		return BlockLateHeartbeat
	case !now.After(m.AvoidUntil):
		return BlockAvoided
	}
	return NotBlocked
}

// Schedulable reports whether new work may go to a machine.
func (s *State) Schedulable(m *Machine, now time.Time) bool {
	return s.MachineBlock(m, now) == NotBlocked
}

// BlockedSince returns the time at which the evidence for a block of the machine was found, or the
// zero time if that is not recorded.
func (m *Machine) BlockedSince(block MachineBlock) time.Time {
	switch block {
	case BlockLost, BlockLateHeartbeat:
		return m.LastHeartbeatAt
	case BlockQuarantined:
		return m.QuarantinedAt
	case BlockAvoided:
		return m.AvoidedAt
	case BlockRetiring:
		return m.RetiringSince
	case BlockTokenUnconfirmed:
		return m.HeartbeatsExpectedSince
	}
	return time.Time{}
}

// Avoid keeps new work off the machine from now until a given time.
func (m *Machine) Avoid(until, now time.Time) { m.AvoidedAt, m.AvoidUntil = now, until }
