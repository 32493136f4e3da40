package main

import (
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/identity"
)

// Connection holds the flags with the addresses of the controllers and the caller's credentials. A
// token is read only from a file, since other users of the machine can see the command line.
type Connection struct {
	Controllers string        `env:"SPINDLE_CONTROLLERS" placeholder:"HOST:PORT,..." help:"Addresses of controllers."`
	Roots       string        `env:"SPINDLE_ROOTS" type:"path" help:"CA certificates to trust; without them connections are not encrypted."`
	Cert        string        `env:"SPINDLE_CERT" type:"path" help:"Your client certificate and key in one file."`
	TokenFile   string        `env:"SPINDLE_TOKEN_FILE" type:"path" help:"File that holds your token."`
	Patience    time.Duration `default:"60s" help:"How long requests are retried."`
}

// client returns a client of the controllers with the caller's credentials.
func (c *Connection) client() (*client.Client, error) {
	addrs := client.SplitAddresses(c.Controllers)
	if len(addrs) == 0 {
		return nil, usageError{errors.New("no controllers: give --controllers or set SPINDLE_CONTROLLERS")}
	}
	secure, token, err := c.credentials().Load(func(n identity.Name) bool { return n.Kind == identity.Controller })
	if err != nil {
		return nil, usageError{err}
	}
	cl := client.New(addrs, secure, token)
	cl.RetryTimeout = c.Patience
	return cl, nil
}

// credentials returns the names of the files with the caller's credentials.
func (c *Connection) credentials() *identity.CredentialFiles {
	return &identity.CredentialFiles{Roots: c.Roots, Cert: c.Cert, TokenFile: c.TokenFile}
}

// readRoots reads CA certificates from a PEM file.
func readRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, usageError{fmt.Errorf("%s holds no certificates", path)}
	}
	return roots, nil
}
