package buildtool

import (
	"context"
	"crypto/tls"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
)

// resolverScheme is the scheme of the connection's target, which stands for all front ends.
const resolverScheme = "frontends"

// reconnect makes connections come back within a second.
var reconnect = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	minConnectTimeout = time.Second
	keepaliveInterval = 20 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// Dial connects to front ends, whose addresses take turns as long as they can be reached.
// Without a TLS configuration the connection is not encrypted, and a token is refused.
func Dial(frontEnds []string, tlsConfig *tls.Config, token string) (*grpc.ClientConn, error) {
	if len(frontEnds) == 0 {
		return nil, errors.New("no front ends")
	}
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig)
	} else if token != "" {
		return nil, errors.New("a token is never sent in the clear")
	}
	addresses := manual.NewBuilderWithScheme(resolverScheme)
	var state resolver.State
	for _, addr := range frontEnds {
		state.Endpoints = append(state.Endpoints, resolver.Endpoint{Addresses: []resolver.Address{{Addr: addr}}})
	}
	addresses.InitialState(state)
	opts := []grpc.DialOption{
		grpc.WithResolvers(addresses),
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"round_robin":{}}]}`),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: minConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
	if token != "" {
		opts = append(opts, grpc.WithPerRPCCredentials(bearer(token)))
	}
	return grpc.NewClient(resolverScheme+":///", opts...)
}

// bearer is a token that is sent with every call.
type bearer string

// GetRequestMetadata returns the authorization header.
func (b bearer) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{"authorization": "Bearer " + string(b)}, nil
}

// RequireTransportSecurity refuses connections that are not encrypted.
func (bearer) RequireTransportSecurity() bool { return true }
