package pki

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// RotateTokenKey makes a new key for tokens. The former public key remains valid, and with it the
// tokens that it signed; the one before it is removed.
func RotateTokenKey(dir string) error {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	der, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return fmt.Errorf("pki: %w", err)
	}
	keys := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
	path := filepath.Join(dir, TokenKeysFile)
	former, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("pki: %w", err)
	}
	if block, _ := pem.Decode(former); block != nil {
		keys = append(keys, pem.EncodeToMemory(block)...)
	}
	// The public key goes first: a token must not be signed by a key that nobody knows.
	if err := writeFile(path, keys, publicMode); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, tokenKeyFile), nil, key)
}

// TokenKey reads the key that signs tokens.
func TokenKey(dir string) (ed25519.PrivateKey, error) {
	return ReadKey(filepath.Join(dir, tokenKeyFile))
}
