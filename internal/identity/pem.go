package identity

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
)

// Lengths of the ids of keys and certificates, in bytes of a SHA-256 sum.
const (
	keyIDSize       = 8
	fingerprintSize = 16
)

// ParseCertificates reads all certificates of a PEM file.
func ParseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "CERTIFICATE" {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate: %w", err)
		}
		certs = append(certs, cert)
	}
	return certs, nil
}

// ParseTokenKeys reads the public keys of a PEM file, by their ids. There must be one at least.
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

// KeyID identifies a public key.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDSize])
}

// Fingerprint identifies a certificate.
func Fingerprint(cert *x509.Certificate) string {
	sum := sha256.Sum256(cert.Raw)
	return hex.EncodeToString(sum[:fingerprintSize])
}
