// Package client sends requests of users and operators to the controllers of a cluster. It tries one
// controller after another until there is a final response or the time is up.
package client

import (
	"crypto/tls"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"micaspindle/internal/retry"
)

const (
	// requestTimeout bounds one request to one controller.
	requestTimeout = 5 * time.Second
	// defaultRetryTimeout is the initial value of RetryTimeout.
	defaultRetryTimeout = time.Minute
	// maxIdleConnections is the maximum number of idle connections per controller. They are closed
	// after idleConnectionTimeout.
	maxIdleConnections    = 16
	idleConnectionTimeout = 20 * time.Second
	// retryRatio and retryBurst configure the budget of immediate retries: each request adds
	// retryRatio tokens, up to retryBurst, and each immediate retry takes one.
	retryRatio = 0.2
	retryBurst = 50
)

// Client sends requests to a cluster. It is safe for concurrent use.
type Client struct {
	// Controllers are the addresses of the controllers, as HOST:PORT.
	Controllers []string
	// Token is the bearer token of every request; empty means none.
	Token string
	// OnBehalfOf is the identity for which a service sends its requests; empty means its own. The
	// controllers check that the service may act for it.
	OnBehalfOf string
	// RetryTimeout is the time limit of a request including its retries.
	RetryTimeout time.Duration

	scheme string
	http   *http.Client
	// next counts the requests that were sent. They go to the controllers in turn.
	next atomic.Uint32
	// retryBudget limits immediate retries. Clients that are derived from one another share it.
	retryBudget *retry.Budget
}

// New returns a client. If the TLS configuration is nil, it uses plain HTTP.
func New(controllers []string, secure *tls.Config, token string) *Client {
	scheme := "http"
	if secure != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: secure, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout}
	return &Client{
		Controllers:  controllers,
		Token:        token,
		RetryTimeout: defaultRetryTimeout,
		scheme:       scheme,
		http:         &http.Client{Transport: transport, Timeout: requestTimeout},
		retryBudget:  &retry.Budget{Ratio: retryRatio, Max: retryBurst},
	}
}

// derive returns a client for the same cluster that shares connections and retry budget, without Token
// and OnBehalfOf.
func (c *Client) derive() *Client {
	return &Client{Controllers: c.Controllers, RetryTimeout: c.RetryTimeout, scheme: c.scheme, http: c.http, retryBudget: c.retryBudget}
}

// ForController returns a client for only one controller, with the same credentials.
func (c *Client) ForController(addr string) *Client {
	derived := c.derive()
	derived.Controllers, derived.Token, derived.OnBehalfOf = []string{addr}, c.Token, c.OnBehalfOf
	return derived
}

// WithToken returns a client with the given token and without OnBehalfOf.
func (c *Client) WithToken(token string) *Client {
	derived := c.derive()
	derived.Token = token
	return derived
}

// WithOnBehalfOf returns a client that sends requests on behalf of an identity and without a token. It
// authenticates with the process's certificate.
func (c *Client) WithOnBehalfOf(name string) *Client {
	derived := c.derive()
	derived.OnBehalfOf = name
	return derived
}

// SplitAddresses splits a list of addresses at commas and spaces.
func SplitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
