package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// CredentialFiles names the credentials of a program that people start and that reads them once. A
// token is read from a file only: a command line is seen by others.
type CredentialFiles struct {
	// Roots are the authorities to trust; without them connections are in the clear.
	Roots string
	// Cert is the file of a certificate with its key.
	Cert string
	// TokenFile is the file of a token.
	TokenFile string
}

// Load reads the files; the configuration is nil for connections in the clear.
func (p *CredentialFiles) Load(accept func(Name) bool) (config *tls.Config, token string, err error) {
	if p.Roots == "" {
		if p.Cert != "" || p.TokenFile != "" {
			return nil, "", errors.New("a certificate or a token needs the roots to trust: a credential is never sent in the clear")
		}
		return nil, "", nil
	}
	roots, err := readRoots(p.Roots)
	if err != nil {
		return nil, "", err
	}
	var own []tls.Certificate
	if p.Cert != "" {
		pair, err := readKeyPair(p.Cert)
		if err != nil {
			return nil, "", err
		}
		own = append(own, pair)
	}
	if p.TokenFile != "" {
		if token, err = readToken(p.TokenFile); err != nil {
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

// readKeyPair reads a certificate with its key. Its error says nothing of the content, which
// might be a part of the key.
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
