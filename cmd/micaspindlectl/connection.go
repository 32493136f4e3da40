package main

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
)

// Connection says where the controllers are and how to prove who one is. A
// token is read from a file only: a command line is seen by others.
type Connection struct {
	Controllers string        `env:"SPINDLE_CONTROLLERS" placeholder:"HOST:PORT,..." help:"Addresses of controllers."`
	Roots       string        `env:"SPINDLE_ROOTS" type:"path" help:"Certificates of the authorities to trust; without them the connection is in the clear."`
	Cert        string        `env:"SPINDLE_CERT" type:"path" help:"Your certificate and key in one file."`
	TokenFile   string        `env:"SPINDLE_TOKEN_FILE" type:"path" help:"File that holds your token."`
	Patience    time.Duration `default:"60s" help:"How long a request is tried again."`
}

func (c *Connection) client() (*client.Client, error) {
	addrs := client.SplitAddresses(c.Controllers)
	if len(addrs) == 0 {
		return nil, usageError{errors.New("no controllers: give --controllers or set SPINDLE_CONTROLLERS")}
	}
	secure, token, err := c.proof().Load(func(n identity.Name) bool { return n.Kind == identity.Controller })
	if err != nil {
		return nil, usageError{err}
	}
	cl := client.New(addrs, secure, token)
	cl.Patience = c.Patience
	return cl, nil
}

func (c *Connection) proof() *identity.Proof {
	return &identity.Proof{Roots: c.Roots, Cert: c.Cert, TokenFile: c.TokenFile}
}

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

type whoamiCmd struct{}

type whoView struct {
	Name          string   `json:"name"`
	How           string   `json:"how"`
	Verbs         []string `json:"verbs"`
	PolicyVersion uint64   `json:"policy_version"`
}

// Run shows who the cluster takes the caller for.
func (whoamiCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	var who protocol.WhoAmI
	if err := cl.Do(ctx, "GET", "/whoami", nil, &who); err != nil {
		return err
	}
	return c.print(whoView(who), "NAME\tBY\tMAY, ON SOME QUEUE\tPOLICY", [][]any{{who.Name, who.How, orNone(strings.Join(who.Verbs, " ")), who.PolicyVersion}})
}
