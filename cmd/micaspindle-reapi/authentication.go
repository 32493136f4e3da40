package main

import (
	"context"
	"crypto/tls"
	"log/slog"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/reapi"
)

// protocolHTTP2 is what gRPC negotiates in the TLS handshake.
const protocolHTTP2 = "h2"

// authentication says who callers are, what they may do, and how this front end proves itself
// to controllers and other front ends.
type authentication struct {
	access          reapi.Access
	controllers     *client.Client
	serverOptions   []grpc.ServerOption
	peerCredentials func(name string) credentials.TransportCredentials
	isPeer          func(ctx context.Context) bool
	isWorker        func(ctx context.Context) bool
	certified       func(ctx context.Context) string
}

// apply tells the service how callers are recognized.
func (a *authentication) apply(config *reapi.Config) {
	config.IsPeer, config.IsWorker, config.Certified = a.isPeer, a.isWorker, a.certified
}

// authenticate sets up authentication as the settings want it.
func authenticate(ctx context.Context, s *settings, log *slog.Logger) (*authentication, error) {
	if s.Identity == nil {
		return unauthenticated(s), nil
	}
	keys, err := identity.Load(identity.Files{Own: s.Identity.Own, Roots: s.Identity.Roots})
	if err != nil {
		return nil, usageError{err}
	}
	go keys.Watch(ctx, log)
	controllers := client.New(s.Controllers, keys.ClientConfig(isController), "")
	access, err := reapi.NewControllerAccess(controllers, s.Class)
	if err != nil {
		return nil, err
	}
	return &authentication{
		access:          access,
		controllers:     controllers,
		serverOptions:   []grpc.ServerOption{grpc.Creds(serverCredentials(keys))},
		peerCredentials: func(name string) credentials.TransportCredentials { return peerCredentials(keys, name) },
		isPeer:          peerCheck(s.Peers),
		isWorker:        isWorker,
		certified:       certifiedCaller,
	}, nil
}

// unauthenticated believes every caller and encrypts nothing.
func unauthenticated(s *settings) *authentication {
	believe := func(context.Context) bool { return true }
	a := &authentication{
		access:          reapi.OpenAccess{},
		controllers:     client.New(s.Controllers, nil, ""),
		peerCredentials: func(string) credentials.TransportCredentials { return insecure.NewCredentials() },
		isWorker:        believe,
	}
	if len(s.Peers) > 0 {
		a.isPeer = believe
	}
	return a
}

// serverCredentials take the latest certificates for each new connection.
func serverCredentials(keys *identity.Keyring) credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := keys.ServerConfig(false)
			config.NextProtos = []string{protocolHTTP2}
			return config, nil
		},
	})
}

// peerCredentials accept the front end with a name only. The certificate of a new connection is
// the latest.
func peerCredentials(keys *identity.Keyring, name string) credentials.TransportCredentials {
	return credentials.NewTLS(keys.ClientConfig(func(n identity.Name) bool { return n.String() == name }))
}

// isController says whether a name is that of a controller.
func isController(n identity.Name) bool { return n.Kind == identity.Controller }

// peerCheck says whether a call's certificate is that of another front end.
func peerCheck(peers map[string]string) func(ctx context.Context) bool {
	names := map[string]bool{}
	for _, name := range peers {
		names[name] = true
	}
	return func(ctx context.Context) bool { return names[certifiedName(ctx)] }
}

// isWorker says whether a call's certificate is that of a worker.
func isWorker(ctx context.Context) bool {
	return strings.HasPrefix(certifiedName(ctx), string(identity.Worker)+"/")
}

// certifiedCaller is the name in a call's certificate if it may call for itself.
func certifiedCaller(ctx context.Context) string {
	name, err := identity.ParseName(certifiedName(ctx))
	if err != nil || !name.Caller() {
		return ""
	}
	return name.String()
}

// certifiedName is the name in the certificate of a call's connection, empty if there is none.
func certifiedName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return ""
	}
	name, err := identity.FromCertificate(info.State.PeerCertificates[0])
	// The connection may have been open for longer than the certificate is valid.
	if err != nil || time.Now().After(info.State.PeerCertificates[0].NotAfter) {
		return ""
	}
	return name.String()
}
