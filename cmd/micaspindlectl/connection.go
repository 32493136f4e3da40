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

// Connection holds the flags that say where the controllers are and which credentials
// the caller has. A token is read from a file only, since other users of the machine
// can see a command line.
type Connection struct {
	Controllers string        `env:"SPINDLE_CONTROLLERS" placeholder:"HOST:PORT,..." help:"Addresses of controllers."`
	Roots       string        `env:"SPINDLE_ROOTS" type:"path" help:"CA certificates to trust; without them connections are not encrypted."`
	Cert        string        `env:"SPINDLE_CERT" type:"path" help:"Your client certificate and key in one file."`
	TokenFile   string        `env:"SPINDLE_TOKEN_FILE" type:"path" help:"File that holds your token."`
	Patience    time.Duration `default:"60s" help:"How long requests are retried."`
}

// client is a client of the controllers with the caller's credentials.
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
	cl.Patience = c.Patience
	return cl, nil
}

// credentials are the files that prove who the caller is.
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
