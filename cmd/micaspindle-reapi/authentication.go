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

// protocolHTTP2 is the ALPN protocol name that gRPC negotiates in the TLS handshake.
const protocolHTTP2 = "h2"

// authentication identifies callers and decides what they may do. It also holds the credentials
// of this front end for controllers and other front ends.
type authentication struct {
	access        reapi.Access
	controllers   *client.Client
	serverOptions []grpc.ServerOption
	// peerCredentials returns the credentials for connections to the front end with the given
	// name.
	peerCredentials func(name string) credentials.TransportCredentials
	// isPeer, isWorker and certified are the functions that apply sets in reapi.Config.
	isPeer          func(ctx context.Context) bool
	isWorker        func(ctx context.Context) bool
	certificateName func(ctx context.Context) string
}

// apply sets the functions of the configuration that identify callers.
func (a *authentication) apply(config *reapi.Config) {
	config.IsPeer, config.IsWorker, config.CertificateName = a.isPeer, a.isWorker, a.certificateName
}

// newAuthentication sets up authentication according to the settings.
func newAuthentication(ctx context.Context, s *settings, log *slog.Logger) (*authentication, error) {
	if s.Identity == nil {
		return unauthenticated(s), nil
	}
	keys, err := identity.Load(identity.Files{CredentialsFile: s.Identity.Own, RootsFile: s.Identity.Roots})
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
		certificateName: certifiedCaller,
	}, nil
}

// unauthenticated trusts every caller and uses unencrypted connections.
func unauthenticated(s *settings) *authentication {
	trust := func(context.Context) bool { return true }
	a := &authentication{
		access:          reapi.OpenAccess{},
		controllers:     client.New(s.Controllers, nil, ""),
		peerCredentials: func(string) credentials.TransportCredentials { return insecure.NewCredentials() },
		isWorker:        trust,
	}
	if len(s.Peers) > 0 {
		a.isPeer = trust
	}
	return a
}

// serverCredentials returns credentials that use the latest certificates for each new connection.
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

// peerCredentials returns credentials that accept only the front end whose certificate has the name. Each new
// connection uses the latest certificate.
func peerCredentials(keys *identity.Keyring, name string) credentials.TransportCredentials {
	return credentials.NewTLS(keys.ClientConfig(func(n identity.Name) bool { return n.String() == name }))
}

// isController reports whether a name is that of a controller.
func isController(n identity.Name) bool { return n.Kind == identity.Controller }

// peerCheck returns a function that reports whether a call's certificate is that of another front
// end.
func peerCheck(peers map[string]string) func(ctx context.Context) bool {
	names := map[string]bool{}
	for _, name := range peers {
		names[name] = true
	}
	return func(ctx context.Context) bool { return names[certifiedName(ctx)] }
}

// isWorker reports whether a call's certificate is that of a worker.
func isWorker(ctx context.Context) bool {
	return strings.HasPrefix(certifiedName(ctx), string(identity.Worker)+"/")
}

// certifiedCaller returns the name in a call's certificate if it is a person or a service, otherwise
// the empty string.
func certifiedCaller(ctx context.Context) string {
	name, err := identity.ParseName(certifiedName(ctx))
	if err != nil || !name.IsCaller() {
		return ""
	}
	return name.String()
}

// certifiedName returns the name in the client certificate of a call's connection, or the empty
// string if there is no valid one.
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
	// The certificate may have expired since the connection was opened.
	if err != nil || time.Now().After(info.State.PeerCertificates[0].NotAfter) {
		return ""
	}
	return name.String()
}
