// Package cloudclient sends requests to the cloud's interface, within this controller's share
// of the rate limit, behind a circuit breaker.
package cloudclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
)

// Client sends requests to the cloud's interface, within this controller's share of
// its limit.
type Client struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester

	budget *rate.Limiter
	// circuit leaves the interface alone while it does not answer.
	circuit retry.Circuit
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester) *Client {
	return &Client{State: state, loop: loop, network: network,
		budget:  rate.NewLimiter(rate.Limit(state.Settings.Params.Cloud.RPS*0.8), 2),
		circuit: retry.Circuit{After: cloudFailureLimit, Rest: cloudRestBackoff, Who: state.Settings.Label + " cloud"}}
}

// errCloudCircuitOpen: the cloud's interface has not answered for a while.
var errCloudCircuitOpen = errors.New("the cloud's interface does not answer; it is left alone for a moment")

// Call sends one request to the cloud within its budget.
func (cl *Client) Call(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(cl.loop.Context(), 5*time.Second)
	defer cancel()
	if cl.circuit.Open(time.Now()) {
		return 0, errCloudCircuitOpen
	}
	if err := cl.budget.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud budget: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if !cl.circuit.Allow(time.Now()) {
		return 0, errCloudCircuitOpen
	}
	resp, err := cl.network.Do(ctx, cl.Settings.Services.Cloud, method, target, body)
	cl.circuit.Done(time.Now(), err == nil)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	if out != nil && resp.Status == 200 {
		if err := protocol.Decode(resp.Body, out); err != nil {
			return 0, fmt.Errorf("cloud: %w", err)
		}
	}
	return resp.Status, nil
}

// Unavailable says whether the interface is left alone since it did not answer.
func (cl *Client) Unavailable(now time.Time) bool { return cl.circuit.Open(now) }
