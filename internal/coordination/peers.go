package coordination

import (
	"context"
	"net/http"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// peerHandler handles a request from another controller, which is the authenticated caller. A
// nil message stands for an empty response body.
type peerHandler func(c *Controller, caller *auth.Caller, body []byte) (proto.Message, error)

// peerHandlers are the handlers of the requests between controllers, by path. All use POST.
var peerHandlers = map[string]peerHandler{
	peering.SummaryPath: (*Controller).handleSummary,
	replication.UpdatePath: func(c *Controller, caller *auth.Caller, body []byte) (proto.Message, error) {
		return c.replicator.HandleUpdate(caller, body)
	},
	replication.StateTransferPath: func(c *Controller, _ *auth.Caller, body []byte) (proto.Message, error) {
		return c.replicator.HandleStateTransfer(body)
	},
	proxy.DelegationPath: func(c *Controller, caller *auth.Caller, body []byte) (proto.Message, error) {
		return c.proxy.HandleRenewal(caller, body)
	},
	proxy.ForwardPath: func(c *Controller, caller *auth.Caller, body []byte) (proto.Message, error) {
		return c.proxy.HandleForwarded(caller, body)
	},
	peerapi.MachineRequestPath: (*Controller).handleMachineRequest,
}

// ServePeers handles requests from other controllers.
func (c *Controller) ServePeers(_ context.Context, req *transport.Request) transport.Response {
	reply, err := c.servePeer(req)
	switch {
	case err != nil:
		return apierror.Response(err)
	case reply == nil:
		return transport.Response{Status: http.StatusOK}
	}
	return peerapi.Reply(reply)
}

// servePeer authenticates the sender of a request and calls the handler of its path.
func (c *Controller) servePeer(req *transport.Request) (proto.Message, error) {
	caller, err := c.auth.AuthenticatePeer(req)
	if err != nil {
		return nil, err
	}
	if req.Method != http.MethodPost {
		return nil, apierror.New(http.StatusMethodNotAllowed, "method not allowed")
	}
	handle := peerHandlers[req.Path]
	if handle == nil {
		return nil, apierror.New(http.StatusNotFound, "no such path")
	}
	return handle(c, caller, req.Body)
}

// handleSummary applies another controller's summary.
func (c *Controller) handleSummary(caller *auth.Caller, body []byte) (proto.Message, error) {
	summary := new(peer.Summary)
	if err := proto.Unmarshal(body, summary); err != nil {
		return nil, apierror.New(http.StatusBadRequest, "bad summary")
	}
	if err := c.auth.CheckPeer(caller, summary.From); err != nil {
		return nil, err
	}
	c.loop.Do(func() { c.peering.ReceiveSummary(summary) })
	return nil, nil
}

// handleMachineRequest passes a request of the cluster leader about a partition's machines to
// the agents component.
func (c *Controller) handleMachineRequest(_ *auth.Caller, body []byte) (proto.Message, error) {
	request := new(peer.MachineRequest)
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, apierror.New(http.StatusBadRequest, "bad request")
	}
	return c.agents.HandleMachineRequest(request), nil
}
