package proxy

import (
	"errors"
	"fmt"
	"time"

	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// ForwardPath is where a delegate takes commands to be forwarded to agents.
const ForwardPath = "/peer/relay"

// ForwardCommandsLimit is how many machines' commands one message to a delegate holds.
const ForwardCommandsLimit = 64

const (
	// forwardGatherDelay is for how long commands are gathered after the first.
	forwardGatherDelay = 3 * time.Millisecond
	// forwardBytesLimit bounds the commands of one message, in bytes; a single one may be
	// larger.
	forwardBytesLimit = peerapi.PortableBodyLimit / 2
)

// errDelegateUnanswered: the delegate had no answer of the agent, which may have got the
// commands or may still get them.
var errDelegateUnanswered = errors.New("the delegate had no answer of the agent")

// forwardedCommand is the commands for one machine's agent that go through its delegate.
type forwardedCommand struct {
	machine string
	body    []byte
	result  chan *peer.ForwardResult
}

// ForwardCommands sends a machine's commands through its delegate and waits for the agent's
// answer. An error that wraps transport.ErrNotSent proves that they can never arrive.
func (p *Proxy) ForwardCommands(delegate, machine string, body []byte) (*transport.Response, error) {
	command := &forwardedCommand{machine: machine, body: body, result: make(chan *peer.ForwardResult, 1)}
	p.mu.Lock()
	first := len(p.queued[delegate]) == 0
	p.queued[delegate] = append(p.queued[delegate], command)
	p.mu.Unlock()
	if first {
		p.loop.Go(func() { p.flush(delegate) })
	}
	result := <-command.result
	switch {
	case result.Unsent:
		return nil, fmt.Errorf("%w: through %s", transport.ErrNotSent, delegate)
	case result.Status == 0:
		return nil, fmt.Errorf("%w: %s", errDelegateUnanswered, delegate)
	}
	return &transport.Response{Status: int(result.Status), Body: result.Body}, nil
}

// flush sends a delegate the commands that were gathered, in messages of bounded size.
func (p *Proxy) flush(delegate string) {
	p.loop.Sleep(forwardGatherDelay)
	p.mu.Lock()
	queued := p.queued[delegate]
	delete(p.queued, delegate)
	p.mu.Unlock()
	for len(queued) > 0 {
		n := batchLen(queued)
		batch := queued[:n]
		queued = queued[n:]
		p.loop.Go(func() { p.forward(delegate, batch) })
	}
}

// batchLen is how many of the first commands fit into one message, at least one.
func batchLen(queued []*forwardedCommand) int {
	n, size := 0, 0
	for n < len(queued) && n < ForwardCommandsLimit && (n == 0 || size+len(queued[n].body) <= forwardBytesLimit) {
		size += len(queued[n].body)
		n++
	}
	return n
}

// forward sends one message to a delegate and hands the results to those who wait for them.
func (p *Proxy) forward(delegate string, batch []*forwardedCommand) {
	request := &peer.ForwardRequest{From: p.Settings.Label}
	for _, command := range batch {
		request.Commands = append(request.Commands, &peer.ForwardedCommand{Machine: command.machine, Body: command.body})
	}
	reply := new(peer.ForwardReply)
	err := peerapi.Call(p.loop.Context(), p.network, renewTimeout, p.Peers[delegate].Addr, ForwardPath, request, reply)
	if err == nil && len(reply.Results) != len(batch) {
		err = fmt.Errorf("%d results for %d commands", len(reply.Results), len(batch))
	}
	if err != nil {
		p.log.Debug("commands not forwarded", "controller", delegate, "error", err)
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
