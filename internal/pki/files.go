package pki

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// File modes of public files and of files with private keys.
const (
	publicMode  = 0o644
	privateMode = 0o600
)

// ReadKey reads an Ed25519 private key (PEM, PKCS #8) and ignores other blocks of the file.
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
	return nil, fmt.Errorf("pki: %s holds no Ed25519 private key", path)
}

// writeKey writes a file with a certificate, unless it is nil, and its private key.
func writeKey(path string, cert []byte, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.New("pki: encoding the private key failed")
	}
	var data []byte
	if cert != nil {
		data = encodeCertificate(cert)
	}
	return writeFile(path, append(data, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})...), privateMode)
}

// writeFile replaces a file atomically, so that readers never see a partial file.
func writeFile(path string, data []byte, mode os.FileMode) error {
	file, err := os.CreateTemp(filepath.Dir(path), "."+strings.TrimPrefix(filepath.Base(path), ".")+"-*")
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	defer os.Remove(file.Name()) //nolint:errcheck // fails after the rename
	if err := errors.Join(file.Chmod(mode), writeAndSync(file, data), file.Close()); err != nil {
		return fmt.Errorf("pki: write %s: %w", path, err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return nil
}

// writeAndSync writes data and syncs it to disk.
func writeAndSync(file *os.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
