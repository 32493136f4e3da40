// Package cloudclient is a client of the cloud API. It stays below the API's rate limit and has a
// circuit breaker.
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
	// requestTimeout is the timeout of a request, including the wait for the rate limiter.
	requestTimeout = 5 * time.Second
	// rateLimitFraction is the fraction of the cloud API's rate limit that is used.
	rateLimitFraction = 0.8
	// rateBurst is the burst size of the rate limiter, in requests.
	rateBurst = 2
	// failureThreshold is the number of consecutive unanswered requests that opens the circuit.
	failureThreshold = 10
)

// circuitOpenTime is the time for which the circuit stays open, before jitter.
var circuitOpenTime = retry.Backoff{First: 600 * time.Millisecond, Max: 600 * time.Millisecond}

// errCircuitOpen is returned while the circuit is open because the cloud API does not answer.
var errCircuitOpen = errors.New("cloud API unavailable: circuit open")

// Client sends requests to the cloud API. It is safe for concurrent use.
type Client struct {
	settings *settings.Settings
	loop     *eventloop.Loop
	network  storage.Requester

	limiter *rate.Limiter
	// circuit blocks requests while the cloud API does not answer.
	circuit retry.CircuitBreaker
}

// New returns a Client.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester) *Client {
	set := state.Settings
	return &Client{
		settings: set,
		loop:     loop,
		network:  network,
		limiter:  rate.NewLimiter(rate.Limit(set.Params.Cloud.RPS*rateLimitFraction), rateBurst),
		circuit:  retry.CircuitBreaker{FailureThreshold: failureThreshold, OpenTime: circuitOpenTime, JitterKey: set.Label + " cloud"},
	}
}

// call sends one request to the cloud API, subject to the rate limit and the circuit breaker, and
// returns the status of the response. in is encoded as the body unless it is nil. A response with
// status 200 is decoded into out unless that is nil. The error is not nil if there was no response,
// or if the response can't be decoded.
func (c *Client) call(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.loop.Context(), requestTimeout)
	defer cancel()
	if c.circuit.Open(time.Now()) {
		return 0, errCircuitOpen
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, fmt.Errorf("wait for cloud rate limit: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	// The circuit may have opened during the wait for the rate limiter.
	if !c.circuit.Allow(time.Now()) {
		return 0, errCircuitOpen
	}
	resp, err := c.network.Do(ctx, c.settings.Services.Cloud, method, target, body)
	c.circuit.Done(time.Now(), err == nil)
	if err != nil {
		return 0, fmt.Errorf("cloud request: %w", err)
	}
	if out != nil && resp.Status == statusOK {
		if err := protocol.Decode(resp.Body, out); err != nil {
			return 0, fmt.Errorf("decode cloud response: %w", err)
		}
	}
	return resp.Status, nil
}

// Unavailable reports whether the circuit is open because the cloud API does not answer.
func (c *Client) Unavailable(now time.Time) bool { return c.circuit.Open(now) }
