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

// The modes of files that everybody may read, and of those with private keys.
const (
	publicMode  = 0o644
	privateMode = 0o600
)

// ReadKey reads an Ed25519 private key (PEM, PKCS #8); other blocks of the file are ignored.
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

// writeKey writes a private key after its certificate; nil: it has none.
func writeKey(path string, cert []byte, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.New("pki: the key could not be encoded")
	}
	var data []byte
	if cert != nil {
		data = encodeCertificate(cert)
	}
	return writeFile(path, append(data, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})...), privateMode)
}

// writeFile replaces a file atomically, so that nobody reads half of it.
func writeFile(path string, data []byte, mode os.FileMode) error {
	file, err := os.CreateTemp(filepath.Dir(path), "."+strings.TrimPrefix(filepath.Base(path), ".")+"-*")
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	defer os.Remove(file.Name()) //nolint:errcheck // gone once renamed
	if err := errors.Join(file.Chmod(mode), writeAndSync(file, data), file.Close()); err != nil {
		return fmt.Errorf("pki: write %s: %w", path, err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	return nil
}

// writeAndSync writes data and waits until it is on disk.
func writeAndSync(file *os.File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
