// Package pki is a small certificate authority in a directory, for installations that have none.
// Controllers do not use it; they read what it makes.
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

// The files of an authority's directory. That of a certificate is named by Authority.File.
const (
	// RootFile is the root's certificate.
	RootFile    = "root.pem"
	rootKeyFile = "root.key"
	// TokenKeysFile has the public keys of tokens, the newest first.
	TokenKeysFile = "token-keys.pem"
	tokenKeyFile  = "token.key"
)

const (
	// backdate is how long before it is issued a certificate is valid from, since clocks differ.
	backdate = 5 * time.Minute
	// serialBits is the length of a certificate's serial number.
	serialBits = 120
)

// Authority is a certificate authority.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  ed25519.PrivateKey
}

// Issued is a certificate in the authority's directory.
type Issued struct {
	Name  identity.Name
	File  string
	Until time.Time
}

// Create makes a root certificate and a key for tokens in a directory that has no root yet.
func Create(dir, name string, now time.Time, life time.Duration) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, RootFile)); err == nil {
		return nil, fmt.Errorf("pki: %s has a root already; nothing was changed", dir)
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(life),
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
	// The root goes last: a directory with a root is complete.
	if err := writeFile(filepath.Join(dir, RootFile), encodeCertificate(cert), publicMode); err != nil {
		return nil, err
	}
	return Open(dir)
}

// Open opens an authority's directory.
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

// File is the file of a name's certificate and key.
func (a *Authority) File(name identity.Name) string {
	return filepath.Join(a.dir, string(name.Kind)+"-"+name.ID+".pem")
}

// Root is the root's certificate.
func (a *Authority) Root() *x509.Certificate { return a.cert }

// Issue makes a certificate with a new key for a name and writes both into one file, atomically.
// An existing file is replaced only if renew is set, and must exist then.
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
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name.String()},
		NotBefore:   now.Add(-backdate),
		NotAfter:    until,
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
	return &Issued{name, file, until}, nil
}

// signNewKey makes a key and a certificate for it, with a random serial number. A nil issuer means
// that the key signs its own certificate.
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

// List reads the certificates that were issued. Other files are ignored.
func (a *Authority) List() ([]Issued, error) {
	files, err := filepath.Glob(filepath.Join(a.dir, "*-*.pem"))
	if err != nil {
		return nil, fmt.Errorf("pki: %w", err)
	}
	var issued []Issued
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
			issued = append(issued, Issued{name, file, certs[0].NotAfter})
		}
	}
	return issued, nil
}

// encodeCertificate is a certificate as PEM.
func encodeCertificate(cert []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert})
}
