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
	// redirectInterval is how long an agent that was redirected to its delegate and came back
	// is served by the leader before it is redirected again.
	redirectInterval = 3 * time.Second
	// redirectRetryInterval is the same for an agent that did not reach the delegate at all.
	redirectRetryInterval = 30 * time.Second
)

// HandleRenewal answers a delegate's renewal as the partition's leader: it applies the
// heartbeats that the delegate answered and grants it its shards.
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

// decodeHeartbeats decodes heartbeats as agents sent them, leaving out those that are invalid.
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

// renewGrant applies the heartbeats of a renewal and renews the delegate's grant; nil: this
// controller does not lead the partition under the lease that the request names.
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
	machine.AcceptHeartbeat(heartbeat)
	machine.AnsweredUntil = now // the delegate answered before now, so this is an upper bound
	if heartbeat.Token > p.Token(machine) || !machine.IsNewer(heartbeat) {
		return // late, or older than one that came another way
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

// RedirectTarget names the delegate to which an agent that came here should send its
// heartbeats; "": it is served here.
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
