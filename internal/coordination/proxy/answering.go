package proxy

import (
	"bytes"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Responses with which a delegate refuses a heartbeat.
var (
	// errSuperseded is returned if the agent has received a higher fencing token than this
	// controller has.
	errSuperseded = apierror.NotReady("superseded", 1)
	// errLeaderBehind is returned if too many answered heartbeats wait to be sent to the
	// partition's leader.
	errLeaderBehind = apierror.NotReady("the owner of the machine is behind", 1)
)

// AnswerHeartbeat answers an agent's heartbeat on behalf of the partition's leader. It returns
// false if this controller has no grant for the machine. The heartbeat is sent to the leader with
// the next renewal (rule 37).
func (p *Proxy) AnswerHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool) {
	partition, assigned := p.Partitions[machine.Record.Partition], p.Assignments[machine.Record.Partition]
	if p.Draining || partition.Held || !assigned.allows(partition, machine, now) {
		return transport.Response{}, false
	}
	token := p.Token(machine)
	if heartbeat.Token > token {
		return apierror.Response(errSuperseded), true
	}
	if assigned.UnsentBytes+len(raw) > p.UnsentLimit {
		p.bounds.ReportExceeded(telemetry.ForwardedHeartbeats, 1)
		return apierror.Response(errLeaderBehind), true
	}
	if heartbeat.Addr != "" {
		machine.Record.Addr = heartbeat.Addr
	}
	assigned.add(machine.Name, answeredHeartbeat{bytes.Clone(raw), heartbeat.Epoch, heartbeat.Sequence})
	eventloop.Signal(assigned.wakeup)
	batch := protocol.CommandBatch{Token: token, Commands: p.agents.StopsForCancelledJobs(heartbeat)}
	return transport.Response{Status: 200, Body: protocol.Encode(batch)}, true
}
