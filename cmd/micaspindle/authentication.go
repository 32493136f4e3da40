package main

import (
	"crypto/tls"
	"fmt"
	"strings"
	"time"

	"micaspindle/internal/audit"
	"micaspindle/internal/coordination"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/identity"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// enableAuthentication makes the controller authenticate its callers and use TLS with users,
// workers and other controllers. It returns the keyring with the controller's keys. The platform's
// services, which are the state service and the cloud, are still reached without encryption.
func enableAuthentication(ctl *coordination.Controller, client *transport.Client, set *settings.Settings, id *settings.Identity) (*identity.Keyring, error) {
	keys, err := loadKeys(set.Label, id)
	if err != nil {
		return nil, err
	}
	if err := checkBootstrap(id.Bootstrap); err != nil {
		return nil, err
	}
	client.TLSConfig = clientTLS(set, keys)
	clockBound := time.Duration(set.Params.TimeBoundMS * float64(time.Millisecond))
	err = ctl.EnableAuth(auth.Config{
		Tokens:            identity.NewTokenVerifier(keys, id.Cluster, clockBound),
		BootstrapIdentity: id.Bootstrap,
		ClockBound:        clockBound,
		Signer:            func() audit.Signer { return signer(keys) },
	})
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return keys, nil
}

// loadKeys reads the controller's certificate and the keys that it trusts. It fails if the
// certificate was issued for another label.
func loadKeys(label string, id *settings.Identity) (*identity.Keyring, error) {
	path := func(name string) string { return strings.ReplaceAll(name, "{label}", label) }
	keys, err := identity.Load(identity.Files{CredentialsFile: path(id.CredentialsFile), RootsFile: path(id.RootsFile), TokenKeysFile: path(id.TokenKeysFile)})
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	_, cert := keys.Signer()
	name, err := identity.FromCertificate(cert)
	if err != nil || name.Kind != identity.Controller || name.ID != label {
		return nil, fmt.Errorf("identity.own: the certificate is for %s, but this is controller/%s", name, label)
	}
	return keys, nil
}

// checkBootstrap validates the identity that may write the first policy, if one is set.
func checkBootstrap(text string) error {
	if text == "" {
		return nil
	}
	if name, err := identity.ParseName(text); err != nil || !name.IsCaller() {
		return fmt.Errorf("identity.bootstrap: %q is not the name of a person or a service", text)
	}
	return nil
}

// clientTLS returns a function from addresses to the TLS configurations of outgoing connections. A
// connection to another controller's address accepts only the certificate of that controller, and a
// connection to any other address only certificates of workers. For the platform's services, whose
// connections are not encrypted, the function returns nil.
func clientTLS(set *settings.Settings, keys *identity.Keyring) func(addr string) *tls.Config {
	peers := map[string]string{}
	for _, other := range set.Others {
		peers[other.PeerAddr] = other.Label
	}
	return func(addr string) *tls.Config {
		if addr == set.Services.State || addr == set.Services.Cloud {
			return nil
		}
		label, isPeer := peers[addr]
		return keys.ClientConfig(func(n identity.Name) bool {
			if isPeer {
				return n.Kind == identity.Controller && n.ID == label
			}
			return n.Kind == identity.Worker
		})
	}
}

// signer returns the key and certificate that sign the audit log. Reloaded files take effect at the
// next call.
func signer(keys *identity.Keyring) audit.Signer {
	key, cert := keys.Signer()
	return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
}
