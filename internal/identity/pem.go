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

// Lengths of key ids and certificate fingerprints, which are truncated SHA-256 hashes, in bytes.
const (
	keyIDSize       = 8
	fingerprintSize = 16
)

// ParseCertificates parses all certificates of a PEM file and ignores its other blocks.
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

// ParseTokenKeys parses a PEM file of Ed25519 public keys and returns them by KeyID. A file without
// keys is an error.
func ParseTokenKeys(data []byte) (map[string]ed25519.PublicKey, error) {
	keys := map[string]ed25519.PublicKey{}
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != "PUBLIC KEY" {
			return nil, fmt.Errorf("contains a %s block; only public keys are allowed", block.Type)
		}
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("public key: %w", err)
		}
		key, ok := parsed.(ed25519.PublicKey)
		if !ok {
			return nil, errors.New("a public key is not an Ed25519 key")
		}
		keys[KeyID(key)] = key
	}
	if len(keys) == 0 {
		return nil, errors.New("contains no public key")
	}
	return keys, nil
}

// KeyID returns the id of a public key, which tokens carry in their header.
func KeyID(key ed25519.PublicKey) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:keyIDSize])
}

// Fingerprint returns the truncated hash of a certificate.
func Fingerprint(cert *x509.Certificate) string {
	sum := sha256.Sum256(cert.Raw)
	return hex.EncodeToString(sum[:fingerprintSize])
}
