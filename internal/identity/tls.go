package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// VerifyChain returns an error unless a certificate chains to roots and is valid at the time.
func VerifyChain(cert *x509.Certificate, intermediates []*x509.Certificate, roots *x509.CertPool, at time.Time) error {
	pool := x509.NewCertPool()
	for _, intermediate := range intermediates {
		pool.AddCert(intermediate)
	}
	_, err := cert.Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: pool,
		CurrentTime:   at,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// ServerConfig returns the TLS configuration of a listener. requireClientCert makes the client
// certificate mandatory. A certificate that a client sends is verified in either case.
func (k *Keyring) ServerConfig(requireClientCert bool) *tls.Config {
	current := k.current.Load()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{current.own},
		ClientCAs:              current.roots,
		ClientAuth:             tls.VerifyClientCertIfGiven,
		SessionTicketsDisabled: true,
		Time:                   k.now,
	}
	if requireClientCert {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig returns the TLS configuration for connections to servers whose name accept allows.
// Addresses may be reassigned, so the name in the server's certificate is verified instead of the
// address. Each new connection uses the keyring's current certificates.
func (k *Keyring) ClientConfig(accept func(Name) bool) *tls.Config {
	config := clientConfig(func() *x509.CertPool { return k.current.Load().roots }, accept, k.now)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.current.Load().own, nil }
	return config
}

// ClientConfig is like Keyring.ClientConfig, with fixed roots and certificates.
func ClientConfig(roots *x509.CertPool, own []tls.Certificate, accept func(Name) bool) *tls.Config {
	config := clientConfig(func() *x509.CertPool { return roots }, accept, time.Now)
	config.Certificates = own
	return config
}

func clientConfig(roots func() *x509.CertPool, accept func(Name) bool, now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       now,
		// Disables only the check of the host name; VerifyConnection verifies the certificate.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state.PeerCertificates, roots(), accept, now())
		},
	}
}

// verifyServer verifies the certificate chain that a server sent, which begins with the server's
// own certificate, and the name in it.
func verifyServer(chain []*x509.Certificate, roots *x509.CertPool, accept func(Name) bool, at time.Time) error {
	if len(chain) == 0 {
		return errors.New("the server sent no certificate")
	}
	leaf, intermediates := chain[0], chain[1:]
	if err := VerifyChain(leaf, intermediates, roots, at); err != nil {
		return err
	}
	name, err := FromCertificate(leaf)
	if err != nil {
		return err
	}
	if !accept(name) {
		return fmt.Errorf("unexpected server identity %s", name)
	}
	return nil
}
