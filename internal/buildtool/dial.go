// Package buildtool is a small build client of the Remote Execution API: it runs a
// graph of actions through one or several gates, whatever ends meanwhile. It
// knows the published protocol only, and nothing of the gate's own packages.
package buildtool

import (
	"context"
	"crypto/tls"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
)

// Dial connects to gates, one call at one, the next at another; calls go to those
// that can be reached. Without a TLS configuration it speaks in the clear, and a
// token is refused.
func Dial(gates []string, secure *tls.Config, token string) (*grpc.ClientConn, error) {
	if len(gates) == 0 {
		return nil, errors.New("no gates")
	}
	transport := insecure.NewCredentials()
	if secure != nil {
		transport = credentials.NewTLS(secure)
	} else if token != "" {
		return nil, errors.New("a token is never sent in the clear")
	}
	r := manual.NewBuilderWithScheme("gates")
	var state resolver.State
	for _, g := range gates {
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: g}}})
	}
	r.InitialState(state)
	opts := []grpc.DialOption{grpc.WithResolvers(r), grpc.WithTransportCredentials(transport),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"round_robin":{}}]}`),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 20 * time.Second, Timeout: 5 * time.Second})}
	if token != "" {
		opts = append(opts, grpc.WithPerRPCCredentials(bearer(token)))
	}
	return grpc.NewClient("gates:///", opts...)
}

// bearer sends a token with every call.
type bearer string

// GetRequestMetadata is the header.
func (b bearer) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{"authorization": "Bearer " + string(b)}, nil
}

// RequireTransportSecurity keeps it out of plain connections.
func (bearer) RequireTransportSecurity() bool { return true }
