package coordination

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// peerHandler answers a request of another controller, the authenticated caller.
type peerHandler func(c *Controller, caller *auth.Caller, body []byte) transport.Response

// peerHandlers are the requests that controllers send each other, by path. All are POSTs.
var peerHandlers = map[string]peerHandler{
	peering.SummaryPath: (*Controller).handleSummary,
	replication.UpdatePath: func(c *Controller, caller *auth.Caller, body []byte) transport.Response {
		return c.replicator.HandleUpdate(caller, body)
	},
	replication.StateTransferPath: func(c *Controller, _ *auth.Caller, body []byte) transport.Response {
		return c.replicator.HandleStateTransfer(body)
	},
	proxy.DelegationPath: func(c *Controller, caller *auth.Caller, body []byte) transport.Response {
		return c.proxy.HandleRenewal(caller, body)
	},
	proxy.ForwardPath: func(c *Controller, caller *auth.Caller, body []byte) transport.Response {
		return c.proxy.HandleForwarded(caller, body)
	},
	peerapi.MachineRequestPath: (*Controller).handleMachineRequest,
}

// ServePeers answers the other controllers.
func (c *Controller) ServePeers(_ context.Context, req *transport.Request) transport.Response {
	caller, refusal := c.auth.AuthenticatePeer(req)
	if refusal != nil {
		return *refusal
	}
	if req.Method != http.MethodPost {
		return respond.Refuse(http.StatusMethodNotAllowed, "method not allowed", 0)
	}
	handle := peerHandlers[req.Path]
	if handle == nil {
		return respond.Refuse(http.StatusNotFound, "no such path", 0)
	}
	return handle(c, caller, req.Body)
}

// handleSummary receives another controller's summary of itself.
func (c *Controller) handleSummary(caller *auth.Caller, body []byte) transport.Response {
	summary := new(peer.Summary)
	if err := proto.Unmarshal(body, summary); err != nil {
		return respond.Refuse(http.StatusBadRequest, "bad summary", 0)
	}
	sender := identity.Name{Kind: identity.Controller, ID: summary.From}
	if refusal := c.auth.CheckSender(caller, "peer", sender); refusal != nil {
		return *refusal
	}
	c.loop.Do(func() { c.peering.ReceiveSummary(summary) })
	return transport.Response{Status: http.StatusOK}
}

// handleMachineRequest answers what the cluster leader asks of a partition's leader.
func (c *Controller) handleMachineRequest(_ *auth.Caller, body []byte) transport.Response {
	request := new(peer.MachineRequest)
	if err := proto.Unmarshal(body, request); err != nil {
		return respond.Refuse(http.StatusBadRequest, "bad request", 0)
	}
	return peerapi.Reply(c.agents.HandleMachineRequest(request))
}
