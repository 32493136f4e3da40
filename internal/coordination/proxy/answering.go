package proxy

import (
	"bytes"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// AnswerHeartbeat answers an agent's heartbeat on behalf of the partition's leader; false: no
// grant allows it. The leader gets what was answered with the next renewal (rule 37).
func (p *Proxy) AnswerHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool) {
	partition, assigned := p.Partitions[machine.Record.Partition], p.Assignments[machine.Record.Partition]
	if p.Draining || partition.Held || !assigned.allows(partition, machine, now) {
		return transport.Response{}, false
	}
	token := p.Token(machine)
	if heartbeat.Token > token {
		return respond.Refuse(503, "superseded", 1), true
	}
	if assigned.UnsentBytes+len(raw) > p.UnsentLimit {
		p.bounds.Met(telemetry.ForwardedHeartbeats, 1)
		return respond.Refuse(503, "the owner of the machine is behind", 1), true
	}
	if heartbeat.Addr != "" {
		machine.Record.Addr = heartbeat.Addr
	}
	assigned.add(machine.Name, answeredHeartbeat{bytes.Clone(raw), heartbeat.Epoch, heartbeat.Sequence})
	eventloop.Signal(assigned.wakeup)
	batch := protocol.CommandBatch{Token: token, Commands: p.agents.StopsForCancelledJobs(heartbeat)}
	return transport.Response{Status: 200, Body: protocol.Encode(batch)}, true
}
