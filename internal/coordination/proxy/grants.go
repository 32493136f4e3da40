package proxy

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

const (
	// redirectInterval is the minimum time between two redirects of an agent that reached its
	// delegate and came back to the leader.
	redirectInterval = 3 * time.Second
	// redirectRetryInterval is the minimum time between two redirects of an agent that never
	// reached its delegate.
	redirectRetryInterval = 30 * time.Second
)

// HandleRenewal handles a delegate's renewal request as the partition's leader: it applies the
// heartbeats that the delegate answered, and renews its grant.
func (p *Proxy) HandleRenewal(caller *auth.Caller, body []byte) (*peer.DelegationGrant, error) {
	request := new(peer.DelegationRequest)
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, apierror.New(http.StatusBadRequest, "bad request")
	}
	if err := p.auth.CheckPeer(caller, request.From); err != nil {
		return nil, err
	}
	heartbeats := decodeHeartbeats(request.Heartbeats)
	var grant *peer.DelegationGrant
	p.loop.Do(func() { grant = p.renewGrant(request, heartbeats, time.Now()) })
	if grant == nil {
		return nil, apierror.New(http.StatusConflict, "not the owner under this claim")
	}
	return grant, nil
}

// decodeHeartbeats decodes heartbeats as sent by agents and drops invalid ones.
func decodeHeartbeats(encoded [][]byte) []*protocol.Heartbeat {
	heartbeats := make([]*protocol.Heartbeat, 0, len(encoded))
	for _, raw := range encoded {
		heartbeat := new(protocol.Heartbeat)
		if err := protocol.Decode(raw, heartbeat); err == nil && heartbeat.Check() == nil {
			heartbeats = append(heartbeats, heartbeat)
		}
	}
	return heartbeats
}

// renewGrant applies the heartbeats in a renewal request and renews the delegate's grant. It
// returns nil if this controller may not answer heartbeats as the partition's leader, or if the
// request belongs to another lease.
func (p *Proxy) renewGrant(request *peer.DelegationRequest, heartbeats []*protocol.Heartbeat, now time.Time) *peer.DelegationGrant {
	if int(request.Partition) >= len(p.Partitions) {
		return nil
	}
	partition := p.Partitions[request.Partition]
	if !p.MayAnswerHeartbeats(partition, now) || !partition.Ready || partition.LeaseRevision != request.LeaseRevision || p.Draining {
		return nil
	}
	for _, heartbeat := range heartbeats {
		p.applyHeartbeat(partition, heartbeat, now)
	}
	longest := p.AnswerBound() - now.Sub(p.UpToDateAt())
	shards, duration, serial := partition.Delegations.Renew(request.From, request.Nonce, request.After, longest, now)
	grant := &peer.DelegationGrant{GrantMs: uint32(duration.Milliseconds()), Serial: serial}
	for _, shard := range shards {
		grant.Shards = append(grant.Shards, uint32(shard))
	}
	return grant
}

// applyHeartbeat applies a heartbeat that a delegate has answered.
func (p *Proxy) applyHeartbeat(partition *cluster.Partition, heartbeat *protocol.Heartbeat, now time.Time) {
	machine := p.Machines[heartbeat.Machine]
	if machine == nil || machine.Record.Partition != partition.Index {
		return
	}
	if !machine.AcceptHeartbeat(heartbeat) {
		p.agents.ProbeIfRestarted(machine, now)
	}
	machine.Answers.Answered(now) // an upper bound: the delegate answered before now
	if heartbeat.Token > p.Token(machine) || !machine.IsNewer(heartbeat) {
		return // out of order, or older than one received directly or through another delegate
	}
	if heartbeat.Addr != "" {
		machine.Record.Addr = heartbeat.Addr
	}
	p.agents.ApplyHeartbeat(machine, heartbeat, now)
	machine.LastHeartbeatAt, machine.DelegateHeartbeatAt = now, now
	if machine.TokenConfirmed && machine.NeedsCommands() {
		p.agents.SendCommands(machine)
	}
}

// RedirectTarget returns the delegate to which an agent that has sent this leader a heartbeat
// should send its heartbeats, or "" if the leader serves the agent itself.
func (p *Proxy) RedirectTarget(partition *cluster.Partition, machine *cluster.Machine, now time.Time) string {
	pause := redirectInterval
	if !machine.DelegateHeartbeatAt.After(machine.RedirectedAt) {
		pause = redirectRetryInterval
	}
	switch {
	case !partition.Ready || !machine.TokenConfirmed:
		return ""
	case !machine.RedirectedAt.IsZero() && now.Sub(machine.RedirectedAt) < pause:
		return ""
	case !partition.Delegations.Active(machine.Shard, now):
		return ""
	}
	machine.RedirectedAt = now
	return partition.Delegations.Delegate(machine.Shard)
}
