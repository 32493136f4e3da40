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
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

const (
	// requestTimeout bounds a request, with the wait for the rate limit.
	requestTimeout = 5 * time.Second
	// rateShare is the share of the cloud's rate limit that is used.
	rateShare = 0.8
	// rateBurst is how many requests may be sent at once.
	rateBurst = 2
	// failureLimit is how many unanswered requests in a row open the circuit.
	failureLimit = 10
)

// circuitBackoff is how long the circuit stays open.
var circuitBackoff = retry.Backoff{First: 600 * time.Millisecond, Max: 600 * time.Millisecond}

// errCircuitOpen: the cloud's interface has not answered for a while.
var errCircuitOpen = errors.New("the cloud's interface does not answer, the circuit is open")

// Client sends requests to the cloud's interface. Several goroutines may use it.
type Client struct {
	settings *settings.Settings
	loop     *eventloop.Loop
	network  storage.Requester

	limiter *rate.Limiter
	// circuit refuses requests while the interface does not answer.
	circuit retry.CircuitBreaker
}

// New makes a client.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester) *Client {
	set := state.Settings
	return &Client{
		settings: set,
		loop:     loop,
		network:  network,
		limiter:  rate.NewLimiter(rate.Limit(set.Params.Cloud.RPS*rateShare), rateBurst),
		circuit:  retry.CircuitBreaker{After: failureLimit, OpenTime: circuitBackoff, Who: set.Label + " cloud"},
	}
}

// call sends one request to the cloud, once the rate limit allows it, and returns the status
// of the answer. in, if any, is the body; an answer with status 200 is decoded into out, if
// any. The error says that there was no answer, or none that can be read.
func (c *Client) call(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.loop.Context(), requestTimeout)
	defer cancel()
	if c.circuit.Open(time.Now()) {
		return 0, errCircuitOpen
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud rate limit: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	// The circuit may have opened during the wait.
	if !c.circuit.Allow(time.Now()) {
		return 0, errCircuitOpen
	}
	resp, err := c.network.Do(ctx, c.settings.Services.Cloud, method, target, body)
	c.circuit.Done(time.Now(), err == nil)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	if out != nil && resp.Status == statusOK {
		if err := protocol.Decode(resp.Body, out); err != nil {
			return 0, fmt.Errorf("cloud: %w", err)
		}
	}
	return resp.Status, nil
}

// Unavailable reports whether requests are refused since the cloud's interface does not
// answer.
func (c *Client) Unavailable(now time.Time) bool { return c.circuit.Open(now) }
