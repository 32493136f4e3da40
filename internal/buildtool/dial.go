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

// resolverScheme is the scheme of the connection target that resolves to all front ends.
const resolverScheme = "frontends"

// reconnectBackoff bounds the delay between connection attempts to a second.
var reconnectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

const (
	minConnectTimeout = time.Second
	keepaliveInterval = 20 * time.Second
	keepaliveTimeout  = 5 * time.Second
)

// Dial connects to front ends and distributes calls among those that can be reached, round
// robin. Without a TLS configuration the connection is not encrypted, and it is an error to
// give a token.
func Dial(frontEnds []string, tlsConfig *tls.Config, token string) (*grpc.ClientConn, error) {
	if len(frontEnds) == 0 {
		return nil, errors.New("no front-end addresses")
	}
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig)
	} else if token != "" {
		return nil, errors.New("a token requires a TLS connection")
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
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: minConnectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
	if token != "" {
		opts = append(opts, grpc.WithPerRPCCredentials(bearerToken(token)))
	}
	return grpc.NewClient(resolverScheme+":///", opts...)
}

// bearerToken is a token that is sent in the authorization header of every call.
type bearerToken string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (b bearerToken) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{"authorization": "Bearer " + string(b)}, nil
}

// RequireTransportSecurity prevents the token from being sent on connections that are not
// encrypted.
func (bearerToken) RequireTransportSecurity() bool { return true }
