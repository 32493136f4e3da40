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

// RotateTokenKey creates a new key for signing tokens. Tokens that the previous key signed remain
// valid; older public keys are removed.
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
	previous, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("pki: %w", err)
	}
	if block, _ := pem.Decode(previous); block != nil {
		keys = append(keys, pem.EncodeToMemory(block)...)
	}
	// The public key is written first, so that no token is signed with a key that can't be verified.
	if err := writeFile(path, keys, publicMode); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, tokenKeyFile), nil, key)
}

// TokenKey reads the key that signs tokens.
func TokenKey(dir string) (ed25519.PrivateKey, error) {
	return ReadKey(filepath.Join(dir, tokenKeyFile))
}
