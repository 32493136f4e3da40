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
	Roots string // file of the root certificates
	CA    *pki.Authority
	dir   string
	// settings is the identity section of the controllers' settings.
	settings      settings.Identity
	workerKeyring *identity.Keyring
}

// Prepare creates the certificate authority, certificates and tokens of a cluster. An
// authority that an earlier cluster has left in the directory is used again.
func Prepare(dir string, controllers int) (*Identities, error) {
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
	if identities.workerKeyring, err = identity.Load(identity.Files{Own: filepath.Join(identities.dir, "worker-any.pem"), Roots: identities.Roots}); err != nil {
		return nil, err
	}
	for _, name := range append(identities.Others(), Administrator) {
		if err := identities.Token(name, tokenLifetime); err != nil {
			return nil, err
		}
	}
	identities.settings = settings.Identity{
		Own:       filepath.Join(identities.dir, "controller-{label}.pem"),
		Roots:     identities.Roots,
		TokenKeys: filepath.Join(identities.dir, pki.TokenKeysFile),
		Cluster:   clusterName,
		Bootstrap: Administrator,
	}
	return identities, nil
}

// issueCertificate issues a certificate, replacing one that exists, and returns its file.
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

// readToken returns the token of an identity.
func (h *Identities) readToken(name string) (string, error) {
	token, err := os.ReadFile(h.TokenFile(name))
	if err != nil {
		return "", fmt.Errorf("devcluster: %w", err)
	}
	return strings.TrimSpace(string(token)), nil
}

// Others returns the identities of the initial policy besides the administrator.
func (h *Identities) Others() []string {
	return []string{"person/anna", "service/refunds", "person/partner", Builder}
}

// TokenFile returns the file of an identity's token.
func (h *Identities) TokenFile(name string) string {
	return filepath.Join(h.dir, strings.ReplaceAll(name, "/", "-")+".token")
}

// Token signs a token for an identity and stores it in its file.
func (h *Identities) Token(text string, lifetime time.Duration) error {
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

// isController accepts the identities of controllers.
func isController(n identity.Name) bool { return n.Kind == identity.Controller }

// workerTLS returns the TLS configuration of machines as clients of controllers, nil without
// identities.
func (h *Identities) workerTLS() *tls.Config {
	if h == nil {
		return nil
	}
	return h.workerKeyring.ClientConfig(isController)
}

// machineTLS returns the TLS configuration of machines as servers, nil without identities.
// Only controllers may send commands.
func (h *Identities) machineTLS() *tls.Config {
	if h == nil {
		return nil
	}
	config := h.workerKeyring.ServerConfig(true)
	config.VerifyConnection = func(cs tls.ConnectionState) error {
		name, err := identity.FromCertificate(cs.PeerCertificates[0])
		if err == nil && !isController(name) {
			err = fmt.Errorf("%s gives no orders", name)
		}
		return err
	}
	return config
}

// Client returns a client of the controllers with the token of an identity.
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
