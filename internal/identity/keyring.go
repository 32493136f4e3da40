package identity

import (
	"context"
	"crypto"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Files name what a process proves itself with and whom it trusts.
type Files struct {
	// Own holds this process's certificate, any intermediate ones, and its
	// private key (PEM), in one file so that a renewal replaces both at once.
	Own string `yaml:"own"`
	// Roots holds the certificates of the authorities to trust (PEM).
	Roots string `yaml:"roots"`
	// TokenKeys holds the public keys that tokens may be signed with (PEM); none
	// means that no token is taken.
	TokenKeys string `yaml:"token_keys"`
}

// Keyring is what the files held when they were last good. Connections that
// are open keep what they began with; new ones use the latest.
type Keyring struct {
	files Files
	now   func() time.Time
	held  atomic.Pointer[held]
	// warned is the smallest number of days before which expiry was warned of,
	// by certificate; used by the goroutine that watches.
	warned map[string]int
}

// held is one reading of the files; it never changes.
type held struct {
	own    tls.Certificate
	roots  *x509.CertPool
	all    []*x509.Certificate // own and roots, for warnings
	tokens map[string]ed25519.PublicKey
	stamp  string
}

// Load reads the files.
func Load(files Files) (*Keyring, error) {
	k := &Keyring{files: files, now: time.Now, warned: map[string]int{}}
	h, err := k.read()
	if err != nil {
		return nil, err
	}
	k.held.Store(h)
	return k, nil
}

func (k *Keyring) read() (*held, error) {
	h := &held{roots: x509.NewCertPool(), tokens: map[string]ed25519.PublicKey{}, stamp: k.stampFiles()}
	own, err := os.ReadFile(k.files.Own)
	if err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	// What goes wrong with the key is not told: it might tell of the key.
	if h.own, err = tls.X509KeyPair(own, own); err != nil {
		return nil, fmt.Errorf("own certificate: %s does not hold a certificate with its private key", k.files.Own)
	}
	if _, err := FromCertificate(h.own.Leaf); err != nil {
		return nil, fmt.Errorf("own certificate: %w", err)
	}
	roots, err := os.ReadFile(k.files.Roots)
	if err != nil {
		return nil, fmt.Errorf("roots: %w", err)
	}
	certs, err := ParseCertificates(roots)
	if err != nil || len(certs) == 0 {
		return nil, fmt.Errorf("roots: %s does not hold certificates", k.files.Roots)
	}
	for _, c := range certs {
		h.roots.AddCert(c)
	}
	h.all = append([]*x509.Certificate{h.own.Leaf}, certs...)
	if k.files.TokenKeys != "" {
		data, err := os.ReadFile(k.files.TokenKeys)
		if err != nil {
			return nil, fmt.Errorf("token keys: %w", err)
		}
		if h.tokens, err = ParseTokenKeys(data); err != nil {
			return nil, fmt.Errorf("token keys: %s: %w", k.files.TokenKeys, err)
		}
	}
	return h, nil
}

// ParseCertificates reads all certificates of a PEM file.
func ParseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate: %w", err)
		}
		certs = append(certs, c)
	}
	return certs, nil
}

// ParseTokenKeys reads public keys (PEM) by their ids.
func ParseTokenKeys(data []byte) (map[string]ed25519.PublicKey, error) {
	keys := map[string]ed25519.PublicKey{}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "PUBLIC KEY" {
			return nil, fmt.Errorf("holds a %s; only public keys belong here", block.Type)
		}
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("public key: %w", err)
		}
		key, ok := parsed.(ed25519.PublicKey)
		if !ok {
			return nil, errors.New("a key is not of the kind Ed25519")
		}
		keys[KeyID(key)] = key
	}
	if len(keys) == 0 {
		return nil, errors.New("holds no public key")
	}
	return keys, nil
}

// KeyID names a public key.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:8])
}

// Fingerprint names a certificate.
func Fingerprint(cert *x509.Certificate) string {
	sum := sha256.Sum256(cert.Raw)
	return hex.EncodeToString(sum[:16])
}

// stampFiles changes when a file does. It is of what the files hold: a file that is
// renewed twice within a beat of the file system's clock keeps its time, and often its size.
func (k *Keyring) stampFiles() string {
	hash := sha256.New()
	for _, path := range []string{k.files.Own, k.files.Roots, k.files.TokenKeys} {
		data, err := os.ReadFile(path)
		fmt.Fprintf(hash, "%s %v %d;", path, err == nil, len(data))
		hash.Write(data)
	}
	return string(hash.Sum(nil))
}

const (
	lookEvery = time.Second
	warnEvery = time.Hour
)

// Watch reads the files again when they change, and warns of certificates that
// end, until ctx ends. What can't be used is logged, and what was held stays.
func (k *Keyring) Watch(ctx context.Context, log *slog.Logger) {
	k.warn(log)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	warned, failed := k.now(), ""
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if stamp := k.stampFiles(); stamp != k.held.Load().stamp && stamp != failed {
			h, err := k.read()
			if err != nil {
				// A file that is being written may be whole at the next look.
				log.Error("certificates not read again; the former ones stay", "reason", err)
				failed = stamp
				continue
			}
			k.held.Store(h)
			failed = ""
			log.Info("certificates read again", "own", Fingerprint(h.own.Leaf), "until", h.own.Leaf.NotAfter, "token_keys", len(h.tokens))
			k.warn(log)
		}
		if k.now().Sub(warned) > warnEvery {
			warned = k.now()
			k.warn(log)
		}
	}
}

var warnDays = []int{1, 7, 30}

// warn tells once for each of 30, 7 and 1 days that a certificate ends.
func (k *Keyring) warn(log *slog.Logger) {
	for _, c := range k.held.Load().all {
		fp := Fingerprint(c)
		left := c.NotAfter.Sub(k.now())
		for _, days := range warnDays {
			if left > time.Duration(days)*24*time.Hour {
				continue
			}
			if before, said := k.warned[fp]; !said || days < before {
				k.warned[fp] = days
				log.Warn("certificate ends soon", "subject", c.Subject.CommonName, "fingerprint", fp, "until", c.NotAfter, "within_days", days)
			}
			break
		}
	}
}

// Signer returns this process's private key, for signing, and its certificate.
func (k *Keyring) Signer() (crypto.Signer, *x509.Certificate) {
	h := k.held.Load()
	signer, _ := h.own.PrivateKey.(crypto.Signer)
	return signer, h.own.Leaf
}

// Verify says whether a certificate chains to the roots at a time.
func (k *Keyring) Verify(cert *x509.Certificate, intermediates []*x509.Certificate, at time.Time) error {
	return VerifyChain(cert, intermediates, k.held.Load().roots, at)
}

// VerifyChain says whether a certificate chains to roots at a time.
func VerifyChain(cert *x509.Certificate, intermediates []*x509.Certificate, roots *x509.CertPool, at time.Time) error {
	pool := x509.NewCertPool()
	for _, c := range intermediates {
		pool.AddCert(c)
	}
	_, err := cert.Verify(x509.VerifyOptions{Roots: roots, Intermediates: pool, CurrentTime: at, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}

// ServerConfig is the TLS configuration of a listener. required says whether a
// client must show a certificate; one that is shown must be good in any case.
func (k *Keyring) ServerConfig(required bool) *tls.Config {
	h := k.held.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{h.own}, ClientCAs: h.roots,
		ClientAuth: tls.VerifyClientCertIfGiven, SessionTicketsDisabled: true, Time: k.now}
	if required {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// ClientConfig is the TLS configuration for connections to somebody whom accept
// takes. Addresses are numbers that change hands, so the name in the
// certificate counts, not the address. It uses what the files hold at each new
// connection, however old the configuration is.
func (k *Keyring) ClientConfig(accept func(Name) bool) *tls.Config {
	c := clientConfig(func() *x509.CertPool { return k.held.Load().roots }, accept, k.now)
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.held.Load().own, nil }
	return c
}

// CredentialFiles is the files of a program that says once who it is, as people start them. A
// token is read from a file only: a command line is seen by others.
type CredentialFiles struct {
	// Roots are the authorities to trust; without them connections are in the clear.
	Roots string
	// Cert is a certificate with its key, TokenFile a token.
	Cert, TokenFile string
}

// Load reads the files; the configuration is nil for connections in the clear.
func (p *CredentialFiles) Load(accept func(Name) bool) (secure *tls.Config, token string, err error) {
	if p.Roots == "" {
		if p.Cert != "" || p.TokenFile != "" {
			return nil, "", errors.New("a certificate or a token needs the roots to trust: a credential is never sent in the clear")
		}
		return nil, "", nil
	}
	data, err := os.ReadFile(p.Roots)
	if err != nil {
		return nil, "", err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, "", fmt.Errorf("%s holds no certificates", p.Roots)
	}
	var own []tls.Certificate
	if p.Cert != "" {
		if data, err = os.ReadFile(p.Cert); err != nil {
			return nil, "", err
		}
		pair, err := tls.X509KeyPair(data, data)
		if err != nil {
			return nil, "", fmt.Errorf("%s does not hold a certificate with its private key", p.Cert)
		}
		own = append(own, pair)
	}
	if p.TokenFile != "" {
		if data, err = os.ReadFile(p.TokenFile); err != nil {
			return nil, "", err
		}
		if token = strings.TrimSpace(string(data)); token == "" || strings.ContainsAny(token, " \r\n") {
			return nil, "", fmt.Errorf("%s does not hold one token", p.TokenFile)
		}
	}
	return ClientConfig(roots, own, accept), token, nil
}

// ClientConfig is Client for programs that have read their files themselves.
func ClientConfig(roots *x509.CertPool, own []tls.Certificate, accept func(Name) bool) *tls.Config {
	c := clientConfig(func() *x509.CertPool { return roots }, accept, time.Now)
	c.Certificates = own
	return c
}

func clientConfig(roots func() *x509.CertPool, accept func(Name) bool, now func() time.Time) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: now,
		// Host names are not what is verified; VerifyConnection does it.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("no certificate shown")
			}
			leaf := cs.PeerCertificates[0]
			if err := VerifyChain(leaf, cs.PeerCertificates[1:], roots(), now()); err != nil {
				return err
			}
			name, err := FromCertificate(leaf)
			if err != nil {
				return err
			}
			if !accept(name) {
				return fmt.Errorf("%s answers there, which was not expected", name)
			}
			return nil
		}}
}
