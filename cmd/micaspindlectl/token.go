package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
)

// tokenCmd issues a token.
type tokenCmd struct {
	pkiDir
	Name    string        `arg:"" help:"Identity: person/ID or service/ID."`
	Cluster string        `required:"" help:"Name of the cluster, as in its settings."`
	For     time.Duration `default:"8h" help:"Validity, at most 168h."`
	Out     string        `type:"path" help:"File to write (mode 0600); default: standard output."`
}

// Help describes the risk of a token and shows an example.
func (tokenCmd) Help() string {
	return "Anyone who holds the token can act as its identity until it expires.\n\nExample:\n  micaspindlectl token person/anna --cluster hosted --for 8h --out anna.token"
}

// Run issues a token and prints it or writes it to a file.
func (t *tokenCmd) Run() error {
	name, err := identity.ParseName(t.Name)
	if err != nil {
		return usageError{err}
	}
	key, err := pki.TokenKey(t.Dir)
	if err != nil {
		return usageError{err}
	}
	token, err := identity.IssueToken(key, name, t.Cluster, time.Now(), t.For)
	if err != nil {
		return usageError{err}
	}
	if t.Out == "" {
		fmt.Println(token)
		return nil
	}
	if err := os.WriteFile(t.Out, []byte(token+"\n"), 0o600); err != nil {
		return err
	}
	fmt.Printf("%s, good until %s\n", strings.TrimSpace(t.Out), time.Now().Add(t.For).Format(time.RFC3339))
	return nil
}
