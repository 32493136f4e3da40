package coordination

import (
	"context"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// ServePeers answers the other controllers.
func (c *Controller) ServePeers(_ context.Context, req *transport.Request) transport.Response {
	who, refusal := c.auth.AuthenticatePeer(req)
	if refusal != nil {
		return *refusal
	}
	switch {
	case req.Method != "POST":
		return respond.Refuse(405, "method not allowed", 0)
	case req.Path == peering.SummaryPath:
		sum := new(peer.Summary)
		if err := proto.Unmarshal(req.Body, sum); err != nil {
			return respond.Refuse(400, "bad summary", 0)
		}
		if refusal := c.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: sum.From}); refusal != nil {
			return *refusal
		}
		c.loop.Do(func() { c.peering.ReceiveSummary(sum) })
		return transport.Response{Status: 200}
	case req.Path == replication.UpdatePath:
		return c.replicator.HandleUpdate(who, req.Body)
	case req.Path == replication.StateTransferPath:
		return c.replicator.HandleStateTransfer(req.Body)
	case req.Path == proxy.DelegationPath:
		return c.proxy.HandleRenewal(who, req.Body)
	case req.Path == proxy.ForwardPath:
		return c.proxy.HandleForwarded(who, req.Body)
	case req.Path == peerapi.MachineRequestPath:
		fr := new(peer.MachineRequest)
		if err := proto.Unmarshal(req.Body, fr); err != nil {
			return respond.Refuse(400, "bad request", 0)
		}
		return peerapi.Reply(c.agents.HandleMachineRequest(fr))
	}
	return respond.Refuse(404, "no such path", 0)
}
