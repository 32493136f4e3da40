package proxy

import (
	"errors"
	"fmt"
	"time"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// ForwardPath is the path at which delegates accept commands to forward to agents.
const ForwardPath = "/peer/relay"

// ForwardCommandsLimit is the maximum number of machines whose commands are sent to a delegate in
// one request.
const ForwardCommandsLimit = 64

const (
	// forwardBatchDelay is the time for which commands to a delegate are collected before they
	// are sent in one request.
	forwardBatchDelay = 3 * time.Millisecond
	// forwardBytesLimit is the maximum size of the commands in one request, in bytes. A single
	// larger command is sent in a request of its own.
	forwardBytesLimit = peerapi.PortableBodyLimit / 2
)

// errDelegateUnanswered is returned if the delegate received no answer from the agent. The agent
// may have received the commands, or may still receive them.
var errDelegateUnanswered = errors.New("no answer from the agent")

// forwardedCommand holds encoded commands for one machine's agent that are sent through a delegate,
// and the channel for the result.
type forwardedCommand struct {
	machine string
	body    []byte
	result  chan *peer.ForwardResult
}

// ForwardCommands sends a machine's commands through its delegate and waits for the agent's answer.
// If the error wraps transport.ErrNotSent, the commands were not sent and will never arrive.
func (p *Proxy) ForwardCommands(delegate, machine string, body []byte) (*transport.Response, error) {
	command := &forwardedCommand{machine: machine, body: body, result: make(chan *peer.ForwardResult, 1)}
	p.mu.Lock()
	first := len(p.queuedCommands[delegate]) == 0
	p.queuedCommands[delegate] = append(p.queuedCommands[delegate], command)
	p.mu.Unlock()
	if first {
		p.loop.Go(func() { p.flush(delegate) })
	}
	result := <-command.result
	switch {
	case result.Unsent:
		return nil, fmt.Errorf("forward through delegate %s: %w", delegate, transport.ErrNotSent)
	case result.Status == 0:
		return nil, fmt.Errorf("forward through delegate %s: %w", delegate, errDelegateUnanswered)
	}
	return &transport.Response{Status: int(result.Status), Body: result.Body}, nil
}

// flush sends a delegate its queued commands, in requests of limited size.
func (p *Proxy) flush(delegate string) {
	p.loop.Sleep(forwardBatchDelay)
	p.mu.Lock()
	queued := p.queuedCommands[delegate]
	delete(p.queuedCommands, delegate)
	p.mu.Unlock()
	for len(queued) > 0 {
		n := batchLen(queued)
		batch := queued[:n]
		queued = queued[n:]
		p.loop.Go(func() { p.forward(delegate, batch) })
	}
}

// batchLen returns the number of queued commands to send in the next request: as many as fit, but
// at least one.
func batchLen(queued []*forwardedCommand) int {
	n, size := 0, 0
	for n < len(queued) && n < ForwardCommandsLimit && (n == 0 || size+len(queued[n].body) <= forwardBytesLimit) {
		size += len(queued[n].body)
		n++
	}
	return n
}

// forward sends a delegate one request and passes the results to the waiting callers.
func (p *Proxy) forward(delegate string, batch []*forwardedCommand) {
	request := &peer.ForwardRequest{From: p.Settings.Label}
	for _, command := range batch {
		request.Commands = append(request.Commands, &peer.ForwardedCommand{Machine: command.machine, Body: command.body})
	}
	reply := new(peer.ForwardReply)
	err := peerapi.Call(p.loop.Context(), p.network, peerCallTimeout, p.Peers[delegate].Addr, ForwardPath, request, reply)
	if err == nil && len(reply.Results) != len(batch) {
		err = fmt.Errorf("reply has %d results for %d commands", len(reply.Results), len(batch))
	}
	if err != nil {
		p.log.Debug("command forwarding failed", "controller", delegate, "error", err)
		p.markDown(delegate)
	}
	for i, command := range batch {
		if err == nil {
			command.result <- reply.Results[i]
		} else {
			command.result <- &peer.ForwardResult{Unsent: errors.Is(err, transport.ErrNotSent)}
		}
	}
}

// markDown makes the commands of all partitions bypass a delegate for a while.
func (p *Proxy) markDown(delegate string) {
	p.loop.Do(func() {
		for _, partition := range p.Partitions {
			partition.Delegations.MarkDown(delegate, time.Now())
		}
	})
}
