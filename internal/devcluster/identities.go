package devcluster

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/settings"
)

// Administrator is the identity that writes the initial policy.
const Administrator = "person/root"

const (
	clusterName         = "lab"
	authorityLifetime   = 365 * 24 * time.Hour
	certificateLifetime = 90 * 24 * time.Hour
	tokenLifetime       = 24 * time.Hour
)

// Identities holds the identities of a cluster: a certificate authority in the cluster's
// directory, certificates of controllers and machines, and tokens of people and services.
type Identities struct {
	Roots string // path of the root certificates' file
	CA    *pki.Authority
	dir   string
	// settings is the identity section of the controllers' settings.
	settings      settings.Identity
	workerKeyring *identity.Keyring
}

// PrepareIdentities creates the certificate authority, certificates and tokens of a cluster. It
// reuses an authority that exists in the directory.
func PrepareIdentities(dir string, controllers int) (*Identities, error) {
	identities := &Identities{dir: filepath.Join(dir, "pki")}
	var err error
	if _, statErr := os.Stat(filepath.Join(identities.dir, pki.RootFile)); statErr == nil {
		identities.CA, err = pki.Open(identities.dir)
	} else {
		identities.CA, err = pki.Create(identities.dir, "spindlelab root", time.Now(), authorityLifetime)
	}
	if err != nil {
		return nil, err
	}
	identities.Roots = filepath.Join(identities.dir, pki.RootFile)
	names := []string{"worker/any"}
	for i := range controllers {
		names = append(names, fmt.Sprintf("controller/spindle-%d", i))
	}
	for _, name := range names {
		if _, err := identities.issueCertificate(name); err != nil {
			return nil, err
		}
	}
	if identities.workerKeyring, err = identity.Load(identity.Files{CredentialsFile: filepath.Join(identities.dir, "worker-any.pem"), RootsFile: identities.Roots}); err != nil {
		return nil, err
	}
	for _, name := range append(identities.OtherNames(), Administrator) {
		if err := identities.IssueToken(name, tokenLifetime); err != nil {
			return nil, err
		}
	}
	identities.settings = settings.Identity{
		CredentialsFile: filepath.Join(identities.dir, "controller-{label}.pem"),
		RootsFile:       identities.Roots,
		TokenKeysFile:   filepath.Join(identities.dir, pki.TokenKeysFile),
		Cluster:         clusterName,
		Bootstrap:       Administrator,
	}
	return identities, nil
}

// issueCertificate issues a certificate for the named identity, replacing an existing one, and
// returns the path of its file.
func (h *Identities) issueCertificate(text string) (string, error) {
	name, err := identity.ParseName(text)
	if err != nil {
		return "", err
	}
	_, statErr := os.Stat(h.CA.File(name))
	if _, err := h.CA.Issue(name, time.Now(), certificateLifetime, statErr == nil); err != nil {
		return "", err
	}
	return h.CA.File(name), nil
}

// readToken reads the token of the named identity from its file.
func (h *Identities) readToken(name string) (string, error) {
	token, err := os.ReadFile(h.TokenFile(name))
	if err != nil {
		return "", fmt.Errorf("devcluster: %w", err)
	}
	return strings.TrimSpace(string(token)), nil
}

// OtherNames returns the names of the identities besides the administrator that have tokens.
func (h *Identities) OtherNames() []string {
	return []string{"person/anna", "service/refunds", "person/partner", Builder}
}

// TokenFile returns the path of the file that holds the named identity's token.
func (h *Identities) TokenFile(name string) string {
	return filepath.Join(h.dir, strings.ReplaceAll(name, "/", "-")+".token")
}

// IssueToken signs a token for the named identity and writes it to its file.
func (h *Identities) IssueToken(text string, lifetime time.Duration) error {
	name, err := identity.ParseName(text)
	if err != nil {
		return err
	}
	key, err := pki.TokenKey(h.dir)
	if err != nil {
		return err
	}
	token, err := identity.IssueToken(key, name, clusterName, time.Now(), lifetime)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.TokenFile(text), []byte(token+"\n"), 0o600); err != nil {
		return fmt.Errorf("devcluster: %w", err)
	}
	return nil
}

// isController reports whether an identity is that of a controller.
func isController(n identity.Name) bool { return n.Kind == identity.Controller }

// workerTLS returns the TLS configuration for connections from machines to controllers, or nil
// without identities.
func (h *Identities) workerTLS() *tls.Config {
	if h == nil {
		return nil
	}
	return h.workerKeyring.ClientConfig(isController)
}

// machineTLS returns the TLS configuration of the machines' servers, or nil without identities. It
// rejects clients other than controllers, since only controllers may send commands.
func (h *Identities) machineTLS() *tls.Config {
	if h == nil {
		return nil
	}
	config := h.workerKeyring.ServerConfig(true)
	config.VerifyConnection = func(cs tls.ConnectionState) error {
		name, err := identity.FromCertificate(cs.PeerCertificates[0])
		if err == nil && !isController(name) {
			err = fmt.Errorf("%s is not a controller and may not send commands", name)
		}
		return err
	}
	return config
}

// Client returns a client of the controllers with the token of the named identity.
func (c *Cluster) Client(name string) (*client.Client, error) {
	identities := c.options.Identities
	if identities == nil {
		return client.New(c.Addrs(), nil, ""), nil
	}
	token, err := identities.readToken(name)
	if err != nil {
		return nil, err
	}
	config := identities.workerTLS()
	config.GetClientCertificate = nil
	return client.New(c.Addrs(), config, token), nil
}
