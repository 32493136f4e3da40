// Package pki implements a small certificate authority that is stored in a directory, for
// installations without one. Controllers do not use it; they only read the files that it writes.
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
	"time"

	"micaspindle/internal/identity"
)

// The files of an authority's directory. Authority.File returns the path of an issued certificate.
const (
	// RootFile holds the root certificate.
	RootFile    = "root.pem"
	rootKeyFile = "root.key"
	// TokenKeysFile holds the public keys that verify tokens, the newest first.
	TokenKeysFile = "token-keys.pem"
	tokenKeyFile  = "token.key"
)

const (
	// backdate is the time by which certificates are backdated, to tolerate clock skew.
	backdate = 5 * time.Minute
	// serialBits is the length of serial numbers of certificates.
	serialBits = 120
)

// Authority is a certificate authority with its root certificate and key.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// IssuedCertificate describes an issued certificate in the authority's directory.
type IssuedCertificate struct {
	Name     identity.Name
	File     string
	NotAfter time.Time
}

// Create creates a root certificate and a token key in a directory. It fails if the directory
// already has a root certificate.
func Create(dir, name string, now time.Time, lifetime time.Duration) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, RootFile)); err == nil {
		return nil, fmt.Errorf("pki: %s already has a root certificate; nothing was changed", dir)
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	cert, key, err := signNewKey(template, nil)
	if err != nil {
		return nil, err
	}
	if err := writeKey(filepath.Join(dir, rootKeyFile), nil, key); err != nil {
		return nil, err
	}
	if err := RotateTokenKey(dir); err != nil {
		return nil, err
	}
	// The root certificate is written last, so that a directory that has it is complete.
	if err := writeFile(filepath.Join(dir, RootFile), encodeCertificate(cert), publicMode); err != nil {
		return nil, err
	}
	return Open(dir)
}

// Open opens an authority's directory.
func Open(dir string) (*Authority, error) {
	data, err := os.ReadFile(filepath.Join(dir, RootFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("pki: %s holds no root certificate; create one with 'micaspindlectl pki init'", dir)
	}
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	certs, err := identity.ParseCertificates(data)
	if err != nil || len(certs) == 0 {
		return nil, fmt.Errorf("pki: %s holds no certificate", RootFile)
	}
	key, err := ReadKey(filepath.Join(dir, rootKeyFile))
	if err != nil {
		return nil, err
	}
	return &Authority{dir: dir, cert: certs[0], key: key}, nil
}

// File returns the path of the file with a name's certificate and private key.
func (a *Authority) File(name identity.Name) string {
	return filepath.Join(a.dir, string(name.Kind)+"-"+name.ID+".pem")
}

// Root returns the root certificate.
func (a *Authority) Root() *x509.Certificate { return a.cert }

// Issue creates a key and a certificate for a name and writes both atomically into one file. With
// renew, it replaces an existing file; without renew, the file must not exist.
func (a *Authority) Issue(name identity.Name, now time.Time, lifetime time.Duration, renew bool) (*IssuedCertificate, error) {
	file := a.File(name)
	_, err := os.Stat(file)
	switch {
	case err == nil && !renew:
		return nil, fmt.Errorf("pki: %s exists; renew it instead", file)
	case err != nil && renew:
		return nil, fmt.Errorf("pki: there is no certificate for %s to renew", name)
	case lifetime <= 0:
		return nil, errors.New("pki: the lifetime of a certificate must be positive")
	}
	notAfter := now.Add(lifetime)
	if notAfter.After(a.cert.NotAfter) {
		return nil, fmt.Errorf("pki: the certificate would outlive the root certificate, which expires on %s", a.cert.NotAfter.Format(time.DateOnly))
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name.String()},
		NotBefore:   now.Add(-backdate),
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	template.URIs = append(template.URIs, name.URI())
	cert, key, err := signNewKey(template, a)
	if err != nil {
		return nil, err
	}
	if err := writeKey(file, cert, key); err != nil {
		return nil, err
	}
	return &IssuedCertificate{name, file, notAfter}, nil
}

// signNewKey generates a key and a certificate for it, with a random serial number. Without an
// issuer, the certificate is self-signed.
func signNewKey(template *x509.Certificate, issuer *Authority) (cert []byte, key ed25519.PrivateKey, err error) {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("pki: %w", err)
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, fmt.Errorf("pki: %w", err)
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
	}
	cert, err = x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return nil, nil, fmt.Errorf("pki: %w", err)
	}
	return cert, key, nil
}

// List returns the issued certificates in the directory and ignores other files.
func (a *Authority) List() ([]IssuedCertificate, error) {
	files, err := filepath.Glob(filepath.Join(a.dir, "*-*.pem"))
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	var issued []IssuedCertificate
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("pki: %w", err)
		}
		certs, err := identity.ParseCertificates(data)
		if err != nil || len(certs) == 0 {
			continue
		}
		if name, err := identity.FromCertificate(certs[0]); err == nil {
			issued = append(issued, IssuedCertificate{name, file, certs[0].NotAfter})
		}
	}
	return issued, nil
}

// encodeCertificate returns a DER certificate as PEM.
func encodeCertificate(cert []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
}
