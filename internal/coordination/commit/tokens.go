package commit

import (
	"time"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// RaiseTokens adds the records of machines to a batch, until it has so many changes, and
// returns those that are left.
func (co *Committer) RaiseTokens(b *commitBatch, due []*cluster.Machine, now time.Time, most int) (left []*cluster.Machine) {
	for i, m := range due {
		if len(b.txn.Then) >= most {
			return due[i:]
		}
		if m.PendingCommands > 0 && now.Sub(m.CommandedAt) < agents.CommandAnswerWait {
			continue // their answer may make it needless
		}
		key := storage.MachineKey(m.Name)
		b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: m.Revision})
		b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: storage.Encode(m.Record)})
		b.tokenRaises = append(b.tokenRaises, m)
	}
	return nil
}
