// Package pki is a small certificate authority in a folder, for installations
// that have none. The controllers do not use it; they read what it makes.
package pki

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"micaspindle/internal/identity"
)

// The files of an authority's folder.
const (
	RootFile      = "root.pem"
	rootKeyFile   = "root.key"
	TokenKeysFile = "token-keys.pem"
	tokenKeyFile  = "token.key"
	backdate      = 5 * time.Minute
)

// Authority is a certificate authority.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// Issued is a certificate of the authority's folder.
type Issued struct {
	Name  identity.Name
	File  string
	Until time.Time
}

func serial() (*big.Int, error) { return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) }

// Create makes a root certificate and a key for tokens in a folder that holds
// none yet.
func Create(dir, name string, now time.Time, life time.Duration) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, RootFile)); err == nil {
		return nil, fmt.Errorf("pki: %s has a root already; nothing was changed", dir)
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	num, err := serial()
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	tmpl := &x509.Certificate{SerialNumber: num, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(life),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, pub, key)
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	if err := writeKey(filepath.Join(dir, rootKeyFile), nil, key); err != nil {
		return nil, err
	}
	if err := RotateTokenKey(dir); err != nil {
		return nil, err
	}
	if err := write(filepath.Join(dir, RootFile), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644); err != nil {
		return nil, err
	}
	return Open(dir)
}

// Open opens an authority's folder.
func Open(dir string) (*Authority, error) {
	data, err := os.ReadFile(filepath.Join(dir, RootFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("pki: %s holds no root; 'micaspindlectl pki init' makes one", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	certs, err := identity.ParseCertificates(data)
	if err != nil || len(certs) == 0 {
		return nil, fmt.Errorf("pki: %s is no certificate", RootFile)
	}
	key, err := ReadKey(filepath.Join(dir, rootKeyFile))
	if err != nil {
		return nil, err
	}
	return &Authority{dir: dir, cert: certs[0], key: key}, nil
}

// ReadKey reads a private key (PEM).
func ReadKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "PRIVATE KEY" {
			continue
		}
		if parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes); err == nil {
			if key, ok := parsed.(ed25519.PrivateKey); ok {
				return key, nil
			}
		}
	}
	return nil, fmt.Errorf("pki: %s holds no private key of the kind Ed25519", path)
}

// File is where a name's certificate and key lie.
func (a *Authority) File(name identity.Name) string {
	return filepath.Join(a.dir, string(name.Kind)+"-"+name.ID+".pem")
}

// Root is the root's certificate.
func (a *Authority) Root() *x509.Certificate { return a.cert }

// Issue makes a certificate with a new key for a name and writes both into one
// file, in one step. An existing one is replaced only if renew is set.
func (a *Authority) Issue(name identity.Name, now time.Time, life time.Duration, renew bool) (*Issued, error) {
	file := a.File(name)
	_, err := os.Stat(file)
	switch {
	case err == nil && !renew:
		return nil, fmt.Errorf("pki: %s exists; renew it instead", file)
	case err != nil && renew:
		return nil, fmt.Errorf("pki: %s was never issued", name)
	case life <= 0:
		return nil, errors.New("pki: a certificate must live for more than nothing")
	}
	until := now.Add(life)
	if until.After(a.cert.NotAfter) {
		return nil, fmt.Errorf("pki: the certificate would outlive the root, which ends on %s", a.cert.NotAfter.Format(time.DateOnly))
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	num, err := serial()
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	tmpl := &x509.Certificate{SerialNumber: num, Subject: pkix.Name{CommonName: name.String()}, NotBefore: now.Add(-backdate), NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	tmpl.URIs = append(tmpl.URIs, name.URI())
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, pub, a.key)
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	if err := writeKey(file, der, key); err != nil {
		return nil, err
	}
	return &Issued{name, file, until}, nil
}

// List reads what was issued.
func (a *Authority) List() ([]Issued, error) {
	files, err := filepath.Glob(filepath.Join(a.dir, "*-*.pem"))
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	var out []Issued
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("pki: %w", err)
		}
		certs, err := identity.ParseCertificates(data)
		if err != nil || len(certs) == 0 {
			continue
		}
		if name, err := identity.FromCertificate(certs[0]); err == nil {
			out = append(out, Issued{name, f, certs[0].NotAfter})
		}
	}
	return out, nil
}

// RotateTokenKey makes a new key for tokens. The former public key stays good,
// so that tokens out there do; the one before it goes.
func RotateTokenKey(dir string) error {
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	der, err := x509.MarshalPKIXPublicKey(pub)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	keys := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
	path := filepath.Join(dir, TokenKeysFile)
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("pki: %w", err)
	}
	if block, _ := pem.Decode(old); block != nil {
		keys = append(keys, pem.EncodeToMemory(block)...)
	}
	// The public key goes first: a token must not be signed by a key that
	// nobody knows.
	if err := write(path, keys, 0o644); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, tokenKeyFile), nil, key)
}

// TokenKey reads the key that signs tokens.
func TokenKey(dir string) (ed25519.PrivateKey, error) {
	return ReadKey(filepath.Join(dir, tokenKeyFile))
}

func writeKey(path string, cert []byte, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.New("pki: the key could not be encoded")
	}
	var out []byte
	if cert != nil {
		out = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
	}
	return write(path, append(out, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})...), 0o600)
}

// write replaces a file in one step, so that nobody reads half of it.
func write(path string, data []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+strings.TrimPrefix(filepath.Base(path), ".")+"-*")
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	defer os.Remove(f.Name()) //nolint:errcheck // gone once renamed
	if err := errors.Join(f.Chmod(mode), writeAll(f, data), f.Close()); err != nil {
		return fmt.Errorf("pki: write %s: %w", path, err)
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return nil
}

func writeAll(f *os.File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}
