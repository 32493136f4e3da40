package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// commandsPath is the path at which agents accept commands.
const commandsPath = "/orders"

// forwardAnswerWait is the time for which a delegate waits for the agents' answers to the commands
// in one request.
const forwardAnswerWait = 400 * time.Millisecond

// errStopping is returned for commands that arrive after the event loop has ended.
var errStopping = apierror.NotReady("stopping", 1)

// agentResult is an agent's answer to the command at an index in the request.
type agentResult struct {
	index  int
	result *peer.ForwardResult
}

// HandleForwarded forwards commands to agents on behalf of a partition's leader and returns the
// answers received in time. It need not check whether the sender still leads the partition: agents
// refuse commands with an old fencing token.
func (p *Proxy) HandleForwarded(caller *auth.Caller, body []byte) (*peer.ForwardReply, error) {
	request := new(peer.ForwardRequest)
	if err := proto.Unmarshal(body, request); err != nil || len(request.Commands) > ForwardCommandsLimit {
		return nil, apierror.New(http.StatusBadRequest, "bad request")
	}
	if err := p.auth.CheckPeer(caller, request.From); err != nil {
		return nil, err
	}
	addrs, ok := p.agentAddrs(request.Commands)
	if !ok {
		return nil, errStopping
	}
	return p.sendToAgents(request.Commands, addrs), nil
}

// agentAddrs returns the address of the agent of each command, or "" if it is unknown. It returns
// false if the event loop has ended.
func (p *Proxy) agentAddrs(commands []*peer.ForwardedCommand) (addrs []string, ok bool) {
	addrs = make([]string, len(commands))
	ok = p.loop.Do(func() {
		for i, command := range commands {
			if machine := p.Machines[command.Machine]; machine != nil {
				addrs[i] = machine.Record.Addr
			}
		}
	})
	return addrs, ok
}

// sendToAgents sends all commands concurrently and returns the answers received in time. The other
// results have status 0, which means unanswered: these commands may still arrive.
func (p *Proxy) sendToAgents(commands []*peer.ForwardedCommand, addrs []string) *peer.ForwardReply {
	answers := make(chan agentResult, len(addrs))
	reply := &peer.ForwardReply{}
	waiting := 0
	for i, addr := range addrs {
		reply.Results = append(reply.Results, &peer.ForwardResult{Unsent: addr == ""})
		if addr == "" {
			continue
		}
		waiting++
		go func() { answers <- agentResult{i, p.sendToAgent(addr, commands[i].Body)} }()
	}
	deadline := time.NewTimer(forwardAnswerWait)
	defer deadline.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case answer := <-answers:
			reply.Results[answer.index] = answer.result
		case <-deadline.C:
			return reply
		}
	}
	return reply
}

// sendToAgent sends commands to one agent and waits for its answer.
func (p *Proxy) sendToAgent(addr string, body []byte) *peer.ForwardResult {
	ctx, cancel := context.WithTimeout(p.loop.Context(), agents.CommandTimeout)
	defer cancel()
	response, err := p.network.Do(ctx, addr, "POST", commandsPath, body)
	if err != nil {
		return &peer.ForwardResult{Unsent: errors.Is(err, transport.ErrNotSent)}
	}
	return &peer.ForwardResult{Status: uint32(response.Status), Body: response.Body}
}
