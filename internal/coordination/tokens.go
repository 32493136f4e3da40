package coordination

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// A command without an answer may be carried out at any later time, until its worker has
// seen a higher token (50). So where a start must not come any more, the token of its
// machine is raised: the record of the machine is written again, and the worker is told.

const (
	// commandAnswerWait is how long the answer to a command is waited for before the command
	// counts as held up, where a task of a cancelled job depends on it. It is as long as a
	// worker takes to report a change.
	commandAnswerWait = 500 * time.Millisecond
	// stopAnswerWait is the same where no job was cancelled.
	stopAnswerWait = time.Second
	// reapDelay is how long an ended attempt whose start may still come stays with its
	// worker, so that one raise serves many. It holds neither room nor quota.
	reapDelay = 5 * time.Second
	// pendingCommandsLimit bounds the orders to a machine that wait for an answer.
	pendingCommandsLimit = 4
	// repeatedCommandsSocketShare of the sockets, and repeatsLeast at least, may hold orders beside earlier
	// ones to the same machine: where many machines are cut off, workers and users need them.
	repeatedCommandsSocketShare = 32
	repeatedCommandsMin         = 8
)

// RaiseTokenBy wants a higher token for the machine by a moment, at the latest.
func (m *Machine) RaiseTokenBy(by time.Time) {
	if m.TokenRaiseBy.IsZero() || by.Before(m.TokenRaiseBy) {
		m.TokenRaiseBy = by
	}
}

// commandsSent notes that orders are sent to a machine.
func (ag *Agents) commandsSent(m *Machine, now time.Time) {
	if m.PendingCommands > 0 {
		ag.repeatedCommands++
	}
	m.PendingCommands++
	m.CommandedAt = now
}

// commandsAnswered notes that the answer to orders has come or been given up.
func (ag *Agents) commandsAnswered(m *Machine) {
	if m.PendingCommands--; m.PendingCommands > 0 {
		ag.repeatedCommands--
	}
}

// mayRepeat says whether orders may be sent to a machine beside those that are under way:
// a cancelled task depends on them, and there is room.
func (ag *Agents) mayRepeat(m *Machine) bool {
	most := max(repeatedCommandsMin, ag.Settings.Params.MachineLimits.Sockets/repeatedCommandsSocketShare)
	return m.HasCancelledTask() && m.PendingCommands < pendingCommandsLimit && ag.repeatedCommands < most
}

// mayStillStart says whether a start of an attempt was sent that can come at any time.
func (ag *Agents) mayStillStart(a *Attempt) bool {
	return a.State == AttemptCommitted && a.Stopping && a.StartToken != 0 && a.StartToken >= ag.Token(a.Machine)
}

// fenceOutStart has the token raised where a start of an attempt that is to stop may still come.
// The answer to the start is waited for, but not for long if its job was cancelled: its
// user was told so, and from then on nothing of it may start.
func (ag *Agents) fenceOutStart(a *Attempt, now time.Time) {
	if !ag.mayStillStart(a) {
		return
	}
	switch {
	case a.Job.Ended && now.Sub(a.StartSentAt) > commandAnswerWait:
	case a.StartsInFlight == 0 && now.Sub(a.StopRequestedAt) > stopAnswerWait:
	default:
		return
	}
	a.Machine.RaiseTokenBy(now)
	ag.Partitions[a.Machine.Record.Partition].Wake()
}

// HasCancelledTask says whether a task of a cancelled job is or may come to be on the machine,
// so that commands to it are repeated without waiting for the answers to earlier ones.
func (m *Machine) HasCancelledTask() bool {
	for _, a := range m.Attempts {
		if a.Live() && a.Stopping && a.Job.Ended {
			return true
		}
	}
	return false
}

// repeatCommands sends what the machine has to do beside commands that are held up.
func (ag *Agents) repeatCommands(m *Machine) {
	if m.Fenced {
		ag.sendCommandsNow(m)
	} else {
		ag.Fence(m)
	}
}

// TokensDue are the machines of a part whose tokens are due to be raised, the longest due first.
func (ag *Agents) TokensDue(p *Partition, now time.Time) (due []*Machine) {
	for _, m := range ag.Machines {
		if m.Record.Partition == p.Index && !m.TokenRaiseBy.IsZero() && !m.TokenRaiseBy.After(now) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(x, y *Machine) int {
		return cmp.Or(x.TokenRaiseBy.Compare(y.TokenRaiseBy), cmp.Compare(x.Name, y.Name))
	})
	return due
}

// RaiseTokens adds the records of machines to a batch, until it has so many changes, and
// returns those that are left.
func (co *Committer) RaiseTokens(b *commitBatch, due []*Machine, now time.Time, most int) (left []*Machine) {
	for i, m := range due {
		if len(b.txn.Then) >= most {
			return due[i:]
		}
		if m.PendingCommands > 0 && now.Sub(m.CommandedAt) < commandAnswerWait {
			continue // their answer may make it needless
		}
		key := storage.MachineKey(m.Name)
		b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: m.Revision})
		b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: storage.Encode(m.Record)})
		b.tokenRaises = append(b.tokenRaises, m)
	}
	return nil
}
