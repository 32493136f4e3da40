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

// identify turns authentication on: TLS to users, workers and other controllers, and a
// controller that checks who its callers are. The state service and the cloud belong to the
// platform; connections to them are not encrypted.
func identify(ctl *coordination.Controller, client *transport.Client, set *settings.Settings, id *settings.Identity) (*identity.Keyring, error) {
	keys, err := loadKeys(set.Label, id)
	if err != nil {
		return nil, err
	}
	if err := checkBootstrap(id.Bootstrap); err != nil {
		return nil, err
	}
	client.TLSConfig = clientTLS(set, keys)
	bound := time.Duration(set.Params.TimeBoundMS * float64(time.Millisecond))
	err = ctl.EnableAuth(auth.Identities{
		Tokens:     identity.NewTokens(keys, id.Cluster, bound),
		Bootstrap:  id.Bootstrap,
		ClockBound: bound,
		Signer:     func() audit.Signer { return signer(keys) },
	})
	if err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return keys, nil
}

// loadKeys reads the controller's certificate and the keys that it trusts. The certificate has to
// be that of the controller with the label.
func loadKeys(label string, id *settings.Identity) (*identity.Keyring, error) {
	path := func(name string) string { return strings.ReplaceAll(name, "{label}", label) }
	keys, err := identity.Load(identity.Files{Own: path(id.Own), Roots: path(id.Roots), TokenKeys: path(id.TokenKeys)})
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

// checkBootstrap validates the name of the first administrator, if there is one.
func checkBootstrap(text string) error {
	if text == "" {
		return nil
	}
	if name, err := identity.ParseName(text); err != nil || !name.Caller() {
		return fmt.Errorf("identity.bootstrap: %q is no person and no service", text)
	}
	return nil
}

// clientTLS is the TLS configuration for connections to an address: another controller has to
// show the certificate of its label, anything else that of a worker. Connections to the
// platform's services have none.
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

// signer signs the audit log with the latest certificate.
func signer(keys *identity.Keyring) audit.Signer {
	key, cert := keys.Signer()
	return audit.Signer{Key: key, Cert: cert, ID: identity.Fingerprint(cert)}
}
