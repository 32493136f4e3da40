// Package client sends requests of users and operators to the controllers of a cluster: to any of
// them, and again until there is a final answer or the time is over. It knows the messages and
// nothing of how controllers decide.
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
	// defaultPatience is how long a request is tried again, unless Patience is set.
	defaultPatience = time.Minute
	// maxIdleConnections is how many connections to each controller stay open, for
	// idleConnectionTimeout.
	maxIdleConnections    = 16
	idleConnectionTimeout = 20 * time.Second
	// retryRatio is how many retries at once each request allows, retriesMax how many may follow
	// one another.
	retryRatio = 0.2
	retriesMax = 50
)

// Client sends requests to a cluster. Several goroutines may use it.
type Client struct {
	// Controllers are addresses, HOST:PORT.
	Controllers []string
	// Token is sent with every request; "": none.
	Token string
	// OnBehalfOf is the identity that a service asks for; "": the client's own. The controllers
	// check that the service may.
	OnBehalfOf string
	// Patience is how long a request is tried again.
	Patience time.Duration

	scheme string
	http   *http.Client
	// next counts requests, which go to the controllers in turn.
	next atomic.Uint32
	// retries is shared by all clients that derive from one.
	retries *retry.Budget
}

// New makes a client; nil as the TLS configuration means plain HTTP.
func New(controllers []string, secure *tls.Config, token string) *Client {
	scheme := "http"
	if secure != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: secure, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout}
	return &Client{
		Controllers: controllers,
		Token:       token,
		Patience:    defaultPatience,
		scheme:      scheme,
		http:        &http.Client{Transport: transport, Timeout: requestTimeout},
		retries:     &retry.Budget{Ratio: retryRatio, Max: retriesMax},
	}
}

// derive is a client of the same cluster, with the same connections and retries and no identity.
func (c *Client) derive() *Client {
	return &Client{Controllers: c.Controllers, Patience: c.Patience, scheme: c.scheme, http: c.http, retries: c.retries}
}

// ForController is the same client, for one controller only.
func (c *Client) ForController(addr string) *Client {
	derived := c.derive()
	derived.Controllers, derived.Token, derived.OnBehalfOf = []string{addr}, c.Token, c.OnBehalfOf
	return derived
}

// WithToken is the same client with another token.
func (c *Client) WithToken(token string) *Client {
	derived := c.derive()
	derived.Token = token
	return derived
}

// OnBehalf is the same client on behalf of an identity, with the process's own certificate.
func (c *Client) OnBehalf(name string) *Client {
	derived := c.derive()
	derived.OnBehalfOf = name
	return derived
}

// SplitAddresses splits a list of addresses at commas and spaces.
func SplitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' })
}
