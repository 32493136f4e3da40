package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
)

// day is the unit of the validity flags.
const day = 24 * time.Hour

// pkiDir is the flag with the directory of the certificate authority's files.
type pkiDir struct {
	Dir string `default:"pki" env:"SPINDLE_PKI" type:"path" help:"Directory of the certificate authority. Its keys grant full access: keep it off the cluster's machines."`
}

// pkiCmd holds the commands for the certificate authority.
type pkiCmd struct {
	Init           pkiInitCmd   `cmd:"" help:"Create a root certificate and a token signing key."`
	Issue          pkiIssueCmd  `cmd:"" help:"Issue certificates."`
	Renew          pkiRenewCmd  `cmd:"" help:"Renew certificates with new keys."`
	List           pkiListCmd   `cmd:"" help:"List issued certificates."`
	RotateTokenKey pkiRotateCmd `cmd:"" help:"Create a new token signing key; the previous one stays valid until the next rotation."`
}

// pkiInitCmd creates a certificate authority.
type pkiInitCmd struct {
	pkiDir
	Name string `default:"micaspindle root" help:"Common name of the root certificate."`
	Days int    `default:"3650" help:"Validity in days."`
}

// Help shows an example.
func (pkiInitCmd) Help() string {
	return "Example:\n  micaspindlectl pki init --dir pki --name 'Ombili root'"
}

// Run creates a certificate authority.
func (p *pkiInitCmd) Run() error {
	a, err := pki.Create(p.Dir, p.Name, time.Now(), time.Duration(p.Days)*day)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("root %s, until %s\nfor every machine: %s and %s\n", identity.Fingerprint(a.Root()), a.Root().NotAfter.Format(time.DateOnly),
		filepath.Join(p.Dir, pki.RootFile), filepath.Join(p.Dir, pki.TokenKeysFile))
	return nil
}

// pkiIssueCmd issues certificates.
type pkiIssueCmd struct {
	pkiDir
	Names []string `arg:"" name:"name" help:"Names, KIND/ID: person, service, controller or worker."`
	Days  int      `default:"90" help:"Validity in days."`
}

// Help describes the names and shows an example.
func (pkiIssueCmd) Help() string {
	return "The id of a controller is its label. Worker machines whose names the cloud chooses share worker/any.\n\nExample:\n  micaspindlectl pki issue controller/spindle-0 worker/any person/anna"
}

// Run issues certificates.
func (p *pkiIssueCmd) Run(c *cli) error { return issue(c, p.Dir, p.Names, p.Days, false) }

// pkiRenewCmd renews certificates.
type pkiRenewCmd struct {
	pkiDir
	Names []string `arg:"" name:"name" help:"Names, KIND/ID."`
	Days  int      `default:"90" help:"Validity in days."`
}

// Run renews certificates.
func (p *pkiRenewCmd) Run(c *cli) error { return issue(c, p.Dir, p.Names, p.Days, true) }

// issue issues certificates, or renews existing ones.
func issue(c *cli, dir string, names []string, days int, renew bool) error {
	a, err := pki.Open(dir)
	if err != nil {
		return usageError{err}
	}
	var parsed []identity.Name
	for _, text := range names {
		n, err := identity.ParseName(text)
		if err != nil {
			return usageError{err}
		}
		parsed = append(parsed, n)
	}
	var certificates []pki.IssuedCertificate
	for _, n := range parsed {
		issued, err := a.Issue(n, time.Now(), time.Duration(days)*day, renew)
		if err != nil {
			return usageError{err}
		}
		certificates = append(certificates, *issued)
	}
	return c.printIssued(certificates)
}

// issuedView is a certificate as JSON.
type issuedView struct {
	Name  string    `json:"name"`
	Until time.Time `json:"until"`
	File  string    `json:"file"`
}

// printIssued shows certificates.
func (c *cli) printIssued(certificates []pki.IssuedCertificate) error {
	views := []issuedView{}
	var rows [][]any
	for _, cert := range certificates {
		views = append(views, issuedView{cert.Name.String(), cert.NotAfter, cert.File})
		left := fmt.Sprintf("%.0f days", time.Until(cert.NotAfter).Hours()/24)
		if time.Now().After(cert.NotAfter) {
			left = "ended"
		}
		rows = append(rows, []any{cert.Name, cert.NotAfter.Format(time.DateOnly), left, cert.File})
	}
	return c.print(views, "NAME\tUNTIL\tLEFT\tFILE", rows)
}

// pkiListCmd lists issued certificates.
type pkiListCmd struct{ pkiDir }

// Run lists the certificates, those that expire first at the top.
func (p *pkiListCmd) Run(c *cli) error {
	a, err := pki.Open(p.Dir)
	if err != nil {
		return usageError{err}
	}
	certificates, err := a.List()
	if err != nil {
		return err
	}
	slices.SortFunc(certificates, func(a, b pki.IssuedCertificate) int { return a.NotAfter.Compare(b.NotAfter) })
	return c.printIssued(certificates)
}

// pkiRotateCmd replaces the token signing key.
type pkiRotateCmd struct{ pkiDir }

// Run rotates the token signing key.
func (p *pkiRotateCmd) Run() error {
	if _, err := pki.Open(p.Dir); err != nil {
		return usageError{err}
	}
	if err := pki.RotateTokenKey(p.Dir); err != nil {
		return err
	}
	fmt.Printf("copy %s to every controller before using tokens that are signed with the new key\n", filepath.Join(p.Dir, pki.TokenKeysFile))
	return nil
}
