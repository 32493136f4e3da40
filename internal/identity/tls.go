package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// VerifyChain returns why a certificate does not chain to roots at a time, nil if it does.
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

// ServerConfig is the TLS configuration of a listener. required says whether a
// client must show a certificate; one that is shown must be good in any case.
func (k *Keyring) ServerConfig(required bool) *tls.Config {
	current := k.current.Load()
	config := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{current.own},
		ClientCAs:              current.roots,
		ClientAuth:             tls.VerifyClientCertIfGiven,
		SessionTicketsDisabled: true,
		Time:                   k.now,
	}
	if required {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig is the TLS configuration for connections to servers whose name accept
// takes. Addresses are reassigned, so the name in the certificate counts, not the
// address. Each new connection uses what the files hold by then, however old the
// configuration is.
func (k *Keyring) ClientConfig(accept func(Name) bool) *tls.Config {
	config := clientConfig(func() *x509.CertPool { return k.current.Load().roots }, accept, k.now)
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &k.current.Load().own, nil }
	return config
}

// ClientConfig is Client for programs that have read their files themselves.
func ClientConfig(roots *x509.CertPool, own []tls.Certificate, accept func(Name) bool) *tls.Config {
	config := clientConfig(func() *x509.CertPool { return roots }, accept, time.Now)
	config.Certificates = own
	return config
}

func clientConfig(roots func() *x509.CertPool, accept func(Name) bool, now func() time.Time) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       now,
		// Host names are not what is verified; VerifyConnection does it.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyServer(state.PeerCertificates, roots(), accept, now())
		},
	}
}

// verifyServer checks the certificates that a server has shown, its own first.
func verifyServer(shown []*x509.Certificate, roots *x509.CertPool, accept func(Name) bool, at time.Time) error {
	if len(shown) == 0 {
		return errors.New("no certificate shown")
	}
	leaf, intermediates := shown[0], shown[1:]
	if err := VerifyChain(leaf, intermediates, roots, at); err != nil {
		return err
	}
	name, err := FromCertificate(leaf)
	if err != nil {
		return err
	}
	if !accept(name) {
		return fmt.Errorf("%s answers there, which was not expected", name)
	}
	return nil
}
