package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// CredentialFiles are the paths of the credentials of a command-line program, which reads them once.
// A token can only be read from a file, since other users can see command lines.
type CredentialFiles struct {
	// Roots holds the trusted root certificates (PEM). Without it, connections are unencrypted.
	Roots string
	// Cert holds a certificate and its private key (PEM).
	Cert string
	// TokenFile holds a token.
	TokenFile string
}

// Load reads the files. accept reports whether a server with a name is accepted. config is nil if
// connections are unencrypted.
func (f *CredentialFiles) Load(accept func(Name) bool) (config *tls.Config, token string, err error) {
	if f.Roots == "" {
		if f.Cert != "" || f.TokenFile != "" {
			return nil, "", errors.New("a certificate or a token requires trusted roots: credentials are never sent in the clear")
		}
		return nil, "", nil
	}
	roots, err := readRoots(f.Roots)
	if err != nil {
		return nil, "", err
	}
	var own []tls.Certificate
	if f.Cert != "" {
		pair, err := readKeyPair(f.Cert)
		if err != nil {
			return nil, "", err
		}
		own = append(own, pair)
	}
	if f.TokenFile != "" {
		if token, err = readToken(f.TokenFile); err != nil {
			return nil, "", err
		}
	}
	return ClientConfig(roots, own, accept), token, nil
}

func readRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificates", path)
	}
	return roots, nil
}

// readKeyPair reads a certificate with its private key. Its errors don't quote the content, which
// may include parts of the key.
func readKeyPair(path string) (tls.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(data, data)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("%s does not hold a certificate with its private key", path)
	}
	return pair, nil
}

func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, " \r\n") {
		return "", fmt.Errorf("%s does not hold one token", path)
	}
	return token, nil
}
